//! Applies what targets say of themselves: that they leave, or for how long they want nothing.

use std::sync::Arc;

use azurestand_direct::{Incarnation, RetryAfter, Target};
use azurestand_types::Moment;
use tokio::time::sleep;

use super::exchange::Topic;
use super::shared::Shared;
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::platform::{NamedPause, Platform, ResponseHead};

/// Applies what an answer of `target` says, and tells other entries if it leaves. Only an answer
/// to the request's own name (`is_own`) can refuse it.
pub(super) fn record_answer<P>(
    shared: &Arc<Shared<P>>,
    target: &Arc<Target>,
    response: &ResponseHead,
    is_own: bool,
) where
    P: Platform,
{
    if response.is_leaving {
        let incarnation = Incarnation::from(target.as_ref());
        if record_leaving(shared, &incarnation, "own") {
            shared.exchange.tell(Topic::Leaving(incarnation));
        }
    }
    match response.pause {
        NamedPause::For(after) if is_own => record_retry_after(shared, target, after),
        NamedPause::Malformed => {
            LogEvent::RetryAfterUnreadable.log(&[("target", target.id.as_ref().into())]);
        }
        NamedPause::For(_) | NamedPause::None => {}
    }
}

/// Records that an incarnation leaves, as learned from `host`; returns whether that was unknown.
/// Requests that wait look for another target at once.
pub(super) fn record_leaving<P>(shared: &Shared<P>, incarnation: &Incarnation, host: &str) -> bool {
    let now = BootClock.now();
    let mut state = shared.state();
    if !state.placement.record_leaving(now, incarnation.clone()) {
        return false;
    }
    state.wake_queues();
    drop(state);
    let name = incarnation.to_string();
    shared.client.close_idle(|_, kept| kept == name);
    LogEvent::TargetLeaving.log(&[
        ("target", incarnation.target.as_ref().into()),
        ("started_at", incarnation.started_at.into()),
        ("host", host.into()),
    ]);
    true
}

/// Records that a refusal of `target` named a time for which it wants nothing. Requests that
/// wait look for another target at once, and for this one when it gets requests again.
fn record_retry_after<P>(shared: &Arc<Shared<P>>, target: &Arc<Target>, after: RetryAfter)
where
    P: Platform,
{
    let now = BootClock.now();
    let mut state = shared.state();
    let was_free = state.placement.may_send(now, target);
    let Some(steps) = state.placement.record_retry_after(now, target, after) else {
        return;
    };
    state.wake_queues();
    drop(state);
    if was_free && !after.get().is_zero() {
        LogEvent::TargetTurnedAway.log(&[
            ("target", target.id.as_ref().into()),
            ("started_at", target.started_at.into()),
            ("after_ms", millis(after.get())),
        ]);
    }
    tokio::spawn(wake_at(shared.clone(), target.clone(), steps));
}

/// Wakes the queue of the target's service at each of `steps`, at which more may be sent there.
async fn wake_at<P>(shared: Arc<Shared<P>>, target: Arc<Target>, steps: Vec<Moment>) {
    for (number, step) in steps.into_iter().enumerate() {
        sleep(step.since(BootClock.now())).await;
        let state = shared.state();
        let is_back = state.placement.may_send(BootClock.now(), &target);
        if let Some(queue) = state.queues.get(&target.service) {
            queue.wake_first();
        }
        drop(state);
        if number == 0 && is_back {
            LogEvent::TargetBack.log(&[
                ("target", target.id.as_ref().into()),
                ("started_at", target.started_at.into()),
            ]);
        }
    }
}
