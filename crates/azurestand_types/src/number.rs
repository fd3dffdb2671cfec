//! Counters that only grow, each with a type of its own so that they can't be mixed up.

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
    /// The revision of the operators' document; a node never goes back to a lower one.
    Revision,
    /// A fencing number: an engine that checks it refuses an order with an old one.
    Fence,
    /// Counts the lives of a host name; a message to an earlier life is refused.
    Incarnation,
    /// Counts the takeovers of a home of idempotency keys.
    Epoch,
}

/// What an engine draws afresh at each start, so that a restart is never missed.
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

/// How urgent work is; 0 goes first.
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
    /// Why a text can't serve as a change id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ChangeIdError {
        /// The text is empty, too long, or holds other than letters, digits and '-'.
        Malformed(raw: String) {
            display("change id {raw:?} is malformed; use 1 to 64 letters, digits or '-'")
        }
    }
}

/// Names one attempt to change the document, so that a lost answer can be looked up.
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
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(raw: String) -> Result<Self, ChangeIdError> {
        let sized = (1..=MAX_CHANGE_ID_BYTES).contains(&raw.len());
        if sized && raw.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
            Ok(Self(raw.into()))
        } else {
            Err(ChangeIdError::Malformed(raw))
        }
    }
}
