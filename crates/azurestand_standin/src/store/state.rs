//! The key-value semantics: revisions, transactions, leases and history.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::message::{
    Compare, Event, KeyValue, Op, OpAnswer, Order, Put, Range, RangeAnswer, Target, Txn,
};

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// Everything that a restore brings back.
#[derive(Debug, Clone, Default)]
pub(crate) struct Data {
    pub(crate) revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    history: Vec<Event>,
    pub(crate) compacted: i64,
    next_lease: i64,
}

impl Data {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            next_lease: 1,
            ..Self::default()
        }
    }

    pub(crate) fn range(&self, range: &Range) -> RangeAnswer {
        let limit = usize::try_from(range.limit).unwrap_or(0);
        let mut kvs: Vec<_> = self.within(range).cloned().collect();
        let count = kvs.len();
        if limit > 0 {
            kvs.truncate(limit);
        }
        if range.keys_only {
            for kv in &mut kvs {
                kv.value.0.clear();
            }
        }
        RangeAnswer {
            more: kvs.len() < count,
            count: int64(count),
            kvs,
        }
    }

    fn within<'a>(&'a self, range: &'a Range) -> impl Iterator<Item = &'a KeyValue> {
        let tail = self.keys.range(range.key.0.clone()..);
        tail.map(|(_, kv)| kv)
            .take_while(|kv| range.holds(&kv.key.0))
    }

    /// Runs a transaction; the second value tells whether it wrote.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Result<(bool, Vec<OpAnswer>), String> {
        let holds = txn.compare.iter().all(|compare| self.compare(compare));
        let ops = if holds { &txn.success } else { &txn.failure };
        for op in ops {
            self.check(op)?;
        }
        let writes = ops.iter().any(|op| self.writes(op));
        if writes {
            self.revision += 1;
        }
        Ok((holds, ops.iter().map(|op| self.apply(op)).collect()))
    }

    fn compare(&self, compare: &Compare) -> bool {
        let found = self.keys.get(&compare.key.0);
        let order = match compare.target {
            Target::Value => {
                let value = found.map_or(&[][..], |kv| &kv.value.0);
                // A missing key has no value, so no comparison of values holds.
                if found.is_none() {
                    return false;
                }
                value.cmp(&compare.value.0)
            }
            Target::Version => found.map_or(0, |kv| kv.version).cmp(&compare.version),
            Target::Create => found
                .map_or(0, |kv| kv.create_revision)
                .cmp(&compare.create_revision),
            Target::Mod => found
                .map_or(0, |kv| kv.mod_revision)
                .cmp(&compare.mod_revision),
            Target::Lease => found.map_or(0, |kv| kv.lease).cmp(&compare.lease),
        };
        match compare.result {
            Order::Equal => order.is_eq(),
            Order::NotEqual => order.is_ne(),
            Order::Greater => order.is_gt(),
            Order::Less => order.is_lt(),
        }
    }

    fn check(&self, op: &Op) -> Result<(), String> {
        match op {
            Op::Put(put) if put.lease != 0 && !self.leases.contains_key(&put.lease) => {
                Err("etcdserver: requested lease not found".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn writes(&self, op: &Op) -> bool {
        match op {
            Op::Put(_) => true,
            Op::Delete(range) => self.within(range).next().is_some(),
            Op::Range(_) => false,
        }
    }

    fn apply(&mut self, op: &Op) -> OpAnswer {
        match op {
            Op::Put(put) => {
                self.put(put);
                OpAnswer::Put {}
            }
            Op::Delete(range) => OpAnswer::DeleteRange {
                deleted: self.delete(range),
            },
            Op::Range(range) => OpAnswer::Range(self.range(range)),
        }
    }

    fn put(&mut self, put: &Put) {
        let revision = self.revision;
        let old = self.keys.get(&put.key.0);
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |kv| kv.version + 1),
            lease: put.lease,
        };
        let old = self.keys.insert(put.key.0.clone(), kv.clone());
        if let Some(lease) = old.and_then(|kv| self.leases.get_mut(&kv.lease)) {
            lease.keys.remove(&put.key.0);
        }
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.0.clone());
        }
        self.history.push(Event { delete: false, kv });
    }

    fn delete(&mut self, range: &Range) -> i64 {
        let gone: Vec<_> = self.within(range).map(|kv| kv.key.0.clone()).collect();
        for key in &gone {
            self.remove(key);
        }
        int64(gone.len())
    }

    fn remove(&mut self, key: &[u8]) {
        let Some(old) = self.keys.remove(key) else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(&old.lease) {
            lease.keys.remove(key);
        }
        let kv = KeyValue {
            key: old.key,
            mod_revision: self.revision,
            ..KeyValue::default()
        };
        self.history.push(Event { delete: true, kv });
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let keys = BTreeSet::new();
        let until = now + ttl;
        self.leases.insert(id, Lease { ttl, until, keys });
        id
    }

    /// Extends a lease; none when it has lapsed.
    pub(crate) fn keep(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.until = now + lease.ttl;
        Some(lease.ttl)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in &lease.keys {
            self.remove(key);
        }
        true
    }

    pub(crate) fn lapse(&mut self, now: Instant) -> bool {
        let due = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        let mut wrote = false;
        for id in due {
            wrote |= self.revoke(id);
        }
        wrote
    }

    /// Gives every lease its whole time again, as a restarted store does.
    pub(crate) fn renew_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.until = now + lease.ttl;
        }
    }

    /// Changes of keys in `range` from revision `from` on; none when compacted away.
    pub(crate) fn events(&self, range: &Range, from: i64) -> Option<Vec<Event>> {
        if from < self.compacted {
            return None;
        }
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision < from);
        let found = self.history[start..].iter();
        Some(
            found
                .filter(|event| range.holds(&event.kv.key.0))
                .cloned()
                .collect(),
        )
    }

    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision;
        let kept = self.compacted;
        self.history.retain(|event| event.kv.mod_revision >= kept);
    }
}

fn int64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
