//! One entry's share of the request rate that a target can take from all entries together.

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

use crate::limit::RateLimit;

/// The maximum burst of one entry.
const MAX_BURST: f64 = 2.0;

/// What all entries together may send to one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendBound {
    /// Sends per second, on average.
    rate: f64,
    /// Sends of all entries that may come at once, beyond that rate.
    excess: f64,
}

impl SendBound {
    /// How far all entries together may exceed a cold target's rate in any second, as a share
    /// of that rate.
    const COLD_EXCESS_SHARE: f64 = 0.5;
    /// Sends by which all entries together may exceed it besides; the bound allows five.
    const COLD_EXCESS_SENDS: f64 = 3.0;
    /// How far all entries together may exceed a named rate at once, in seconds of that rate.
    /// The bound allows two; the rest is for changes in who sends.
    const NAMED_EXCESS_S: f64 = 1.0;
    /// Sends by which all entries together may exceed it besides; the bound allows five.
    const NAMED_EXCESS_SENDS: f64 = 3.0;
    /// The least rate, in sends per second: only an answer tells that a limit has ended.
    const MIN_NAMED_RATE: f64 = 0.25;

    /// The bound of a cold target that can take `rate` requests per second.
    pub fn cold(rate: f64) -> Self {
        Self {
            rate,
            excess: rate * Self::COLD_EXCESS_SHARE + Self::COLD_EXCESS_SENDS,
        }
    }

    /// The bound of a target that names a rate limit.
    pub fn named(limit: RateLimit) -> Self {
        let rate = limit.per_second().max(Self::MIN_NAMED_RATE);
        Self {
            rate,
            excess: rate * Self::NAMED_EXCESS_S + Self::NAMED_EXCESS_SENDS,
        }
    }
}

/// The entries among which a target's rate is divided.
///
/// Where an even share would be less than a single send, only some of the entries send to
/// the target. Rendezvous hashing of the names selects them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SendShare {
    own: Arc<str>,
    entries: Vec<Arc<str>>,
}

/// What one entry may send to one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendLimit {
    /// Sends per second.
    pub rate: f64,
    /// The maximum number of unused sends that are kept, which is the burst.
    pub burst: f64,
}

impl SendShare {
    /// The share of the entry `own` among `entries`; without entries, nothing may be sent to
    /// targets with a bound yet.
    pub fn new(own: Arc<str>, entries: Vec<Arc<str>>) -> Self {
        Self { own, entries }
    }

    /// This entry's place among those that may send to the target `id`; none if this entry is
    /// none of them yet.
    pub fn place(&self, id: &str) -> Option<SendPlace> {
        if !self.entries.contains(&self.own) {
            return None;
        }
        let own_score = rendezvous::score(id.as_bytes(), &self.own);
        let preceding = self.entries.iter().filter(|entry| **entry != self.own);
        let preceding =
            preceding.filter(|entry| rendezvous::score(id.as_bytes(), entry) > own_score);
        Some(SendPlace {
            rank: to_f64(preceding.count()),
            count: to_f64(self.entries.len()),
        })
    }
}

/// The place of one entry in the order of those that may send to one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendPlace {
    /// The number of entries before it.
    rank: f64,
    /// The number of all entries.
    count: f64,
}

impl SendPlace {
    /// What the entry may send to a target with `bound`; none when only others send there.
    pub fn limit(self, bound: SendBound) -> Option<SendLimit> {
        let SendBound { rate, excess } = bound;
        if self.rank + 1.0 > excess {
            return None;
        }
        let senders = self.count.min(excess.floor());
        Some(SendLimit {
            rate: rate / senders.max(1.0),
            burst: (excess / self.count).clamp(1.0, MAX_BURST),
        })
    }
}

/// Converts a number of entries, which no precision is lost of.
fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// A token bucket over one entry's sends to one target.
#[derive(Debug, Clone, Copy)]
pub struct SendBucket {
    tokens: f64,
    updated: Moment,
}

impl SendBucket {
    /// A bucket with one token.
    pub fn new(now: Moment) -> Self {
        Self {
            tokens: 1.0,
            updated: now,
        }
    }

    /// Whether `limit` allows a send at `now`.
    pub fn allows(&self, now: Moment, limit: SendLimit) -> bool {
        self.tokens_at(now, limit) >= 1.0
    }

    /// How long until `limit` allows a send.
    pub fn wait(&self, now: Moment, limit: SendLimit) -> Duration {
        let missing = (1.0 - self.tokens_at(now, limit)).max(0.0);
        Duration::try_from_secs_f64(missing / limit.rate).unwrap_or(Duration::MAX)
    }

    /// Takes the token of one send.
    pub fn spend(&mut self, now: Moment, limit: SendLimit) {
        self.tokens = self.tokens_at(now, limit) - 1.0;
        self.updated = now;
    }

    fn tokens_at(&self, now: Moment, limit: SendLimit) -> f64 {
        let refilled = now.since(self.updated).as_secs_f64() * limit.rate;
        (self.tokens + refilled).min(limit.burst)
    }
}
