//! Follows a scope of the store and never misses its newest values.
//!
//! A watch alone isn't enough: it ends, it meets compacted history, and it can
//! go silent for good while new connections work. So the follower lists after
//! every end of a watch, and looks at the versions from time to time while
//! one is open; what doesn't fit makes it list again.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::Moment;

use crate::backoff::{Backoff, BackoffLimits};
use crate::error::StoreError;
use crate::key::Key;
use crate::store::{Change, Listing, Versions, WatchEvent};
use crate::transaction::Version;

/// How often the store is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTiming {
    /// The time between two looks at the versions while a watch is open.
    pub probe: Duration,
    /// The delays between tries.
    pub retry: BackoffLimits,
}

impl Default for FollowTiming {
    fn default() -> Self {
        Self {
            probe: Duration::from_secs(2),
            retry: BackoffLimits::default(),
        }
    }
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// The answer to [`FollowAction::List`].
    Listed(Result<Listing, StoreError>),
    /// The answer to [`FollowAction::Open`]: the store's version then.
    Opened(Result<Version, StoreError>),
    /// The answer to [`FollowAction::Probe`].
    Probed(Result<Versions, StoreError>),
    /// What the open watch told.
    Watched(WatchEvent),
    /// Time has passed.
    Tick,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowAction {
    /// List the scope.
    List,
    /// Open a watch from this version on, in place of any other.
    Open(Version),
    /// Read the versions of the scope; events of the open watch go on meanwhile.
    Probe,
    /// Close the open watch.
    Close,
    /// Tell the owner.
    Report(News),
}

/// What the owner of a follower learns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News {
    /// All values, in place of everything told before.
    Snapshot(Listing),
    /// Later changes, each newer than what was told of its key.
    Changed(Vec<Change>),
    /// The store answered and holds nothing newer.
    Current {
        /// The store's version.
        version: Version,
    },
    /// The store went back to an older state; a snapshot of it follows.
    Restored {
        /// The newest version seen before.
        had: Version,
        /// The version found.
        found: Version,
    },
    /// The store can't be followed now; what was told may be old.
    Unreachable(StoreError),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Listing,
    Opening,
    Watching { probe: Moment },
    Probing { floor: Version },
    Waiting { until: Moment },
}

/// The state of one follower.
#[derive(Debug)]
pub struct Follow {
    timing: FollowTiming,
    backoff: Backoff,
    phase: Phase,
    /// The highest version that the store has shown.
    version: Version,
    known: Option<BTreeMap<Key, Version>>,
}

impl Follow {
    /// A follower that knows nothing; it looks first at `start`, at which the
    /// owner sends [`FollowEvent::Tick`].
    pub fn new(timing: FollowTiming, start: Moment, seed: u64) -> Self {
        Self {
            timing,
            backoff: Backoff::new(timing.retry, seed),
            phase: Phase::Waiting { until: start },
            version: Version(0),
            known: None,
        }
    }

    /// When to send [`FollowEvent::Tick`] at the latest; none while an answer is due.
    pub fn wake(&self) -> Option<Moment> {
        match self.phase {
            Phase::Waiting { until } => Some(until),
            Phase::Watching { probe } => Some(probe),
            Phase::Listing | Phase::Opening | Phase::Probing { .. } => None,
        }
    }

    /// Takes an event and tells what to do.
    pub fn step(&mut self, now: Moment, event: FollowEvent) -> Vec<FollowAction> {
        match (self.phase, event) {
            (Phase::Waiting { until }, FollowEvent::Tick) if now >= until => self.list(),
            (Phase::Watching { probe }, FollowEvent::Tick) if now >= probe => {
                let floor = self.version;
                self.phase = Phase::Probing { floor };
                vec![FollowAction::Probe]
            }
            (Phase::Listing, FollowEvent::Listed(Ok(listing))) => self.listed(listing),
            (Phase::Listing, FollowEvent::Listed(Err(error)))
            | (Phase::Opening, FollowEvent::Opened(Err(error))) => self.fail(now, error),
            (Phase::Opening, FollowEvent::Opened(Ok(version))) => self.opened(now, version),
            (Phase::Probing { floor }, FollowEvent::Probed(Ok(found))) => {
                self.probed(now, floor, &found)
            }
            (Phase::Probing { .. }, FollowEvent::Probed(Err(error))) => {
                let probe = now + self.backoff.delay();
                self.phase = Phase::Watching { probe };
                vec![FollowAction::Report(News::Unreachable(error))]
            }
            (Phase::Watching { .. } | Phase::Probing { .. }, FollowEvent::Watched(event)) => {
                self.watched(now, event)
            }
            _ => Vec::new(),
        }
    }

