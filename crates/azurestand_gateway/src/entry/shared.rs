//! The state that the request handlers and background tasks of one entry share.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_direct::{
    AdmissionControl, Directory, Exclusions, Freshness, LeastShare, NamedVersions, Placement,
    Quarantine, RequestQueue, Rules, SendShare, StopPlan, Target, VERSION_MARGIN, Waiter,
};
use azurestand_route::RetryBudget;
use azurestand_store::Position;
use azurestand_types::Moment;
use tokio::sync::mpsc::Receiver;
use tokio::sync::{Notify, watch};

use super::exchange::{Exchange, Topic};
use super::response::RequestError;
use crate::client::Client;
use crate::clock::BootClock;
use crate::feed::ChangeTime;
use crate::presence::KnownEntry;
use crate::relay::Relay;
use crate::settings::GatewaySettings;

/// The number of entries that is assumed until an agent reports it.
const ASSUMED_ENTRIES: u32 = 12;
/// How long after start-up older versions may still begin requests; a process that has just
/// started doesn't know since when a version has been named.
const VERSION_GRACE: Duration = Duration::from_millis(2_500);

/// The queued requests of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    pub(crate) waiters: RequestQueue,
    pub(crate) wakers: BTreeMap<Waiter, Arc<Notify>>,
    pub(crate) admission: AdmissionControl,
    /// Requests that were displaced and have not noticed yet.
    pub(crate) displaced: BTreeSet<Waiter>,
    /// The number of requests displaced since the start.
    pub(crate) displaced_total: u32,
    /// The version of the rules and the least share by which admission is configured.
    pub(crate) configured: Option<(Option<u64>, Option<LeastShare>)>,
}

impl ServiceQueue {
    /// Wakes the first request of the queue, which then tries to reserve a target.
    pub(crate) fn wake_first(&self) {
        let waker = self
            .waiters
            .first()
            .and_then(|waiter| self.wakers.get(&waiter));
        if let Some(waker) = waker {
            waker.notify_one();
        }
    }
}

/// What an entry knows of the configuration and the targets, and its queues.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) rules: Option<Arc<Rules>>,
    /// The position of the store's value that holds the rules.
    pub(crate) rules_position: Position,
    pub(crate) directory: Directory,
    /// Whether the list of targets has been read at least once.
    pub(crate) targets_read: bool,
    pub(crate) freshness: Freshness,
    pub(crate) placement: Placement,
    pub(crate) versions: BTreeMap<Arc<str>, NamedVersions>,
    /// The assumed naming time of versions that were named before this process started.
    pub(crate) named_before: Option<Moment>,
    pub(crate) exclusions: Exclusions,
    pub(crate) queues: BTreeMap<Arc<str>, ServiceQueue>,
    pub(crate) retries: RetryBudget,
    pub(crate) quarantine: Quarantine,
}

impl State {
    /// The operators' rules, unless they may have been replaced for `max_age` or longer.
    pub(crate) fn rules_in_force(
        &self,
        now: Moment,
        max_age: Duration,
    ) -> Result<&Arc<Rules>, RequestError> {
        let rules = self.rules.as_ref().ok_or(RequestError::NoRules)?;
        if !self.freshness.is_within(now, max_age) {
            return Err(RequestError::Stale);
        }
        Ok(rules)
    }

    /// Whether the operators have named this version of the model's weights.
    pub(crate) fn has_version(&self, model: &str, version: u64) -> bool {
        let versions = self.versions.get(model);
        versions.is_some_and(|versions| versions.contains(version))
    }

    /// The targets that are engines.
    pub(crate) fn engine_targets(&self) -> impl Iterator<Item = &Arc<Target>> + Clone {
        let rules = self.rules.as_ref();
        let targets = self.directory.targets();
        targets.filter(move |target| is_engine(rules, target))
    }

    /// The targets at `host` that are engines.
    pub(crate) fn engine_targets_at(
        &self,
        host: IpAddr,
    ) -> impl Iterator<Item = &Arc<Target>> + Clone {
        let rules = self.rules.as_ref();
        let targets = self.directory.targets();
        targets.filter(move |target| target.address.ip() == host && is_engine(rules, target))
    }

    /// Wakes the first request of each queue.
    pub(crate) fn wake_queues(&self) {
        for queue in self.queues.values() {
            queue.wake_first();
        }
    }
}

/// Whether the target belongs to a service of engines.
fn is_engine(rules: Option<&Arc<Rules>>, target: &Target) -> bool {
    let service = rules.and_then(|rules| rules.service(&target.service));
    service.is_some_and(|service| service.engine.is_some())
}

