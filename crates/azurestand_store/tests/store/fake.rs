//! An in-memory store in virtual time, whose leases expire as early as allowed.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_store::{
    Cause, Change, Commit, Condition, Entry, Grant, Key, KeyVersion, LeaseId, Listing, Renewal,
    Scope, Transaction, Version, Versioned, Versions, Write,
};
use azurestand_types::Moment;

/// The maximum factor by which the store's clock runs faster than the holders' clocks.
const FAST_CLOCK: f64 = 0.95;

#[derive(Debug, Clone)]
pub(crate) struct Fake {
    pub(crate) entries: BTreeMap<Key, Entry>,
    pub(crate) version: Version,
    leases: BTreeMap<LeaseId, (Duration, Moment)>,
    next_lease: u64,
    pub(crate) history: Vec<Change>,
    pub(crate) compacted: Version,
}

impl Fake {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            version: Version(1),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: Vec::new(),
            compacted: Version(0),
        }
    }

    pub(crate) fn grant(&mut self, now: Moment, ttl: Duration) -> Grant {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let until = now + ttl.mul_f64(FAST_CLOCK);
        self.leases.insert(lease, (ttl, until));
        Grant { lease, ttl }
    }

    pub(crate) fn renew(&mut self, now: Moment, lease: LeaseId) -> Renewal {
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = now + ttl.mul_f64(FAST_CLOCK);
                Renewal::Renewed { ttl: *ttl }
            }
            None => Renewal::Expired,
        }
    }

    pub(crate) fn release(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let gone = self.entries.values().filter(|e| e.lease == Some(lease));
        let gone: Vec<_> = gone.map(|entry| entry.key.clone()).collect();
        if !gone.is_empty() {
            self.version = self.version.next();
        }
        for key in gone {
            self.remove(&key);
        }
    }

    pub(crate) fn lapse(&mut self, now: Moment) {
        let due = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let due: Vec<_> = due.map(|(lease, _)| *lease).collect();
        for lease in due {
            self.release(lease);
        }
    }

    pub(crate) fn commit(&mut self, transaction: &Transaction) -> Commit {
        if !transaction.conditions.iter().all(|c| self.holds(c)) {
            return Commit::NotApplied(Cause::Conflict);
        }
        let lapsed = |write: &Write| match write {
            Write::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Delete { .. } => false,
        };
        if transaction.writes.iter().any(lapsed) {
            return Commit::NotApplied(Cause::LeaseExpired);
        }
        self.version = self.version.next();
        for write in &transaction.writes {
            self.write(write);
        }
        Commit::Applied {
            version: self.version,
        }
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.entries.contains_key(key),
            Condition::Present { key } => self.entries.contains_key(key),
            Condition::Unchanged { key, version } => self
                .entries
                .get(key)
                .is_some_and(|entry| entry.version == *version),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value, lease } => {
                let entry = Entry {
                    key: key.clone(),
                    value: value.clone(),
                    version: self.version,
                    lease: *lease,
                };
                self.entries.insert(key.clone(), entry.clone());
                self.history.push(Change::Put(entry));
            }
            Write::Delete { key } => self.remove(key),
        }
    }

    fn remove(&mut self, key: &Key) {
        if self.entries.remove(key).is_some() {
            let (key, version) = (key.clone(), self.version);
            self.history.push(Change::Deleted { key, version });
        }
    }

    pub(crate) fn read(&self, key: &Key) -> Option<Versioned> {
        self.entries.get(key).map(|entry| Versioned {
            value: entry.value.clone(),
            version: entry.version,
        })
    }

    pub(crate) fn list(&self, scope: &Scope) -> Listing {
        let found = self.entries.values().filter(|e| scope.covers(&e.key));
        Listing {
            entries: found.cloned().collect(),
            version: self.version,
        }
    }

    pub(crate) fn versions(&self, scope: &Scope) -> Versions {
        let found = self.entries.values().filter(|e| scope.covers(&e.key));
        let keys = found.map(|entry| KeyVersion {
            key: entry.key.clone(),
            version: entry.version,
        });
        Versions {
            keys: keys.collect(),
            version: self.version,
        }
    }

    pub(crate) fn compact(&mut self) {
        self.compacted = self.version;
        self.history.clear();
    }
}
