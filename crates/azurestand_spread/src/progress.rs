//! The progress of a version on this host.

use std::time::Duration;

use azurestand_types::{Digest, ModelName, VersionName};

/// Bytes received and verified, by source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceBytes {
    /// From the origin.
    pub origin: u64,
    /// From the weight store.
    pub store: u64,
    /// From hosts of other regions.
    pub cross: u64,
    /// From other data centres of this region.
    pub region: u64,
    /// From hosts of this data centre.
    pub centre: u64,
    /// Received and discarded as corrupt.
    pub corrupt: u64,
}

/// One wanted version's state, for `azurestand status` and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// The manifest's digest.
    pub manifest: Digest,
    /// Chunks held and verified.
    pub held: usize,
    /// Chunks in the manifest.
    pub wanted: usize,
    /// Bytes held and verified.
    pub bytes: u64,
    /// Bytes of the whole version.
    pub size: u64,
    /// Bytes received for this version since it became wanted, by source.
    pub source_bytes: SourceBytes,
    /// Time since the version became wanted, up to its completion.
    pub age: Duration,
    /// Estimated remaining time at the average rate so far; none before the first byte.
    pub remaining: Option<Duration>,
}
