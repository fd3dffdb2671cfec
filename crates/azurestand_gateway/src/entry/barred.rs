//! Applies what targets say of themselves: that they leave.

use azurestand_direct::{Incarnation, Target};

use super::exchange::Topic;
use super::shared::Shared;
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::platform::ResponseHead;

/// Applies what an answer of `target` says, and tells other entries what is new.
pub(super) fn record_answer<P>(shared: &Shared<P>, target: &Target, response: &ResponseHead) {
    if !response.is_leaving {
        return;
    }
    let incarnation = Incarnation::from(target);
    if record_leaving(shared, &incarnation, "own") {
        shared.exchange.tell(Topic::Leaving(incarnation));
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

/// Whether a request that was placed on `target` may still be sent there.
pub(super) fn may_send<P>(shared: &Shared<P>, target: &Target) -> bool {
    shared.state().placement.may_send(target)
}
