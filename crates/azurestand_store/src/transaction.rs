//! Conditional writes and their outcomes.

use bytes::Bytes;
use derive_more::{Display, From, Into};

use crate::key::Key;
use crate::store::LeaseId;

/// The store's counter of changes; a value's version is the change that wrote it.
///
/// It only grows, unless the store is restored to an older state.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct Version(pub u64);

impl Version {
    /// The version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A condition for a transaction to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The key has no value.
    Absent {
        /// The key.
        key: Key,
    },
    /// The key has some value.
    Present {
        /// The key.
        key: Key,
    },
    /// The key's value was last written by this version.
    Unchanged {
        /// The key.
        key: Key,
        /// The version of its last write.
        version: Version,
    },
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a value, which is deleted with its lease if it has one.
    Put {
        /// The key.
        key: Key,
        /// The new value.
        value: Bytes,
        /// The lease that the value belongs to.
        lease: Option<LeaseId>,
    },
    /// Removes a value.
    Delete {
        /// The key.
        key: Key,
    },
}

/// Writes that apply atomically if all conditions hold.
///
/// The service takes at most 128 operations and about a megabyte at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates an empty transaction, which always applies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that `key` has no value.
    #[must_use]
    pub fn when_absent(mut self, key: Key) -> Self {
        self.conditions.push(Condition::Absent { key });
        self
    }

    /// Adds the condition that `key` was last written by `version`.
    #[must_use]
    pub fn when_unchanged(mut self, key: Key, version: Version) -> Self {
        self.conditions.push(Condition::Unchanged { key, version });
        self
    }

    /// Adds the condition that `key` has some value.
    #[must_use]
    pub fn when_present(mut self, key: Key) -> Self {
        self.conditions.push(Condition::Present { key });
        self
    }

    /// Adds a write of a value without a lease.
    #[must_use]
    pub fn put<V>(mut self, key: Key, value: V) -> Self
    where
        V: Into<Bytes>,
    {
        let value = value.into();
        let lease = None;
        self.writes.push(Write::Put { key, value, lease });
        self
    }

    /// Adds a write of a value that is deleted with `lease`.
    #[must_use]
    pub fn put_leased<V>(mut self, key: Key, value: V, lease: LeaseId) -> Self
    where
        V: Into<Bytes>,
    {
        let value = value.into();
        let lease = Some(lease);
        self.writes.push(Write::Put { key, value, lease });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn delete(mut self, key: Key) -> Self {
        self.writes.push(Write::Delete { key });
        self
    }
}

/// Why a transaction certainly did not apply and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// A condition did not hold.
    #[display("another change came first; read again and decide anew")]
    Conflict,
    /// The lease of a write has expired.
    #[display("the lease has lapsed; acquire it again")]
    LeaseExpired,
    /// The store rejected the call because of its rate limit.
    #[display("the store is over its rate; back off and send it again")]
    Throttled,
    /// This process has used up its share of the store's rate limit.
    #[display("this process is over its share of the store's rate; send it later")]
    OverBudget,
    /// No connection could be made, so that nothing was sent.
    #[display("no store address takes connections; send it again later")]
    NotSent,
    /// The store found the transaction invalid.
    #[display("the store found the transaction invalid; check its size and its keys")]
    Refused,
}

/// The outcome of a transaction.
///
/// Only `NotApplied` may be treated as a failure. After `Unknown` the caller has
/// to read the store; [`crate::Settle`] does so for transactions that write a marker.
#[must_use = "an unknown outcome has to be resolved"]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Applied {
        /// The version that it made.
        version: Version,
    },
    /// It did not take effect and never will.
    NotApplied(Cause),
    /// It was sent, but no answer shows whether it took effect or still will.
    Unknown,
}
