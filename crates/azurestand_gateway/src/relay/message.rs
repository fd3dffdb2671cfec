//! What is asked and answered about news of the store.

use azurestand_store::{Change, Entry, Key, KeyError, Scope, Version};
use bytes::Bytes;
use lz4_flex::block::{compress_prepend_size, decompress_size_prepended, uncompressed_size};
use prost::Message;

use crate::edge::DecodeError;

/// Values with more bytes are compressed.
pub(super) const LARGE_BYTES: usize = 2 * 1024;
/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 16 << 20;

/// Which keys are meant.
#[derive(Clone, PartialEq, Message)]
pub(super) struct KeyScope {
    /// This key, or what is below it; every key if there is none.
    #[prost(string, optional, tag = "1")]
    key: Option<String>,
    /// Whether what is below the key is meant.
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

/// A daemon asks an entry.
#[derive(Clone, PartialEq, Message)]
pub(super) struct NewsQuestion {
    /// Which keys it wants to hear of.
    #[prost(message, optional, tag = "1")]
    pub(super) scope: Option<KeyScope>,
    /// The store's version that it knows; all values are wanted if there is none.
    #[prost(uint64, optional, tag = "2")]
    pub(super) after: Option<u64>,
    /// The number of the last answer; the same number means that nothing came since.
    #[prost(uint64, tag = "3")]
    pub(super) number: u64,
}

/// One key's value, or that it has none any more.
#[derive(Clone, PartialEq, Message)]
pub(super) struct KeyChange {
    /// The key.
    #[prost(string, tag = "1")]
    key: String,
    /// Its value; none if it was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    value: Option<Bytes>,
    /// The store's version that the change made.
    #[prost(uint64, tag = "3")]
    pub(super) version: u64,
    /// Whether the value is compressed.
    #[prost(bool, tag = "4")]
    packed: bool,
}

impl KeyChange {
    /// Whether its value is a large one.
    pub(super) fn is_large(&self) -> bool {
        self.packed
    }
}

impl From<&Entry> for KeyChange {
    fn from(entry: &Entry) -> Self {
        let packed = entry.value.len() > LARGE_BYTES;
        let value = if packed {
            compress_prepend_size(&entry.value).into()
        } else {
            entry.value.clone()
        };
        Self {
            key: entry.key.as_str().to_owned(),
            value: Some(value),
            version: entry.version.0,
            packed,
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
                packed: false,
            },
        }
    }
}

impl TryFrom<KeyChange> for Change {
    type Error = DecodeError;

    /// Leases are left out; only who granted one has a use for its name.
    fn try_from(raw: KeyChange) -> Result<Self, DecodeError> {
        let key = Key::try_from(raw.key);
        let key = key.map_err(|error| DecodeError::Malformed(error.to_string()))?;
        let version = Version(raw.version);
        let Some(value) = raw.value else {
            return Ok(Self::Deleted { key, version });
        };
        let value = if raw.packed { unpack(&value)? } else { value };
        Ok(Self::Put(Entry {
            key,
            value,
            version,
            lease: None,
        }))
    }
}

fn unpack(packed: &[u8]) -> Result<Bytes, DecodeError> {
    let malformed =
        |error: lz4_flex::block::DecompressError| DecodeError::Malformed(error.to_string());
    let (size, _) = uncompressed_size(packed).map_err(malformed)?;
    if size > MAX_VALUE_BYTES {
        return Err(DecodeError::Malformed(format!("a value of {size} bytes")));
    }
    let value = decompress_size_prepended(packed).map_err(malformed)?;
    Ok(value.into())
}

/// What an entry knows.
#[derive(Clone, PartialEq, Message)]
pub(super) struct NewsAnswer {
    /// The store's version after it.
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    /// Whether these are all values instead of changes.
    #[prost(bool, tag = "2")]
    pub(super) whole: bool,
    /// The values or changes.
    #[prost(message, repeated, tag = "3")]
    pub(super) changes: Vec<KeyChange>,
    /// Counts what came from the store.
    #[prost(uint64, tag = "4")]
    pub(super) number: u64,
    /// When the call to the store that brought the last of it was sent: milliseconds
    /// after the question came, negative if before.
    #[prost(sint64, tag = "5")]
    pub(super) proof: i64,
    /// When the first of the changes was made, told in the same way; none if it isn't known.
    #[prost(sint64, optional, tag = "6")]
    pub(super) made: Option<i64>,
}
