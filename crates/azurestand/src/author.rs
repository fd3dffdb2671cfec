//! Who makes a change, and what the change is called.

use azurestand_config::Author;
use azurestand_types::ChangeId;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::failure::Failure;

const VARIABLES: [&str; 3] = ["AZURESTAND_AUTHOR", "USER", "LOGNAME"];

/// The author given, or the one that the environment names.
pub(crate) fn find(given: Option<String>) -> Result<Author, Failure> {
    let mut named = VARIABLES.iter().filter_map(|name| std::env::var(name).ok());
    let raw = given.or_else(|| named.find(|name| !name.is_empty()));
    let raw = raw.ok_or_else(|| Failure::Usage("name yourself with --author".to_owned()))?;
    Author::try_from(raw).map_err(|error| Failure::Usage(error.to_string()))
}

/// A change id that no other change has: the second, and 64 random bits.
pub(crate) fn fresh_change() -> Result<ChangeId, Failure> {
    let id = format!("{:x}-{:016x}", seconds(), fastrand::u64(..));
    Ok(ChangeId::try_from(id)?)
}

/// The seconds since 1970-01-01 UTC.
pub(crate) fn seconds() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
