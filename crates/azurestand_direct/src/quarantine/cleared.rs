//! The parts under which a target has lately written an answer.

use std::collections::HashSet;
use std::time::Duration;

use azurestand_types::Moment;

use crate::part::PartId;

/// How long a part stays cleared at least after an answer was written under it.
const CLEARED_TIME: Duration = Duration::from_secs(30);
/// The most parts of one generation; with more, earlier ones are forgotten sooner.
const MAX_PARTS: usize = 4_096;

/// A set that forgets parts that were not added again for some time. It keeps two
/// generations; when the newer one is full or old, it replaces the older one.
#[derive(Debug, Clone, Default)]
pub(super) struct ClearedParts {
    newer: HashSet<PartId>,
    older: HashSet<PartId>,
    /// When the newer generation began.
    since: Moment,
}

impl ClearedParts {
    pub(super) fn add(&mut self, now: Moment, part: PartId) {
        self.rotate(now);
        self.newer.insert(part);
    }

    pub(super) fn contains(&mut self, now: Moment, part: PartId) -> bool {
        self.rotate(now);
        self.newer.contains(&part) || self.older.contains(&part)
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.since(self.since);
        if age < CLEARED_TIME && self.newer.len() < MAX_PARTS {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= 2 * CLEARED_TIME {
            self.older.clear();
        }
        self.since = now;
    }
}
