//! The state machine of a member: event dispatch and shared state.

use std::collections::{BTreeMap, VecDeque};
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_types::{DataCentre, HostName, Moment, Revision};
use bytes::Bytes;

use crate::record::{MAX_STATUS_BYTES, Record, Stage};
use crate::view::Merge;
use crate::{Action, Change, Config, Event, Identity, Limits, Note, Stamp, View};

mod document;
mod hint;
mod hub;
mod probe;
mod receive;
mod send;
mod sync;
mod timers;

use document::Document;
use probe::Probes;
use send::Update;
use timers::Timers;

/// The maximum number of changes disseminated at a time; anti-entropy covers the rest.
const MAX_UPDATES: usize = 128;

/// How many recent notes are kept to avoid writing duplicates.
const MAX_NOTED: usize = 256;

/// One member: turns events into actions and maintains the view.
#[derive(Debug)]
pub struct Member {
    me: Record,
    limits: Limits,
    random: fastrand::Rng,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    view: View,
    /// Members whose last change is still being disseminated.
    updates: BTreeMap<HostName, Update>,
    /// Whether a change is waiting to be pushed.
    push_due: bool,
    /// Whether the membership changed since the hubs were last chosen.
    hubs_outdated: bool,
    hubs: Vec<HostName>,
    watching: bool,
    silent: BTreeMap<DataCentre, bool>,
    probes: Probes,
    document: Document,
    timers: Timers,
    noted: VecDeque<Note>,
    now: Moment,
    out: Vec<Action>,
}

impl Member {
    /// Creates a member that knows only its seeds, the addresses in its settings.
    ///
    /// Seeds of other data centres let a data centre that restarts as a whole
    /// find the others while the store is down.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        limits: Limits,
        mut random: fastrand::Rng,
    ) -> Self {
        let me = Record::new(identity);
        let mut view = View::default();
        view.merge(Moment::START, &me);
        Self {
            updates: BTreeMap::from([(me.identity.host.clone(), Update::new(Moment::START))]),
            probes: Probes::new(random.u64(..)),
            me,
            limits,
            random,
            seeds,
            listed: Vec::new(),
            view,
            push_due: false,
            hubs_outdated: true,
            hubs: Vec::new(),
            watching: false,
            silent: BTreeMap::new(),
            document: Document::default(),
            timers: Timers::default(),
            noted: VecDeque::new(),
            now: Moment::START,
            out: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// After [`Event::Shutdown`] every event is ignored.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        if self.me.stage == Stage::Left {
            return Vec::new();
        }
        self.now = now.max(self.now);
        match event {
            Event::Tick => self.tick(),
            Event::Received(gossip) => self.receive(*gossip),
            Event::Connected(host) => self.probe_answered(&host),
            Event::Disconnected(host) => self.connection_lost(&host),
            Event::Listed(listing) => self.apply_listing(listing),
            Event::Store(outcome) => self.handle_store(outcome),
            Event::Status(blob) => self.set_status(blob),
            Event::Leave => self.advance(Stage::Leaving),
            Event::Shutdown => self.advance(Stage::Left),
        }
        mem::take(&mut self.out)
    }

    /// This member's identity.
    pub fn identity(&self) -> &Identity {
        &self.me.identity
    }

    /// What is known about all members, this one included.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The document in force, once there is one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.document.in_force()
    }

    /// The revision in force, or 0 before there is one.
    pub fn revision(&self) -> Revision {
        self.stamp().unwrap_or_default().revision
    }

    /// Whether this member watches the store for its data centre.
    pub fn is_hub(&self) -> bool {
        self.watching
    }

    fn stamp(&self) -> Option<Stamp> {
        self.document.in_force().map(|config| config.stamp())
    }

    fn set_status(&mut self, mut blob: Bytes) {
        blob.truncate(MAX_STATUS_BYTES);
        if blob != self.me.status.blob {
            self.me.status.blob = blob;
            self.status_changed();
        }
    }

    /// Increments the counter of this member's status and schedules a report.
    fn status_changed(&mut self) {
        self.me.status.counter += 1;
        self.me.status.stamp = self.stamp().unwrap_or_default();
        self.publish();
        self.timers.report_due = true;
    }

    /// Copies this member's record into the view, from which peers get it.
    fn publish(&mut self) {
        let me = self.me.clone();
        self.merge_record(&me);
    }

    /// Advances this member's stage and notifies peers immediately.
    fn advance(&mut self, stage: Stage) {
        if stage <= self.me.stage {
            return;
        }
        self.me.stage = stage;
        self.publish();
        self.push_due = false;
        self.push_self();
        if self.watching {
            self.watching = false;
            self.out.push(Action::StopWatch);
        }
    }

    /// Merges a record and reports a resulting change of state to the daemon.
    fn merge_record(&mut self, record: &Record) -> Merge {
        let host = &record.identity.host;
        let before = self.reported_state(host);
        let merge = self.view.merge(self.now, record);
        if merge == Merge::Changed {
            self.queue_update(host);
            self.report_change(host, before.as_ref());
        }
        merge
    }

    /// Queues a member's change for dissemination.
    fn queue_update(&mut self, host: &HostName) {
        self.hubs_outdated = true;
        self.track_suspect(host);
        if self.updates.len() < MAX_UPDATES || self.updates.contains_key(host) {
            self.updates.insert(host.clone(), Update::new(self.now));
            self.push_due = true;
        }
    }

    /// The current state of a host, as reported to the daemon.
    fn reported_state(&self, host: &HostName) -> Option<Change> {
        let record = self.view.get(host)?;
        Some(Change {
            host: host.clone(),
            incarnation: record.identity.incarnation,
            state: self.view.state(host)?,
        })
    }

    fn report_change(&mut self, host: &HostName, before: Option<&Change>) {
        let after = self.reported_state(host);
        if let Some(change) = after.filter(|after| before != Some(after)) {
            self.out.push(Action::Changed(change));
        }
    }

    /// Writes a note, unless the same one was written recently.
    fn note(&mut self, note: Note) {
        if self.noted.contains(&note) {
            return;
        }
        if self.noted.len() == MAX_NOTED {
            self.noted.pop_front();
        }
        self.noted.push_back(note.clone());
        self.out.push(Action::Note(note));
    }

    fn is_mine(&self, host: &HostName) -> bool {
        *host == self.me.identity.host
    }
}
