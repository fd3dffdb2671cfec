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
use crate::retry_after::{Comeback, RetryAfter};

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

/// Why an incarnation is barred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Bar {
    /// It leaves; this holds for its life.
    #[display("it leaves")]
    Leaving,
    /// It has refused a request and named a time, of which so much is left.
    #[display("it has named a time")]
    RetryAfter(Duration),
}

/// A listed target that gets nothing.
#[derive(Debug, Clone)]
pub struct BarredTarget {
    /// The target.
    pub target: Arc<Target>,
    /// Why.
    pub bar: Bar,
}

/// The incarnations that want no requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Barred {
    /// Those that leave, and when this entry learned of it.
    leaving: BTreeMap<Incarnation, Moment>,
    /// Those that have named a time for which they want none, until this entry has come back.
    comebacks: BTreeMap<Incarnation, Comeback>,
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

    /// Records that a refusal of `target` named a time; returns the moments at which more may
    /// be sent there, unless an earlier refusal keeps requests away for longer. `spread`, from 0 to 1, is this
    /// entry's place among those that were refused.
    pub(crate) fn record_retry_after(
        &mut self,
        now: Moment,
        target: &Target,
        after: RetryAfter,
        spread: f64,
    ) -> Option<Vec<Moment>> {
        self.comebacks.retain(|_, comeback| !comeback.is_over(now));
        let incarnation = Incarnation::from(target);
        let comeback = Comeback::new(now, after, spread);
        let known = self.comebacks.get(&incarnation);
        if known.is_some_and(|known| !comeback.is_later_than(known)) {
            return None;
        }
        self.comebacks.insert(incarnation, comeback);
        Some(comeback.steps())
    }

    /// Counts a request that is sent to `target`.
    pub(crate) fn record_send(&mut self, target: &Target) {
        if self.comebacks.is_empty() {
            return;
        }
        if let Some(comeback) = self.comebacks.get_mut(&target.into()) {
            comeback.record_send();
        }
    }

    fn comeback(&self, target: &Target) -> Option<&Comeback> {
        if self.comebacks.is_empty() {
            return None;
        }
        self.comebacks.get(&target.into())
    }

    /// How long until anything is sent to `target` again, by the time that it has named.
    pub(crate) fn pause(&self, now: Moment, target: &Target) -> Duration {
        let comeback = self.comeback(target);
        comeback.map_or(Duration::ZERO, |comeback| comeback.pause(now))
    }

    /// How long until the next request may be sent to `target`.
    pub(crate) fn wait(&self, now: Moment, target: &Target) -> Duration {
        let comeback = self.comeback(target);
        comeback.map_or(Duration::ZERO, |comeback| comeback.wait(now))
    }

    /// Why `target` gets nothing; none if it does.
    pub(crate) fn bar(&self, now: Moment, target: &Target) -> Option<Bar> {
        if self.is_leaving(target) {
            return Some(Bar::Leaving);
        }
        let pause = self.pause(now, target);
        (!pause.is_zero()).then_some(Bar::RetryAfter(pause))
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
