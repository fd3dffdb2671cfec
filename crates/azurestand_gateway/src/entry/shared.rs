//! What the requests and the feeds of one entry share.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_direct::{
    ColdShare, Directory, Freshness, Line, NamedVersions, Placement, Rules, VERSION_MARGIN, Waiter,
};
use azurestand_route::RetryBudget;
use azurestand_types::Moment;
use tokio::sync::{Notify, watch};

use crate::client::Client;
use crate::clock::BootClock;
use crate::presence::KnownEntry;
use crate::relay::Relay;
use crate::settings::GatewaySettings;

/// Entries that are taken to exist as long as no agent tells.
const ENTRIES_UNKNOWN: u32 = 12;
/// A process that starts doesn't know since when a version is named.
const VERSION_GRACE: Duration = Duration::from_millis(2_500);

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLine {
    pub(crate) line: Line,
    pub(crate) wakers: BTreeMap<Waiter, Arc<Notify>>,
}

impl ServiceLine {
    /// Lets the request whose turn it is look for room.
    pub(crate) fn wake_first(&self) {
        let waker = self
            .line
            .first()
            .and_then(|waiter| self.wakers.get(&waiter));
        if let Some(waker) = waker {
            waker.notify_one();
        }
    }
}

/// What an entry knows.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) rules: Option<Arc<Rules>>,
    pub(crate) directory: Directory,
    /// Whether the list of targets has been read at all.
    pub(crate) listed: bool,
    pub(crate) freshness: Freshness,
    pub(crate) placement: Placement,
    pub(crate) versions: BTreeMap<Arc<str>, NamedVersions>,
    /// Whether the store failed before this process had read anything.
    pub(crate) failed_first: bool,
    /// When versions that were named before this process started count as named.
    pub(crate) named_before: Option<Moment>,
    pub(crate) excluded: BTreeSet<Arc<str>>,
    pub(crate) lines: BTreeMap<Arc<str>, ServiceLine>,
    pub(crate) retries: RetryBudget,
}

impl State {
    /// Whether the operators have named this version.
    pub(crate) fn has_version(&self, model: &str, version: u64) -> bool {
        let versions = self.versions.get(model);
        versions.is_some_and(|versions| versions.has(version))
    }

    /// Lets the first of each line look for room.
    pub(crate) fn wake_lines(&self) {
        for line in self.lines.values() {
            line.wake_first();
        }
    }
}

/// What all parts of one entry share.
#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) settings: GatewaySettings,
    pub(crate) platform: Arc<P>,
    pub(crate) client: Client,
    /// News of the store for others.
    pub(crate) relay: Arc<Relay>,
    state: Mutex<State>,
    leaving: watch::Sender<bool>,
    closing: watch::Sender<bool>,
    /// The entries that agents know, with their data centres.
    entries: Mutex<Vec<(IpAddr, Arc<str>)>>,
    /// What the balancer was told last.
    told_ready: AtomicBool,
}

impl<P> Shared<P> {
    pub(crate) fn new(settings: GatewaySettings, platform: Arc<P>, client: Client) -> Self {
        let rng = fastrand::Rng::new();
        let state = State {
            rules: None,
            directory: Directory::default(),
            listed: false,
            freshness: Freshness::default(),
            placement: Placement::new(
                settings.centre.clone(),
                settings.regions.clone(),
                ENTRIES_UNKNOWN,
                rng,
            ),
            versions: BTreeMap::new(),
            failed_first: false,
            named_before: None,
            excluded: BTreeSet::new(),
            lines: BTreeMap::new(),
            retries: RetryBudget::new(settings.bounds.now().retry_share),
        };
        Self {
            settings,
            platform,
            client,
            relay: Arc::default(),
            state: Mutex::new(state),
            leaving: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            entries: Mutex::new(Vec::new()),
            told_ready: AtomicBool::new(false),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in which entries agents know.
    pub(crate) fn meet(&self, known: Vec<KnownEntry>) {
        let read = |entry: KnownEntry| {
            let ip = entry.ip.parse().ok()?;
            Some((ip, entry.centre.as_str().into()))
        };
        let known: Vec<_> = known.into_iter().filter_map(read).collect();
        if !known.is_empty() {
            let names = known
                .iter()
                .map(|(ip, _): &(IpAddr, _)| ip.to_string().into());
            let own = self.settings.ip.to_string().into();
            let share = ColdShare::new(own, names.collect());
            self.state().placement.set_cold_share(share);
            *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = known;
        }
    }

    /// Where no agent tells which entries there are, some are assumed.
    pub(crate) fn assume_entries(&self) {
        if !self.entries().is_empty() {
            return;
        }
        let own: Arc<str> = self.settings.ip.to_string().into();
        let others = (1..ENTRIES_UNKNOWN).map(|number| format!("unknown-{number}").into());
        let names = others.chain([own.clone()]).collect();
        let share = ColdShare::new(own, names);
        self.state().placement.set_cold_share(share);
    }

    /// The entries that agents know, with their data centres.
    pub(crate) fn entries(&self) -> Vec<(IpAddr, Arc<str>)> {
        let entries = self.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The entries of the own data centre that agents know.
    pub(crate) fn neighbours(&self) -> Vec<IpAddr> {
        let entries = self.entries().into_iter();
        let near = entries.filter(|(_, centre)| *centre == self.settings.centre);
        near.map(|(ip, _)| ip).collect()
    }

    /// Not ready any more; answers tell callers to go elsewhere.
    pub(crate) fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// No new connections and no new requests on open ones.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// How old what this entry knows of the operators' changes may be for a
    /// request with a key.
    pub(crate) fn key_bound(&self) -> Duration {
        self.settings.bounds.now().revoke.mul_f64(0.9)
    }

    /// Whether new callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let fresh = state.freshness.is_within(
            BootClock.now(),
            self.settings.bounds.now().revoke.mul_f64(0.7),
        );
        !self.is_leaving() && state.rules.is_some() && state.listed && fresh
    }

    /// Notes what the balancer is told; gives whether that is new.
    pub(crate) fn tell_ready(&self, ready: bool) -> bool {
        self.told_ready.swap(ready, Ordering::Relaxed) != ready
    }

    /// How long after the naming of a version an older one may begin a request.
    pub(crate) fn version_limit(&self) -> Duration {
        let bound = self.settings.bounds.now().version;
        bound.saturating_sub(VERSION_MARGIN)
    }

    /// Since when a version that a fresh process finds is taken to be named, until
    /// an agent that saw the naming tells.
    pub(crate) fn named_before_start(&self, now: Moment, failed_first: bool) -> Moment {
        named_before_start(now, self.version_limit(), failed_first)
    }
}

/// Since when a version that a fresh process finds at `now` is taken to be named, where
/// older ones may begin for `limit` after that. If the store failed before, the bound
/// begins anew with its return, as for everybody else.
fn named_before_start(now: Moment, limit: Duration, failed_first: bool) -> Moment {
    if failed_first {
        now
    } else {
        now - limit + VERSION_GRACE
    }
}