/// The shared parts of one entry.
#[derive(Debug)]
pub(crate) struct Shared<P> {
    pub(crate) settings: GatewaySettings,
    pub(crate) platform: Arc<P>,
    pub(crate) client: Client,
    /// Relays updates from the store to other daemons.
    pub(crate) relay: Arc<Relay>,
    /// Tells the other entries what changed.
    pub(crate) exchange: Exchange,
    state: Mutex<State>,
    quarantine_changed: Notify,
    /// Whether this entry knows what the others know of parts that crash targets.
    informed: AtomicBool,
    /// The planned stop that has begun.
    stop: watch::Sender<Option<StopPlan>>,
    closing: watch::Sender<bool>,
    /// Whether the open requests are given up, since the process ends.
    giving_up: watch::Sender<bool>,
    /// The entries that agents have reported, with their data centres.
    entries: Mutex<Vec<(IpAddr, Arc<str>)>>,
    /// The model and the version of weights that were named last.
    named_weights: watch::Sender<Option<(Arc<str>, u64)>>,
    /// The readiness that was last reported to the balancer.
    reported_ready: AtomicBool,
}

impl<P> Shared<P> {
    /// Creates the shared parts, and the queue of changes to tell other entries.
    pub(crate) fn new(
        settings: GatewaySettings,
        platform: Arc<P>,
        client: Client,
    ) -> (Self, Receiver<Topic>) {
        let (exchange, queue) = Exchange::new();
        let rng = fastrand::Rng::new();
        let state = State {
            rules: None,
            rules_position: Position::default(),
            directory: Directory::default(),
            targets_read: false,
            freshness: Freshness::default(),
            placement: Placement::new(
                settings.centre.clone(),
                settings.regions.clone(),
                ASSUMED_ENTRIES,
                rng,
            ),
            versions: BTreeMap::new(),
            named_before: None,
            exclusions: Exclusions::default(),
            queues: BTreeMap::new(),
            retries: RetryBudget::new(settings.bounds.now().retry_share),
            quarantine: Quarantine::default(),
        };
        let shared = Self {
            settings,
            platform,
            client,
            relay: Arc::default(),
            exchange,
            quarantine_changed: Notify::new(),
            informed: AtomicBool::new(false),
            state: Mutex::new(state),
            stop: watch::Sender::new(None),
            closing: watch::Sender::new(false),
            giving_up: watch::Sender::new(false),
            entries: Mutex::new(Vec::new()),
            named_weights: watch::Sender::new(None),
            reported_ready: AtomicBool::new(false),
        };
        (shared, queue)
    }

    /// Wakes those who wait for a change of the quarantine.
    pub(crate) fn notify_quarantine(&self) {
        self.quarantine_changed.notify_waiters();
    }

    /// Notified when the quarantine changes.
    pub(crate) fn quarantine_changed(&self) -> &Notify {
        &self.quarantine_changed
    }

    /// Records that another entry told what it knows, or that none did in time.
    pub(crate) fn set_informed(&self) {
        self.informed.store(true, Ordering::Relaxed);
    }

