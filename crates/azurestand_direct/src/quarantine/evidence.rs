//! The crashes of targets under requests with one part, and what they prove.

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

/// The most crashes that are kept for one part; more add no proof.
const MAX_CRASHES: usize = 6;
/// What a crash weighs under a request whose answer was just beginning.
const BEGINNING_WEIGHT: u32 = 2;
/// What a crash weighs under a request that may not have begun.
const WAITING_WEIGHT: u32 = 1;
/// The weight from which a part is suspected.
const SUSPECT_WEIGHT: u32 = 2;
/// The weight from which it is quarantined: two crashes as answers began.
const QUARANTINE_WEIGHT: u32 = 4;
/// Crashes of several targets within this time count as one: they are likelier to have
/// another common cause, such as a loss of power.
const SAME_CAUSE: Duration = Duration::from_millis(30);

/// A target that ended under a request, before it had written anything of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The target.
    pub target: Arc<str>,
    /// Its incarnation.
    pub started_at: u64,
    /// The attempt of a caller that it had.
    pub request: Arc<str>,
    /// Whether the answer was beginning, rather than the request waiting.
    pub beginning: bool,
    /// When it ended.
    pub at: Moment,
}

impl Crash {
    /// Whether both tell of the same crash; when it was may differ with how it was learned.
    fn is_same(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && self.target == other.target
            && self.request == other.request
    }

    fn weight(&self) -> u32 {
        if self.beginning {
            BEGINNING_WEIGHT
        } else {
            WAITING_WEIGHT
        }
    }

    /// Whether both crashes count. A target counts once, and so does a request, since any other
    /// property of it may be the cause.
    fn is_independent(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        let same_target = self.target == other.target && self.started_at == other.started_at;
        !same_target && self.request != other.request && apart >= SAME_CAUSE
    }
}

/// The known crashes under requests with one part, each independent of the others.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    crashes: Vec<Crash>,
}

impl Evidence {
    /// Adds a crash if it is independent of the known ones or says more than those that it
    /// depends on; returns whether it does.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let known = self.crashes.iter();
        let mut related = known.filter(|other| !other.is_independent(&crash));
        if related.any(|other| other.weight() >= crash.weight()) {
            return false;
        }
        self.crashes.retain(|other| other.is_independent(&crash));
        let has_room = self.crashes.len() < MAX_CRASHES;
        if has_room {
            self.crashes.push(crash);
        }
        has_room
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Whether these crashes were all under requests that had the part of `other` as well.
    pub(super) fn is_covered_by(&self, other: &Self) -> bool {
        let is_there = |crash: &Crash| other.crashes.iter().any(|known| known.is_same(crash));
        self.crashes.iter().all(is_there)
    }

    /// When the last target ended.
    pub(super) fn last(&self) -> Moment {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    fn weight(&self) -> u32 {
        self.crashes.iter().map(Crash::weight).sum()
    }

    pub(super) fn suspects(&self) -> bool {
        self.weight() >= SUSPECT_WEIGHT
    }

    pub(super) fn convicts(&self) -> bool {
        self.weight() >= QUARANTINE_WEIGHT
    }
}
