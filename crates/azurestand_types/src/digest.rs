//! Content digests.

use std::fmt;

use quick_error::quick_error;

const DIGEST_BYTES: usize = 32;

quick_error! {
    /// Why a string or byte slice isn't a digest.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DigestError {
        /// The string isn't 64 lower-case hexadecimal digits.
        Text(raw: String) {
            display("digest {raw:?} is malformed; copy the 64 hexadecimal digits that `azurestand publish` printed")
        }
        /// The byte slice has the wrong length.
        Length(length: usize) {
            display("a digest has {length} bytes; send 32")
        }
    }
}

/// A BLAKE3 content digest.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// The 32 bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl From<[u8; DIGEST_BYTES]> for Digest {
    fn from(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = DigestError;

    fn try_from(bytes: &[u8]) -> Result<Self, DigestError> {
        bytes
            .try_into()
            .map(Self)
            .map_err(|_| DigestError::Length(bytes.len()))
    }
}

impl TryFrom<&str> for Digest {
    type Error = DigestError;

    fn try_from(raw: &str) -> Result<Self, DigestError> {
        let is_lowercase = !raw.bytes().any(|byte| byte.is_ascii_uppercase());
        match blake3::Hash::from_hex(raw) {
            Ok(hash) if is_lowercase => Ok(Self(*hash.as_bytes())),
            _ => Err(DigestError::Text(raw.to_owned())),
        }
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(raw: String) -> Result<Self, DigestError> {
        Self::try_from(raw.as_str())
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_string()[..12])
    }
}
