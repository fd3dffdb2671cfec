//! The verified chunks that a host holds, in memory since hosts have no disks.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use azurestand_spread::{Failure, Manifest, Verified};
use azurestand_types::Digest;
use bytes::Bytes;

type Chunks = HashMap<Digest, Bytes>;

/// Chunks by digest; only verified content gets in.
#[derive(Debug, Clone, Default)]
pub(crate) struct Vault(Arc<RwLock<Chunks>>);

impl Vault {
    /// Checks `content` against `digest` and keeps it.
    pub(crate) fn put(&self, digest: Digest, content: Bytes) -> Result<Verified, Failure> {
        let verified = Verified::check(digest, &content)?;
        let mut chunks = self.0.write().unwrap_or_else(PoisonError::into_inner);
        chunks.insert(digest, content);
        Ok(verified)
    }

    pub(crate) fn get(&self, digest: &Digest) -> Option<Bytes> {
        let chunks = self.0.read().unwrap_or_else(PoisonError::into_inner);
        chunks.get(digest).cloned()
    }

    pub(crate) fn drop_chunk(&self, digest: &Digest) {
        let mut chunks = self.0.write().unwrap_or_else(PoisonError::into_inner);
        chunks.remove(digest);
    }

    pub(crate) fn len(&self) -> usize {
        let chunks = self.0.read().unwrap_or_else(PoisonError::into_inner);
        chunks.len()
    }

    /// Every chunk of a version in order, or none if a single one is missing.
    pub(crate) fn whole(&self, manifest: &Manifest) -> Option<Vec<Bytes>> {
        let chunks = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let parts = manifest.chunks().iter();
        parts
            .map(|chunk| chunks.get(&chunk.digest).cloned())
            .collect()
    }
}
