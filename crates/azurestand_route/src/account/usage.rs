//! The token bucket, requests in flight and level of one account at one entry.

use azurestand_types::Moment;

use super::demand::Level;
use super::{Allowance, RAISE_DELAY};

#[derive(Debug, Clone)]
pub(super) struct Usage {
    allowance: Allowance,
    /// This entry's share of the allowance, from 0 to 1, since `filled_at`.
    share: f64,
    other_weight: f64,
    tokens: f64,
    filled_at: Moment,
    in_flight: u32,
    effective: Level,
    announced: Level,
    raised_at: Moment,
    /// The most requests in flight at once since `adapted_at`; `admitted` and `refused`
    /// count since then too.
    peak: u32,
    admitted: f64,
    refused: u32,
    adapted_at: Moment,
}

impl Usage {
    pub(super) fn new(now: Moment, allowance: Allowance, other_weight: f64) -> Self {
        let effective = Level::default();
        let share = effective.weight() / (effective.weight() + other_weight);
        Self {
            allowance,
            share,
            other_weight,
            tokens: (allowance.burst * share).max(1.0),
            filled_at: now,
            in_flight: 0,
            effective,
            announced: effective,
            raised_at: now,
            peak: 0,
            admitted: 0.0,
            refused: 0,
            adapted_at: now,
        }
    }

    pub(super) fn allowance(&self) -> Allowance {
        self.allowance
    }

    pub(super) fn effective(&self) -> Level {
        self.effective
    }

    pub(super) fn announced(&self) -> Level {
        self.announced
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn is_raised(&self) -> bool {
        self.announced > Level::default()
    }

    /// Refills the bucket at the old share, then applies the new one.
    pub(super) fn set_share(&mut self, now: Moment, allowance: Allowance, other_weight: f64) {
        self.fill(now);
        self.allowance = allowance;
        self.other_weight = other_weight;
        self.update_share();
    }

    fn fill(&mut self, now: Moment) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.allowance.rate * self.share;
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(self.burst());
    }

    fn update_share(&mut self) {
        self.share = self.effective.weight() / (self.effective.weight() + self.other_weight);
        self.tokens = self.tokens.min(self.burst());
    }

    /// At least 1, since otherwise an entry with a small share could never serve the
    /// account.
    fn burst(&self) -> f64 {
        (self.allowance.burst * self.share).max(1.0)
    }

    fn concurrency(&self) -> f64 {
        (f64::from(self.allowance.concurrency) * self.share).max(1.0)
    }

    pub(super) fn try_admit(&mut self) -> bool {
        if self.tokens < 1.0 || f64::from(self.in_flight) + 1.0 > self.concurrency() + 1e-9 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.admitted += 1.0;
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
        true
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Moves the level one step towards the usage since the last call.
    pub(super) fn adapt(&mut self, now: Moment, may_raise: bool) {
        self.fill(now);
        if now.since(self.raised_at) >= RAISE_DELAY {
            self.effective = self.announced;
        }
        let load = self.load(now);
        if (self.refused > 0 || load > 0.75) && may_raise && self.effective == self.announced {
            self.announced = self.announced.raise();
            self.raised_at = now;
        } else if load < 0.25 && self.refused == 0 {
            self.announced = self.announced.lower();
            self.effective = self.effective.min(self.announced);
        }
        self.update_share();
        self.peak = self.in_flight;
        self.admitted = 0.0;
        self.refused = 0;
        self.adapted_at = now;
    }

    /// The used fraction of this entry's share, by rate or by concurrency, whichever is
    /// higher.
    fn load(&self, now: Moment) -> f64 {
        let span = now.since(self.adapted_at).as_secs_f64().max(1e-3);
        let rate = self.admitted / (self.allowance.rate * self.share * span).max(1e-9);
        let concurrency = f64::from(self.peak) / self.concurrency();
        // A single request isn't load, however small the share.
        let rate = if self.admitted > 1.0 { rate } else { 0.0 };
        let concurrency = if self.peak > 1 { concurrency } else { 0.0 };
        rate.max(concurrency)
    }

    /// Whether it equals a new one: nothing in flight, level 0 and a full bucket.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.announced == Level::default() && self.tokens >= self.burst()
    }
}
