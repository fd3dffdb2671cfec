//! The store's values as an entry knows them, and what changed lately.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use azurestand_store::{Change, Key, Listing, Scope, Version};
use azurestand_types::Moment;

use super::message::KeyChange;

/// Changes that are remembered; whoever missed more gets all values.
const MOST_CHANGES: usize = 512;

/// A change, and when it was made, if that is known.
#[derive(Debug, Clone)]
pub(super) struct Noted {
    key: Key,
    pub(super) change: KeyChange,
    pub(super) made: Option<Moment>,
}

/// All values as they are passed on, and the changes that led to them. Of a large
/// value only the last change is remembered.
#[derive(Debug, Default)]
pub(super) struct NewsLog {
    values: BTreeMap<Key, KeyChange>,
    changes: VecDeque<Noted>,
    /// Changes up to this version are forgotten.
    floor: Version,
    version: Version,
}

impl NewsLog {
    /// The store's version after all that is known.
    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// Takes in all values, after which nothing is known of earlier changes.
    pub(super) fn replace(&mut self, listing: &Listing) {
        let values = listing.entries.iter();
        self.values = values
            .map(|entry| (entry.key.clone(), KeyChange::from(entry)))
            .collect();
        self.changes.clear();
        self.floor = listing.version;
        self.version = listing.version;
    }

    /// Takes in changes in order, and the store's version after them.
    pub(super) fn extend(&mut self, changes: &[Change], version: Version, made: Option<Moment>) {
        for change in changes {
            self.push(change, made);
        }
        self.version = self.version.max(version);
    }

    fn push(&mut self, raw: &Change, made: Option<Moment>) {
        let key = raw.key().clone();
        let change = KeyChange::from(raw);
        match raw {
            Change::Put(_) => self.values.insert(key.clone(), change.clone()),
            Change::Deleted { .. } => self.values.remove(&key),
        };
        if change.is_large() {
            self.changes.retain(|noted| noted.key != key);
        }
        self.changes.push_back(Noted { key, change, made });
        if self.changes.len() > MOST_CHANGES {
            let forgotten = self.changes.pop_front();
            self.floor = forgotten.map_or(self.floor, |noted| Version(noted.change.version));
        }
    }

    /// The changes of `scope` after `version`; none if not all of them are remembered.
    pub(super) fn since(&self, scope: &Scope, version: Version) -> Option<Vec<Noted>> {
        if version < self.floor {
            return None;
        }
        let later = self
            .changes
            .iter()
            .filter(|noted| noted.change.version > version.0 && scope.covers(&noted.key));
        Some(later.cloned().collect())
    }

    /// All values of `scope`.
    pub(super) fn all(&self, scope: &Scope) -> Vec<KeyChange> {
        let values = self.values.iter();
        let values = values.filter(|(key, _)| scope.covers(key));
        values.map(|(_, value)| value.clone()).collect()
    }
}
