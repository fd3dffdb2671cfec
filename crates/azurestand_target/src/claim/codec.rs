//! The encoding of records and claim batches as store values.

use std::time::Duration;

use azurestand_types::{Epoch, HostName, Incarnation};
use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;

use super::key::ClaimKey;
use super::record::{Claim, ClaimState, Holder, Record};

quick_error! {
    /// Why a value in the store can't be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CodecError {
        /// The bytes aren't a valid message.
        Bytes(error: String) {
            display("a claim value can't be decoded ({error}); delete it only after the retry window")
        }
        /// A field of the message has an invalid value.
        Field(name: &'static str) {
            display("field {name} of a claim value is invalid; delete the value only after the retry window")
        }
    }
}

impl From<prost::DecodeError> for CodecError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Bytes(error.to_string())
    }
}

/// No record counts so far; a higher number comes from another writer.
const MAX_COUNTER: u64 = 1 << 62;

#[derive(Clone, PartialEq, prost::Message)]
struct RecordValue {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    beat: u64,
    #[prost(bool, tag = "5")]
    proved: bool,
    #[prost(uint64, tag = "6")]
    lease_micros: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BatchValue {
    #[prost(message, repeated, tag = "1")]
    claims: Vec<ClaimValue>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ClaimValue {
    #[prost(bytes = "bytes", tag = "1")]
    key: Bytes,
    #[prost(bytes = "bytes", tag = "2")]
    print: Bytes,
    #[prost(uint32, tag = "3")]
    state: u32,
    #[prost(bytes = "bytes", optional, tag = "4")]
    body: Option<Bytes>,
}

const CLAIMED: u32 = 1;
const ANSWERED: u32 = 2;
const UNKNOWN: u32 = 3;
const RELEASED: u32 = 4;

impl Record {
    /// Encodes the record as a store value.
    pub fn encode(&self) -> Vec<u8> {
        let (host, incarnation) = match &self.holder {
            Some(holder) => (holder.host.to_string(), holder.incarnation.0),
            None => (String::new(), 0),
        };
        RecordValue {
            epoch: self.epoch.0,
            host,
            incarnation,
            beat: self.write_number,
            proved: self.proved,
            lease_micros: u64::try_from(self.lease.as_micros()).unwrap_or(u64::MAX),
        }
        .encode_to_vec()
    }

    /// Decodes a record from a store value.
    ///
    /// # Errors
    ///
    /// If the value isn't a valid record. The shard then refuses keyed
    /// requests.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        let value = RecordValue::decode(value)?;
        let holder = if value.host.is_empty() {
            None
        } else {
            let host = HostName::try_from(value.host).map_err(|_| CodecError::Field("host"))?;
            let incarnation = Incarnation(value.incarnation);
            Some(Holder { host, incarnation })
        };
        Ok(Self {
            epoch: Epoch(counter(value.epoch, "epoch")?),
            holder,
            write_number: counter(value.beat, "beat")?,
            proved: value.proved,
            lease: Duration::from_micros(value.lease_micros),
        })
    }
}

impl Claim {
    /// Encodes a batch of claims as a store value.
    pub fn encode(claims: &[Self]) -> Vec<u8> {
        let claims = claims.iter().map(ClaimValue::from).collect();
        BatchValue { claims }.encode_to_vec()
    }

    /// Decodes a batch of claims from a store value.
    ///
    /// # Errors
    ///
    /// If the value isn't a valid batch. The shard's claims are then unknown.
    pub fn decode(value: Bytes) -> Result<Vec<Self>, CodecError> {
        let batch = BatchValue::decode(value)?;
        batch.claims.into_iter().map(Self::try_from).collect()
    }
}

impl From<&Claim> for ClaimValue {
    fn from(claim: &Claim) -> Self {
        let (state, body) = match &claim.state {
            ClaimState::Claimed => (CLAIMED, None),
            ClaimState::Answered(body) => (ANSWERED, body.clone()),
            ClaimState::Unknown => (UNKNOWN, None),
            ClaimState::Released => (RELEASED, None),
        };
        Self {
            key: Bytes::copy_from_slice(&claim.key.0.to_be_bytes()),
            print: Bytes::copy_from_slice(&claim.fingerprint.to_be_bytes()),
            state,
            body,
        }
    }
}

impl TryFrom<ClaimValue> for Claim {
    type Error = CodecError;

    fn try_from(value: ClaimValue) -> Result<Self, CodecError> {
        let state = match value.state {
            CLAIMED => ClaimState::Claimed,
            ANSWERED => ClaimState::Answered(value.body),
            UNKNOWN => ClaimState::Unknown,
            RELEASED => ClaimState::Released,
            _ => return Err(CodecError::Field("state")),
        };
        Ok(Self {
            key: ClaimKey(decode_u128(&value.key).ok_or(CodecError::Field("key"))?),
            fingerprint: decode_u128(&value.print).ok_or(CodecError::Field("print"))?,
            state,
        })
    }
}

/// A number that later writers count on from.
fn counter(value: u64, field: &'static str) -> Result<u64, CodecError> {
    if value > MAX_COUNTER {
        return Err(CodecError::Field(field));
    }
    Ok(value)
}

fn decode_u128(bytes: &[u8]) -> Option<u128> {
    bytes.try_into().ok().map(u128::from_be_bytes)
}
