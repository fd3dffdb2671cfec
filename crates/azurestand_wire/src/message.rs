//! The protobuf messages between processes, as prost structs written by hand so
//! that the build needs no code generator. Field tags are never reused.

use bytes::Bytes;
use prost::{Message, Oneof};

/// The content of one frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message; `None` for a newer kind that this process doesn't know.
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub body: Option<Body>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A heartbeat.
    #[prost(message, tag = "1")]
    Ping(Ping),
    /// A request that an entry sends to a target.
    #[prost(message, boxed, tag = "2")]
    TargetRequest(Box<TargetRequest>),
    /// The status and headers of an answer.
    #[prost(message, tag = "3")]
    AnswerHead(AnswerHead),
    /// A piece of an answer's body.
    #[prost(message, tag = "4")]
    AnswerPart(AnswerPart),
    /// The answer is complete.
    #[prost(message, tag = "5")]
    AnswerEnd(AnswerEnd),
    /// The request did not run and never will.
    #[prost(message, tag = "6")]
    Refused(Refused),
    /// The request may have run, but has no complete answer.
    #[prost(message, tag = "7")]
    Failed(Failed),
    /// An entry resumes an answer on a new link.
    #[prost(message, tag = "8")]
    Resume(Resume),
    /// An entry asks that a request not be started.
    #[prost(message, tag = "9")]
    Revoke(Revoke),
    /// The answer to a revoke.
    #[prost(message, tag = "10")]
    Revoked(Revoked),
    /// The caller disconnected; the request can be cancelled.
    #[prost(message, tag = "11")]
    Cancel(Cancel),
    /// The entry has the complete answer; the agent may discard it.
    #[prost(message, tag = "12")]
    Release(Release),
    /// An agent's report of its targets' load.
    #[prost(message, tag = "13")]
    Report(Report),
    /// Membership and configuration.
    #[prost(message, tag = "14")]
    Gossip(Gossip),
    /// The weights that a host has and needs.
    #[prost(message, tag = "15")]
    Transfer(Transfer),
    /// Asks for a chunk of weights over a bulk link.
    #[prost(message, tag = "16")]
    Fetch(Fetch),
    /// A piece of a chunk.
    #[prost(message, tag = "17")]
    Piece(Piece),
    /// The host doesn't have the chunk.
    #[prost(message, tag = "18")]
    Missing(Missing),
    /// The entry has received an answer up to an offset.
    #[prost(message, tag = "19")]
    Ack(Ack),
}

/// The sender's identity, sent without an authentication code at the start of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The protocol version.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Random bytes, so that no two sessions have the same key.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
    /// The sender's host name.
    #[prost(string, tag = "3")]
    pub host: String,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// 1 for an entry, 2 for an agent.
    #[prost(uint32, tag = "5")]
    pub role: u32,
    /// 1 for requests and gossip, 2 for bulk.
    #[prost(uint32, tag = "6")]
    pub purpose: u32,
    /// The sender's data centre.
    #[prost(string, tag = "7")]
    pub centre: String,
    /// The address on which the sender accepts links.
    #[prost(string, tag = "8")]
    pub address: String,
}

/// A heartbeat.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Ping {}

/// One header of a request or an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// The header's name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The header's value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A request that an entry sends to a target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRequest {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The target on the receiving host; empty when an entry forwards the request.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The account that is charged.
    #[prost(string, tag = "3")]
    pub account: String,
    /// The account's priority; 0 goes first.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
    /// Milliseconds until the caller no longer wants the answer.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
    /// The HTTP method.
    #[prost(string, tag = "6")]
    pub method: String,
    /// The path and query as the target sees them.
    #[prost(string, tag = "7")]
    pub path: String,
    /// Headers to forward.
    #[prost(message, repeated, tag = "8")]
    pub headers: Vec<Header>,
    /// The whole body.
    #[prost(bytes = "bytes", tag = "9")]
    pub body: Bytes,
    /// The caller's idempotency key, or empty.
    #[prost(string, tag = "10")]
    pub idempotency_key: String,
    /// Whether the request may safely run twice.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Manifest digest of the weights that must answer, or empty for a service.
    #[prost(bytes = "bytes", tag = "12")]
    pub weights: Bytes,
    /// How many entries have forwarded the request.
    #[prost(uint32, tag = "13")]
    pub hops: u32,
    /// The model or service, for an entry that still has to choose a target.
    #[prost(string, tag = "14")]
    pub subject: String,
    /// The latest time of the agent's clock that the entry had received when it first
    /// sent the id, in microseconds; a repeated send carries the same value.
    #[prost(uint64, tag = "15")]
    pub agent_time: u64,
    /// The agent's incarnation that the time belongs to.
    #[prost(uint64, tag = "16")]
    pub incarnation: u64,
    /// Whether the subject is a plain service.
    #[prost(bool, tag = "17")]
    pub service: bool,
}

