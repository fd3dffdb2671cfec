//! Chooses the target of a request, immediately or after queueing for free capacity.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    Choice, Lateness, Need, NoTarget, PartId, Rank, Regions, Reserve, Residency, Target,
    TargetRequirements, Waiter, max_wait,
};
use azurestand_types::Moment;
use derive_more::Display;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::admission::{self, AdmissionInputs, Rejection};
use super::call::Call;
use super::quarantine;
use super::response::{RequestError, Shortage};
use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::metrics::{self, Span};
use crate::platform::Platform;

/// The shortest `Retry-After` of a refused request, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The `Retry-After` of a request that waited behind others only, before jitter.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest `Retry-After` of a refused request, before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// When a caller may return whose request no target can serve, before jitter.
const NO_TARGET_TIME: Duration = Duration::from_millis(400);

/// Reserved capacity at a target for one request; released on drop.
pub(crate) struct Reservation<P> {
    shared: Arc<Shared<P>>,
    pub(crate) target: Arc<Target>,
    pub(crate) expected: Duration,
    sent: Moment,
    pub(crate) version: Option<u64>,
    /// The only version of weights that may answer: the one that the target was taken to
    /// hold, or the one that began the response.
    pub(crate) required_version: Option<u64>,
    has_begun: bool,
    /// The suspected part that the request tries.
    trial: Option<PartId>,
}

impl<P> Reservation<P> {
    /// Releases the capacity of a request that the target has not had, or not run.
    pub(crate) fn cancel(self) {
        if let Some(part) = self.trial {
            self.shared.state().quarantine.cancel_trial(part);
        }
    }

    /// The time since the target was chosen.
    pub(crate) fn age(&self) -> Duration {
        BootClock.now().since(self.sent)
    }

    /// Records that the first byte of the response has arrived.
    pub(crate) fn record_first_byte(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            let now = BootClock.now();
            let took = now.since(self.sent);
            metrics::time_error(self.expected, took);
            let mut state = self.shared.state();
            let placement = &mut state.placement;
            placement.record_first_byte(&self.target);
            placement.record_latency(now, &self.target, self.expected, took);
        }
    }
}

impl<P> Drop for Reservation<P> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.placement.record_end(&self.target, self.has_begun);
        if let Some(queue) = state.queues.get(&self.target.service) {
            queue.wake_first();
        }
    }
}

/// Constraints on the choice of a target for one attempt.
#[derive(Debug, Clone, Default)]
pub(crate) struct Constraints {
    /// Targets that were already tried.
    pub(crate) avoid: Vec<Arc<str>>,
    /// The only version of weights that may continue the response.
    pub(crate) required_version: Option<u64>,
    /// Whether a target may be chosen that will miss the latency target.
    pub(crate) allow_late: bool,
    /// Whether a target has ended under the request; its prompt may be the cause.
    pub(crate) crashed: bool,
}

/// Removes the request from its queue on drop, however the wait ends.
struct QueueGuard<'a, P> {
    shared: &'a Shared<P>,
    service: &'a Arc<str>,
    rank: Rank,
    waiter: Waiter,
    joined: Moment,
}

impl<P> Drop for QueueGuard<'_, P> {
    fn drop(&mut self) {
        metrics::time(Span::Wait, BootClock.now().since(self.joined));
        let mut state = self.shared.state();
        if let Some(queue) = state.queues.get_mut(self.service) {
            queue.leave(self.rank, self.waiter);
            queue.take_displaced(self.waiter);
            queue.wake_first();
            admission::record_waiting(&mut state, BootClock.now(), self.service);
        }
    }
}

