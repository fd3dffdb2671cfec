//! JSON bodies of the gateway's answers.

use std::time::Duration;

use serde::Deserialize;

use super::decode;
use super::text::{Blob, Int};
use crate::error::StoreError;
use crate::key::Key;
use crate::store::{
    Change, Entry, Grant, KeyVersion, LeaseId, Listing, Renewal, Versions, WatchEvent,
};
use crate::transaction::{Cause, Commit, Version};

const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const PERMISSION_DENIED: u32 = 7;
const RESOURCE_EXHAUSTED: u32 = 8;
const UNAUTHENTICATED: u32 = 16;

/// An error; the codes are those of gRPC.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Refusal {
    code: u32,
    error: String,
    message: String,
}

impl Refusal {
    pub(crate) fn parse(body: &[u8]) -> Self {
        decode(body).unwrap_or_default()
    }

    /// The store's error message, which older versions send under another name.
    pub(crate) fn text(self) -> String {
        if self.message.is_empty() {
            self.error
        } else {
            self.message
        }
    }

    pub(crate) fn is_missing(&self) -> bool {
        self.code == NOT_FOUND
    }

    pub(crate) fn is_exhausted(&self) -> bool {
        self.code == RESOURCE_EXHAUSTED
    }

    /// Whether the store rejected the call before executing it.
    pub(crate) fn is_invalid(&self, status: u16) -> bool {
        match self.code {
            INVALID_ARGUMENT | PERMISSION_DENIED | UNAUTHENTICATED => true,
            _ => matches!(status, 400 | 401 | 403 | 404 | 405 | 413),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Header {
    revision: Int,
}

impl Header {
    fn version(&self) -> Version {
        Version(self.revision.0)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeyValue {
    key: Blob,
    value: Blob,
    mod_revision: Int,
    lease: Int,
}

impl KeyValue {
    fn key(&self) -> Result<Key, StoreError> {
        let text = std::str::from_utf8(&self.key.0);
        let text = text.map_err(|error| StoreError::Malformed(error.to_string()))?;
        Key::try_from(text).map_err(|error| StoreError::Malformed(error.to_string()))
    }

    fn entry(self) -> Result<Entry, StoreError> {
        Ok(Entry {
            key: self.key()?,
            value: self.value.0,
            version: Version(self.mod_revision.0),
            lease: (self.lease.0 != 0).then_some(LeaseId(self.lease.0)),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeAnswer {
    header: Header,
    kvs: Vec<KeyValue>,
}

impl RangeAnswer {
    pub(crate) fn listing(self) -> Result<Listing, StoreError> {
        let version = self.header.version();
        let entries = self.kvs.into_iter().map(KeyValue::entry);
        let entries = entries.collect::<Result<_, _>>()?;
        Ok(Listing { entries, version })
    }

    pub(crate) fn versions(self) -> Result<Versions, StoreError> {
        let listing = self.listing()?;
        let keys = listing.entries.into_iter().map(|entry| KeyVersion {
            key: entry.key,
            version: entry.version,
        });
        Ok(Versions {
            keys: keys.collect(),
            version: listing.version,
        })
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

impl TxnAnswer {
    pub(crate) fn commit(&self) -> Commit {
        if self.succeeded {
            let version = self.header.version();
            Commit::Applied { version }
        } else {
            Commit::NotApplied(Cause::Conflict)
        }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct GrantAnswer {
    #[serde(rename = "ID")]
    id: Int,
    #[serde(rename = "TTL")]
    ttl: Int,
}

impl GrantAnswer {
    pub(crate) fn grant(&self) -> Result<Grant, StoreError> {
        if self.id.0 == 0 {
            let text = "a lease without an id".to_owned();
            return Err(StoreError::Malformed(text));
        }
        Ok(Grant {
            lease: LeaseId(self.id.0),
            ttl: Duration::from_secs(self.ttl.0),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeepResult {
    #[serde(rename = "TTL")]
    ttl: Int,
}

#[derive(Debug, Deserialize)]
pub(crate) struct KeepAnswer {
    result: KeepResult,
}

impl KeepAnswer {
    pub(crate) fn renewal(&self) -> Renewal {
        match self.result.ttl.0 {
            0 => Renewal::Expired,
            seconds => Renewal::Renewed {
                ttl: Duration::from_secs(seconds),
            },
        }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

impl RawEvent {
    fn change(self) -> Result<Change, StoreError> {
        match self.kind {
            EventKind::Put => self.kv.entry().map(Change::Put),
            EventKind::Delete => Ok(Change::Deleted {
                key: self.kv.key()?,
                version: Version(self.kv.mod_revision.0),
            }),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchResult {
    header: Header,
    canceled: bool,
    compact_revision: Int,
    events: Vec<RawEvent>,
}

/// One line of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchAnswer {
    result: WatchResult,
}

impl WatchAnswer {
    pub(crate) fn version(&self) -> Result<Version, StoreError> {
        match self.result.header.version() {
            Version(0) => Err(StoreError::Malformed("a watch without a header".to_owned())),
            version => Ok(version),
        }
    }

    /// The event of the line; `None` for a confirmation.
    pub(crate) fn event(self) -> Result<Option<WatchEvent>, StoreError> {
        let WatchResult {
            canceled,
            compact_revision,
            events,
            ..
        } = self.result;
        if compact_revision.0 > 0 {
            let oldest = Version(compact_revision.0);
            return Ok(Some(WatchEvent::Compacted { oldest }));
        }
        if canceled {
            return Ok(Some(WatchEvent::Closed));
        }
        let changes = events.into_iter().map(RawEvent::change);
        let changes: Vec<_> = changes.collect::<Result<_, _>>()?;
        let some = !changes.is_empty();
        Ok(some.then_some(WatchEvent::Changed(changes)))
    }
}
