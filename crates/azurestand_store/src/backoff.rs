//! Delays between retries, randomized so that clients don't retry together.

use std::time::Duration;

const GROWTH: u32 = 3;

/// The shortest and the longest delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffLimits {
    /// The minimum delay.
    pub base: Duration,
    /// The maximum delay.
    pub cap: Duration,
}

impl Default for BackoffLimits {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(100),
            cap: Duration::from_secs(5),
        }
    }
}

/// Decorrelated jitter: each delay lies between the minimum and three times the
/// previous delay, so that the retries of clients that failed together diverge.
#[derive(Debug, Clone)]
pub struct Backoff {
    limits: BackoffLimits,
    last: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff that starts at the minimum delay.
    pub fn new(limits: BackoffLimits, seed: u64) -> Self {
        Self {
            limits,
            last: limits.base,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the delay before the next retry.
    pub fn delay(&mut self) -> Duration {
        let BackoffLimits { base, cap } = self.limits;
        let span = (self.last * GROWTH).saturating_sub(base);
        self.last = (base + span.mul_f64(self.rng.f64())).min(cap);
        // A capped delay is drawn again; otherwise all clients would end up at the cap.
        if self.last == cap {
            self.last = base + cap.saturating_sub(base).mul_f64(self.rng.f64());
        }
        self.last
    }

    /// Resets to the minimum delay, after a success.
    pub fn reset(&mut self) {
        self.last = self.limits.base;
    }
}
