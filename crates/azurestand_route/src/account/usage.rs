//! One account's bucket, flights and level at one entry.

use azurestand_types::Moment;

use super::demand::Level;
use super::{Allowance, HOLD};

#[derive(Debug, Clone)]
pub(super) struct Usage {
    allowance: Allowance,
    /// This entry's part from 0 to 1 since `filled`.
    part: f64,
    others: f64,
    tokens: f64,
    filled: Moment,
    flying: u32,
    used: Level,
    told: Level,
    raised: Moment,
    /// The most flights at once, and what was taken and refused, since the last adapting.
    peak: u32,
    taken: f64,
    refused: u32,
    adapted: Moment,
}

impl Usage {
    pub(super) fn new(now: Moment, allowance: Allowance, others: f64) -> Self {
        let used = Level::default();
        let part = used.weight() / (used.weight() + others);
        Self {
            allowance,
            part,
            others,
            tokens: (allowance.burst * part).max(1.0),
            filled: now,
            flying: 0,
            used,
            told: used,
            raised: now,
            peak: 0,
            taken: 0.0,
            refused: 0,
            adapted: now,
        }
    }

    pub(super) fn allowance(&self) -> Allowance {
        self.allowance
    }

    pub(super) fn used(&self) -> Level {
        self.used
    }

    pub(super) fn told(&self) -> Level {
        self.told
    }

    pub(super) fn flying(&self) -> u32 {
        self.flying
    }

    pub(super) fn is_raised(&self) -> bool {
        self.told > Level::default()
    }

    /// Fills the bucket at the old part, then goes on with the new one.
    pub(super) fn share(&mut self, now: Moment, allowance: Allowance, others: f64) {
        self.fill(now);
        self.allowance = allowance;
        self.others = others;
        self.divide();
    }

    fn fill(&mut self, now: Moment) {
        let earned = now.since(self.filled).as_secs_f64() * self.allowance.rate * self.part;
        self.filled = now;
        self.tokens = (self.tokens + earned).min(self.burst());
    }

    fn divide(&mut self) {
        self.part = self.used.weight() / (self.used.weight() + self.others);
        self.tokens = self.tokens.min(self.burst());
    }

    /// At least one, since an entry that could never serve an account would look broken to it.
    fn burst(&self) -> f64 {
        (self.allowance.burst * self.part).max(1.0)
    }

    fn concurrency(&self) -> f64 {
        (f64::from(self.allowance.concurrency) * self.part).max(1.0)
    }

    pub(super) fn take(&mut self) -> bool {
        if self.tokens < 1.0 || f64::from(self.flying) + 1.0 > self.concurrency() + 1e-9 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.taken += 1.0;
        self.flying += 1;
        self.peak = self.peak.max(self.flying);
        true
    }

    pub(super) fn release(&mut self) {
        self.flying = self.flying.saturating_sub(1);
    }

    /// Moves the level by one step towards what was used since the last time.
    pub(super) fn adapt(&mut self, now: Moment, may_rise: bool) {
        self.fill(now);
        if now.since(self.raised) >= HOLD {
            self.used = self.told;
        }
        let load = self.load(now);
        if (self.refused > 0 || load > 0.75) && may_rise && self.used == self.told {
            self.told = self.told.raise();
            self.raised = now;
        } else if load < 0.25 && self.refused == 0 {
            self.told = self.told.lower();
            self.used = self.used.min(self.told);
        }
        self.divide();
        self.peak = self.flying;
        self.taken = 0.0;
        self.refused = 0;
        self.adapted = now;
    }

    /// The used part of this entry's share, by rate or concurrency, whichever is nearer its end.
    fn load(&self, now: Moment) -> f64 {
        let span = now.since(self.adapted).as_secs_f64().max(1e-3);
        let rate = self.taken / (self.allowance.rate * self.part * span).max(1e-9);
        let flights = f64::from(self.peak) / self.concurrency();
        // One request in a while isn't load, however small the share.
        let rate = if self.taken > 1.0 { rate } else { 0.0 };
        let flights = if self.peak > 1 { flights } else { 0.0 };
        rate.max(flights)
    }

    /// Whether forgetting it changes nothing: nobody counts on it and a fresh bucket is as full.
    pub(super) fn is_idle(&self) -> bool {
        self.flying == 0 && self.told == Level::default() && self.tokens >= self.burst()
    }
}
