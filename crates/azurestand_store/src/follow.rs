//! Follows a scope of the store without missing its newest values.
//!
//! A watch alone isn't enough: it can end, reach compacted history, or stop
//! delivering events for good while new connections work. So the follower opens a
//! watch first and then lists, which leaves no gap between the two, and checks the
//! versions periodically; a mismatch makes it start over. So does every end of a
//! watch, since a restore of the store is one of the causes. It also starts over
//! at a fixed interval, for differences that versions alone can't show.

mod message;

use std::collections::BTreeMap;

use azurestand_types::Moment;
use bytes::Bytes;

use crate::backoff::Backoff;
use crate::error::StoreError;
use crate::key::Key;
use crate::store::{Change, Listing, Versions, WatchEvent};
use crate::transaction::Version;

pub use message::{FollowAction, FollowEvent, FollowTiming, FollowUpdate};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Waiting {
        until: Moment,
    },
    Opening,
    /// `early` are the changes that the watch delivers before the listing arrives.
    Listing {
        early: Vec<Change>,
    },
    Watching {
        probe: Moment,
    },
    /// The store's version can't be below `floor` unless it was restored.
    Probing {
        floor: Version,
    },
}

type Known = BTreeMap<Key, (Version, Bytes)>;

/// The state of one follower.
#[derive(Debug)]
pub struct Follow {
    timing: FollowTiming,
    backoff: Backoff,
    phase: Phase,
    /// The latest known version of the store.
    version: Version,
    known: Option<Known>,
    refresh: Moment,
}

impl Follow {
    /// Creates a follower without values; it first opens a watch at `start`, when the
    /// owner sends [`FollowEvent::Tick`].
    pub fn new(timing: FollowTiming, start: Moment, seed: u64) -> Self {
        Self {
            timing,
            backoff: Backoff::new(timing.retry, seed),
            phase: Phase::Waiting { until: start },
            version: Version(0),
            known: None,
            refresh: start,
        }
    }

