//! The time for which a target wants no requests, as its refusals name it.
//!
//! Nothing is sent until the time has passed. Afterwards each entry begins with one request and
//! doubles their number in steps, at a moment of its own, since many entries may have been
//! refused at once and have requests waiting.

use std::time::Duration;

use azurestand_types::Moment;
use quick_error::quick_error;

/// The longest time for which one refusal keeps requests away; longer ones count as this one.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// The longest time by which an entry begins later than others, so that not all begin at once.
const MAX_SPREAD: Duration = Duration::from_millis(400);
/// The part of the named time by which it does at most.
const SPREAD_SHARE: f64 = 0.25;
/// How long each step of the return takes.
const STEP_TIME: Duration = Duration::from_millis(250);
/// The steps; after them the target is an ordinary one.
const STEPS: u32 = 4;

quick_error! {
    /// Why a number names no time.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RetryAfterError {
        /// It is negative or not a number.
        Invalid {
            display("a Retry-After is no number of seconds; mend the target that names it")
        }
    }
}

/// How long a target wants no requests; at most a minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfter(Duration);

impl RetryAfter {
    /// The time.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for RetryAfter {
    type Error = RetryAfterError;

    fn try_from(seconds: f64) -> Result<Self, RetryAfterError> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(RetryAfterError::Invalid);
        }
        let bounded = seconds.min(MAX_RETRY_AFTER.as_secs_f64());
        Ok(Self(Duration::from_secs_f64(bounded)))
    }
}

/// The return to a target that has named such a time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Comeback {
    /// When this entry sends again; not before the named time ends.
    begins_at: Moment,
    /// The requests that it has sent since.
    sends: u32,
}

impl Comeback {
    /// The return after a refusal at `now`; `spread`, from 0 to 1, is this entry's place among
    /// those that were refused.
    pub(crate) fn new(now: Moment, after: RetryAfter, spread: f64) -> Self {
        let longest = after.get().mul_f64(SPREAD_SHARE).min(MAX_SPREAD);
        Self {
            begins_at: now + after.get() + longest.mul_f64(spread.clamp(0.0, 1.0)),
            sends: 0,
        }
    }

    /// Whether it begins later than `other`.
    pub(crate) fn is_later_than(&self, other: &Self) -> bool {
        self.begins_at > other.begins_at
    }

    /// How long until this entry sends again at all.
    pub(crate) fn pause(&self, now: Moment) -> Duration {
        self.begins_at.since(now)
    }

    /// How long until it may send the next request.
    pub(crate) fn wait(&self, now: Moment) -> Duration {
        let steps = (0..STEPS).find(|step| self.sends < sends_until(*step));
        let step = steps.unwrap_or(STEPS);
        (self.begins_at + STEP_TIME * step).since(now)
    }

    /// Whether the target is an ordinary one again.
    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.begins_at + STEP_TIME * STEPS
    }

    /// Counts a request that is sent.
    pub(crate) fn record_send(&mut self) {
        self.sends = self.sends.saturating_add(1);
    }

    /// The moments at which it may send more than before.
    pub(crate) fn steps(&self) -> Vec<Moment> {
        let begins_at = self.begins_at;
        let steps = 0..=STEPS;
        steps.map(|step| begins_at + STEP_TIME * step).collect()
    }
}

/// The requests that may be sent until the end of a step: one in the first, and twice as many in
/// each further one.
fn sends_until(step: u32) -> u32 {
    2_u32.pow(step + 1) - 1
}
