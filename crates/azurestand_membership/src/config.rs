//! The operators' document as dissemination handles it: opaque sections with revisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_types::{Digest, Revision};
use derive_more::{AsRef, Display};
use quick_error::quick_error;

/// The maximum number of sections in a document.
pub const MAX_SECTIONS: usize = 64;

/// The maximum total size of a document's sections in bytes.
pub const MAX_CONFIG_BYTES: usize = 1_048_576;

/// The highest revision that a document may carry.
///
/// A corrupted revision near the end of the range would block every later
/// document; see [docs/PAPER.md](../../../docs/PAPER.md).
pub const MAX_REVISION: Revision = Revision(1 << 53);

const MAX_SECTION_NAME_BYTES: usize = 63;

quick_error! {
    /// The reason why a document can't be disseminated.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigError {
        /// A section's name is empty, too long, or has other characters than lower-case
        /// letters, digits, '_', '-' and '.'.
        SectionName(raw: String) {
            display("section name {raw:?} is malformed; use 1 to 63 of a-z, 0-9, '_', '-' and '.'")
        }
        /// The document has too many sections.
        Sections(count: usize) {
            display("the document has {count} sections; merge them into 64 or fewer")
        }
        /// The document's revision is out of range.
        Revision(revision: Revision) {
            display("revision {revision} is over 9007199254740992; the document is damaged, restore its revision")
        }
        /// The document is too large.
        TooLarge(length: usize) {
            display("the document has {length} bytes; shorten it to 1048576")
        }
    }
}

/// The name of one section of the document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef)]
#[as_ref(str)]
pub struct SectionName(Arc<str>);

impl SectionName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for SectionName {
    type Error = ConfigError;

    fn try_from(raw: &str) -> Result<Self, ConfigError> {
        let sized = (1..=MAX_SECTION_NAME_BYTES).contains(&raw.len());
        let allowed = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.');
        if sized && raw.chars().all(allowed) {
            Ok(Self(raw.into()))
        } else {
            Err(ConfigError::SectionName(raw.to_owned()))
        }
    }
}

/// One section: its text and the revision at which it last changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The document's revision at which this section last changed.
    pub revision: Revision,
    /// The section's text, which only the configuration crate reads.
    pub text: Arc<str>,
}

/// A whole document at one revision.
///
/// The stamp distinguishes documents with the same revision but different
/// content, which can occur after the store is restored to an older state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    revision: Revision,
    sections: BTreeMap<SectionName, Section>,
    stamp: Stamp,
}

/// A revision together with the first bytes of the digest of its content.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{revision}-{digest:016x}")]
pub struct Stamp {
    /// The document's revision.
    pub revision: Revision,
    /// The first eight bytes of the BLAKE3 digest of the sections.
    pub digest: u64,
}

impl Config {
    /// Checks the limits of a document and computes its stamp.
    ///
    /// # Errors
    ///
    /// Fails when the revision, the number of sections or the bytes are out of bounds.
    pub fn new(
        revision: Revision,
        sections: BTreeMap<SectionName, Section>,
    ) -> Result<Self, ConfigError> {
        if revision > MAX_REVISION {
            return Err(ConfigError::Revision(revision));
        }
        if sections.len() > MAX_SECTIONS {
            return Err(ConfigError::Sections(sections.len()));
        }
        let length = sections.values().map(|section| section.text.len()).sum();
        if length > MAX_CONFIG_BYTES {
            return Err(ConfigError::TooLarge(length));
        }
        let digest = digest(&sections);
        Ok(Self {
            revision,
            sections,
            stamp: Stamp { revision, digest },
        })
    }

    /// The document's revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The sections by name.
    pub fn sections(&self) -> &BTreeMap<SectionName, Section> {
        &self.sections
    }

    /// The revision with the digest of the content.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }
}

fn digest(sections: &BTreeMap<SectionName, Section>) -> u64 {
    let mut content = Vec::new();
    for (name, section) in sections {
        for part in [name.as_str(), &*section.text] {
            content.extend_from_slice(&(part.len() as u64).to_le_bytes());
            content.extend_from_slice(part.as_bytes());
        }
        content.extend_from_slice(&section.revision.0.to_le_bytes());
    }
    let mut head = [0; 8];
    head.copy_from_slice(&Digest::of(&content).as_bytes()[..8]);
    u64::from_le_bytes(head)
}