/// Reserves capacity at a target for `call`; queues for a short time if all are busy.
///
/// # Errors
///
/// The [`RequestError`] to answer with when no target can take the request.
pub(crate) async fn place<P>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    constraints: &Constraints,
) -> Result<Reservation<P>, RequestError>
where
    P: Platform,
{
    let now = BootClock.now();
    let rank = rank(call, constraints);
    let mut soonest = None;
    let (waker, waiter, ahead) = {
        let mut state = shared.state();
        let trial = quarantine::admit(&state, call, constraints.crashed)?;
        let regions = permitted_regions(shared, &state, now, &call.residency)?;
        let ahead = ahead(&state, &call.service.name, rank);
        if ahead == 0 {
            match choose(shared, &mut state, now, call, constraints, &regions, trial) {
                Ok(reservation) => return Ok(reservation),
                Err(NoTarget::NoneEligible) => {
                    let after = turned_away(&state, now, call).unwrap_or(jittered(NO_TARGET_TIME));
                    return Err(RequestError::NoTarget(after));
                }
                Err(NoTarget::TurnedAway { soonest }) if soonest > queue_timeout(call) => {
                    return Err(refusal(&state, now, call));
                }
                Err(NoTarget::Busy { soonest: time } | NoTarget::TurnedAway { soonest: time }) => {
                    soonest = Some(time);
                }
            }
        }
        let queue = state.queues.entry(call.service.name.clone()).or_default();
        queue.admission.record_delayed(now, call.terms);
        let waiter = queue.waiters.push(rank, need(call));
        let waker = Arc::new(Notify::new());
        queue.wakers.insert(waiter, waker.clone());
        queue.displace(now);
        (waker, waiter, ahead)
    };
    let guard = QueueGuard {
        shared,
        service: &call.service.name,
        rank,
        waiter,
        joined: now,
    };
    let wait_end = Instant::now() + queue_timeout(call);
    let mut rejection = Rejection::Waited;
    while timeout_at(wait_end, waker.notified()).await.is_ok() {
        let mut state = shared.state();
        let now = BootClock.now();
        let queue = state.queues.get_mut(&call.service.name);
        if queue.is_some_and(|queue| queue.take_displaced(waiter)) {
            rejection = Rejection::Displaced;
            break;
        }
        let trial = quarantine::admit(&state, call, constraints.crashed)?;
        let regions = permitted_regions(shared, &state, now, &call.residency)?;
        match choose(shared, &mut state, now, call, constraints, &regions, trial) {
            Ok(reservation) => {
                drop(state);
                drop(guard);
                return Ok(reservation);
            }
            Err(NoTarget::TurnedAway { soonest: time }) if Instant::now() + time > wait_end => {
                return Err(refusal(&state, BootClock.now(), call));
            }
            Err(NoTarget::Busy { soonest: time } | NoTarget::TurnedAway { soonest: time }) => {
                soonest = Some(time);
            }
            Err(NoTarget::NoneEligible) => break,
        }
    }
    let retry_after = soonest.unwrap_or(DEFAULT_RETRY_AFTER);
    let shortage = shortage(&shared.state(), call, constraints, retry_after, rejection);
    Err(RequestError::Busy(Shortage {
        soonest,
        ahead,
        ..shortage
    }))
}

/// The inputs of a rejection for want of capacity, where the most urgent callers may return
/// after `retry_after`.
fn shortage(
    state: &State,
    call: &Call,
    constraints: &Constraints,
    retry_after: Duration,
    rejection: Rejection,
) -> Shortage {
    let now = BootClock.now();
    let reserve = admission::reserve(state, now, call);
    let queue = state.queues.get(&call.service.name);
    let control = queue.map(|queue| &queue.admission);
    let control = control.filter(|control| control.is_active());
    let retry_after = jittered(retry_after);
    let rejection = match rejection {
        Rejection::Waited if reserve.is_some() => Rejection::HeldBack,
        other => other,
    };
    Shortage {
        retry_after: control.map_or(retry_after, |control| {
            control.return_time(call.terms, retry_after)
        }),
        soonest: None,
        limit: latest(state, call, constraints, reserve),
        ahead: 0,
        admission: control.map(|_| AdmissionInputs {
            terms: call.terms,
            reserve,
            report_age: state.placement.report_age(now, &call.service.name),
            rejection,
        }),
    }
}

/// What a request needs, as far as that is known.
fn need(call: &Call) -> Need {
    let engine = call.service.engine.as_ref();
    let slot_ms = engine.map_or(0.0, |engine| engine.slot_time(call.request.work, 0));
    Need {
        latency_target: call.route.latency_target,
        slot_time: Duration::try_from_secs_f64(slot_ms / 1_000.0).unwrap_or(Duration::MAX),
    }
}

/// Reserves capacity at a target for `call` if one is free at once and no more urgent request
/// waits.
pub(crate) fn try_place<P>(
    shared: &Arc<Shared<P>>,
    call: &Call,
    constraints: &Constraints,
) -> Option<Reservation<P>>
where
    P: Platform,
{
    let now = BootClock.now();
    let mut state = shared.state();
    let trial = quarantine::admit(&state, call, constraints.crashed).ok()?;
    let regions = permitted_regions(shared, &state, now, &call.residency).ok()?;
    if ahead(&state, &call.service.name, rank(call, constraints)) > 0 {
        return None;
    }
    choose(shared, &mut state, now, call, constraints, &regions, trial).ok()
}

/// The regions that may serve a request that is sent now.
fn permitted_regions<P>(
    shared: &Shared<P>,
    state: &State,
    now: Moment,
    residency: &Residency,
) -> Result<Regions, RequestError> {
    let rules = state.rules_in_force(now, shared.max_rules_age())?;
    Ok(residency.regions(rules))
}

/// Why a request that was placed on a target may no longer be sent there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Obstacle {
    /// The rules are no longer proved to be in force.
    #[display("the rules may have been replaced")]
    Rules,
    /// The target's region may not serve the request by the rules in force now.
    #[display("the target is outside of the request's regions now")]
    Region,
    /// The target has said that it wants none.
    #[display("the target has said that it wants no requests")]
    Target,
}

