//! Keys of the store.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use quick_error::quick_error;

const MAX_KEY_BYTES: usize = 512;

quick_error! {
    /// Why a string isn't a valid key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The string is empty, too long, or contains unprintable characters.
        Malformed(raw: String) {
            display("store key {raw:?} is malformed; use 1 to 512 printable ASCII characters")
        }
    }
}

/// A validated key; its parts are separated by `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef)]
#[as_ref(str)]
pub struct Key(Arc<str>);

impl Key {
    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key for `part` below this one.
    ///
    /// # Errors
    /// Fails when the resulting key is too long or `part` contains unprintable characters.
    pub fn join(&self, part: &str) -> Result<Self, KeyError> {
        Self::try_from(format!("{self}/{part}"))
    }

    /// Returns the last part of the key.
    pub fn last(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }
}

impl TryFrom<&str> for Key {
    type Error = KeyError;

    fn try_from(raw: &str) -> Result<Self, KeyError> {
        let sized = (1..=MAX_KEY_BYTES).contains(&raw.len());
        if sized && raw.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(raw.into()))
        } else {
            Err(KeyError::Malformed(raw.to_owned()))
        }
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(raw: String) -> Result<Self, KeyError> {
        Self::try_from(raw.as_str())
    }
}

/// The keys that a listing or a watch covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scope {
    /// One key.
    One(Key),
    /// Every key below this one, without the key itself.
    Below(Key),
    /// Every key of the store.
    All,
}

impl Scope {
    /// Whether `key` is covered.
    pub fn covers(&self, key: &Key) -> bool {
        match self {
            Self::All => true,
            Self::One(one) => key == one,
            Self::Below(parent) => key
                .as_str()
                .strip_prefix(parent.as_str())
                .is_some_and(|rest| rest.starts_with('/')),
        }
    }
}
