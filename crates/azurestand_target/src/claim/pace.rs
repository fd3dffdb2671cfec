//! How often one process writes.

use std::time::Duration;

use azurestand_types::Moment;

/// Time that one write uses up.
const WRITE: Duration = Duration::from_millis(125);
/// Unused time that is kept for a burst, so that any second has at most ten writes.
const BURST: Duration = Duration::from_millis(250);

/// A token bucket, as the moment at which it would be full again.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    full: Moment,
}

impl Pace {
    pub(crate) fn allows(&self, now: Moment) -> bool {
        self.full <= now + BURST - WRITE
    }

    pub(crate) fn note(&mut self, now: Moment) {
        self.full = self.full.max(now) + WRITE;
    }
}
