//! Framed, authenticated messages between the system's own processes.
//!
//! Two processes share one [`Link`] for requests and gossip and, during a transfer
//! of weights, a second one for bulk data, so that a chunk never delays a token.
//! Each frame is a length-delimited prost message, preceded by an authentication
//! code over the message and the frame's number, under a key of this session that
//! is derived from the fleet key. A forged or replayed frame closes the link.
//! Heartbeats detect links that stopped carrying data. See
//! [docs/WIRE.md](../../../docs/WIRE.md).
//!
//! ```
//! use azurestand_wire::{Body, FleetKey, Ping, Session};
//!
//! let key = FleetKey::try_from("00".repeat(32).as_str()).unwrap();
//! let (mut ours, mut theirs) = Session::pair(&key, b"nonce a", b"nonce b");
//! let frame = ours.seal(Body::Ping(Ping {}));
//! assert_eq!(theirs.open(&frame).unwrap(), Body::Ping(Ping {}));
//! assert!(theirs.open(&frame).is_err(), "a replay is refused");
//! ```

mod datagram;
mod handshake;
mod key;
mod link;
mod message;
mod session;

pub use datagram::{DatagramError, MAX_DATAGRAM_BYTES, Opener, Sealer, receive};
pub use handshake::{Identity, Purpose, Role};
pub use key::{FleetKey, FleetKeyError};
pub use link::{Inbox, Link, LinkEnd, LinkError, Outbox, accept, connect};
pub use message::{
    Ack, AnswerEnd, AnswerHead, AnswerPart, Body, Cancel, Envelope, Failed, Fetch, Gossip, Header,
    Hello, Missing, Piece, Ping, Refused, Release, Report, Resume, Revoke, Revoked, TargetLoad,
    TargetRequest, Transfer,
};
pub use session::{MAX_FRAME_BYTES, SealError, Session};
