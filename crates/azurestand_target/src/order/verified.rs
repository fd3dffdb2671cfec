//! Weights whose staged bytes match their manifest.

use azurestand_types::Digest;
use quick_error::quick_error;

quick_error! {
    /// Why staged weights must not be loaded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum VerifyError {
        /// The manifest's bytes don't have the digest that the document names.
        Manifest(named: Digest, found: Digest) {
            display("the manifest's digest is {found}, not {named}; fetch the manifest again")
        }
        /// A chunk's bytes don't have the digest that the manifest lists.
        Chunk(index: usize) {
            display("chunk {index} differs from the manifest; drop it and fetch it from another source")
        }
        /// The number of staged chunks differs from the number in the manifest.
        Count(wanted: usize, staged: usize) {
            display("{staged} of {wanted} chunks are staged; wait until all are")
        }
    }
}

/// Weights whose manifest and chunks have all been verified.
///
/// Only [`Verified::check`] creates a value, and an order can be given only for
/// such a value, so that no order names partial or mixed weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verified(Digest);

impl Verified {
    /// Checks the staged bytes against the manifest that the document names.
    ///
    /// `named` is the manifest's digest in the accepted document, `manifest`
    /// its bytes, `wanted` the digests of its chunks in order, and `staged` the
    /// digests computed over the staged bytes in the same order.
    ///
    /// # Errors
    ///
    /// If the manifest or a chunk differs, or the number of chunks is wrong.
    pub fn check<I>(
        named: Digest,
        manifest: &[u8],
        wanted: &[Digest],
        staged: I,
    ) -> Result<Self, VerifyError>
    where
        I: IntoIterator<Item = Digest>,
    {
        let found = Digest::of(manifest);
        if found != named {
            return Err(VerifyError::Manifest(named, found));
        }
        let mut count = 0;
        for (index, digest) in staged.into_iter().enumerate() {
            count += 1;
            if wanted
                .get(index)
                .is_some_and(|expected| *expected != digest)
            {
                return Err(VerifyError::Chunk(index));
            }
        }
        if count != wanted.len() {
            return Err(VerifyError::Count(wanted.len(), count));
        }
        Ok(Self(named))
    }

    /// The digest of the manifest.
    pub fn digest(self) -> Digest {
        self.0
    }
}
