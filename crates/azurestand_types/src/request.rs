//! Request ids and idempotency keys.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use quick_error::quick_error;

const MAX_KEY_BYTES: usize = 255;

quick_error! {
    /// Why a string or byte slice isn't a request id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestIdError {
        /// The string isn't 32 hexadecimal digits.
        Text(raw: String) {
            display("request id {raw:?} is malformed; send 32 hexadecimal digits")
        }
        /// The byte slice has the wrong length.
        Length(length: usize) {
            display("a request id has {length} bytes; send 16")
        }
    }
}

/// Identifies a request on every hop; the entry generates it at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl TryFrom<&str> for RequestId {
    type Error = RequestIdError;

    fn try_from(raw: &str) -> Result<Self, RequestIdError> {
        let is_hex = raw.len() == 32 && raw.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u128::from_str_radix(raw, 16) {
            Ok(id) if is_hex => Ok(Self(id)),
            _ => Err(RequestIdError::Text(raw.to_owned())),
        }
    }
}

impl TryFrom<&[u8]> for RequestId {
    type Error = RequestIdError;

    fn try_from(bytes: &[u8]) -> Result<Self, RequestIdError> {
        bytes
            .try_into()
            .map(|bytes| Self(u128::from_be_bytes(bytes)))
            .map_err(|_| RequestIdError::Length(bytes.len()))
    }
}

quick_error! {
    /// Why a string isn't a valid idempotency key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestKeyError {
        /// The string is empty, longer than 255 bytes, or contains unprintable
        /// characters.
        Malformed {
            display("the Idempotency-Key header is malformed; send 1 to 255 printable ASCII characters")
        }
    }
}

/// A caller's idempotency key: of all requests of an account with the same key,
/// at most one runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct RequestKey(Arc<str>);

impl RequestKey {
    /// The key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(raw: &str) -> Result<Self, RequestKeyError> {
        let valid_length = (1..=MAX_KEY_BYTES).contains(&raw.len());
        if valid_length
            && raw
                .bytes()
                .all(|byte| byte.is_ascii_graphic() || byte == b' ')
        {
            Ok(Self(raw.into()))
        } else {
            Err(RequestKeyError::Malformed)
        }
    }
}
