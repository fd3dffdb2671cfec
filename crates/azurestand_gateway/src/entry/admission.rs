//! The terms on which requests are queued and placed where they compete by priority.
//!
//! [docs/design/admission.md](../../../../docs/design/admission.md) tells who decides what.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{LeastShare, Rank, Reserve, Terms, Urgency, Waiter};
use azurestand_types::Moment;
use derive_more::Display;
use serde_json::Value;

use super::call::Call;
use super::shared::{ServiceQueue, State};
use crate::log::millis;

/// Why a request that waited for a target was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Rejection {
    /// No target took it within its wait.
    #[display("waited in vain")]
    Waited,
    /// The same, and targets that had capacity kept it for more urgent requests.
    #[display("held back")]
    HeldBack,
    /// More requests were queued than are likely to be placed in time.
    #[display("displaced")]
    Displaced,
}

/// What admission decided about a rejected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmissionInputs {
    /// The terms of the request.
    pub(crate) terms: Terms,
    /// What it left for more urgent requests.
    pub(crate) reserve: Option<Reserve>,
    /// The age of the newest load report of its service.
    pub(crate) report_age: Option<Duration>,
    /// Why it was rejected.
    pub(crate) rejection: Rejection,
}

impl AdmissionInputs {
    /// The inputs as logged.
    pub(crate) fn fields(self) -> [(&'static str, Value); 7] {
        let reserve = self.reserve;
        [
            ("rejection", self.rejection.to_string().into()),
            ("level", self.terms.level.into()),
            ("own_level", self.terms.own.into()),
            ("basis", self.terms.basis.to_string().into()),
            ("kept_slots", reserve.map(|kept| kept.slots).into()),
            (
                "ceiling_ms",
                reserve.map(|kept| millis(kept.ceiling)).into(),
            ),
            ("report_age_ms", self.report_age.map(millis).into()),
        ]
    }
}

/// Settles the terms of a request that arrives.
pub(crate) fn arrive(
    state: &mut State,
    now: Moment,
    service: &Arc<str>,
    urgency: Urgency,
    least_share: Option<LeastShare>,
) -> Terms {
    let rules = state.rules.as_ref();
    let version = rules.map(|rules| rules.version());
    let queue = state.queues.entry(service.clone()).or_default();
    if queue.configured != Some((version, least_share)) {
        let rules = rules.filter(|rules| {
            let service = rules.service(service);
            service.is_some_and(|service| service.engine.is_some())
        });
        let levels = rules.map(|rules| rules.levels(service));
        queue
            .admission
            .configure(levels.unwrap_or_default(), least_share);
        queue.configured = Some((version, least_share));
    }
    queue.admission.arrive(now, urgency, fastrand::f64())
}

/// What `call` leaves for more urgent requests at its target.
pub(crate) fn reserve(state: &State, now: Moment, call: &Call) -> Option<Reserve> {
    let queue = state.queues.get(&call.service.name)?;
    let engine = call.service.engine.as_ref()?;
    if !queue.admission.is_active() {
        return None;
    }
    let fleet = state.placement.fleet(&call.service.name);
    let level = call.terms.level;
    queue.admission.reserve(now, level, engine, fleet)
}

/// Records that `call` was placed.
pub(crate) fn record_placed(state: &mut State, now: Moment, call: &Call) {
    if let Some(queue) = state.queues.get_mut(&call.service.name) {
        queue.admission.record_placed(now, call.terms);
    }
}

/// Tells the placement how many requests of the service search for a place.
pub(crate) fn record_waiting(state: &mut State, now: Moment, service: &Arc<str>) {
    let queue = state.queues.get(service);
    let (unheld, queued) = queue.map_or((0, 0), |queue| {
        let waiters = &queue.waiters;
        (queue.admission.unheld(now, waiters), waiters.len())
    });
    let placement = &mut state.placement;
    placement.record_waiting(now, service, unheld);
    placement.record_held_back(now, service, queued - unheld);
}

impl ServiceQueue {
    /// Rejects the queued requests that can't be placed in time.
    pub(crate) fn displace(&mut self, now: Moment) {
        while let Some(request) = self.admission.displaced(now, &self.waiters) {
            self.displaced.insert(request.waiter);
            self.displaced_total = self.displaced_total.saturating_add(1);
            self.leave(request.rank, request.waiter);
        }
    }

    /// Takes a request out of the queue; one that waits learns of it.
    pub(crate) fn leave(&mut self, rank: Rank, waiter: Waiter) {
        self.waiters.remove(rank, waiter);
        if let Some(waker) = self.wakers.remove(&waiter) {
            waker.notify_one();
        }
    }

    /// Whether a request was displaced; it is told so once.
    pub(crate) fn take_displaced(&mut self, waiter: Waiter) -> bool {
        self.displaced.remove(&waiter)
    }
}
