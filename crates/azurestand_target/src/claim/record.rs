//! The contents of the store for a shard.

use std::time::Duration;

use azurestand_types::{Epoch, HostName, Incarnation};
use bytes::Bytes;
use derive_more::{Display, From};

use super::key::ClaimKey;

/// One incarnation of the process on a host.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}#{incarnation}")]
pub struct Holder {
    /// The host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

impl Holder {
    /// Whether this is an earlier incarnation of the process on the same host.
    pub(crate) fn is_earlier(&self, other: &Self) -> bool {
        self.host == other.host && self.incarnation < other.incarnation
    }
}

/// The store revision at which a key was last written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct Version(pub u64);

/// The record of who holds a shard; every commit rewrites it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The number of takeovers so far.
    pub epoch: Epoch,
    /// The holder; none after it has handed over the shard.
    pub holder: Option<Holder>,
    /// The number of writes of this record over all epochs.
    pub write_number: u64,
    /// Whether every run so far had its claim in the store before it started,
    /// or its retry window is over.
    pub proved: bool,
    /// How long the holder may act after this write.
    pub lease: Duration,
}

/// The state of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// Its request may run or have run.
    Claimed,
    /// Its request ran and was answered; a large answer isn't stored.
    Answered(Option<Bytes>),
    /// It is unknown whether its request ran.
    Unknown,
    /// Its request did not run; the key can be claimed again.
    Released,
}

/// One change of a key's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// The first half of the digest of the request's content.
    pub fingerprint: u128,
    /// The new state.
    pub state: ClaimState,
}

/// One transaction: if the record's version is `expected_version`, it writes the record,
/// writes the claims under the record's write number, and deletes old batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The version that the record must have; none if it must not exist.
    pub expected_version: Option<Version>,
    /// The new record.
    pub record: Record,
    /// The claims to write under [`Shard::batch_key`](super::Shard::batch_key)
    /// of the record's write number; nothing is written there when this is empty.
    pub claims: Vec<Claim>,
    /// The write numbers of the batches to delete.
    pub dropped_batches: Vec<u64>,
}

/// The store's answer to a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitResult {
    /// The commit took effect; the record now has this version.
    Applied(Version),
    /// The record had another version; nothing was written.
    NotApplied,
    /// There is no answer, or it doesn't show whether the commit took effect.
    Unknown,
}

/// The contents of the store for a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardContents {
    /// The record, if there is one.
    pub record: Option<(Record, Version)>,
    /// The batches by write number, the lowest first; empty if only the record was
    /// read.
    pub batches: Vec<(u64, Vec<Claim>)>,
}

impl Batch {
    /// A write of the record alone.
    pub(crate) fn of(expected_version: Option<Version>, record: Record) -> Self {
        Self {
            expected_version,
            record,
            claims: Vec::new(),
            dropped_batches: Vec::new(),
        }
    }
}
