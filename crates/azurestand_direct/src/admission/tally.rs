//! Recent requests of one priority at one entry.

use std::f64::consts::LN_2;
use std::time::Duration;

use azurestand_types::Moment;

/// The half-life of a count: long enough for some requests of each priority at each of many
/// entries, short enough that a burst is known within a second or two.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A count that decays.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Count {
    value: f64,
    updated: Option<Moment>,
}

impl Count {
    /// Counts one more.
    pub(super) fn add(&mut self, now: Moment) {
        self.value = self.at(now) + 1.0;
        self.updated = Some(now);
    }

    /// The count now.
    pub(super) fn at(&self, now: Moment) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let half_lives = now.since(updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }

    /// The rate per second at which a steady flow would keep this count.
    pub(super) fn rate(&self, now: Moment) -> f64 {
        self.at(now) * LN_2 / HALF_LIFE.as_secs_f64()
    }
}

/// The recent requests of one priority.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    /// Requests that arrived, returning ones included.
    pub(super) arrived: Count,
    /// Requests that were sent to a target.
    pub(super) placed: Count,
    /// Requests that were not placed when they arrived.
    pub(super) delayed: Count,
}
