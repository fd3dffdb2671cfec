//! The parts of a prompt, by which requests that differ otherwise can be compared.

use azurestand_types::rendezvous;
use derive_more::Display;

/// Separates the hash of a long name from those of other uses.
const HASH_KEY: &[u8] = b"prompt part";
/// The base of the digits of a part's name.
const RADIX: u32 = 16;

/// The identity of one part of a prompt, which many requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:x}")]
pub struct PartId(pub u64);

impl From<&str> for PartId {
    /// The part with this name: a hexadecimal number, or any text, which is hashed.
    fn from(name: &str) -> Self {
        let number = u64::from_str_radix(name, RADIX);
        Self(number.unwrap_or_else(|_| rendezvous::score(HASH_KEY, name)))
    }
}
