//! The Protobuf encoding of the messages; see docs/MEMBERSHIP.md for the sizes.

use bytes::Bytes;

pub(super) use super::records::record;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Packet {
    #[prost(message, optional, tag = "1")]
    pub(crate) sender: Option<Record>,
    #[prost(message, optional, tag = "2")]
    pub(crate) stamp: Option<Stamp>,
    #[prost(uint32, optional, tag = "3")]
    pub(crate) store_age: Option<u32>,
    #[prost(message, repeated, tag = "4")]
    pub(crate) heard: Vec<Heard>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) records: Vec<Record>,
    #[prost(oneof = "Body", tags = "8, 9, 10, 11, 12, 13, 14, 15, 16")]
    pub(crate) body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    #[prost(uint64, tag = "8")]
    Ping(u64),
    #[prost(uint64, tag = "9")]
    Ack(u64),
    #[prost(message, tag = "10")]
    Relay(Relay),
    #[prost(message, tag = "11")]
    Push(Empty),
    #[prost(message, tag = "12")]
    Digest(Digest),
    #[prost(message, tag = "13")]
    Summary(Summary),
    #[prost(message, tag = "14")]
    Want(Want),
    #[prost(message, tag = "15")]
    Pull(Pull),
    #[prost(message, tag = "16")]
    Delta(Delta),
}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct Empty {}

#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct Stamp {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) digest: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Heard {
    #[prost(string, tag = "1")]
    pub(crate) centre: String,
    #[prost(uint32, tag = "2")]
    pub(crate) age: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    #[prost(uint32, tag = "2")]
    pub(crate) role: u32,
    #[prost(string, tag = "3")]
    pub(crate) centre: String,
    #[prost(string, tag = "4")]
    pub(crate) region: String,
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) address: Bytes,
    #[prost(uint64, tag = "6")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "7")]
    pub(crate) refutation: u64,
    #[prost(uint32, tag = "8")]
    pub(crate) stage: u32,
    #[prost(uint32, tag = "9")]
    pub(crate) health: u32,
    #[prost(message, optional, tag = "10")]
    pub(crate) status: Option<Status>,
    #[prost(fixed32, tag = "11")]
    pub(crate) subjects: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Status {
    #[prost(uint64, tag = "1")]
    pub(crate) counter: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) stamp: Option<Stamp>,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) blob: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Relay {
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) address: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Digest {
    #[prost(bool, tag = "1")]
    pub(crate) statuses: bool,
    #[prost(fixed32, repeated, packed = "true", tag = "2")]
    pub(crate) buckets: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Summary {
    #[prost(bool, tag = "1")]
    pub(crate) statuses: bool,
    #[prost(uint32, repeated, packed = "true", tag = "2")]
    pub(crate) buckets: Vec<u32>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) briefs: Vec<Brief>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Brief {
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) refutation: u64,
    #[prost(uint32, tag = "4")]
    pub(crate) stage: u32,
    #[prost(uint32, tag = "5")]
    pub(crate) health: u32,
    #[prost(uint64, tag = "6")]
    pub(crate) counter: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Want {
    #[prost(bool, tag = "1")]
    pub(crate) statuses: bool,
    #[prost(string, repeated, tag = "2")]
    pub(crate) hosts: Vec<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Pull {
    #[prost(message, repeated, tag = "1")]
    pub(crate) marks: Vec<Mark>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Mark {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Delta {
    #[prost(message, optional, tag = "1")]
    pub(crate) stamp: Option<Stamp>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) marks: Vec<Mark>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) sections: Vec<Section>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Section {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(string, tag = "2")]
    pub(crate) text: String,
}