/// The status and headers of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerHead {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers to forward.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
}

/// A piece of an answer's body.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerPart {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Where the piece belongs, in bytes from the body's start.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The piece.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
}

/// The answer is complete.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerEnd {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Length of the whole body in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
}

/// The request did not run and never will.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The reason, numbered in `azurestand_server`'s codes.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
    /// Milliseconds after which another try may fare better.
    #[prost(uint64, tag = "3")]
    pub after: u64,
    /// The target that holds the request's key, or empty.
    #[prost(string, tag = "4")]
    pub redirect: String,
}

/// The request may have run, but has no complete answer.
#[derive(Clone, PartialEq, Message)]
pub struct Failed {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The reason, numbered in `azurestand_server`'s codes.
    #[prost(uint32, tag = "2")]
    pub reason: u32,
}

/// An entry resumes an answer on a new link.
#[derive(Clone, PartialEq, Message)]
pub struct Resume {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Bytes of the body that the entry already has.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The account that sent the request; no other account may resume its answer.
    #[prost(string, tag = "3")]
    pub account: String,
    /// The target that has the request.
    #[prost(string, tag = "4")]
    pub target: String,
}

/// An entry asks that a request not be started.
#[derive(Clone, PartialEq, Message)]
pub struct Revoke {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The agent time of the send that is revoked.
    #[prost(uint64, tag = "2")]
    pub agent_time: u64,
    /// The agent's incarnation that the time belongs to.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The target that has the request.
    #[prost(string, tag = "4")]
    pub target: String,
}

/// The answer to a revoke.
#[derive(Clone, PartialEq, Message)]
pub struct Revoked {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Whether the request had started; if not, it never will.
    #[prost(bool, tag = "2")]
    pub started: bool,
}

/// The caller disconnected; the request can be cancelled.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The target that has the request.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// The entry has received an answer up to an offset; the agent may discard what precedes it.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Bytes of the body that the entry has forwarded.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The target that has the request.
    #[prost(string, tag = "3")]
    pub target: String,
}

/// The entry has the complete answer; the agent may discard it.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// The request's id.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// The target that has the request.
    #[prost(string, tag = "2")]
    pub target: String,
}

/// The load and limit of one target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetLoad {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The model or service that it serves.
    #[prost(string, tag = "2")]
    pub subject: String,
    /// Whether it is a model engine.
    #[prost(bool, tag = "3")]
    pub engine: bool,
    /// The lifecycle state, as a numeric code defined in `azurestand_server`.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// The current limit on concurrent requests.
    #[prost(uint32, tag = "5")]
    pub limit: u32,
    /// The number of running requests.
    #[prost(uint32, tag = "6")]
    pub running: u32,
    /// The number of queued requests.
    #[prost(uint32, tag = "7")]
    pub waiting: u32,
    /// Manifest digest of the weights being served, or empty.
    #[prost(bytes = "bytes", tag = "8")]
    pub weights: Bytes,
}

/// An agent's report of its targets' load.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Counts the reports of one incarnation, so that a late one is dropped.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Each target of the host, always in the same order. One without a name has
    /// the names and weights that the link's last report gave in its place.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetLoad>,
    /// Whether the host is leaving service.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// The agent's clock, in microseconds since its start.
    #[prost(uint64, tag = "4")]
    pub agent_time: u64,
}

/// Membership and configuration, encoded by `azurestand_membership`.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
}

/// The weights that a host has and needs, encoded by `azurestand_spread`.
#[derive(Clone, PartialEq, Message)]
pub struct Transfer {
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
}

/// Asks for content by digest over a bulk link.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    /// The content's digest.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// Whether a manifest is wanted rather than a chunk.
    #[prost(bool, tag = "2")]
    pub manifest: bool,
    /// Bytes that the requester already has.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// A piece of fetched content.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// The content's digest.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// Where the piece belongs, in bytes from the content's start.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The piece.
    #[prost(bytes = "bytes", tag = "3")]
    pub bytes: Bytes,
    /// Whether this is the last piece.
    #[prost(bool, tag = "4")]
    pub last: bool,
}

/// The host doesn't have the content.
#[derive(Clone, PartialEq, Message)]
pub struct Missing {
    /// The content's digest.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
}
