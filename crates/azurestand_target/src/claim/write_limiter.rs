//! The rate limit of one process's writes to the store.

use std::time::Duration;

use azurestand_types::Moment;

/// The time that one write costs: a long-term rate of eight writes a second.
const WRITE_COST: Duration = Duration::from_millis(125);
/// The unused time that is kept for a burst, so that there are at most ten
/// writes in any second.
const BURST: Duration = Duration::from_millis(250);

/// A token bucket, represented by the moment at which it is full again.
#[derive(Debug, Default)]
pub(crate) struct WriteLimiter {
    full_at: Moment,
}

impl WriteLimiter {
    pub(crate) fn allows(&self, now: Moment) -> bool {
        self.full_at <= now + BURST - WRITE_COST
    }

    pub(crate) fn record_write(&mut self, now: Moment) {
        self.full_at = self.full_at.max(now) + WRITE_COST;
    }
}
