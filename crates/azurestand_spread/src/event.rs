//! What a transfer learns and what it asks the daemon to do.

use std::sync::Arc;

use azurestand_types::{DataCentre, Digest, HostName, Incarnation, ModelName, Region};
use derive_more::Display;

use crate::bucket::Rate;
use crate::limits::Limits;
use crate::manifest::Manifest;
use crate::message::Envelope;

/// Who and where this host is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// This host's name.
    pub host: HostName,
    /// This life of the host.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
}

/// One other host of the live view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host's name.
    pub host: HostName,
    /// The host's present life.
    pub incarnation: Incarnation,
    /// The data centre that it stands in.
    pub centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// The models that its targets serve; only these hosts take part in spreading them.
    pub models: Vec<ModelName>,
}

/// Where a chunk comes from.
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

/// Proof that content with this digest was received whole.
///
/// Only hashing the content makes one, so no caller can report a chunk that
/// nobody checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verified(Digest);

impl Verified {
    /// Hashes `content` and compares it with the digest that was asked for.
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
    /// The connection broke or never came about.
    #[display("unreachable")]
    Unreachable,
    /// The source doesn't hold the chunk.
    #[display("missing")]
    Missing,
    /// The source asked to slow down.
    #[display("busy")]
    Busy,
}

/// The rates that live traffic uses now; transfers leave this much room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Into this host.
    pub inbound: Rate,
    /// Out of this host.
    pub outbound: Rate,
    /// On the busiest link into this host's region, all hosts together.
    pub cross: Rate,
}

/// What a transfer learns.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; due every [`Limits::tick`](crate::Limits::tick).
    Tick,
    /// The versions that this host must hold now; any other stops and its chunks go.
    Wanted(Vec<Arc<Manifest>>),
    /// The live view of hosts that take weights.
    Peers(Vec<Peer>),
    /// A control message arrived.
    Received(Envelope),
    /// A fetch from the origin or weight store, or a peer's upload to this host, ended.
    Fetched {
        /// The chunk that was asked for.
        digest: Digest,
        /// Who was asked.
        source: Source,
        /// The proof of the content, or why it is missing.
        outcome: Result<Verified, Failure>,
    },
    /// An [`Action::Upload`] ended, well or not.
    Uploaded {
        /// The host that it went to.
        to: HostName,
        /// The chunk.
        digest: Digest,
    },
    /// What live traffic uses changed.
    Load(Load),
    /// The operators set other limits.
    Limits(Limits),
}

/// What the daemon must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a control message. Loss and reordering are tolerated.
    Send {
        /// The addressee.
        to: HostName,
        /// The message with both ends' incarnations.
        envelope: Envelope,
    },
    /// Draw a chunk from the origin or weight store and report [`Event::Fetched`].
    Fetch {
        /// The chunk.
        digest: Digest,
        /// [`Source::Origin`] or [`Source::WeightStore`]; peers push theirs after a request.
        source: Source,
        /// Read no faster than this.
        rate: Rate,
    },
    /// Stop receiving a chunk; no event is due for it any more.
    Abort {
        /// The chunk.
        digest: Digest,
        /// Where it was coming from.
        source: Source,
    },
    /// Push a held chunk to a host and report [`Event::Uploaded`].
    Upload {
        /// The receiver.
        to: HostName,
        /// The receiver's life; don't connect to another one.
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
    /// Every chunk of this version is here and verified.
    Complete {
        /// The version.
        manifest: Arc<Manifest>,
    },
    /// Write a log line.
    Log(Note),
}

/// Something that operators may want to read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Note {
    /// Content didn't match its digest; the source goes to the back of the order.
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
        /// Who was asked.
        from: Source,
    },
    /// A message from or to an earlier life of a host was refused.
    #[display("a message of an earlier life of {host} was refused")]
    Stale {
        /// The other end.
        host: HostName,
    },
    /// This host draws for one that made no progress.
    #[display("drawing chunk {digest} in place of a host that made no progress")]
    Stepped {
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
