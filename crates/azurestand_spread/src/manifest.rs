//! The manifest of a version: its chunks in order.

use azurestand_types::{Digest, ModelName, NameError, VersionName};
use prost::Message as _;
use quick_error::quick_error;

/// The most chunks one version may have; more means a larger chunk size is needed.
pub const MAX_CHUNKS: usize = 65_536;

/// The longest chunk, in bytes. Staging memory is bounded by a few of these.
pub const MAX_CHUNK_BYTES: u32 = 64 * 1024 * 1024;

const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;

quick_error! {
    /// Why bytes or chunks don't form a manifest.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ManifestError {
        /// The encoding is larger than any manifest may be.
        TooLong(length: usize) {
            display("a manifest has {length} bytes; publish with larger chunks to stay under {MAX_MANIFEST_BYTES}")
        }
        /// The encoding isn't a manifest.
        Malformed(source: prost::DecodeError) {
            display("the manifest can't be decoded: {source}; publish the version again")
            from()
        }
        /// The model's or version's name isn't allowed.
        Name(source: NameError) {
            display("the manifest names no valid model or version: {source}")
            from()
        }
        /// There are no chunks, or too many.
        Count(count: usize) {
            display("a manifest has {count} chunks; publish with a chunk size that gives 1 to {MAX_CHUNKS}")
        }
        /// A chunk's digest isn't 32 bytes long.
        Digest(index: usize) {
            display("chunk {index} has a malformed digest; publish the version again")
        }
        /// A chunk is empty or too long.
        Length(index: usize, length: u32) {
            display("chunk {index} has {length} bytes; publish with chunks of 1 to {MAX_CHUNK_BYTES}")
        }
        /// The encoding isn't the canonical one that the digest is computed from.
        NotCanonical {
            display("the manifest holds unknown or repeated fields; publish the version again")
        }
    }
}

/// One chunk of a version's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chunk {
    /// The chunk's digest, its name at every source.
    pub digest: Digest,
    /// Length in bytes.
    pub length: u32,
}

/// The chunks of one version of one model, in order.
///
/// Operators name its digest in the document, so a host that holds a manifest of that
/// digest knows every chunk's digest too.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    model: ModelName,
    version: VersionName,
    size: u64,
    chunks: Vec<Chunk>,
    digest: Digest,
}

impl Manifest {
    /// Checks `chunks` and computes the manifest's digest.
    ///
    /// # Errors
    ///
    /// Fails when there are no chunks, too many, or one of a length that isn't allowed.
    pub fn new(
        model: ModelName,
        version: VersionName,
        chunks: Vec<Chunk>,
    ) -> Result<Self, ManifestError> {
        check(&chunks)?;
        let size = chunks.iter().map(|chunk| u64::from(chunk.length)).sum();
        let digest = Digest::of(&encode(&model, &version, &chunks));
        Ok(Self {
            model,
            version,
            size,
            chunks,
            digest,
        })
    }

    /// The model that the version belongs to.
    pub fn model(&self) -> &ModelName {
        &self.model
    }

    /// The version's name.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// The content's length in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }

    /// The chunks in the content's order. A digest may occur more than once.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// The BLAKE3 digest of [`Self::encode`].
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The bytes that are published and that the digest is computed from.
    pub fn encode(&self) -> Vec<u8> {
        encode(&self.model, &self.version, &self.chunks)
    }
}

impl TryFrom<&[u8]> for Manifest {
    type Error = ManifestError;

    fn try_from(bytes: &[u8]) -> Result<Self, ManifestError> {
        if bytes.len() > MAX_MANIFEST_BYTES {
            return Err(ManifestError::TooLong(bytes.len()));
        }
        let wire = WireManifest::decode(bytes)?;
        let model = ModelName::try_from(wire.model)?;
        let version = VersionName::try_from(wire.version)?;
        let chunks = wire
            .chunks
            .iter()
            .enumerate()
            .map(|(index, chunk)| chunk.check(index))
            .collect::<Result<_, _>>()?;
        let manifest = Self::new(model, version, chunks)?;
        if manifest.digest != Digest::of(bytes) {
            return Err(ManifestError::NotCanonical);
        }
        Ok(manifest)
    }
}

fn check(chunks: &[Chunk]) -> Result<(), ManifestError> {
    if !(1..=MAX_CHUNKS).contains(&chunks.len()) {
        return Err(ManifestError::Count(chunks.len()));
    }
    let allowed = |chunk: &Chunk| (1..=MAX_CHUNK_BYTES).contains(&chunk.length);
    match chunks.iter().position(|chunk| !allowed(chunk)) {
        Some(index) => Err(ManifestError::Length(index, chunks[index].length)),
        None => Ok(()),
    }
}

fn encode(model: &ModelName, version: &VersionName, chunks: &[Chunk]) -> Vec<u8> {
    let wire = WireManifest {
        model: model.as_str().to_owned(),
        version: version.as_str().to_owned(),
        chunks: chunks.iter().map(WireChunk::from).collect(),
    };
    wire.encode_to_vec()
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireManifest {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(message, repeated, tag = "3")]
    chunks: Vec<WireChunk>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireChunk {
    #[prost(bytes = "vec", tag = "1")]
    digest: Vec<u8>,
    #[prost(uint32, tag = "2")]
    length: u32,
}

impl WireChunk {
    fn check(&self, index: usize) -> Result<Chunk, ManifestError> {
        let digest =
            Digest::try_from(&self.digest[..]).map_err(|_| ManifestError::Digest(index))?;
        Ok(Chunk {
            digest,
            length: self.length,
        })
    }
}

impl From<&Chunk> for WireChunk {
    fn from(chunk: &Chunk) -> Self {
        Self {
            digest: chunk.digest.as_bytes().to_vec(),
            length: chunk.length,
        }
    }
}
