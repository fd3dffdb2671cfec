//! Which requests an entry takes while it stops as planned, and when it gives them up.
//!
//! A balancer goes on to send callers for some seconds, so early requests are taken: nearly all
//! of them end long before the process does. Later ones come on connections that callers kept
//! open. Such a request is taken only if its own time ends before the process does, since it
//! would else be cut at the end; its caller is told at once that it has not run.

use std::time::Duration;

use azurestand_types::Moment;

/// How long the balancer may take to notice that an entry is no longer ready.
const BALANCER_DELAY: Duration = Duration::from_millis(3_200);
/// How long requests are taken whose time may end after the stop.
const TAKE_TIME: Duration = Duration::from_millis(2_800);
/// The part of the grace time that is reserved for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The course of one planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when every request is taken.
    taken_until: Moment,
    /// When the entry closes its listener and idle connections.
    pub closes_at: Moment,
    /// When the entry gives up the requests that are still open.
    pub ends_at: Moment,
}

impl StopPlan {
    /// The course of a stop that begins at `now` and may last for `grace`.
    pub fn new(now: Moment, grace: Duration) -> Self {
        let length = grace.saturating_sub(EXIT_MARGIN);
        let ends_at = now + length;
        Self {
            taken_until: now + TAKE_TIME.min(length / 2),
            closes_at: (now + BALANCER_DELAY).min(ends_at),
            ends_at,
        }
    }

    /// Whether a request that is here at `now` and ends by `expires_at` is taken.
    pub fn takes(&self, now: Moment, expires_at: Moment) -> bool {
        now < self.taken_until || expires_at <= self.ends_at
    }
}