    fn list(&mut self) -> Vec<FollowAction> {
        self.phase = Phase::Listing;
        vec![FollowAction::List]
    }

    fn listed(&mut self, listing: Listing) -> Vec<FollowAction> {
        let mut actions = Vec::new();
        let found = listing.version;
        let keys: BTreeMap<_, _> = listing
            .entries
            .iter()
            .map(|entry| (entry.key.clone(), entry.version))
            .collect();
        if self.is_older(&keys, found) {
            let had = self.version;
            actions.push(FollowAction::Report(News::Restored { had, found }));
        }
        let news = if self.known.as_ref() == Some(&keys) {
            News::Current { version: found }
        } else {
            News::Snapshot(listing)
        };
        actions.push(FollowAction::Report(news));
        self.known = Some(keys);
        self.version = found;
        self.phase = Phase::Opening;
        actions.push(FollowAction::Open(found.next()));
        actions
    }

    /// Whether the store shows an older state than before.
    ///
    /// A restored store may have grown past the version seen before; then a
    /// value with an older version than the one known gives it away.
    fn is_older(&self, keys: &BTreeMap<Key, Version>, found: Version) -> bool {
        let older = |(key, known): (&Key, &Version)| keys.get(key).is_some_and(|now| now < known);
        let known = self.known.iter().flatten();
        found < self.version || known.into_iter().any(older)
    }

    fn opened(&mut self, now: Moment, version: Version) -> Vec<FollowAction> {
        if version < self.version {
            // The store was restored since the listing.
            let mut actions = vec![FollowAction::Close];
            actions.extend(self.list());
            return actions;
        }
        self.backoff.reset();
        self.watch(now);
        Vec::new()
    }

    fn watch(&mut self, now: Moment) {
        let probe = now + self.timing.probe;
        self.phase = Phase::Watching { probe };
    }

    fn probed(&mut self, now: Moment, floor: Version, found: &Versions) -> Vec<FollowAction> {
        if found.version < floor || self.differs(found) {
            let mut actions = vec![FollowAction::Close];
            actions.extend(self.list());
            return actions;
        }
        self.version = self.version.max(found.version);
        self.watch(now);
        let version = found.version;
        vec![FollowAction::Report(News::Current { version })]
    }

    /// Whether the versions show a change that the watch has not told.
    ///
    /// What the watch told after the versions were read doesn't count.
    fn differs(&self, found: &Versions) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        let now: BTreeMap<_, _> = found.keys.iter().map(|kv| (&kv.key, kv.version)).collect();
        let newer = now
            .iter()
            .any(|(key, version)| known.get(*key).is_none_or(|seen| seen < version));
        let gone = known
            .iter()
            .filter(|(_, seen)| **seen <= found.version)
            .any(|(key, seen)| now.get(key).is_none_or(|version| version < seen));
        newer || gone
    }

    fn watched(&mut self, now: Moment, event: WatchEvent) -> Vec<FollowAction> {
        match event {
            WatchEvent::Changed(changes) => self.changed(changes),
            WatchEvent::Compacted { .. } => {
                let mut actions = vec![FollowAction::Close];
                actions.extend(self.list());
                actions
            }
            WatchEvent::Closed => {
                let until = now + self.backoff.delay();
                self.phase = Phase::Waiting { until };
                vec![FollowAction::Close]
            }
        }
    }

    fn changed(&mut self, changes: Vec<Change>) -> Vec<FollowAction> {
        let known = self.known.get_or_insert_default();
        let mut fresh = Vec::new();
        for change in changes {
            let version = change.version();
            self.version = self.version.max(version);
            if known.get(change.key()).is_some_and(|seen| *seen >= version) {
                continue;
            }
            match &change {
                Change::Put(entry) => known.insert(entry.key.clone(), version),
                Change::Deleted { key, .. } => known.remove(key),
            };
            fresh.push(change);
        }
        if fresh.is_empty() {
            return Vec::new();
        }
        vec![FollowAction::Report(News::Changed(fresh))]
    }

    fn fail(&mut self, now: Moment, error: StoreError) -> Vec<FollowAction> {
        let until = now + self.backoff.delay();
        self.phase = Phase::Waiting { until };
        vec![FollowAction::Report(News::Unreachable(error))]
    }
}
