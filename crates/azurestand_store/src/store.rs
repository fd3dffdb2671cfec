//! The interface of the store, independent of what serves it.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use tokio::sync::mpsc;

use crate::error::StoreError;
use crate::key::{Key, Scope};
use crate::transaction::{Commit, Transaction, Version};

/// The id of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into)]
pub struct LeaseId(pub u64);

/// A value and the version of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Bytes,
    /// The version of its last write.
    pub version: Version,
}

/// One value of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// The version of its last write.
    pub version: Version,
    /// The lease that the value is deleted with.
    pub lease: Option<LeaseId>,
}

/// All values of a scope at one moment, in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The values.
    pub entries: Vec<Entry>,
    /// The store's version at that moment; a watch continues from the next one.
    pub version: Version,
}

/// One key of a scope without its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyVersion {
    /// The key.
    pub key: Key,
    /// The version of its last write.
    pub version: Version,
}

/// The versions of a scope at one moment, for a cheap check for changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versions {
    /// The keys, in order.
    pub keys: Vec<KeyVersion>,
    /// The store's version at that moment.
    pub version: Version,
}

/// A lease that the store has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The lease.
    pub lease: LeaseId,
    /// How long it lasts from the moment that the store granted it.
    pub ttl: Duration,
}

/// The result of renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was extended; it lasts this long from when the store answered.
    Renewed {
        /// The lease's time to live.
        ttl: Duration,
    },
    /// The lease had expired; its values were deleted.
    Expired,
}

/// One change under a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A value was set.
    Put(Entry),
    /// A value was deleted, by itself or with its lease.
    Deleted {
        /// The key.
        key: Key,
        /// The version of the removal.
        version: Version,
    },
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &Key {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// The version that the change made.
    pub fn version(&self) -> Version {
        match self {
            Self::Put(entry) => entry.version,
            Self::Deleted { version, .. } => *version,
        }
    }
}

/// An event of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// Changes in the order of their versions.
    Changed(Vec<Change>),
    /// Changes before `oldest` were compacted: there is a gap, so list again.
    Compacted {
        /// The oldest version that can still be watched from.
        oldest: Version,
    },
    /// The watch has ended.
    Closed,
}

/// An open watch; dropping it closes its connection.
#[derive(Debug)]
pub struct Watch {
    version: Version,
    events: mpsc::Receiver<WatchEvent>,
}

impl Watch {
    /// Creates a watch that was opened at `version` and receives `events`.
    pub fn new(version: Version, events: mpsc::Receiver<WatchEvent>) -> Self {
        Self { version, events }
    }

    /// The store's version when the watch was opened.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the next event; always `Closed` once the watch has ended.
    ///
    /// Cancel safe: dropping the future loses no event.
    pub async fn next(&mut self) -> WatchEvent {
        self.events.recv().await.unwrap_or(WatchEvent::Closed)
    }
}

/// A client of the platform's key-value service.
///
/// Every method counts as one call against the store's rate limits, whether it
/// succeeds or not.
pub trait Store: Send + Sync {
    /// Reads one value; none when the key has no value.
    fn read(&self, key: &Key)
    -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Reads all values of a scope at one moment.
    fn list(&self, scope: &Scope) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads the versions of a scope at one moment, without the values.
    fn versions(&self, scope: &Scope) -> impl Future<Output = Result<Versions, StoreError>> + Send;

    /// Applies a transaction at most once.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Commit> + Send;

    /// Requests a lease of about `ttl`; the store counts in whole seconds.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Grant, StoreError>> + Send;

    /// Renews a lease for its full time to live.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Renewal, StoreError>> + Send;

    /// Ends a lease and removes its values; an expired lease counts as released.
    fn release(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Opens a watch on the changes from version `from` on; 0 is from now on.
    fn watch(
        &self,
        scope: &Scope,
        from: Version,
    ) -> impl Future<Output = Result<Watch, StoreError>> + Send;
}
