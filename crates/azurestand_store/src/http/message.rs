//! JSON bodies of the gateway's requests: bytes in base64, 64-bit integers as strings,
//! members with their default value left out.

mod answer;
mod text;

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StoreError;
use crate::key::{Key, Scope};
use crate::store::LeaseId;
use crate::transaction::{Condition, Transaction, Version, Write};

pub(super) use answer::{GrantAnswer, KeepAnswer, RangeAnswer, Refusal, TxnAnswer, WatchAnswer};
use text::{Blob, Int};

pub(super) fn decode<T>(body: &[u8]) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// The keys of a scope: from `key` on, and before `range_end` unless it is empty.
#[derive(Debug, Serialize)]
pub(super) struct RangeCall {
    key: Blob,
    #[serde(skip_serializing_if = "Blob::is_empty")]
    range_end: Blob,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    keys_only: bool,
}

impl RangeCall {
    pub(super) fn new(scope: &Scope) -> Self {
        let (key, end) = match scope {
            Scope::One(key) => (key.to_string(), String::new()),
            // '0' follows '/', so it is the first key that is not below.
            Scope::Below(key) => (format!("{key}/"), format!("{key}0")),
            Scope::All => ("\0".to_owned(), "\0".to_owned()),
        };
        Self {
            key: Blob::from(key.as_str()),
            range_end: Blob::from(end.as_str()),
            keys_only: false,
        }
    }

    pub(super) fn without_values(mut self) -> Self {
        self.keys_only = true;
        self
    }
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Operand {
    Version { version: Int },
    Mod { mod_revision: Int },
}

#[derive(Debug, Serialize)]
struct Compare {
    key: Blob,
    target: &'static str,
    result: &'static str,
    #[serde(flatten)]
    operand: Operand,
}

impl From<&Condition> for Compare {
    fn from(condition: &Condition) -> Self {
        // The count of a missing key's writes is 0.
        let never = Operand::Version { version: Int(0) };
        let (key, target, result, operand) = match condition {
            Condition::Absent { key } => (key, "VERSION", "EQUAL", never),
            Condition::Present { key } => (key, "VERSION", "GREATER", never),
            Condition::Unchanged { key, version } => {
                let mod_revision = Int(version.0);
                (key, "MOD", "EQUAL", Operand::Mod { mod_revision })
            }
        };
        Self {
            key: Blob::from(key.as_str()),
            target,
            result,
            operand,
        }
    }
}

#[derive(Debug, Serialize)]
enum Op {
    #[serde(rename = "request_put")]
    Put {
        key: Blob,
        value: Blob,
        #[serde(skip_serializing_if = "Option::is_none")]
        lease: Option<Int>,
    },
    #[serde(rename = "request_delete_range")]
    Delete { key: Blob },
}

impl From<&Write> for Op {
    fn from(write: &Write) -> Self {
        match write {
            Write::Put { key, value, lease } => Self::Put {
                key: blob(key),
                value: Blob(value.clone()),
                lease: lease.map(|lease| Int(lease.0)),
            },
            Write::Delete { key } => Self::Delete { key: blob(key) },
        }
    }
}

fn blob(key: &Key) -> Blob {
    Blob::from(key.as_str())
}

#[derive(Debug, Serialize)]
pub(super) struct TxnCall {
    compare: Vec<Compare>,
    success: Vec<Op>,
}

impl From<&Transaction> for TxnCall {
    fn from(transaction: &Transaction) -> Self {
        Self {
            compare: transaction.conditions.iter().map(Compare::from).collect(),
            success: transaction.writes.iter().map(Op::from).collect(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct LeaseCall {
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    ttl: Option<Int>,
    #[serde(rename = "ID", skip_serializing_if = "Option::is_none")]
    id: Option<Int>,
}

impl LeaseCall {
    /// Requests `ttl` in whole seconds, rounded up.
    pub(super) fn grant(ttl: Duration) -> Self {
        let seconds = ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0);
        Self {
            ttl: Some(Int(seconds)),
            id: None,
        }
    }

    pub(super) fn of(lease: LeaseId) -> Self {
        Self {
            ttl: None,
            id: Some(Int(lease.0)),
        }
    }
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    #[serde(flatten)]
    range: RangeCall,
    start_revision: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCall {
    create_request: WatchCreate,
}

impl WatchCall {
    pub(super) fn new(scope: &Scope, from: Version) -> Self {
        Self {
            create_request: WatchCreate {
                range: RangeCall::new(scope),
                start_revision: Int(from.0),
            },
        }
    }
}
