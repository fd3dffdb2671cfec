//! How late the first byte of a request may be expected, and how long it may wait for a
//! target.
//!
//! Where requests are queued, there are more than targets can take. Kinds of requests with a
//! long latency target would then fill the targets up to it, and leave nothing to kinds with
//! a short one. So all kinds get the same limit, by the shortest latency target among them,
//! and a lower one, since each further request delays those that were sent before. A long
//! prompt gets its own reading time in addition, which no other target would spare it.

use std::time::Duration;

/// The part of the latency target within which the first byte must be expected.
pub(crate) const FIRST_BYTE_SHARE: f64 = 0.9;
/// The part of the shortest latency target of all queued requests within which the first
/// byte must be expected while there are any.
const SHARED_SHARE: f64 = 0.8;
/// The part of the latency target that a request may spend in the queue.
const WAIT_SHARE: f64 = 0.45;
/// The lower bound for the limit of the expected time to the first byte.
const MIN_LIMIT: Duration = Duration::from_millis(60);

/// Callers leave a stream that sends nothing for this long, if its targets are short.
const MIN_GAP: Duration = Duration::from_secs(2);
/// They stay for this many times the latency target.
const LATENCY_FACTOR: u32 = 4;
/// They stay for this many times the longest pause between events.
const PAUSE_FACTOR: u32 = 8;
/// How long before that a silent stream is ended, so that its target isn't left at work for a
/// caller that is gone.
const GAP_MARGIN: Duration = Duration::from_millis(250);

/// How long a stream may send nothing before it is of no use to wait any longer, since its
/// caller is about to leave.
pub fn longest_gap(latency_target: Duration, gap_target: Duration) -> Duration {
    let gap = (latency_target * LATENCY_FACTOR).max(gap_target * PAUSE_FACTOR);
    gap.max(MIN_GAP).saturating_sub(GAP_MARGIN)
}

/// What decides how late the first byte of a request may be expected.
#[derive(Debug, Clone, Copy)]
pub struct Lateness {
    /// The latency target of its route.
    pub latency_target: Duration,
    /// How long it has waited so far.
    pub waited: Duration,
    /// How much longer an idle target takes for it than for a mean request.
    pub excess: Duration,
    /// The shortest latency target of the queued requests; none if none is queued.
    pub shortest: Option<Duration>,
}

impl Lateness {
    /// The longest predicted time to the first byte with which the request may be sent now.
    pub fn limit(self) -> Duration {
        let own = self.latency_target.mul_f64(FIRST_BYTE_SHARE);
        let shared = self.shortest.map(|shortest| {
            let shortest = shortest.min(self.latency_target);
            shortest.mul_f64(SHARED_SHARE) + self.excess
        });
        let limit = shared.map_or(own, |shared| shared.min(own));
        limit.saturating_sub(self.waited).max(MIN_LIMIT)
    }
}

/// How long a request may wait for a target in all.
pub fn max_wait(latency_target: Duration) -> Duration {
    latency_target.mul_f64(WAIT_SHARE)
}
