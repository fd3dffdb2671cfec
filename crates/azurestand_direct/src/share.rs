//! One entry's share of the request rate that a target can take from all entries together.

use std::sync::Arc;

use azurestand_types::{Moment, rendezvous};

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

    /// The bound of a cold target that can take `rate` requests per second.
    pub fn cold(rate: f64) -> Self {
        Self {
            rate,
            excess: rate * Self::COLD_EXCESS_SHARE + Self::COLD_EXCESS_SENDS,
        }
    }
}

/// The entries among which a target's rate is divided.
///
/// Where an even share would be less than a single send, only some of the entries send to
/// the target. Rendezvous hashing of the names selects them.
#[derive(Debug, Clone, Default)]
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

    /// The limit of this entry for the target `id` with `bound`; none when only other entries
    /// send there.
    pub fn limit(&self, id: &str, bound: SendBound) -> Option<SendLimit> {
        let SendBound { rate, excess } = bound;
        let count = self.entries.len();
        let even_share = excess / f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
        let own_score = rendezvous::score(id.as_bytes(), &self.own);
        let preceding = self.entries.iter().filter(|entry| **entry != self.own);
        let preceding =
            preceding.filter(|entry| rendezvous::score(id.as_bytes(), entry) > own_score);
        let rank = u32::try_from(preceding.count()).unwrap_or(u32::MAX);
        if !self.entries.contains(&self.own) || f64::from(rank) + 1.0 > excess {
            return None;
        }
        let senders = f64::from(u32::try_from(count).unwrap_or(u32::MAX)).min(excess.floor());
        Some(SendLimit {
            rate: rate / senders.max(1.0),
            burst: even_share.clamp(1.0, MAX_BURST),
        })
    }
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