    /// When to send [`FollowEvent::Tick`] at the latest; `None` while an answer is pending.
    pub fn wake(&self) -> Option<Moment> {
        match self.phase {
            Phase::Waiting { until } => Some(until),
            Phase::Watching { probe } => Some(probe),
            Phase::Listing { .. } | Phase::Opening | Phase::Probing { .. } => None,
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn step(&mut self, now: Moment, event: FollowEvent) -> Vec<FollowAction> {
        match event {
            FollowEvent::Tick => self.tick(now),
            FollowEvent::Opened(Ok(_)) if self.phase == Phase::Opening => {
                self.phase = Phase::Listing { early: Vec::new() };
                vec![FollowAction::List]
            }
            FollowEvent::Opened(Err(error)) if self.phase == Phase::Opening => {
                self.fail(now, error)
            }
            FollowEvent::Opened(_) => Vec::new(),
            FollowEvent::Listed(listed) => self.listed(now, listed),
            FollowEvent::Probed(probed) => self.probed(now, probed),
            FollowEvent::Watched(event) => self.watched(now, event),
        }
    }

    fn tick(&mut self, now: Moment) -> Vec<FollowAction> {
        match self.phase {
            Phase::Waiting { until } if now >= until => self.open(),
            Phase::Watching { .. } if now >= self.refresh => self.open(),
            Phase::Watching { probe } if now >= probe => {
                let floor = self.version;
                self.phase = Phase::Probing { floor };
                vec![FollowAction::Probe]
            }
            _ => Vec::new(),
        }
    }

    fn open(&mut self) -> Vec<FollowAction> {
        self.phase = Phase::Opening;
        vec![FollowAction::Close, FollowAction::Open]
    }

    fn listed(&mut self, now: Moment, listed: Result<Listing, StoreError>) -> Vec<FollowAction> {
        let Phase::Listing { early } = &mut self.phase else {
            return Vec::new();
        };
        let early = std::mem::take(early);
        let listing = match listed {
            Ok(listing) => listing,
            Err(error) => return self.fail(now, error),
        };
        let mut actions = self.compare(listing);
        actions.extend(self.changed(early));
        self.backoff.reset();
        self.refresh = now + self.timing.refresh;
        self.watch(now);
        actions
    }

    /// Replaces all known values with a listing.
    fn compare(&mut self, listing: Listing) -> Vec<FollowAction> {
        let mut actions = Vec::new();
        let found = listing.version;
        let entries = listing.entries.iter();
        let keys: Known = entries
            .map(|entry| (entry.key.clone(), (entry.version, entry.value.clone())))
            .collect();
        if self.is_older(&keys, found) {
            let previous = self.version;
            actions.push(FollowAction::Report(FollowUpdate::Restored {
                previous,
                found,
            }));
        }
        let update = if self.known.as_ref() == Some(&keys) {
            FollowUpdate::Current { version: found }
        } else {
            FollowUpdate::Snapshot(listing)
        };
        actions.push(FollowAction::Report(update));
        self.known = Some(keys);
        self.version = found;
        actions
    }

    /// Whether the store has a different history than before.
    ///
    /// A restored store may have grown past the version seen before; then a
    /// value of an older version, or a different value of the same version, shows it.
    fn is_older(&self, keys: &Known, found: Version) -> bool {
        let older = |(key, (version, value)): (&Key, &(Version, Bytes))| {
            keys.get(key)
                .is_some_and(|(now, text)| now < version || now == version && text != value)
        };
        found < self.version || self.known.iter().flatten().any(older)
    }

    fn watch(&mut self, now: Moment) {
        let probe = now + self.timing.probe;
        self.phase = Phase::Watching { probe };
    }

    fn probed(&mut self, now: Moment, probed: Result<Versions, StoreError>) -> Vec<FollowAction> {
        let Phase::Probing { floor } = self.phase else {
            return Vec::new();
        };
        match probed {
            Err(error) => {
                let probe = now + self.backoff.delay();
                self.phase = Phase::Watching { probe };
                vec![FollowAction::Report(FollowUpdate::Unreachable(error))]
            }
            Ok(found) if found.version < floor || self.differs(&found) => self.open(),
            Ok(Versions { version, .. }) => {
                self.backoff.reset();
                self.version = self.version.max(version);
                self.watch(now);
                vec![FollowAction::Report(FollowUpdate::Current { version })]
            }
        }
    }

    /// Whether the versions show a change that the watch has not delivered.
    ///
    /// Changes that the watch delivered after the versions were read don't count.
    fn differs(&self, found: &Versions) -> bool {
        let Some(known) = &self.known else {
            return true;
        };
        let now: BTreeMap<_, _> = found.keys.iter().map(|kv| (&kv.key, kv.version)).collect();
        let newer = now
            .iter()
            .any(|(key, version)| known.get(*key).is_none_or(|(seen, _)| seen < version));
        let gone = known
            .iter()
            .filter(|(_, (seen, _))| *seen <= found.version)
            .any(|(key, (seen, _))| now.get(key).is_none_or(|version| version < seen));
        newer || gone
    }

    fn watched(&mut self, now: Moment, event: WatchEvent) -> Vec<FollowAction> {
        match (&mut self.phase, event) {
            (Phase::Waiting { .. } | Phase::Opening, _) => Vec::new(),
            (Phase::Listing { early }, WatchEvent::Changed(changes)) => {
                early.extend(changes);
                Vec::new()
            }
            (_, WatchEvent::Changed(changes)) => self.changed(changes),
            (_, WatchEvent::Compacted { .. }) => self.open(),
            (_, WatchEvent::Closed) => {
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
            if known
                .get(change.key())
                .is_some_and(|(seen, _)| *seen >= version)
            {
                continue;
            }
            match &change {
                Change::Put(entry) => {
                    known.insert(entry.key.clone(), (version, entry.value.clone()));
                }
                Change::Deleted { key, .. } => {
                    known.remove(key);
                }
            }
            fresh.push(change);
        }
        if fresh.is_empty() {
            return Vec::new();
        }
        vec![FollowAction::Report(FollowUpdate::Changed(fresh))]
    }

    fn fail(&mut self, now: Moment, error: StoreError) -> Vec<FollowAction> {
        let until = now + self.backoff.delay();
        self.phase = Phase::Waiting { until };
        vec![
            FollowAction::Close,
            FollowAction::Report(FollowUpdate::Unreachable(error)),
        ]
    }
}
