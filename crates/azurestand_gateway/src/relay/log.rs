//! The store's values as an entry knows them, and what changed lately.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use azurestand_store::{Change, Entry, Key, Listing, Scope, Version};
use azurestand_types::Moment;

/// Changes that are remembered; whoever missed more gets all values.
const MOST_CHANGES: usize = 512;
/// Of a value with more bytes only the last change is remembered.
const LARGE_BYTES: usize = 2 * 1024;

/// A change, and when it was made, if that is known.
#[derive(Debug, Clone)]
pub(super) struct Noted {
    pub(super) change: Change,
    pub(super) made: Option<Moment>,
}

/// All values, and the changes that led to them.
#[derive(Debug, Default)]
pub(super) struct NewsLog {
    values: BTreeMap<Key, Entry>,
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
            .map(|entry| (entry.key.clone(), entry.clone()))
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

    fn push(&mut self, change: &Change, made: Option<Moment>) {
        match change {
            Change::Put(entry) => {
                self.values.insert(entry.key.clone(), entry.clone());
                if entry.value.len() > LARGE_BYTES {
                    self.changes
                        .retain(|noted| *noted.change.key() != entry.key);
                }
            }
            Change::Deleted { key, .. } => {
                self.values.remove(key);
            }
        }
        let change = change.clone();
        self.changes.push_back(Noted { change, made });
        if self.changes.len() > MOST_CHANGES {
            let forgotten = self.changes.pop_front();
            self.floor = forgotten.map_or(self.floor, |noted| noted.change.version());
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
            .filter(|noted| noted.change.version() > version && scope.covers(noted.change.key()));
        Some(later.cloned().collect())
    }

    /// All values of `scope`.
    pub(super) fn all(&self, scope: &Scope) -> Vec<Entry> {
        let values = self.values.values();
        values
            .filter(|entry| scope.covers(&entry.key))
            .cloned()
            .collect()
    }
}
