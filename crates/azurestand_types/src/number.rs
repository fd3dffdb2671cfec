//! Monotonic counters, each of its own type so that they can't be mixed up, and
//! small numeric ids.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use quick_error::quick_error;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Display, From, Into, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )+};
}

counters! {
    /// The revision of the operators' configuration document; a node never goes
    /// back to a lower one.
    Revision,
    /// A fencing number: an engine that checks it refuses a load order with a
    /// lower one.
    Fence,
    /// Counts the process starts under one host name; a message to an earlier
    /// incarnation is refused.
    Incarnation,
    /// Counts the takeovers of a shard of idempotency keys.
    Epoch,
}

/// A random number that an engine generates at each start, so that no restart
/// goes unnoticed.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// The urgency of a request; 0 goes first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

const MAX_CHANGE_ID_BYTES: usize = 64;

quick_error! {
    /// Why a string isn't a valid change id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeIdError {
        /// The string is empty, longer than 64 bytes, or contains anything but
        /// letters, digits and '-'.
        Malformed(raw: String) {
            display("change id {raw:?} is malformed; use 1 to 64 letters, digits or '-'")
        }
    }
}

/// Identifies one attempt to change the document, so that its result can be
/// looked up when the answer was lost.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String")]
pub struct ChangeId(Arc<str>);

impl ChangeId {
    /// The id as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(raw: String) -> Result<Self, ChangeIdError> {
        let valid_length = (1..=MAX_CHANGE_ID_BYTES).contains(&raw.len());
        if valid_length && raw.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
            Ok(Self(raw.into()))
        } else {
            Err(ChangeIdError::Malformed(raw))
        }
    }
}
