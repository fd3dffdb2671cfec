//! Datagrams between entries and agents: an entry subscribes, an agent reports.
//!
//! There is no session and no acknowledgement. An agent drops an entry that stops
//! subscribing, and an entry that receives no reports falls back on the load in
//! targets' responses.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

/// The largest datagram in bytes; larger ones are dropped.
pub(crate) const MAX_BYTES: usize = 8 * 1024;
/// Maximum number of entries in an agent's report, which take about 7 bytes each.
pub(crate) const MAX_ENTRIES: usize = 1_000;

/// Maximum number of versions in an agent's report.
pub(crate) const MAX_VERSIONS: usize = 8;

/// An entry's subscription to an agent's reports.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Subscribe {
    /// The entry's name.
    #[prost(string, tag = "1")]
    pub(crate) entry: String,
    /// The entry's data centre.
    #[prost(string, tag = "2")]
    pub(crate) centre: String,
    /// Whether the reply should list the known entries.
    #[prost(bool, tag = "3")]
    pub(crate) wants_entries: bool,
}

/// An entry that has subscribed to an agent's reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownEntry {
    /// Its address.
    pub(crate) ip: IpAddr,
    /// Its data centre.
    pub(crate) centre: Arc<str>,
}

/// The entries of one data centre that have subscribed to an agent's reports. Grouping them
/// keeps the report of a large deployment in one datagram.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EntryGroup {
    /// The data centre.
    #[prost(string, tag = "1")]
    centre: String,
    /// The octets of the entries' addresses, 4 or 16 each.
    #[prost(bytes = "bytes", repeated, tag = "2")]
    addresses: Vec<Bytes>,
}

impl EntryGroup {
    /// Groups entries by data centre, [`MAX_ENTRIES`] at most.
    pub(crate) fn group(entries: &[KnownEntry]) -> Vec<Self> {
        let mut groups: BTreeMap<&str, Vec<Bytes>> = BTreeMap::new();
        for entry in entries.iter().take(MAX_ENTRIES) {
            let group = groups.entry(entry.centre.as_ref()).or_default();
            group.push(octets(entry.ip));
        }
        let groups = groups.into_iter();
        groups
            .map(|(centre, addresses)| Self {
                centre: centre.to_owned(),
                addresses,
            })
            .collect()
    }

    /// The entries of the group; addresses of another length are skipped.
    pub(crate) fn entries(&self) -> impl Iterator<Item = KnownEntry> {
        let centre: Arc<str> = self.centre.as_str().into();
        let addresses = self.addresses.iter().filter_map(|octets| address(octets));
        addresses.map(move |ip| KnownEntry {
            ip,
            centre: centre.clone(),
        })
    }
}

fn octets(ip: IpAddr) -> Bytes {
    match ip {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    }
}

fn address(octets: &[u8]) -> Option<IpAddr> {
    let short = <[u8; 4]>::try_from(octets).map(IpAddr::from);
    let long = <[u8; 16]>::try_from(octets).map(IpAddr::from);
    short.or(long).ok()
}

/// A version that an agent has seen named by the operators.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct KnownVersion {
    /// The model.
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Milliseconds since it was named; none if the agent doesn't know.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) age: Option<u64>,
}

/// An agent's report on its engine.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EngineReport {
    /// When the engine's current incarnation started.
    #[prost(uint64, optional, tag = "1")]
    pub(crate) started_at: Option<u64>,
    /// Running requests.
    #[prost(uint32, tag = "2")]
    pub(crate) running: u32,
    /// Waiting requests.
    #[prost(uint32, tag = "3")]
    pub(crate) waiting: u32,
    /// Milliseconds until it loads weights and accepts no requests; 0 while it does so.
    #[prost(uint32, optional, tag = "4")]
    pub(crate) closes_in: Option<u32>,
    /// Number of entries that subscribe to this agent's reports.
    #[prost(uint32, tag = "5")]
    pub(crate) entries: u32,
    /// These entries; only in the reply to an entry that asks for them.
    #[prost(message, repeated, tag = "9")]
    pub(crate) known_entries: Vec<EntryGroup>,
    /// The newest versions that it knows of; only in the reply to a subscription.
    #[prost(message, repeated, tag = "7")]
    pub(crate) named_versions: Vec<KnownVersion>,
    /// Whether the engine says that it leaves.
    #[prost(bool, tag = "8")]
    pub(crate) is_leaving: bool,
}
