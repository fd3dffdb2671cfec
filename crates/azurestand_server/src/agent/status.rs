//! The short status of a host that membership carries to everyone.

use bytes::Bytes;
use prost::Message;

use crate::codes;

/// One target in a host's status.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetStatus {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub(crate) target: String,
    /// The model or service.
    #[prost(string, tag = "2")]
    pub(crate) subject: String,
    /// Whether it is an engine.
    #[prost(bool, tag = "3")]
    pub(crate) engine: bool,
    /// The life state's number.
    #[prost(uint32, tag = "4")]
    pub(crate) state: u32,
    /// The head of the digest that it serves; enough to tell versions apart.
    #[prost(fixed64, tag = "5")]
    pub(crate) weights: u64,
}

impl TargetStatus {
    /// The life state as a word.
    pub(crate) fn phase(&self) -> String {
        codes::to_phase(self.state).to_string()
    }
}

/// How far one version has come on a host.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct VersionStatus {
    /// The head of the manifest's digest.
    #[prost(fixed64, tag = "1")]
    pub(crate) manifest: u64,
    /// Chunks held.
    #[prost(uint32, tag = "2")]
    pub(crate) held: u32,
    /// Chunks in all.
    #[prost(uint32, tag = "3")]
    pub(crate) wanted: u32,
    /// Bytes from the origin or weight store.
    #[prost(uint64, tag = "4")]
    pub(crate) origin: u64,
    /// Bytes from other regions.
    #[prost(uint64, tag = "5")]
    pub(crate) cross: u64,
    /// Bytes from this region.
    #[prost(uint64, tag = "6")]
    pub(crate) near: u64,
    /// Seconds still needed; 0 when unknown or complete.
    #[prost(uint32, tag = "7")]
    pub(crate) remaining: u32,
}

/// A host's status.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HostStatus {
    /// Its targets.
    #[prost(message, repeated, tag = "1")]
    pub(crate) targets: Vec<TargetStatus>,
    /// Versions under way or held.
    #[prost(message, repeated, tag = "2")]
    pub(crate) versions: Vec<VersionStatus>,
    /// Where an entry takes callers' requests; empty for an agent.
    #[prost(string, tag = "3")]
    pub(crate) callers: String,
}

impl HostStatus {
    /// Reads a status; one that can't be read counts as empty.
    pub(crate) fn read(blob: &Bytes) -> Self {
        Self::decode(blob.clone()).unwrap_or_default()
    }
}
