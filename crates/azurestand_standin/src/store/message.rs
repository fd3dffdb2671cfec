//! The JSON bodies of the gateway: bytes in base64, 64-bit integers as strings,
//! members with their default value left out.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Blob {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// 64-bit integers: written as strings, read from strings or numbers.
mod int64 {
    use super::{Deserialize, Deserializer, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Raw {
        Number(i64),
        Text(String),
    }

    // serde's `with` passes the field by reference.
    #[allow(clippy::trivially_copy_pass_by_ref)]
    pub(super) fn serialize<S>(number: &i64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(number)
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<i64, D::Error>
    where
        D: Deserializer<'de>,
    {
        match Raw::deserialize(deserializer)? {
            Raw::Number(number) => Ok(number),
            Raw::Text(text) => text.parse().map_err(serde::de::Error::custom),
        }
    }
}

// serde's `skip_serializing_if` passes the field by reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &i64) -> bool {
    *number == 0
}

#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) create_revision: i64,
    #[serde(with = "int64")]
    pub(crate) mod_revision: i64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) version: i64,
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub(crate) value: Blob,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) lease: i64,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Range {
    pub(crate) key: Blob,
    #[serde(rename = "range_end")]
    pub(crate) end: Blob,
    #[serde(with = "int64")]
    pub(crate) limit: i64,
    pub(crate) keys_only: bool,
}

impl Range {
    pub(crate) fn holds(&self, key: &[u8]) -> bool {
        let from = self.key.0.as_slice();
        match self.end.0.as_slice() {
            [] => key == from,
            // A single zero byte stands for the end of the key space.
            [0] => key >= from,
            end => key >= from && key < end,
        }
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Put {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    #[serde(with = "int64")]
    pub(crate) lease: i64,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Order {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) target: Target,
    pub(crate) result: Order,
    pub(crate) value: Blob,
    #[serde(with = "int64")]
    pub(crate) version: i64,
    #[serde(with = "int64")]
    pub(crate) create_revision: i64,
    #[serde(with = "int64")]
    pub(crate) mod_revision: i64,
    #[serde(with = "int64")]
    pub(crate) lease: i64,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) enum Op {
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_delete_range")]
    Delete(Range),
    #[serde(rename = "request_range")]
    Range(Range),
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Txn {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Op>,
    pub(crate) failure: Vec<Op>,
}

impl Txn {
    /// Whether the transaction can write, which decides the rate it counts under.
    pub(crate) fn writes(&self) -> bool {
        let mut ops = self.success.iter().chain(&self.failure);
        ops.any(|op| !matches!(op, Op::Range(_)))
    }
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct RangeAnswer {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) more: bool,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(crate) count: i64,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) enum OpAnswer {
    #[serde(rename = "response_put")]
    Put {},
    #[serde(rename = "response_delete_range")]
    DeleteRange {
        #[serde(with = "int64", skip_serializing_if = "is_zero")]
        deleted: i64,
    },
    #[serde(rename = "response_range")]
    Range(RangeAnswer),
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    #[serde(
        rename = "type",
        serialize_with = "event_type",
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub(crate) delete: bool,
    pub(crate) kv: KeyValue,
}

// serde's `serialize_with` passes the field by reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn event_type<S>(delete: &bool, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(if *delete { "DELETE" } else { "PUT" })
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseCall {
    #[serde(rename = "TTL", with = "int64")]
    pub(crate) ttl: i64,
    #[serde(rename = "ID", with = "int64")]
    pub(crate) id: i64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCall {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    #[serde(flatten)]
    pub(crate) range: Range,
    #[serde(with = "int64")]
    pub(crate) start_revision: i64,
}
