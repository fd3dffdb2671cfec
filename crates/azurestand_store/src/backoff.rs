//! Delays between tries, spread so that clients don't come back together.

use std::time::Duration;

const GROWTH: u32 = 3;

/// The shortest and the longest delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffLimits {
    /// The least delay, and the first one's lower end.
    pub base: Duration,
    /// The most that a delay grows to.
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

/// Decorrelated jitter: each delay lies between the least one and three times
/// the one before, so that clients that failed together drift apart.
#[derive(Debug, Clone)]
pub struct Backoff {
    limits: BackoffLimits,
    last: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Starts at the least delay.
    pub fn new(limits: BackoffLimits, seed: u64) -> Self {
        Self {
            limits,
            last: limits.base,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The delay before the next try.
    pub fn delay(&mut self) -> Duration {
        let BackoffLimits { base, cap } = self.limits;
        let span = (self.last * GROWTH).saturating_sub(base);
        self.last = (base + span.mul_f64(self.rng.f64())).min(cap);
        // A capped delay is drawn again, or all clients would settle on the cap.
        if self.last == cap {
            self.last = base + cap.saturating_sub(base).mul_f64(self.rng.f64());
        }
        self.last
    }

    /// Starts again from the least delay, after a success.
    pub fn reset(&mut self) {
        self.last = self.limits.base;
    }
}
