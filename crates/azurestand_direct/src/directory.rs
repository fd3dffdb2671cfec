//! Which targets exist, according to the platform's list.
//!
//! An entry of the list also expires when its target could not renew it during an outage
//! of the list. So a ready target whose entry disappears within [`LAPSE_GRACE`] after an
//! outage is kept until that time has passed; at any other time it is removed at once.
//!
//! The list may also come back from an older copy, which shows targets as they were. Of one
//! incarnation the entry that was written last counts, and a target that was seen leaving or
//! gone gets no requests because of an older entry.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

/// How long a live target may take to reappear after an outage of the list.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);

/// How long a target that was seen gone is not used although an older copy of the list has it.
/// The entry of a target that is gone expires sooner.
const DOUBT_TIME: Duration = Duration::from_secs(10);
/// The maximum number of targets that are remembered as gone.
const MAX_GONE: usize = 512;

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and accepts no new ones.
    Leaving,
}

/// Weights that a target has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedWeights {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The number of contiguous layers from the first one on; none if the target doesn't
    /// report layers.
    pub layers: Option<u32>,
}

impl LoadedWeights {
    /// Whether all `layers` layers are loaded.
    pub fn is_complete(&self, layers: u32) -> bool {
        self.layers.is_none_or(|held| held >= layers)
    }
}

/// One target in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name of this incarnation of the target, by which requests address it.
    pub id: Arc<str>,
    /// When this incarnation started; a restart under the same name has another value.
    pub started_at: u64,
    /// Counts the writes of its entry by this incarnation.
    pub writes: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// How much longer it remains cold, counted from when the entry was written.
    pub cold: Duration,
    /// The weights that it has loaded; empty for a plain service or an empty engine.
    pub held: Vec<LoadedWeights>,
}

impl Target {
    /// Whether both are the same incarnation of the same target.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at == other.started_at
    }

    /// Whether this entry of the same incarnation was written no later than `other`.
    fn is_outdated_by(&self, other: &Self) -> bool {
        self.is_same_incarnation(other) && self.writes <= other.writes
    }
}

/// The targets to which requests may be sent.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    targets: BTreeMap<Arc<str>, Arc<Target>>,
    /// Targets whose entries disappeared after an outage and that may reappear.
    lapsed: BTreeMap<Arc<str>, Arc<Target>>,
    /// The latest targets that were removed at once, in the order of their removal.
    gone: VecDeque<Arc<Target>>,
    /// Targets that an older copy of the list has and that were seen gone.
    doubted: BTreeMap<Arc<str>, Target>,
    /// Until when an entry may come from an older copy of the list.
    doubt_end: Moment,
    /// Whether the last attempt to read the list failed.
    read_failed: bool,
    /// The time until which a target that disappeared may reappear.
    grace_end: Moment,
}

impl Directory {
    /// Records that the list could not be read.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Records that the list was read at `now`.
    pub fn record_read(&mut self, now: Moment) {
        if self.read_failed {
            self.read_failed = false;
            self.grace_end = now + LAPSE_GRACE;
        }
    }

    /// Records that the list came back from an older copy at `now`, or may have. The copy can
    /// be older only than what was seen before, so it changes nothing while that is nothing.
    pub fn record_restart(&mut self, now: Moment) {
        if self.targets.is_empty() && self.lapsed.is_empty() && self.gone.is_empty() {
            return;
        }
        self.grace_end = self.grace_end.max(now + LAPSE_GRACE);
        self.doubt_end = now + DOUBT_TIME;
    }

    /// Adds or updates the target of an entry that is read at `now`.
    pub fn put(&mut self, now: Moment, target: Target) {
        let in_doubt = now < self.doubt_end;
        let is_outdated = |known: &Arc<Target>| target.is_outdated_by(known);
        let known = self.get(&target.id).filter(|known| is_outdated(known));
        let binds = |known: &&Arc<Target>| in_doubt || known.state == TargetState::Leaving;
        if let Some(known) = known.filter(binds).cloned() {
            self.lapsed.remove(&known.id);
            self.targets.insert(known.id.clone(), known);
            return;
        }
        if in_doubt && self.gone.iter().any(is_outdated) {
            self.doubted.insert(target.id.clone(), target);
            return;
        }
        self.accept(target);
    }

    fn accept(&mut self, target: Target) {
        self.lapsed.remove(&target.id);
        self.doubted.remove(&target.id);
        self.gone.retain(|gone| gone.id != target.id);
        self.targets.insert(target.id.clone(), Arc::new(target));
    }

    /// Removes the target of an entry that disappeared or can't be decoded any more.
    pub fn remove(&mut self, now: Moment, id: &str) {
        self.doubted.remove(id);
        let Some(target) = self.targets.remove(id) else {
            return;
        };
        if now < self.grace_end && target.state == TargetState::Ready {
            self.lapsed.insert(target.id.clone(), target);
            return;
        }
        self.gone.push_back(target);
        if self.gone.len() > MAX_GONE {
            self.gone.pop_front();
        }
    }

    /// Replaces all targets by those of a full listing.
    pub fn replace(&mut self, now: Moment, targets: Vec<Target>) {
        let present: Vec<_> = targets.iter().map(|target| target.id.clone()).collect();
        self.doubted.retain(|id, _| present.contains(id));
        let known: Vec<_> = self.targets.keys().cloned().collect();
        for id in known.iter().filter(|id| !present.contains(id)) {
            self.remove(now, id);
        }
        for target in targets {
            self.put(now, target);
        }
    }

    /// Removes the targets whose time to reappear has passed, and adds those that are no longer
    /// doubted; returns the names of both.
    pub fn expire(&mut self, now: Moment) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        if now >= self.grace_end {
            changed.extend(std::mem::take(&mut self.lapsed).into_keys());
        }
        if now >= self.doubt_end {
            for (id, target) in std::mem::take(&mut self.doubted) {
                self.accept(target);
                changed.push(id);
            }
        }
        changed
    }

    /// All targets, including those that may still reappear.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> + Clone {
        self.targets.values().chain(self.lapsed.values())
    }

    /// The target with this name.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id).or_else(|| self.lapsed.get(id))
    }
}
