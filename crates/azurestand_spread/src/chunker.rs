//! Splits a version's content into chunks for publishing.

use azurestand_types::{Digest, ModelName, VersionName};
use bytes::{Bytes, BytesMut};

use crate::manifest::{Chunk, MAX_CHUNK_BYTES, Manifest, ManifestError};

/// The chunk length in bytes that `publish` uses.
pub const CHUNK_BYTES: u32 = 4 * 1024 * 1024;

/// One chunk with its content, ready to be written to the weight store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkContent {
    /// The digest that readers check the content against.
    pub digest: Digest,
    /// The content.
    pub content: Bytes,
}

/// Splits content that arrives in parts of any length, so that a publisher needs memory
/// for one chunk only and not for the whole version.
#[derive(Debug)]
pub struct Chunker {
    length: usize,
    partial: BytesMut,
    chunks: Vec<Chunk>,
}

impl Chunker {
    /// Splits into chunks of `length` bytes; out-of-range lengths are clamped.
    pub fn new(length: u32) -> Self {
        Self {
            length: length.clamp(1, MAX_CHUNK_BYTES) as usize,
            partial: BytesMut::new(),
            chunks: Vec::new(),
        }
    }

    /// Takes the next part of the content and returns the chunks that it completes.
    pub fn push(&mut self, part: &[u8]) -> Vec<ChunkContent> {
        let mut chunks = Vec::new();
        let mut part = part;
        while !part.is_empty() {
            let count = part.len().min(self.length - self.partial.len());
            self.partial.extend_from_slice(&part[..count]);
            part = &part[count..];
            if self.partial.len() == self.length {
                chunks.push(self.end_chunk());
            }
        }
        chunks
    }

    /// Ends the content and returns the manifest, with the last chunk if it was
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the content was empty or gave more chunks than a manifest holds.
    pub fn finish(
        mut self,
        model: ModelName,
        version: VersionName,
    ) -> Result<(Manifest, Option<ChunkContent>), ManifestError> {
        let last = (!self.partial.is_empty()).then(|| self.end_chunk());
        Ok((Manifest::new(model, version, self.chunks)?, last))
    }

    fn end_chunk(&mut self) -> ChunkContent {
        let content = self.partial.split().freeze();
        let digest = Digest::of(&content);
        let length = u32::try_from(content.len()).unwrap_or(MAX_CHUNK_BYTES);
        self.chunks.push(Chunk { digest, length });
        ChunkContent { digest, content }
    }
}

/// Splits the whole `content` into chunks of `length` bytes.
///
/// # Errors
///
/// Fails like [`Chunker::finish`].
pub fn split_chunks<C>(
    model: ModelName,
    version: VersionName,
    length: u32,
    content: C,
) -> Result<(Manifest, Vec<ChunkContent>), ManifestError>
where
    C: IntoIterator,
    C::Item: AsRef<[u8]>,
{
    let mut chunker = Chunker::new(length);
    let mut chunks = Vec::new();
    for part in content {
        chunks.extend(chunker.push(part.as_ref()));
    }
    let (manifest, last) = chunker.finish(model, version)?;
    chunks.extend(last);
    Ok((manifest, chunks))
}
