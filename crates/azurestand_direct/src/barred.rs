//! Incarnations of targets that want no requests, by their own word.
//!
//! What an answer said holds for the incarnation that gave it: neither the list of targets nor
//! an outage of the store lifts it, and another incarnation at the same address isn't barred.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;

use crate::directory::Target;

/// The most incarnations that are known to leave; beyond, the ones known longest are forgotten.
const MAX_LEAVING: usize = 4_096;
/// The most that another entry is told when it asks.
const MAX_TOLD: usize = 256;

/// One run of a target, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{target}@{started_at}")]
pub struct Incarnation {
    /// The target.
    pub target: Arc<str>,
    /// When it started.
    pub started_at: u64,
}

impl From<&Target> for Incarnation {
    fn from(target: &Target) -> Self {
        Self {
            target: target.id.clone(),
            started_at: target.started_at,
        }
    }
}

/// The incarnations that want no requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Barred {
    /// Those that leave, and when this entry learned of it.
    leaving: BTreeMap<Incarnation, Moment>,
}

impl Barred {
    /// Records that an incarnation leaves; returns whether that was unknown.
    pub(crate) fn record_leaving(&mut self, now: Moment, incarnation: Incarnation) -> bool {
        if self.leaving.contains_key(&incarnation) {
            return false;
        }
        if self.leaving.len() >= MAX_LEAVING {
            self.forget_oldest();
        }
        self.leaving.insert(incarnation, now);
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.leaving.iter().min_by_key(|(_, at)| **at);
        let oldest = oldest.map(|(incarnation, _)| incarnation.clone());
        if let Some(oldest) = oldest {
            self.leaving.remove(&oldest);
        }
    }

    /// Whether the incarnation has said that it leaves.
    pub(crate) fn is_leaving(&self, target: &Target) -> bool {
        !self.leaving.is_empty() && self.leaving.contains_key(&target.into())
    }

    /// The incarnations that this entry learned of within the last `age`.
    pub(crate) fn recently_leaving(&self, now: Moment, age: Duration) -> Vec<Incarnation> {
        let recent = self.leaving.iter().filter(|(_, at)| now.since(**at) < age);
        recent.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// The incarnations that this entry learned of last, as many as an entry that asks is told.
    pub(crate) fn latest_leaving(&self) -> Vec<Incarnation> {
        let mut all: Vec<_> = self.leaving.iter().collect();
        all.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        all.truncate(MAX_TOLD);
        let all = all.into_iter();
        all.map(|(incarnation, _)| incarnation.clone()).collect()
    }
}
