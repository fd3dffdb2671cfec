//! How far a version has come on this host.

use std::time::Duration;

use azurestand_types::{Digest, ModelName, VersionName};

/// Bytes received and verified, by where they came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sourced {
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
    /// Received and thrown away as corrupt.
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
    /// Bytes received for this version by source, since it became wanted.
    pub sourced: Sourced,
    /// Time since the version became wanted, or until it was complete.
    pub age: Duration,
    /// The time still needed at the average rate so far; none before the first byte.
    pub remaining: Option<Duration>,
}
