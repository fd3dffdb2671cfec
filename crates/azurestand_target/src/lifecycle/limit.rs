//! The concurrency limit of a target, derived from its measured performance.

use std::time::Duration;

use super::LifecycleSettings;

const PERCENT: u32 = 100;

/// The effect of an observation on the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// The limit stays as it is.
    Unchanged,
    /// The limit was raised but is below its maximum.
    Raised,
    /// The limit has reached its maximum.
    Maximum,
    /// The limit was reset: the target counts as cold again.
    Reset,
}

/// The concurrency limit and the evidence for raising it.
///
/// The limit is raised after as many good answers as the current limit. Only
/// answers given while at least half of the limit was in use count, because an
/// idle target shows nothing about its behaviour under load.
#[derive(Debug, Clone)]
pub(crate) struct ConcurrencyLimit {
    min: u32,
    max: u32,
    growth: u32,
    good_token: Duration,
    slow_token: Duration,
    max_failures: u32,
    limit: u32,
    good: u32,
    failures: u32,
    waiting: u32,
}

impl ConcurrencyLimit {
    pub(crate) fn new(settings: &LifecycleSettings) -> Self {
        let max = settings.warm_limit.max(1);
        let min = settings.cold_limit.clamp(1, max);
        Self {
            min,
            max,
            growth: settings.growth,
            good_token: settings.good_token,
            slow_token: settings.slow_token,
            max_failures: settings.max_failures.max(1),
            limit: min,
            good: 0,
            failures: 0,
            waiting: 0,
        }
    }

    /// Applies other settings; the limit and the evidence so far are kept
    /// within the new bounds.
    pub(crate) fn configure(&mut self, settings: &LifecycleSettings) {
        let Self {
            limit,
            good,
            failures,
            waiting,
            ..
        } = *self;
        let configured = Self::new(settings);
        *self = Self {
            limit: limit.clamp(configured.min, configured.max),
            good,
            failures,
            waiting,
            ..configured
        };
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Resets the limit to that of a cold target.
    pub(crate) fn reset(&mut self) {
        self.limit = self.min;
        self.good = 0;
        self.failures = 0;
    }

    pub(crate) fn record_answer(&mut self, latency: Duration, running: u32) -> Change {
        if latency >= self.slow_token {
            self.reset();
            return Change::Reset;
        }
        if latency > self.good_token || self.waiting > 0 {
            self.good = 0;
            return Change::Unchanged;
        }
        self.failures = 0;
        if running.saturating_mul(2) < self.limit {
            return Change::Unchanged;
        }
        self.good += 1;
        if self.good < self.limit {
            return Change::Unchanged;
        }
        self.raise()
    }

    /// Counts a failed request; `max_failures` consecutive ones reset the
    /// limit.
    pub(crate) fn record_failure(&mut self) -> Change {
        self.good = 0;
        self.failures += 1;
        if self.failures < self.max_failures {
            return Change::Unchanged;
        }
        self.reset();
        Change::Reset
    }

    /// Records the length of the engine's own queue; the limit isn't raised
    /// while requests wait there.
    pub(crate) fn record_queue(&mut self, waiting: u32) {
        self.waiting = waiting;
        if waiting > 0 {
            self.good = 0;
        }
    }

    fn raise(&mut self) -> Change {
        self.good = 0;
        let step = (self.limit.saturating_mul(self.growth) / PERCENT).max(1);
        self.limit = self.limit.saturating_add(step).min(self.max);
        if self.limit == self.max {
            Change::Maximum
        } else {
            Change::Raised
        }
    }
}
