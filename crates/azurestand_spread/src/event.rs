//! The events that a transfer handles and the actions it returns to the daemon.

use std::sync::Arc;

use azurestand_types::{DataCentre, Digest, HostName, Incarnation, ModelName, Region};
use derive_more::Display;

use crate::bucket::Rate;
use crate::limits::Limits;
use crate::manifest::Manifest;
use crate::message::Envelope;

/// The identity and location of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// This host's name.
    pub host: HostName,
    /// This host's incarnation.
    pub incarnation: Incarnation,
    /// The data centre of the host.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
}

/// Another host in the live view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host's name.
    pub host: HostName,
    /// The host's current incarnation.
    pub incarnation: Incarnation,
    /// The data centre of the host.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// The models that its targets serve; only hosts that serve a model take part in
    /// spreading it.
    pub models: Vec<ModelName>,
}

/// The source of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Source {
    /// The origin of weights.
    #[display("origin")]
    Origin,
    /// The rate-limited weight store.
    #[display("weight store")]
    WeightStore,
    /// Another host.
    #[display("{_0}")]
    Peer(HostName),
}

/// Proof that content with this digest was received completely.
///
/// Only hashing the content creates one, so no caller can report an unverified chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verified(Digest);

impl Verified {
    /// Hashes `content` and compares it with the requested digest.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Corrupt`] when the content isn't what `digest` names.
    pub fn check(digest: Digest, content: &[u8]) -> Result<Self, Failure> {
        if Digest::of(content) == digest {
            Ok(Self(digest))
        } else {
            Err(Failure::Corrupt)
        }
    }

    /// The digest that was verified.
    pub fn digest(self) -> Digest {
        self.0
    }
}

/// Why a chunk did not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Failure {
    /// The content didn't match the digest.
    #[display("corrupt")]
    Corrupt,
    /// The connection failed or was never established.
    #[display("unreachable")]
    Unreachable,
    /// The source doesn't hold the chunk.
    #[display("missing")]
    Missing,
    /// The source asked to slow down.
    #[display("busy")]
    Busy,
}

/// The rates of live traffic; transfers leave this much of the links unused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LiveTraffic {
    /// Into this host.
    pub inbound: Rate,
    /// Out of this host.
    pub outbound: Rate,
    /// On the busiest link into this host's region, all hosts together.
    pub cross: Rate,
}

/// An event that a transfer handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; due every [`Limits::tick`](crate::Limits::tick).
    Tick,
    /// The versions that this host must hold now. Transfers of all others stop and
    /// their chunks are dropped.
    Wanted(Vec<Arc<Manifest>>),
    /// The live view of hosts that take weights.
    Peers(Vec<Peer>),
    /// A control message arrived.
    Received(Envelope),
    /// A fetch from the origin or weight store, or an upload of a peer to this host,
    /// ended.
    Fetched {
        /// The requested chunk.
        digest: Digest,
        /// The source that was asked.
        source: Source,
        /// The proof of the content, or why it failed.
        outcome: Result<Verified, Failure>,
    },
    /// An [`Action::Upload`] ended, successfully or not.
    Uploaded {
        /// The receiver.
        to: HostName,
        /// The chunk.
        digest: Digest,
    },
    /// The rates of live traffic changed.
    LiveTraffic(LiveTraffic),
    /// The operators changed the limits.
    Limits(Limits),
}

/// An action that the daemon must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a control message. Loss and reordering are tolerated.
    Send {
        /// The receiver.
        to: HostName,
        /// The message with both ends' incarnations.
        envelope: Envelope,
    },
    /// Fetch a chunk from the origin or weight store and report [`Event::Fetched`].
    Fetch {
        /// The chunk.
        digest: Digest,
        /// [`Source::Origin`] or [`Source::WeightStore`]; peers push their chunks after
        /// a request.
        source: Source,
        /// Read no faster than this.
        rate: Rate,
    },
    /// Stop receiving a chunk; no event is expected for it any more.
    Abort {
        /// The chunk.
        digest: Digest,
        /// The source that it was coming from.
        source: Source,
    },
    /// Push a held chunk to a host and report [`Event::Uploaded`].
    Upload {
        /// The receiver.
        to: HostName,
        /// The receiver's incarnation; don't connect to another one.
        incarnation: Incarnation,
        /// The chunk.
        digest: Digest,
        /// Write no faster than this.
        rate: Rate,
    },
    /// Free a held chunk that no wanted version needs.
    Drop {
        /// The chunk.
        digest: Digest,
    },
    /// All chunks of this version are held and verified.
    Complete {
        /// The version.
        manifest: Arc<Manifest>,
    },
    /// Write a log line.
    Log(LogMessage),
}

/// A log message for operators.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum LogMessage {
    /// Content didn't match its digest; the source is not used for a while.
    #[display("chunk {digest} from {from} was corrupt")]
    Corrupt {
        /// The chunk.
        digest: Digest,
        /// Who sent it.
        from: Source,
    },
    /// A source didn't deliver in time.
    #[display("chunk {digest} from {from} did not arrive in time")]
    Late {
        /// The chunk.
        digest: Digest,
        /// The source that was asked.
        from: Source,
    },
    /// A message from or to an earlier incarnation of a host was refused.
    #[display("refused a message from or to an earlier incarnation of {host}")]
    StaleIncarnation {
        /// The other end.
        host: HostName,
    },
    /// This host fetches a chunk in place of a designated host that made no progress.
    #[display("fetching chunk {digest} in place of a designated host that made no progress")]
    TookOver {
        /// The chunk.
        digest: Digest,
    },
    /// A version is no longer wanted.
    #[display("version {digest} is no longer wanted")]
    Stopped {
        /// The version's manifest.
        digest: Digest,
    },
}
