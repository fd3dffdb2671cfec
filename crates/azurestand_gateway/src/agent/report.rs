//! Tells entries what the engine is doing, as soon as they have asked.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_types::Moment;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Around;
use crate::clock::BootClock;
use crate::edge::EngineState;
use crate::pieces::Staged;
use crate::presence::{
    EngineReport, Hello, KnownEntry, KnownVersion, MAX_BYTES, MAX_ENTRIES, MAX_VERSIONS,
};

/// An entry that has not asked for this long is forgotten.
const ASKED_LIFE: Duration = Duration::from_millis(3_200);
/// Entries of other data centres get every so many reports, since links between data
/// centres are narrow.
const AWAY_EVERY: u32 = 3;

/// What the tasks of one agent know of the engine now.
#[derive(Debug, Default)]
pub(super) struct Pulse {
    inner: Mutex<Inner>,
    beaten: Notify,
}

/// A version that was named.
#[derive(Debug)]
struct Known {
    model: Arc<str>,
    version: u64,
    /// When it was named; none if this process can't tell.
    since: Option<Moment>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Option<EngineState>,
    /// The newest version that the origin has named.
    newest: Option<u64>,
    /// The newest versions that this process knows of, with their models.
    named: VecDeque<Known>,
    /// When the engine is to load.
    closes_at: Option<Moment>,
    /// Entries that ask, with their data centres.
    entries: BTreeMap<SocketAddr, (Arc<str>, Instant)>,
    /// Counts the reports.
    reports: u32,
    /// Whether the next report goes to all.
    hurried: bool,
}

impl Pulse {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn state(&self) -> Option<EngineState> {
        self.lock().state.clone()
    }

    pub(super) fn newest(&self) -> Option<u64> {
        self.lock().newest
    }

    pub(super) fn set_newest(&self, version: u64) {
        self.lock().newest = Some(version);
    }

    /// Takes in that a version was named; `since` is none if this process can't tell when.
    pub(super) fn set_named(&self, model: &Arc<str>, version: u64, since: Option<Moment>) {
        let mut inner = self.lock();
        let model = model.clone();
        inner.named.push_back(Known {
            model,
            version,
            since,
        });
        if inner.named.len() > MAX_VERSIONS {
            inner.named.pop_front();
        }
    }

    /// Takes in what the engine says and lets entries know.
    pub(super) fn beat(&self, state: &EngineState) {
        self.lock().state = Some(state.clone());
        self.beaten.notify_one();
    }

    /// Takes in that the engine doesn't answer; gives whether that is new.
    pub(super) fn lose(&self) -> bool {
        self.lock().state.take().is_some()
    }

    /// Tells entries when the engine is to load; none when it isn't any more.
    pub(super) fn set_closing(&self, closes_at: Option<Moment>) {
        self.lock().closes_at = closes_at;
    }

    /// Lets all entries know at once.
    pub(super) fn hurry(&self) {
        self.lock().hurried = true;
        self.beaten.notify_one();
    }

    /// Entries that ask, with their data centres.
    pub(super) fn helpers(&self) -> Vec<(IpAddr, Arc<str>)> {
        let inner = self.lock();
        let entries = inner.entries.iter();
        entries
            .map(|(address, (centre, _))| (address.ip(), centre.clone()))
            .collect()
    }

    fn hear(&self, from: SocketAddr, hello: Hello) {
        let heard = (hello.centre.into(), Instant::now());
        self.lock().entries.insert(from, heard);
    }

    /// The entries to tell now, for an agent in `centre`.
    fn due(&self, centre: &str) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        inner.entries.retain(|_, (_, at)| at.elapsed() < ASKED_LIFE);
        inner.reports = inner.reports.wrapping_add(1);
        let to_all = std::mem::take(&mut inner.hurried) || inner.reports.is_multiple_of(AWAY_EVERY);
        let entries = inner.entries.iter();
        let due = entries.filter(|(_, (other, _))| to_all || other.as_ref() == centre);
        due.map(|(address, _)| *address).collect()
    }

    fn known(&self) -> Vec<KnownEntry> {
        let helpers = self.helpers().into_iter().take(MAX_ENTRIES);
        helpers
            .map(|(ip, centre)| KnownEntry {
                ip: ip.to_string(),
                centre: centre.to_string(),
            })
            .collect()
    }

    fn named(&self) -> Vec<KnownVersion> {
        let now = BootClock.now();
        let age = |since| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        let read = |known: &Known| KnownVersion {
            model: known.model.to_string(),
            version: known.version,
            age: known.since.map(age),
        };
        self.lock().named.iter().map(read).collect()
    }

    fn report(&self) -> Option<EngineReport> {
        let inner = self.lock();
        let state = inner.state.as_ref()?;
        let is_closed = state.busy || state.held.is_empty();
        let left = |at: Moment| at.since(BootClock.now()).as_millis();
        let closes_in = inner.closes_at.map(left);
        let closes_in = closes_in.map(|left| u32::try_from(left).unwrap_or(u32::MAX));
        Some(EngineReport {
            born: state.born,
            running: state.load.running,
            waiting: state.load.waiting,
            closes_in: if is_closed { Some(0) } else { closes_in },
            entries: u32::try_from(inner.entries.len()).unwrap_or(u32::MAX),
            known: Vec::new(),
            named: Vec::new(),
        })
    }
}

impl Staged for Pulse {
    fn holds(&self, model: &str, version: u64) -> bool {
        let inner = self.lock();
        let held = inner.state.iter().flat_map(|state| &state.held);
        let mut held = held.filter(|held| held.model.as_ref() == model);
        held.any(|held| held.version == version)
    }

    fn asked(&self, _model: &str, _version: u64) {}
}

/// Listens for entries that ask, and sends them a report with each beat.
pub(super) async fn listen<P>(around: Arc<Around<P>>, socket: UdpSocket) {
    let mut buffer = [0; MAX_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An address that nobody listens at is told so here.
                let Ok((length, from)) = received else { continue };
                if let Ok(hello) = Hello::decode(&buffer[..length]) {
                    let names = hello.names;
                    around.pulse.hear(from, hello);
                    answer(&around, &socket, from, names);
                }
            }
            () = around.pulse.beaten.notified() => tell(&around, &socket),
        }
    }
}

/// Answers an entry's question, with what a fresh entry can't know.
fn answer<P>(around: &Around<P>, socket: &UdpSocket, entry: SocketAddr, names: bool) {
    if let Some(mut report) = around.pulse.report() {
        if names {
            report.known = around.pulse.known();
        }
        report.named = around.pulse.named();
        // The entry asks again in a second.
        let _ = socket.try_send_to(&report.encode_to_vec(), entry);
    }
}

fn tell<P>(around: &Around<P>, socket: &UdpSocket) {
    let Some(report) = around.pulse.report() else {
        return;
    };
    let bytes = report.encode_to_vec();
    for entry in around.pulse.due(&around.settings.centre) {
        // The next report follows in a moment.
        let _ = socket.try_send_to(&bytes, entry);
    }
}
