//! The message that members exchange, validated and limited in size.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, NameError, Revision};
use bytes::Bytes;
use prost::Message as _;
use quick_error::quick_error;

use crate::config::{ConfigError, MAX_CONFIG_BYTES, SectionName};
use crate::record::{Record, Version};
use crate::{Identity, Stamp};

mod check;
mod records;
mod scan;
mod wire;

/// The maximum size of an encoded message; only a configuration delta comes near it.
pub const MAX_GOSSIP_BYTES: usize = MAX_CONFIG_BYTES + 65_536;

/// The number of buckets of a view's digest when two members compare views.
pub(crate) const BUCKETS: usize = 128;

pub(crate) const MAX_RECORDS: usize = 256;
pub(crate) const MAX_HEARD: usize = 64;
pub(crate) const MAX_BRIEFS: usize = 512;

quick_error! {
    /// The reason why a message was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum GossipError {
        /// The message is larger than any member sends.
        TooLarge(length: usize) {
            display("a gossip message has {length} bytes, over the bound of 1114112; check the sender's version")
        }
        /// A list in the message is longer than any member sends.
        TooMany(field: &'static str) {
            display("a gossip message holds too many {field}; check the sender's version")
        }
        /// The bytes aren't a message.
        Malformed(cause: prost::DecodeError) {
            display("a gossip message is malformed ({cause}); check the sender's version")
            from()
        }
        /// A required part is missing.
        Missing(field: &'static str) {
            display("a gossip message lacks its {field}; check the sender's version")
        }
        /// A field has an invalid value.
        Value(field: &'static str) {
            display("a gossip message has an unusable {field}; check the sender's version")
        }
        /// A name in the message is malformed.
        Name(cause: NameError) {
            display("a gossip message contains an unusable name: {cause}")
            from()
        }
        /// The message carries a document that exceeds a limit.
        Config(cause: ConfigError) {
            display("a gossip message carries an unusable document: {cause}")
            from()
        }
    }
}

/// A message between two members.
///
/// Each message carries the sender, the stamp of the document that the sender
/// has in force, and the time since the last known answer of the store and message
/// of each data centre, so that any traffic keeps peers up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gossip {
    pub(crate) sender: Record,
    pub(crate) stamp: Option<Stamp>,
    pub(crate) store_age: Option<Duration>,
    pub(crate) heard: Vec<Heard>,
    pub(crate) records: Vec<Record>,
    pub(crate) body: Body,
}

/// The time since the last known message from a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Heard {
    pub(crate) centre: DataCentre,
    pub(crate) age: Duration,
}

/// The request or response in a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Body {
    /// Asks for an acknowledgement with the same number.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Asks the receiver to ping `address` and pass on the acknowledgement.
    Relay { number: u64, address: SocketAddr },
    /// Carries records or the header only; expects no answer.
    Push,
    /// Opens a comparison of two views.
    Digest { statuses: bool, buckets: Vec<u32> },
    /// Lists what the sender has in the buckets that differ.
    Summary(Summary),
    /// Asks for the records of these hosts.
    Want {
        statuses: bool,
        hosts: Vec<HostName>,
    },
    /// Asks for the sections that changed since these revisions.
    Pull { marks: Marks },
    /// Answers a pull.
    Delta(Delta),
}

/// Sections and the revision at which each last changed.
pub(crate) type Marks = BTreeMap<SectionName, Revision>;

/// What a member holds in some buckets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Summary {
    pub(crate) statuses: bool,
    pub(crate) buckets: Vec<usize>,
    pub(crate) briefs: Vec<Brief>,
}

/// The versions of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Brief {
    pub(crate) host: HostName,
    pub(crate) version: Version,
    pub(crate) counter: u64,
}

impl Brief {
    pub(crate) fn of(record: &Record) -> Self {
        Self {
            host: record.identity.host.clone(),
            version: record.version(),
            counter: record.status.counter,
        }
    }

    /// Whether the sender has a newer status than `known` of the same incarnation.
    pub(crate) fn status_outranks(&self, known: &Record) -> bool {
        known.identity.incarnation == self.version.incarnation
            && self.counter > known.status.counter
    }
}

/// The sections that the receiver lacks, and the revisions of all sections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Delta {
    pub(crate) stamp: Stamp,
    pub(crate) marks: Marks,
    pub(crate) texts: BTreeMap<SectionName, Arc<str>>,
}

impl Gossip {
    /// Who sent the message, as the message says; the daemon authenticates the frame.
    pub fn sender(&self) -> &Identity {
        &self.sender.identity
    }

    /// The message as bytes, at most [`MAX_GOSSIP_BYTES`].
    pub fn encode(&self) -> Bytes {
        wire::Packet::from(self).encode_to_vec().into()
    }

    /// The number of bytes that [`Gossip::encode`] gives.
    pub fn encoded_len(&self) -> usize {
        wire::Packet::from(self).encoded_len()
    }

    /// Reads and checks a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are too many, aren't a message, or hold a value
    /// out of its bounds. The caller drops the message and counts it.
    pub fn decode(bytes: &[u8]) -> Result<Self, GossipError> {
        if bytes.len() > MAX_GOSSIP_BYTES {
            return Err(GossipError::TooLarge(bytes.len()));
        }
        scan::scan(bytes)?;
        Self::try_from(wire::Packet::decode(bytes)?)
    }
}

/// The encoded size of one record, used to fill packets up to their limit.
pub(crate) fn record_bytes(record: &Record, status: bool) -> usize {
    const FRAME_BYTES: usize = 3;
    wire::record(record, status).encoded_len() + FRAME_BYTES
}
