//! Rate limits for log lines by class, so that the volume of the log stays
//! bounded at any request rate.

#[cfg(test)]
mod tests;

use std::time::Duration;

use azurestand_types::Moment;

/// The class of an event, which determines its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Class {
    /// Changes of what the process knows and of its own state; always written.
    #[display("state")]
    State,
    /// Failures of a request or of a source of weights.
    #[display("failure")]
    Failure,
    /// Events of normal operation.
    #[display("routine")]
    Routine,
}

/// Failure lines per second.
const FAILURES_PER_S: f64 = 200.0;
/// Routine lines per second.
const ROUTINE_PER_S: f64 = 100.0;
/// The size of a burst, as the time in which the rate yields as many lines.
const BURST: Duration = Duration::from_secs(2);

/// A token bucket: one token for each line that may be written.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    updated: Option<Moment>,
}

impl TokenBucket {
    const fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: 0.0,
            updated: None,
        }
    }

    fn take(&mut self, now: Moment) -> bool {
        let capacity = self.rate * BURST.as_secs_f64();
        let refilled = self.updated.map_or(capacity, |at| {
            self.tokens + now.since(at).as_secs_f64() * self.rate
        });
        self.tokens = refilled.min(capacity);
        self.updated = Some(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The rate limits of all classes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LineBudget {
    failures: TokenBucket,
    routine: TokenBucket,
}

impl LineBudget {
    pub(crate) const fn new() -> Self {
        Self {
            failures: TokenBucket::new(FAILURES_PER_S),
            routine: TokenBucket::new(ROUTINE_PER_S),
        }
    }

    /// Whether a line of this class may be written now; uses up a token if so.
    pub(crate) fn take(&mut self, now: Moment, class: Class) -> bool {
        match class {
            Class::State => true,
            Class::Failure => self.failures.take(now),
            Class::Routine => self.routine.take(now),
        }
    }
}
