//! Datagrams between entries and agents: an entry asks, an agent reports.
//!
//! Nothing is kept or agreed on. An entry that stops asking is forgotten, and
//! one that hears nothing falls back on what targets' answers say.

use prost::Message;

/// Datagrams of more bytes are dropped.
pub(crate) const MAX_BYTES: usize = 8 * 1024;
/// Entries that an agent names to an entry, at most.
pub(crate) const MAX_ENTRIES: usize = 60;

/// Versions that an agent tells an entry of, at most.
pub(crate) const MAX_VERSIONS: usize = 8;

/// An entry asks an agent for reports.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Hello {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub(crate) entry: String,
    /// The entry's data centre.
    #[prost(string, tag = "2")]
    pub(crate) centre: String,
    /// Whether it wants to hear which entries there are.
    #[prost(bool, tag = "3")]
    pub(crate) names: bool,
}

/// An entry as an agent knows it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct KnownEntry {
    /// Its address.
    #[prost(string, tag = "1")]
    pub(crate) ip: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub(crate) centre: String,
}

/// A version that an agent knows of.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct KnownVersion {
    /// The model.
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Milliseconds since it was named; none if the agent can't tell.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) age: Option<u64>,
}

/// An agent tells what its engine does.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EngineReport {
    /// When the engine's present life began.
    #[prost(uint64, optional, tag = "1")]
    pub(crate) born: Option<u64>,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub(crate) running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "3")]
    pub(crate) waiting: u32,
    /// Milliseconds until it loads weights and takes nothing; 0 while it does so.
    #[prost(uint32, optional, tag = "4")]
    pub(crate) closes_in: Option<u32>,
    /// Entries that ask this agent.
    #[prost(uint32, tag = "5")]
    pub(crate) entries: u32,
    /// These entries; only in the answer to a question for them.
    #[prost(message, repeated, tag = "6")]
    pub(crate) known: Vec<KnownEntry>,
    /// The newest versions that it knows of; only in the answer to a question.
    #[prost(message, repeated, tag = "7")]
    pub(crate) named: Vec<KnownVersion>,
}
