//! How late the first byte of a request may be expected, and how long it may wait for a
//! target.
//!
//! Where requests are queued, there are more than targets can take. Kinds of requests with a
//! long latency target would then fill the targets up to it, and leave nothing to kinds with
//! a short one. So all kinds get the same limit, by the shortest latency target among them,
//! and a lower one, since each further request delays those that were sent before.

use std::time::Duration;

/// The part of the latency target within which the first byte must be expected.
const FIRST_BYTE_SHARE: f64 = 0.9;
/// The part of the shortest latency target of all queued requests within which the first
/// byte must be expected while there are any.
const SHARED_SHARE: f64 = 0.8;
/// The part of the latency target that a request may spend in the queue.
const WAIT_SHARE: f64 = 0.45;
/// The lower bound for the limit of the expected time to the first byte.
const MIN_LIMIT: Duration = Duration::from_millis(60);

/// The longest predicted time to the first byte with which a request may be sent that has
/// `waited` so far, where `shortest` is the shortest latency target of the queued requests.
pub fn first_byte_limit(
    latency_target: Duration,
    waited: Duration,
    shortest: Option<Duration>,
) -> Duration {
    let own = latency_target.mul_f64(FIRST_BYTE_SHARE);
    let shared = shortest.map(|shortest| shortest.min(latency_target).mul_f64(SHARED_SHARE));
    let limit = shared.map_or(own, |shared| shared.min(own));
    limit.saturating_sub(waited).max(MIN_LIMIT)
}

/// How long a request may wait for a target in all.
pub fn max_wait(latency_target: Duration) -> Duration {
    latency_target.mul_f64(WAIT_SHARE)
}
