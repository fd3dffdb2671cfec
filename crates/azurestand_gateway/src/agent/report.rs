//! Sends reports on the engine to the entries that subscribe to them.

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_types::Moment;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::Shared;
use crate::clock::BootClock;
use crate::pieces::StagingStatus;
use crate::platform::EngineState;
use crate::presence::{
    EngineReport, EntryGroup, KnownEntry, KnownVersion, MAX_BYTES, MAX_VERSIONS, Subscribe,
};

/// A subscription that isn't renewed for this long expires.
const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_200);
/// Entries of other data centres get only every n-th report, since links between data
/// centres have little bandwidth.
const REMOTE_REPORT_EVERY: usize = 3;
/// The number of such entries for each of which that is one report fewer, since each entry
/// spends processor time on the reports of all agents.
const ENTRIES_A_STEP: usize = 60;
/// The same at most; a target whose reports are rarer is taken for silent.
const MAX_REMOTE_REPORT_EVERY: usize = 5;

/// The engine's status as an agent's tasks last saw it, and the entries that subscribe to it.
#[derive(Debug, Default)]
pub(super) struct EngineStatus {
    inner: Mutex<Inner>,
    report_due: Notify,
}

/// A version that the operators named.
#[derive(Debug)]
struct Naming {
    model: Arc<str>,
    version: u64,
    /// When it was named; none if unknown.
    since: Option<Moment>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Option<EngineState>,
    /// The version of the manifest fetched last, the newest known from the origin.
    newest: Option<u64>,
    /// The last versions that the operators named, with their models.
    named: VecDeque<Naming>,
    /// When the engine is ordered to load and stops accepting requests.
    closes_at: Option<Moment>,
    /// The subscribed entries, with their data centres and the time of the last renewal.
    subscribers: BTreeMap<SocketAddr, (Arc<str>, Instant)>,
    /// The number of reports sent.
    reports: usize,
    /// Whether the next report goes to entries of all data centres.
    to_all: bool,
}

impl EngineStatus {
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

    /// Records that the operators named a version; `since` is none if the time is unknown.
    pub(super) fn add_named(&self, model: &Arc<str>, version: u64, since: Option<Moment>) {
        let mut inner = self.lock();
        let model = model.clone();
        inner.named.push_back(Naming {
            model,
            version,
            since,
        });
        if inner.named.len() > MAX_VERSIONS {
            inner.named.pop_front();
        }
    }

    /// Records the engine's state and sends a report.
    pub(super) fn set_state(&self, state: &EngineState) {
        self.lock().state = Some(state.clone());
        self.report_due.notify_one();
    }

    /// Records that the engine doesn't respond; returns whether it responded before.
    pub(super) fn clear_state(&self) -> bool {
        self.lock().state.take().is_some()
    }

    /// Sets when the engine is ordered to load, for the next reports; none if no load is due.
    pub(super) fn set_closes_at(&self, closes_at: Option<Moment>) {
        self.lock().closes_at = closes_at;
    }

    /// Sends a report to the entries of all data centres at once.
    pub(super) fn send_to_all(&self) {
        self.lock().to_all = true;
        self.report_due.notify_one();
    }

    /// The subscribed entries, with their data centres.
    pub(super) fn subscribers(&self) -> Vec<(IpAddr, Arc<str>)> {
        let inner = self.lock();
        let entries = inner.subscribers.iter();
        entries
            .map(|(address, (centre, _))| (address.ip(), centre.clone()))
            .collect()
    }

    fn subscribe(&self, from: SocketAddr, message: Subscribe) {
        let subscription = (message.centre.into(), Instant::now());
        self.lock().subscribers.insert(from, subscription);
    }

