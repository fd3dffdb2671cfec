//! What tells requests apart.

use std::fmt;
use std::sync::Arc;

use derive_more::Display;
use quick_error::quick_error;

const MAX_KEY_BYTES: usize = 255;

quick_error! {
    /// Why a text or byte string isn't a request id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestIdError {
        /// The text isn't 32 hexadecimal digits.
        Text(raw: String) {
            display("request id {raw:?} is malformed; send 32 hexadecimal digits")
        }
        /// The byte string has the wrong length.
        Length(length: usize) {
            display("a request id has {length} bytes; send 16")
        }
    }
}

/// Identifies one request on its whole way; drawn at random by the entry.
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
        let hex = raw.len() == 32 && raw.bytes().all(|byte| byte.is_ascii_hexdigit());
        match u128::from_str_radix(raw, 16) {
            Ok(id) if hex => Ok(Self(id)),
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
    /// Why a text can't serve as an idempotency key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RequestKeyError {
        /// The text is empty, longer than 255 bytes, or holds unprintable characters.
        Malformed {
            display("the Idempotency-Key header is malformed; send 1 to 255 printable ASCII characters")
        }
    }
}

/// A caller's idempotency key: requests of one account with one key run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct RequestKey(Arc<str>);

impl RequestKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = RequestKeyError;

    fn try_from(raw: &str) -> Result<Self, RequestKeyError> {
        let sized = (1..=MAX_KEY_BYTES).contains(&raw.len());
        if sized
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
