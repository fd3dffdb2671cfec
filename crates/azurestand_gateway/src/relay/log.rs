//! The store's values as an entry read them, with the latest changes.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use azurestand_store::{Change, Key, Position, Scope, Snapshot, Version};
use azurestand_types::Moment;

use super::message::KeyChange;

/// Maximum number of retained changes; a process that missed more gets all values.
const MAX_CHANGES: usize = 512;

/// A change, with the time when it was made; none if unknown.
#[derive(Debug, Clone)]
pub(super) struct LogEntry {
    key: Key,
    pub(super) change: KeyChange,
    pub(super) changed_at: Option<Moment>,
}

/// All values as they are passed on, and the changes that led to them. Of the changes of a
/// key with a large value only the last one is retained.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    values: BTreeMap<Key, KeyChange>,
    changes: VecDeque<LogEntry>,
    /// Changes up to this version are not retained.
    compacted: Version,
    position: Position,
}

impl ChangeLog {
    /// The store's position after the last update.
    pub(super) fn position(&self) -> Position {
        self.position
    }

    /// Replaces all values and drops the earlier changes.
    pub(super) fn replace(&mut self, snapshot: &Snapshot) {
        let values = snapshot.entries.iter();
        self.values = values
            .map(|entry| (entry.key.clone(), KeyChange::from(entry)))
            .collect();
        self.changes.clear();
        self.compacted = snapshot.position.version;
        self.position = snapshot.position;
    }

    /// Appends changes in order, and sets the store's position after them.
    pub(super) fn extend(
        &mut self,
        changes: &[Change],
        position: Position,
        changed_at: Option<Moment>,
    ) {
        for change in changes {
            self.push(change, changed_at);
        }
        self.position = position;
    }

    fn push(&mut self, raw: &Change, changed_at: Option<Moment>) {
        let key = raw.key().clone();
        let change = KeyChange::from(raw);
        match raw {
            Change::Put(_) => self.values.insert(key.clone(), change.clone()),
            Change::Deleted { .. } => self.values.remove(&key),
        };
        if change.is_large() {
            self.changes.retain(|entry| entry.key != key);
        }
        self.changes.push_back(LogEntry {
            key,
            change,
            changed_at,
        });
        if self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            self.compacted = dropped.map_or(self.compacted, |entry| Version(entry.change.version));
        }
    }

    /// The changes of `scope` after `known`; none if some of them are no longer retained or
    /// `known` belongs to another era.
    pub(super) fn since(&self, scope: &Scope, known: Position) -> Option<Vec<LogEntry>> {
        let version = known.version;
        if known.era != self.position.era || version < self.compacted {
            return None;
        }
        let later = self
            .changes
            .iter()
            .filter(|entry| entry.change.version > version.0 && scope.covers(&entry.key));
        Some(later.cloned().collect())
    }

    /// All values of `scope`.
    pub(super) fn all(&self, scope: &Scope) -> Vec<KeyChange> {
        let values = self.values.iter();
        let values = values.filter(|(key, _)| scope.covers(key));
        values.map(|(_, value)| value.clone()).collect()
    }
}