    /// The entries that get this report, for an agent in `centre`.
    fn recipients(&self, centre: &str) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        inner
            .subscribers
            .retain(|_, (_, at)| at.elapsed() < SUBSCRIPTION_TTL);
        inner.reports = inner.reports.wrapping_add(1);
        let remote = inner.subscribers.values();
        let remote = remote.filter(|(other, _)| other.as_ref() != centre).count();
        let is_for_all = inner.reports.is_multiple_of(remote_interval(remote));
        let to_all = std::mem::take(&mut inner.to_all) || is_for_all;
        let entries = inner.subscribers.iter();
        let recipients = entries.filter(|(_, (other, _))| to_all || other.as_ref() == centre);
        recipients.map(|(address, _)| *address).collect()
    }

    /// The subscribed entries, as many as a report holds.
    fn known_entries(&self) -> Vec<EntryGroup> {
        let subscribers = self.subscribers().into_iter();
        let known: Vec<_> = subscribers
            .map(|(ip, centre)| KnownEntry { ip, centre })
            .collect();
        EntryGroup::group(&known)
    }

    fn named_versions(&self) -> Vec<KnownVersion> {
        let now = BootClock.now();
        let age = |since| u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
        let encode = |naming: &Naming| KnownVersion {
            model: naming.model.to_string(),
            version: naming.version,
            age: naming.since.map(age),
        };
        self.lock().named.iter().map(encode).collect()
    }

    fn report(&self) -> Option<EngineReport> {
        let inner = self.lock();
        let state = inner.state.as_ref()?;
        let is_closed = state.busy || state.held.is_empty();
        let remaining = |at: Moment| at.since(BootClock.now()).as_millis();
        let closes_in = inner.closes_at.map(remaining);
        let closes_in = closes_in.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX));
        Some(EngineReport {
            started_at: state.started_at,
            running: state.load.running,
            waiting: state.load.waiting,
            closes_in: if is_closed { Some(0) } else { closes_in },
            entries: u32::try_from(inner.subscribers.len()).unwrap_or(u32::MAX),
            known_entries: Vec::new(),
            named_versions: Vec::new(),
            is_leaving: state.is_leaving,
        })
    }
}

impl StagingStatus for EngineStatus {
    fn holds(&self, model: &str, version: u64) -> bool {
        let inner = self.lock();
        let held = inner.state.iter().flat_map(|state| &state.held);
        let mut held = held.filter(|held| held.model.as_ref() == model);
        held.any(|held| held.version == version)
    }

    fn record_request(&self, _model: &str, _version: u64) {}
}

/// Of how many reports one goes to `remote` entries of other data centres.
fn remote_interval(remote: usize) -> usize {
    let interval = REMOTE_REPORT_EVERY + remote / ENTRIES_A_STEP;
    interval.min(MAX_REMOTE_REPORT_EVERY)
}

/// Receives subscriptions of entries, and sends them a report whenever the status is set.
pub(super) async fn run<P>(shared: Arc<Shared<P>>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An earlier datagram to a closed port causes an error here.
                let Ok((length, from)) = received else { continue };
                if let Ok(message) = Subscribe::decode(&buffer[..length]) {
                    let with_entries = message.wants_entries;
                    shared.status.subscribe(from, message);
                    reply(&shared, &socket, from, with_entries);
                }
            }
            () = shared.status.report_due.notified() => send_reports(&shared, &socket),
        }
    }
}

/// Replies to a subscription, with the named versions and, if requested, the known
/// entries, which an entry that has just started doesn't know.
fn reply<P>(shared: &Shared<P>, socket: &UdpSocket, entry: SocketAddr, with_entries: bool) {
    if let Some(mut report) = shared.status.report() {
        if with_entries {
            report.known_entries = shared.status.known_entries();
        }
        report.named_versions = shared.status.named_versions();
        // If it can't be sent, the entry renews its subscription within a second.
        let _ = socket.try_send_to(&report.encode_to_vec(), entry);
    }
}

/// Sends a report to the entries that are due to get it.
fn send_reports<P>(shared: &Shared<P>, socket: &UdpSocket) {
    let Some(report) = shared.status.report() else {
        return;
    };
    let bytes = report.encode_to_vec();
    for entry in shared.status.recipients(&shared.settings.centre) {
        // If it can't be sent, the next report replaces it.
        let _ = socket.try_send_to(&bytes, entry);
    }
}
