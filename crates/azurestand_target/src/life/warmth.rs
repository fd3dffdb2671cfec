//! How much a target measurably bears.

use std::time::Duration;

use super::LifeSettings;

const PERCENT: u32 = 100;

/// What an observation means for the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing changes.
    Same,
    /// The limit grew but isn't full.
    Grew,
    /// The limit is full.
    Full,
    /// The target counts as cold again.
    Chilled,
}

/// The concurrency limit and the evidence for raising it.
///
/// The limit grows after as many good answers as it has places, and only
/// answers given while at least half of the places were taken count: an idle
/// target proves nothing about a full one.
#[derive(Debug, Clone)]
pub(crate) struct Warmth {
    floor: u32,
    full: u32,
    growth: u32,
    good_token: Duration,
    slow_token: Duration,
    max_failures: u32,
    limit: u32,
    good: u32,
    failures: u32,
    waiting: u32,
}

impl Warmth {
    pub(crate) fn new(settings: &LifeSettings) -> Self {
        let full = settings.warm_limit.max(1);
        let floor = settings.cold_limit.clamp(1, full);
        Self {
            floor,
            full,
            growth: settings.growth,
            good_token: settings.good_token,
            slow_token: settings.slow_token,
            max_failures: settings.max_failures.max(1),
            limit: floor,
            good: 0,
            failures: 0,
            waiting: 0,
        }
    }

    /// Takes other bounds over; what was shown so far counts on within them.
    pub(crate) fn configure(&mut self, settings: &LifeSettings) {
        let Self {
            limit,
            good,
            failures,
            waiting,
            ..
        } = *self;
        let fresh = Self::new(settings);
        *self = Self {
            limit: limit.clamp(fresh.floor, fresh.full),
            good,
            failures,
            waiting,
            ..fresh
        };
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Goes back to the limit of a cold target.
    pub(crate) fn chill(&mut self) {
        self.limit = self.floor;
        self.good = 0;
        self.failures = 0;
    }

    pub(crate) fn first_token(&mut self, latency: Duration, running: u32) -> Change {
        if latency >= self.slow_token {
            self.chill();
            return Change::Chilled;
        }
        if latency > self.good_token || self.waiting > 0 {
            self.good = 0;
            return Change::Same;
        }
        self.failures = 0;
        if running.saturating_mul(2) < self.limit {
            return Change::Same;
        }
        self.good += 1;
        if self.good < self.limit {
            return Change::Same;
        }
        self.grow()
    }

    /// Counts a failed request; some in a row make the target cold.
    pub(crate) fn failed(&mut self) -> Change {
        self.good = 0;
        self.failures += 1;
        if self.failures < self.max_failures {
            return Change::Same;
        }
        self.chill();
        Change::Chilled
    }

    /// Notes the engine's own queue: while it has one, the limit doesn't grow.
    pub(crate) fn reported(&mut self, waiting: u32) {
        self.waiting = waiting;
        if waiting > 0 {
            self.good = 0;
        }
    }

    fn grow(&mut self) -> Change {
        self.good = 0;
        let step = (self.limit.saturating_mul(self.growth) / PERCENT).max(1);
        self.limit = self.limit.saturating_add(step).min(self.full);
        if self.limit == self.full {
            Change::Full
        } else {
            Change::Grew
        }
    }
}
