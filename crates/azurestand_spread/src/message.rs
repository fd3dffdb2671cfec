//! The control messages that hosts exchange about chunks.

use azurestand_types::{Digest, DigestError, HostName, Incarnation, NameError};
use bytes::Bytes;
use prost::Message as _;
use quick_error::quick_error;

use crate::manifest::MAX_CHUNKS;

/// The longest encoded envelope, in bytes: a bitmap of the largest manifest and its headers.
const MAX_ENVELOPE_BYTES: usize = MAX_CHUNKS / 8 + 256;

quick_error! {
    /// Why bytes aren't an envelope.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum MessageError {
        /// The encoding is longer than any envelope.
        TooLong(length: usize) {
            display("a spread message has {length} bytes; its sender must stay under {MAX_ENVELOPE_BYTES}")
        }
        /// The encoding is broken.
        Malformed(source: prost::DecodeError) {
            display("a spread message can't be decoded: {source}; check that all hosts run one release")
            from()
        }
        /// A name isn't allowed.
        Name(source: NameError) {
            display("a spread message names no valid host: {source}")
            from()
        }
        /// A digest has the wrong length.
        Digest(source: DigestError) {
            display("a spread message holds no valid digest: {source}")
            from()
        }
        /// The kind isn't known to this release.
        Kind(kind: u32) {
            display("a spread message has the unknown kind {kind}; run one release on all hosts")
        }
    }
}

/// Why a request for a chunk was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefuseReason {
    /// All upload slots are taken; retry later or ask another host.
    Busy,
    /// The sender doesn't hold the chunk.
    Missing,
}

/// A control message. Each is complete by itself, so loss and duplicates do no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Subscribes to announcements of the chunks that the receiver holds, for a limited
    /// time.
    Subscribe {
        /// The version's manifest.
        manifest: Digest,
    },
    /// Announces which chunks of a version the sender holds.
    Announce {
        /// The version's manifest.
        manifest: Digest,
        /// Increases with each announcement; one that arrives late is ignored.
        sequence: u64,
        /// Bit `i` stands for chunk `i`, lowest bit of the first byte first.
        bits: Bytes,
    },
    /// Answers a subscription: the sender doesn't take this version.
    Decline {
        /// The version's manifest.
        manifest: Digest,
    },
    /// Requests a chunk.
    Request {
        /// The chunk.
        digest: Digest,
    },
    /// Refuses a request.
    Refuse {
        /// The chunk.
        digest: Digest,
        /// Why.
        reason: RefuseReason,
    },
    /// Cancels a request.
    Cancel {
        /// The chunk.
        digest: Digest,
    },
}

/// A message with its sender and the incarnations of both ends.
///
/// A host that returns under a new incarnation rejects messages to its old one, and
/// messages from old incarnations of other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: HostName,
    /// The sender's incarnation.
    pub sender: Incarnation,
    /// The receiver's incarnation that the message is for.
    pub receiver: Incarnation,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// The encoded bytes.
    pub fn encode(&self) -> Vec<u8> {
        Wire::from(self).encode_to_vec()
    }

    /// The length of [`Self::encode`] in bytes.
    pub fn encoded_len(&self) -> usize {
        Wire::from(self).encoded_len()
    }
}

impl TryFrom<&[u8]> for Envelope {
    type Error = MessageError;

    fn try_from(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_ENVELOPE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        let wire = Wire::decode(bytes)?;
        let digest = Digest::try_from(&wire.digest[..])?;
        let message = match wire.kind {
            1 => Message::Subscribe { manifest: digest },
            2 => Message::Announce {
                manifest: digest,
                sequence: wire.sequence,
                bits: wire.bits,
            },
            3 => Message::Decline { manifest: digest },
            4 => Message::Request { digest },
            5 => refuse(digest, RefuseReason::Busy),
            6 => refuse(digest, RefuseReason::Missing),
            7 => Message::Cancel { digest },
            kind => return Err(MessageError::Kind(kind)),
        };
        Ok(Self {
            from: HostName::try_from(wire.from)?,
            sender: Incarnation(wire.sender),
            receiver: Incarnation(wire.receiver),
            message,
        })
    }
}

fn refuse(digest: Digest, reason: RefuseReason) -> Message {
    Message::Refuse { digest, reason }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Wire {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(uint64, tag = "2")]
    sender: u64,
    #[prost(uint64, tag = "3")]
    receiver: u64,
    #[prost(uint32, tag = "4")]
    kind: u32,
    #[prost(bytes = "vec", tag = "5")]
    digest: Vec<u8>,
    #[prost(uint64, tag = "6")]
    sequence: u64,
    #[prost(bytes = "bytes", tag = "7")]
    bits: Bytes,
}

impl From<&Envelope> for Wire {
    fn from(envelope: &Envelope) -> Self {
        let mut wire = Self {
            from: envelope.from.as_str().to_owned(),
            sender: envelope.sender.0,
            receiver: envelope.receiver.0,
            ..Self::default()
        };
        wire.fill(&envelope.message);
        wire
    }
}

impl Wire {
    fn fill(&mut self, message: &Message) {
        let (kind, digest) = match message {
            Message::Subscribe { manifest } => (1, manifest),
            Message::Announce {
                manifest,
                sequence,
                bits,
            } => {
                self.sequence = *sequence;
                self.bits = bits.clone();
                (2, manifest)
            }
            Message::Decline { manifest } => (3, manifest),
            Message::Request { digest } => (4, digest),
            Message::Refuse { digest, reason } => match reason {
                RefuseReason::Busy => (5, digest),
                RefuseReason::Missing => (6, digest),
            },
            Message::Cancel { digest } => (7, digest),
        };
        self.kind = kind;
        self.digest = digest.as_bytes().to_vec();
    }
}
