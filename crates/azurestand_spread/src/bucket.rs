//! Token buckets that keep transfers under their share of a link.

use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;

/// A rate in bytes a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0} B/s")]
pub struct Rate(pub u64);

impl Rate {
    /// The rate of `megabits` Mbit/s.
    pub const fn from_megabits(megabits: u64) -> Self {
        Self(megabits * 125_000)
    }

    /// What is left after `used`.
    #[must_use]
    pub const fn less(self, used: Self) -> Self {
        Self(self.0.saturating_sub(used.0))
    }

    /// This rate's part of `percent` in a hundred.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// One of `parts` equal parts.
    #[must_use]
    pub fn split(self, parts: usize) -> Self {
        Self(self.0 / (parts.max(1) as u64))
    }

    /// How long `bytes` take at this rate; at least a byte a second is assumed.
    pub fn time(self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.0.max(1))
    }
}

/// A token bucket whose tokens are bytes.
///
/// It may go into debt by one take, so a chunk larger than the burst passes
/// too and is paid for afterwards.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    burst: i64,
    tokens: i64,
    rest: u64,
    filled: Moment,
}

impl Bucket {
    /// A full bucket that refills at `rate` and saves up at most `burst` bytes.
    pub fn new(rate: Rate, burst: u64, now: Moment) -> Self {
        let burst = i64::try_from(burst).unwrap_or(i64::MAX);
        Self {
            rate,
            burst,
            tokens: burst,
            rest: 0,
            filled: now,
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: Rate, now: Moment) {
        self.fill(now);
        self.rate = rate;
    }

    /// Changes how many bytes can be saved up.
    pub fn set_burst(&mut self, burst: u64) {
        self.burst = i64::try_from(burst).unwrap_or(i64::MAX);
    }

    /// The rate that the bucket refills at.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Whether a take would pass now.
    pub fn ready(&mut self, now: Moment) -> bool {
        self.fill(now);
        self.rate > Rate(0) && self.tokens >= 0
    }

    /// Takes `bytes` if no earlier take is still being paid for.
    pub fn take(&mut self, bytes: u64, now: Moment) -> bool {
        let ready = self.ready(now);
        if ready {
            self.tokens -= i64::try_from(bytes).unwrap_or(i64::MAX);
        }
        ready
    }

    /// Gives back `bytes` of a take that was not used.
    pub fn refund(&mut self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(bytes).min(self.burst);
    }

    fn fill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let earned = self.rate.0.saturating_mul(micros).saturating_add(self.rest);
        self.rest = earned % 1_000_000;
        let earned = i64::try_from(earned / 1_000_000).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(earned).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