    /// Whether another entry told what it knows, or none did in time.
    pub(crate) fn is_informed(&self) -> bool {
        self.informed.load(Ordering::Relaxed)
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that operators have just named a version of a model's weights.
    pub(crate) fn announce_weights(&self, model: &Arc<str>, version: u64) {
        self.named_weights
            .send_replace(Some((model.clone(), version)));
    }

    /// The weights that were named last.
    pub(crate) fn named_weights(&self) -> watch::Receiver<Option<(Arc<str>, u64)>> {
        self.named_weights.subscribe()
    }

    /// Whether there are engines in this entry's data centre.
    pub(crate) fn has_local_engines(&self) -> bool {
        let state = self.state();
        let mut engines = state.engine_targets();
        engines.any(|target| target.centre == self.settings.centre)
    }

    /// Replaces the known entries by those that agents have reported, unless there are none.
    pub(crate) fn update_entries(&self, known: Vec<KnownEntry>) {
        let known = known.into_iter().map(|entry| (entry.ip, entry.centre));
        let known: Vec<_> = known.collect();
        if !known.is_empty() {
            let names = known
                .iter()
                .map(|(ip, _): &(IpAddr, _)| ip.to_string().into());
            let names: Vec<Arc<str>> = names.collect();
            let own: Arc<str> = self.settings.ip.to_string().into();
            let share = SendShare::new(own.clone(), names.clone());
            let mut state = self.state();
            state.placement.set_send_share(share);
            state.quarantine.set_entries(own, names);
            drop(state);
            *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = known;
        }
    }

    /// Assumes a number of entries while no agent has reported any.
    pub(crate) fn assume_entries(&self) {
        if !self.entries().is_empty() {
            return;
        }
        let own: Arc<str> = self.settings.ip.to_string().into();
        let others = (1..ASSUMED_ENTRIES).map(|number| format!("unknown-{number}").into());
        let names = others.chain([own.clone()]).collect();
        let share = SendShare::new(own, names);
        self.state().placement.set_send_share(share);
    }

    /// The entries that agents have reported, with their data centres.
    pub(crate) fn entries(&self) -> Vec<(IpAddr, Arc<str>)> {
        let entries = self.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The known entries of this entry's data centre.
    pub(crate) fn local_entries(&self) -> Vec<IpAddr> {
        let entries = self.entries().into_iter();
        let local = entries.filter(|(_, centre)| *centre == self.settings.centre);
        local.map(|(ip, _)| ip).collect()
    }

    /// Marks the entry as not ready; responses then ask callers to close their connections.
    pub(crate) fn drain(&self, plan: StopPlan) {
        self.stop.send_replace(Some(plan));
    }

    /// Stops accepting connections, and requests on the open ones.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Whether a request that ends by `expires_at` may be taken now.
    pub(crate) fn takes(&self, expires_at: Moment) -> bool {
        let plan = *self.stop.borrow();
        plan.is_none_or(|plan| plan.takes(BootClock.now(), expires_at))
    }

    /// Ends the requests that are still open, each with an outcome for its caller.
    pub(crate) fn give_up(&self) {
        self.giving_up.send_replace(true);
    }

    /// Completes when the open requests are given up.
    pub(crate) fn given_up(&self) -> impl Future<Output = ()> + Send + use<P> {
        let mut giving_up = self.giving_up.subscribe();
        async move {
            // The sender lives as long as the entry.
            let _ = giving_up.wait_for(|given_up| *given_up).await;
        }
    }

    pub(crate) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// The largest age of the last proof that the configuration is current with which a
    /// request may be sent at all: older rules may lack a change that binds everywhere.
    pub(crate) fn max_rules_age(&self) -> Duration {
        self.settings.bounds.now().apply
    }

    /// The largest age of the last proof that the configuration is current with which a
    /// request with a key may be accepted.
    pub(crate) fn max_key_age(&self) -> Duration {
        self.settings.bounds.now().revoke.mul_f64(0.9)
    }

    /// Whether the balancer should send callers to this entry.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let now = BootClock.now();
        let fresh = state.freshness.is_within(now, self.max_rules_age())
            && state
                .freshness
                .is_in_touch(now, self.settings.bounds.now().revoke.mul_f64(0.7));
        // Only entries of engines know each other, by the agents' reports.
        let is_informed = self.is_informed() || state.engine_targets().next().is_none();
        !self.is_draining() && state.rules.is_some() && state.targets_read && fresh && is_informed
    }

    /// Records the readiness that is reported to the balancer; returns whether it changed.
    pub(crate) fn set_reported_ready(&self, ready: bool) -> bool {
        self.reported_ready.swap(ready, Ordering::Relaxed) != ready
    }

    /// How long after a version is named older versions may still begin requests.
    pub(crate) fn version_limit(&self) -> Duration {
        let bound = self.settings.bounds.now().version;
        bound.saturating_sub(VERSION_MARGIN)
    }

    /// The time from which no request may begin on this version of the model's weights, as
    /// far as this process knows; none if no later version is named.
    pub(crate) fn useful_until(&self, model: &str, version: u64) -> Option<Moment> {
        let bound = self.settings.bounds.now().version;
        let state = self.state();
        let versions = state.versions.get(model)?;
        versions.useful_until(version, bound)
    }

    /// The assumed naming time of a version that was already in the store at start-up, until
    /// an agent that observed the naming reports it.
    pub(crate) fn named_before_start(&self, now: Moment, changed: ChangeTime) -> Moment {
        named_before_start(now, self.version_limit(), changed)
    }
}

/// The assumed naming time of a version that a newly started process reads at `now`; older
/// versions may begin requests for `limit` after it. If the store had failed for a while,
/// the limit counts from its recovery, as in all other processes.
fn named_before_start(now: Moment, limit: Duration, changed: ChangeTime) -> Moment {
    match changed {
        ChangeTime::AfterOutage => now,
        ChangeTime::Known(_) | ChangeTime::NotBefore(_) | ChangeTime::AtStart => {
            now - limit + VERSION_GRACE
        }
    }
}
