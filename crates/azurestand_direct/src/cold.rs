//! One entry's share of the request rate that a cold target can take.

use std::sync::Arc;

use azurestand_types::{Moment, rendezvous};

/// How far all entries together may exceed a cold target's rate in any second, as a share
/// of that rate.
const EXCESS_SHARE: f64 = 0.5;
/// Sends by which all entries together may exceed it besides; the bound allows five.
const EXCESS_SENDS: f64 = 3.0;
/// The maximum burst of one entry.
const MAX_BURST: f64 = 2.0;

/// The entries among which a cold target's rate is divided.
///
/// Where an even share would be less than a single send, only some of the entries send
/// to a cold target. Rendezvous hashing of the names selects them.
#[derive(Debug, Clone, Default)]
pub struct ColdShare {
    own: Arc<str>,
    entries: Vec<Arc<str>>,
}

/// What one entry may send to one cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Sends per second.
    pub rate: f64,
    /// The maximum number of unused sends that are kept, which is the burst.
    pub burst: f64,
}

impl ColdShare {
    /// The share of the entry `own` among `entries`; without entries, nothing may be sent to
    /// cold targets yet.
    pub fn new(own: Arc<str>, entries: Vec<Arc<str>>) -> Self {
        Self { own, entries }
    }

    /// The limit of this entry for the cold target `id`, which can take `rate` requests
    /// per second; none when only other entries send there.
    pub fn limit(&self, id: &str, rate: f64) -> Option<ColdLimit> {
        let excess = rate * EXCESS_SHARE + EXCESS_SENDS;
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
        Some(ColdLimit {
            rate: rate / senders.max(1.0),
            burst: even_share.clamp(1.0, MAX_BURST),
        })
    }
}

/// A token bucket over one entry's sends to one cold target.
#[derive(Debug, Clone, Copy)]
pub struct ColdBucket {
    tokens: f64,
    updated: Moment,
}

impl ColdBucket {
    /// A bucket with one token.
    pub fn new(now: Moment) -> Self {
        Self {
            tokens: 1.0,
            updated: now,
        }
    }

    /// Whether `limit` allows a send at `now`.
    pub fn allows(&self, now: Moment, limit: ColdLimit) -> bool {
        self.tokens_at(now, limit) >= 1.0
    }

    /// Takes the token of one send.
    pub fn spend(&mut self, now: Moment, limit: ColdLimit) {
        self.tokens = self.tokens_at(now, limit) - 1.0;
        self.updated = now;
    }

    fn tokens_at(&self, now: Moment, limit: ColdLimit) -> f64 {
        let refilled = now.since(self.updated).as_secs_f64() * limit.rate;
        (self.tokens + refilled).min(limit.burst)
    }
}
