//! What the store holds of a shard.

use std::time::Duration;

use azurestand_types::{Epoch, HostName, Incarnation};
use bytes::Bytes;
use derive_more::{Display, From};

use super::key::ClaimKey;

/// One life of one host's process.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{host}#{life}")]
pub struct Holder {
    /// The host.
    pub host: HostName,
    /// Which life of its process.
    pub life: Incarnation,
}

impl Holder {
    /// Whether this is an earlier life of the same host's process.
    pub(crate) fn is_before(&self, other: &Self) -> bool {
        self.host == other.host && self.life < other.life
    }
}

/// The store's revision at which a key was last written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct Version(pub u64);

/// Who holds a shard, rewritten by every commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Counts the takeovers.
    pub epoch: Epoch,
    /// The holder; none after it handed the shard on.
    pub holder: Option<Holder>,
    /// Counts the writes of this record over all epochs.
    pub beat: u64,
    /// Every run so far had its claim in the store before it started, or its
    /// retry window is over.
    pub proved: bool,
    /// How long the holder may act after this write.
    pub lease: Duration,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// It may run or have run.
    Claimed,
    /// It ran and gave an answer; a large one isn't stored.
    Answered(Option<Bytes>),
    /// It ran or not; nobody knows.
    Unknown,
    /// It did not run: the key is free again.
    Released,
}

/// One change to what is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: ClaimKey,
    /// The first half of the request's fingerprint.
    pub print: u128,
    /// What is known now.
    pub state: ClaimState,
}

/// One transaction: if the record's version is `expect`, write the record,
/// write the claims under the record's beat, and delete old batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The version that the record must have; none means that it must not exist.
    pub expect: Option<Version>,
    /// The new record.
    pub record: Record,
    /// The claims to write under [`Shard::batch_key`](super::Shard::batch_key)
    /// of the record's beat; nothing is written there when this is empty.
    pub claims: Vec<Claim>,
    /// Beats whose batches are deleted.
    pub drop: Vec<u64>,
}

/// What the store answered to a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// It took effect; the record has this version now.
    Applied(Version),
    /// The record had another version: nothing was written.
    NotApplied,
    /// No answer, or one that doesn't tell.
    Unknown,
}

/// What the store holds of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loaded {
    /// The record, if there is one.
    pub record: Option<(Record, Version)>,
    /// The batches by beat, the lowest first; empty when only the record was read.
    pub batches: Vec<(u64, Vec<Claim>)>,
}

impl Batch {
    /// A write of the record alone.
    pub(crate) fn of(expect: Option<Version>, record: Record) -> Self {
        Self {
            expect,
            record,
            claims: Vec::new(),
            drop: Vec::new(),
        }
    }
}
