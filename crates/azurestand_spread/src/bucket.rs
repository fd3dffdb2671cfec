//! Token buckets that limit transfers to their share of a link.

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

    /// The rate that remains after `used`, at least 0.
    #[must_use]
    pub const fn saturating_sub(self, used: Self) -> Self {
        Self(self.0.saturating_sub(used.0))
    }

    /// `percent` hundredths of this rate.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// One of `parts` equal parts.
    #[must_use]
    pub fn divide(self, parts: usize) -> Self {
        Self(self.0 / (parts.max(1) as u64))
    }

    /// The time that `bytes` take at this rate; a rate of 0 counts as 1 byte a second.
    pub fn duration_of(self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.0.max(1))
    }
}

/// A token bucket whose tokens are bytes.
///
/// One take may put it into debt, so a chunk larger than the burst passes too and is
/// paid off afterwards.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    burst: i64,
    tokens: i64,
    remainder: u64,
    filled_at: Moment,
}

impl Bucket {
    /// A full bucket that refills at `rate` and saves up at most `burst` bytes.
    pub fn new(rate: Rate, burst: u64, now: Moment) -> Self {
        let burst = i64::try_from(burst).unwrap_or(i64::MAX);
        Self {
            rate,
            burst,
            tokens: burst,
            remainder: 0,
            filled_at: now,
        }
    }

    /// Changes the rate from `now` on; earlier tokens are earned at the old rate.
    pub fn set_rate(&mut self, rate: Rate, now: Moment) {
        self.refill(now);
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

    /// Whether a take would succeed now.
    pub fn is_ready(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.rate > Rate(0) && self.tokens >= 0
    }

    /// Takes `bytes`, unless an earlier take is still being paid off.
    pub fn take(&mut self, bytes: u64, now: Moment) -> bool {
        let ready = self.is_ready(now);
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

    fn refill(&mut self, now: Moment) {
        let micros = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let earned = self
            .rate
            .0
            .saturating_mul(micros)
            .saturating_add(self.remainder);
        self.remainder = earned % 1_000_000;
        let earned = i64::try_from(earned / 1_000_000).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(earned).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
