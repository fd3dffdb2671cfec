//! The fleet key, shared by all processes of one deployment.

use std::fmt;

use quick_error::quick_error;

quick_error! {
    /// Why a string isn't a valid fleet key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FleetKeyError {
        /// The string isn't 64 hexadecimal digits.
        Malformed {
            display("the fleet key is malformed; set 64 hexadecimal digits, the same on every host")
        }
    }
}

/// The shared secret that authenticates processes of the deployment. Never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives a key from `parts` that only holders of the fleet key can compute.
    pub(crate) fn derive(&self, label: &str, parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(label.as_bytes());
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(hidden)")
    }
}

impl TryFrom<&str> for FleetKey {
    type Error = FleetKeyError;

    fn try_from(raw: &str) -> Result<Self, FleetKeyError> {
        blake3::Hash::from_hex(raw)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| FleetKeyError::Malformed)
    }
}
