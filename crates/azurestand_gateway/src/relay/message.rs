//! Messages between a process and the entry that it calls for updates of the store.

use azurestand_store::{Change, Entry, Key, KeyError, Scope, Version};
use bytes::Bytes;
use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, uncompressed_size};
use prost::Message;

use crate::platform::DecodeError;

/// Values larger than this are compressed.
pub(super) const LARGE_BYTES: usize = 2 * 1024;
/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 20;

/// The scope of keys that a request covers.
#[derive(Clone, PartialEq, Message)]
pub(super) struct KeyScope {
    /// This key, or the keys below it; every key if none.
    #[prost(string, optional, tag = "1")]
    key: Option<String>,
    /// Whether the keys below the key are covered instead of the key itself.
    #[prost(bool, tag = "2")]
    below: bool,
}

impl From<&Scope> for KeyScope {
    fn from(scope: &Scope) -> Self {
        let (key, below) = match scope {
            Scope::All => (None, false),
            Scope::One(key) => (Some(key), false),
            Scope::Below(key) => (Some(key), true),
        };
        Self {
            key: key.map(|key| key.as_str().to_owned()),
            below,
        }
    }
}

impl TryFrom<KeyScope> for Scope {
    type Error = KeyError;

    fn try_from(raw: KeyScope) -> Result<Self, KeyError> {
        let Some(key) = raw.key else {
            return Ok(Self::All);
        };
        let key = Key::try_from(key)?;
        Ok(if raw.below {
            Self::Below(key)
        } else {
            Self::One(key)
        })
    }
}

/// A request by a daemon for updates.
#[derive(Clone, PartialEq, Message)]
pub(super) struct UpdateRequest {
    /// The keys of which updates are requested.
    #[prost(message, optional, tag = "1")]
    pub(super) scope: Option<KeyScope>,
    /// The store's version after which changes are requested; all values if none.
    #[prost(uint64, optional, tag = "2")]
    pub(super) after: Option<u64>,
    /// The number of the last response; updates are available once the number differs.
    #[prost(uint64, tag = "3")]
    pub(super) number: u64,
    /// The era of the store's versions in the request.
    #[prost(uint64, tag = "4")]
    pub(super) era: u64,
    /// The store's latest version that the caller knows, also if it requests all values.
    #[prost(uint64, tag = "5")]
    pub(super) latest: u64,
}

/// The value of a key, or its removal.
#[derive(Clone, PartialEq, Message)]
pub(super) struct KeyChange {
    /// The key.
    #[prost(string, tag = "1")]
    key: String,
    /// Its value; none if it was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    /// The store's version that the change created.
    #[prost(uint64, tag = "3")]
    pub(super) version: u64,
    /// Whether the value is compressed.
    #[prost(bool, tag = "4")]
    compressed: bool,
}

impl KeyChange {
    /// Whether its value is large.
    pub(super) fn is_large(&self) -> bool {
        self.compressed
    }
}

impl From<&Entry> for KeyChange {
    fn from(entry: &Entry) -> Self {
        let compressed = entry.value.len() > LARGE_BYTES;
        let value = if compressed {
            compress_prepend_size(&entry.value).into()
        } else {
            entry.value.clone()
        };
        Self {
            key: entry.key.as_str().to_owned(),
            value: Some(value),
            version: entry.version.0,
            compressed,
        }
    }
}

impl From<&Change> for KeyChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Put(entry) => Self::from(entry),
            Change::Deleted { key, version } => Self {
                key: key.as_str().to_owned(),
                value: None,
                version: version.0,
                compressed: false,
            },
        }
    }
}

impl TryFrom<KeyChange> for Change {
    type Error = DecodeError;

    /// The lease is left out; only the process that was granted it uses its name.
    fn try_from(raw: KeyChange) -> Result<Self, DecodeError> {
        let key = Key::try_from(raw.key);
        let key = key.map_err(|error| DecodeError::Malformed(error.to_string()))?;
        let version = Version(raw.version);
        let Some(value) = raw.value else {
            return Ok(Self::Deleted { key, version });
        };
        let value = if raw.compressed {
            decompress(&value)?
        } else {
            value
        };
        Ok(Self::Put(Entry {
            key,
            value,
            version,
            lease: None,
        }))
    }
}

fn decompress(compressed: &[u8]) -> Result<Bytes, DecodeError> {
    let malformed =
        |error: lz4_flex::block::DecompressError| DecodeError::Malformed(error.to_string());
    let (size, _) = uncompressed_size(compressed).map_err(malformed)?;
    if size > MAX_VALUE_BYTES {
        return Err(DecodeError::Malformed(format!(
            "a value of {size} bytes exceeds the limit of {MAX_VALUE_BYTES}"
        )));
    }
    let value = decompress_size_prepended(compressed).map_err(malformed)?;
    Ok(value.into())
}

/// An entry's response with updates.
#[derive(Clone, PartialEq, Message)]
pub(super) struct UpdateResponse {
    /// The store's version after the updates.
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    /// Whether it holds all values instead of changes.
    #[prost(bool, tag = "2")]
    pub(super) whole: bool,
    /// The values or changes.
    #[prost(message, repeated, tag = "3")]
    pub(super) changes: Vec<KeyChange>,
    /// The number of updates that the entry has recorded.
    #[prost(uint64, tag = "4")]
    pub(super) number: u64,
    /// When the call to the store that returned the last update was sent, in milliseconds
    /// after the request arrived; negative if before.
    #[prost(sint64, tag = "5")]
    pub(super) proof: i64,
    /// When the first of the changes was made, in the same form; none if unknown.
    #[prost(sint64, optional, tag = "6")]
    pub(super) changed_at: Option<i64>,
    /// The era of the store's version.
    #[prost(uint64, tag = "7")]
    pub(super) era: u64,
}