/// Why a request that was placed on `target` may not be sent there now, if it may not.
pub(crate) fn obstacle<P>(
    shared: &Shared<P>,
    residency: &Residency,
    target: &Target,
) -> Option<Obstacle> {
    let now = BootClock.now();
    let state = shared.state();
    let Ok(regions) = permitted_regions(shared, &state, now, residency) else {
        return Some(Obstacle::Rules);
    };
    if !state.placement.is_within(target, &regions) {
        return Some(Obstacle::Region);
    }
    (!state.placement.may_send(now, target)).then_some(Obstacle::Target)
}

/// The number of requests queued for the service that precede one of this rank.
fn ahead(state: &State, service: &str, rank: Rank) -> usize {
    let queue = state.queues.get(service);
    queue.map_or(0, |queue| queue.waiters.ahead(rank))
}

fn rank(call: &Call, constraints: &Constraints) -> Rank {
    Rank {
        priority: call.terms.level,
        untried: constraints.avoid.is_empty(),
        arrived_at: Reverse(call.arrived),
    }
}

/// The refusal of a request whose targets all want nothing for longer than it may wait.
fn refusal(state: &State, now: Moment, call: &Call) -> RequestError {
    let after = turned_away(state, now, call).unwrap_or(jittered(MIN_RETRY_AFTER));
    RequestError::TurnedAway(after)
}

/// When a caller may return, if all targets of its service have named a time for which they want
/// nothing: not before it ends, as far as refusals name such times, nor all at one moment.
pub(crate) fn turned_away(state: &State, now: Moment, call: &Call) -> Option<Duration> {
    let soonest = state.placement.turned_away(now, &call.service.name)?;
    let soonest = soonest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Some(soonest.mul_f64(1.0 + 0.3 * fastrand::f64()))
}

/// How long a request may wait in the queue.
fn queue_timeout(call: &Call) -> Duration {
    max_wait(call.route.latency_target)
        .saturating_sub(call.waited())
        .min(call.time_left() / 3)
}

/// The longest predicted time to the first byte with which the request may be sent now.
fn latest(
    state: &State,
    call: &Call,
    constraints: &Constraints,
    reserve: Option<Reserve>,
) -> Duration {
    let left = call.time_left();
    if constraints.allow_late {
        return left;
    }
    let queue = state.queues.get(&call.service.name);
    let shortest = queue.and_then(|queue| queue.waiters.shortest_target(call.terms.level));
    let engine = call.service.engine.as_ref();
    let excess = engine.map_or(Duration::ZERO, |engine| {
        engine.excess_time(call.request.work)
    });
    let lateness = Lateness {
        latency_target: call.route.latency_target,
        waited: call.waited(),
        excess,
        shortest,
    };
    let ceiling = reserve.map_or(Duration::MAX, |reserve| {
        reserve.ceiling.saturating_add(excess)
    });
    lateness.limit().min(ceiling).min(left)
}

/// Adds jitter of ±30 % to `time`, so that refused callers don't retry simultaneously.
fn jittered(time: Duration) -> Duration {
    let time = time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    time.mul_f64(0.7 + 0.6 * fastrand::f64())
}

fn choose<P>(
    shared: &Arc<Shared<P>>,
    state: &mut State,
    now: Moment,
    call: &Call,
    constraints: &Constraints,
    regions: &Regions,
    trial: Option<PartId>,
) -> Result<Reservation<P>, NoTarget>
where
    P: Platform,
{
    let is_engine = call.service.engine.is_some();
    let model = call.request.model.as_deref().filter(|_| is_engine);
    let limit = shared.version_limit();
    let versions = model.and_then(|model| state.versions.get(model));
    let oldest = versions.map_or(0, |versions| versions.oldest(now, limit));
    let may_queue = constraints.allow_late || !constraints.avoid.is_empty();
    let reserve = admission::reserve(state, now, call).filter(|_| !may_queue);
    let requirements = TargetRequirements {
        service: &call.service,
        model,
        oldest,
        required_version: constraints.required_version,
        size: call.request.work,
        avoid: &constraints.avoid,
        regions,
        limit: latest(state, call, constraints, reserve),
        spare_slots: reserve.map(|reserve| reserve.slots),
    };
    admission::record_waiting(state, now, &call.service.name);
    let choice = state.placement.choose(now, &requirements)?;
    let Choice {
        target,
        expected,
        version,
    } = choice;
    state
        .placement
        .record_send(now, &target, call.service.cold_rate);
    admission::record_placed(state, now, call);
    if let Some(part) = trial {
        state.quarantine.record_trial(now, part);
    }
    Ok(Reservation {
        shared: shared.clone(),
        target,
        expected,
        sent: now,
        version,
        required_version: constraints.required_version.or(version),
        has_begun: false,
        trial,
    })
}
