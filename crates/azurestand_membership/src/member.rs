//! One member's state machine: dispatch of events, and what the parts share.

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
use send::Hot;
use timers::Timers;

/// How many changes are passed on at a time; beyond that anti-entropy carries them.
const MAX_HOT: usize = 128;

/// How many kinds of notes are remembered so that each is written once.
const MAX_NOTED: usize = 256;

/// One member: it turns events into actions and keeps the live view.
#[derive(Debug)]
pub struct Member {
    me: Record,
    limits: Limits,
    random: fastrand::Rng,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    view: View,
    /// Members whose last change still has to be passed on.
    hot: BTreeMap<HostName, Hot>,
    /// Whether a change waits to be pushed at the next tick.
    urgent: bool,
    /// Whether the membership changed since the hubs were last chosen.
    stale: bool,
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
    /// A member that knows nobody but its seeds, the addresses in its settings.
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
            hot: BTreeMap::from([(me.identity.host.clone(), Hot::new(Moment::START))]),
            probes: Probes::new(random.u64(..)),
            me,
            limits,
            random,
            seeds,
            listed: Vec::new(),
            view,
            urgent: false,
            stale: true,
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

    /// Takes in one event and says what to do about it.
    ///
    /// After [`Event::Goodbye`] every event is ignored.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        if self.me.stage == Stage::Left {
            return Vec::new();
        }
        self.now = now.max(self.now);
        match event {
            Event::Tick => self.tick(),
            Event::Received(gossip) => self.receive(*gossip),
            Event::Connected(host) => self.saw(&host),
            Event::Lost(host) => self.lost(&host),
            Event::Listed(listing) => self.listed(listing),
            Event::Store(news) => self.store(news),
            Event::Status(blob) => self.set_status(blob),
            Event::Leave => self.advance(Stage::Leaving),
            Event::Goodbye => self.advance(Stage::Left),
        }
        mem::take(&mut self.out)
    }

    /// Who this member is.
    pub fn identity(&self) -> &Identity {
        &self.me.identity
    }

    /// What is known of all members, this one included.
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

    /// Gives the own status a new counter and has it reported.
    fn status_changed(&mut self) {
        self.me.status.counter += 1;
        self.me.status.stamp = self.stamp().unwrap_or_default();
        self.publish();
        self.timers.report_due = true;
    }

    /// Writes the own record into the view; the view's copy is what peers get.
    fn publish(&mut self) {
        let me = self.me.clone();
        self.take_in(&me);
    }

    /// Moves the own life forward and tells peers at once.
    fn advance(&mut self, stage: Stage) {
        if stage <= self.me.stage {
            return;
        }
        self.me.stage = stage;
        self.publish();
        self.urgent = false;
        self.push_self();
        if self.watching {
            self.watching = false;
            self.out.push(Action::StopWatch);
        }
    }

    /// Merges a record and tells the daemon when the member's state changed by it.
    fn take_in(&mut self, record: &Record) -> Merge {
        let host = &record.identity.host;
        let before = self.condition(host);
        let merge = self.view.merge(self.now, record);
        if merge == Merge::Changed {
            self.spread(host);
            self.report_change(host, before.as_ref());
        }
        merge
    }

    /// Has a change passed on.
    fn spread(&mut self, host: &HostName) {
        self.stale = true;
        self.watch_suspect(host);
        if self.hot.len() < MAX_HOT || self.hot.contains_key(host) {
            self.hot.insert(host.clone(), Hot::new(self.now));
            self.urgent = true;
        }
    }

    /// What the daemon was last told about a host.
    fn condition(&self, host: &HostName) -> Option<Change> {
        let record = self.view.get(host)?;
        Some(Change {
            host: host.clone(),
            incarnation: record.identity.incarnation,
            state: self.view.state(host)?,
        })
    }

    fn report_change(&mut self, host: &HostName, before: Option<&Change>) {
        let after = self.condition(host);
        if let Some(change) = after.filter(|after| before != Some(after)) {
            self.out.push(Action::Changed(change));
        }
    }

    /// Writes a note, unless the same was written lately.
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
