//! The request rate that a target names as the most it takes from all entries together.
//!
//! A limit is in force until an answer of the same incarnation names none: a target with a
//! limit always gets some requests, whose answers tell its end.

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;
use quick_error::quick_error;

quick_error! {
    /// Why a number is no rate.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RateError {
        /// It is negative or not a number.
        Invalid {
            display("a rate limit is negative or not a number; mend the target that names it")
        }
    }
}

/// Requests per second, from all entries together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
pub struct RateLimit(f64);

impl RateLimit {
    /// The requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, RateError> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(RateError::Invalid)
        }
    }
}

/// What an entry knows of the rate limit of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct NamedLimit {
    limit: Option<RateLimit>,
    /// When the answer that told so arrived, at whichever entry.
    observed_at: Option<Moment>,
    /// When this entry learned of the last change.
    changed_at: Option<Moment>,
}

impl NamedLimit {
    /// The limit in force.
    pub(crate) fn get(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records what an answer told that arrived at `observed_at`, unless a later one is known;
    /// returns whether the limit changed.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        observed_at: Moment,
        limit: Option<RateLimit>,
    ) -> bool {
        if self.observed_at.is_some_and(|known| known > observed_at) {
            return false;
        }
        self.observed_at = Some(observed_at);
        let has_changed = self.limit != limit;
        if has_changed {
            self.limit = limit;
            self.changed_at = Some(now);
        }
        has_changed
    }

    /// When the last answer arrived; none before the first one.
    pub(crate) fn observed_at(&self) -> Option<Moment> {
        self.observed_at
    }

    /// Whether this entry has learned of a change within the last `age`.
    pub(crate) fn has_changed(&self, now: Moment, age: Duration) -> bool {
        self.changed_at.is_some_and(|at| now.since(at) < age)
    }
}

/// What an entry tells others of a target's rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitNotice {
    /// The target.
    pub target: Arc<str>,
    /// Its incarnation.
    pub started_at: u64,
    /// The limit; none if it names none any more.
    pub limit: Option<RateLimit>,
    /// When the answer that told so arrived.
    pub observed_at: Moment,
}
