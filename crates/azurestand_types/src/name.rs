//! Checked names. Each is a shared immutable string, so that a clone only
//! increments a reference count.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use quick_error::quick_error;

const MAX_NAME_BYTES: usize = 63;

quick_error! {
    /// Why a string isn't a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The string is empty.
        Empty {
            display("a name is empty; give 1 to 63 characters of a-z, 0-9, '-', '_' or '.'")
        }
        /// The string is longer than 63 bytes.
        TooLong(length: usize) {
            display("a name has {length} bytes; shorten it to 63")
        }
        /// The string contains a character that isn't allowed.
        Character(name: String, found: char) {
            display("name {name:?} contains {found:?}; use only a-z, 0-9, '-', '_' or '.'")
        }
    }
}

fn check(raw: &str) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(raw.len()));
    }
    let allowed = |c: &char| matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.');
    match raw.chars().find(|c| !allowed(c)) {
        Some(found) => Err(NameError::Character(raw.to_owned(), found)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)+) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String")]
        #[as_ref(str)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check(raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }
    )+};
}

names! {
    /// A machine, or this system's process on it.
    HostName,
    /// A data centre: the unit that operators take out of service and bring
    /// back.
    DataCentre,
    /// A group of data centres with low-cost links between them.
    Region,
    /// A customer of the organisation.
    AccountName,
    /// A model that engines serve.
    ModelName,
    /// One version of a model's weights.
    VersionName,
    /// A plain service, which holds no model weights.
    ServiceName,
    /// A back end: a model engine or an instance of a plain service.
    TargetName,
    /// A named priority in the operators' configuration document.
    PriorityName,
}
