//! Withdraws requests that have not begun when the weights of their target expire.
//!
//! An entry stops sending to older weights some time before their bound, but a request may
//! wait at its target for longer than predicted. Closing its connection cancels it there.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;
use tokio::time::sleep;

use super::shared::Shared;
use crate::clock::BootClock;

/// How long before the bound a request is withdrawn. The target has to notice in time that
/// the connection was reset, also behind a link whose queue is full.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(500);
/// The longest time between two checks. The bound may change meanwhile, and the runtime's
/// timers stop while the machine is suspended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Completes when a request that waits at a target with this version of the model's weights
/// has to be withdrawn.
pub(crate) async fn until_expired<P>(shared: Arc<Shared<P>>, model: Arc<str>, version: u64) {
    loop {
        let until = shared.useful_until(&model, version);
        match time_to_check(BootClock.now(), until) {
            Some(time) => sleep(time).await,
            None => return,
        }
    }
}

/// The time until the next check of a request that may begin before `until`, or at any time
/// if that is none; none if the request has to be withdrawn now.
fn time_to_check(now: Moment, until: Option<Moment>) -> Option<Duration> {
    let Some(until) = until else {
        return Some(CHECK_INTERVAL);
    };
    let left = (until - WITHDRAWAL_MARGIN).since(now);
    (!left.is_zero()).then(|| left.min(CHECK_INTERVAL))
}
