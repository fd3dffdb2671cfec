//! The changes between two revisions, for nodes that hold the older one.

use std::sync::Arc;

use azurestand_types::{Digest, Revision};
use quick_error::quick_error;

use crate::cross::Blocks;
use crate::error::ConfigErrors;
use crate::layout::Block;
use crate::stamp::Stamp;
use crate::{Document, Section};

/// One section that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionDelta {
    /// The section.
    pub section: Section,
    /// The revision and the change that wrote its text.
    pub stamp: Stamp,
    /// Its complete text.
    pub text: Arc<str>,
}

/// The sections that changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The revision from which the delta starts; the receiver must hold it or a later one.
    pub since: Revision,
    /// The revision of the merged document.
    pub revision: Revision,
    /// The digest of the merged document's text.
    pub digest: Digest,
    /// The sections that changed, in the document's order.
    pub sections: Vec<SectionDelta>,
}

quick_error! {
    /// Why a delta can't be merged. The document is unchanged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeltaError {
        /// The delta starts above the document's revision.
        Gap(held: Revision, since: Revision) {
            display("the delta starts at revision {since} but {held} is held; ask for one since {held}")
        }
        /// The delta ends at or below the document's revision.
        Stale(held: Revision, offered: Revision) {
            display("the delta ends at revision {offered} but {held} is held; drop it")
        }
        /// The merged text differs from the sender's.
        Diverged(revision: Revision) {
            display("the delta to revision {revision} gives another text than its sender holds; ask for the whole document")
        }
        /// The sections are invalid.
        Invalid(errors: ConfigErrors) {
            from()
            display("the delta's sections are invalid; ask for the whole document: {errors}")
        }
    }
}

impl Document {
    /// The sections that changed after `since`.
    pub fn delta(&self, since: Revision) -> Delta {
        let changed = self.sections().filter(|(_, stamp)| stamp.revision > since);
        let sections = changed.map(|(section, stamp)| SectionDelta {
            section,
            stamp: stamp.clone(),
            text: self.section_text(section).into(),
        });
        Delta {
            since,
            revision: self.revision(),
            digest: self.digest(),
            sections: sections.collect(),
        }
    }

    /// Replaces the sections of this document by those of the delta.
    ///
    /// # Errors
    ///
    /// A [`DeltaError`] if the delta starts above this document's revision, ends
    /// at or below it, has invalid sections, or gives a text other than the
    /// sender's.
    pub fn merge(&self, delta: &Delta) -> Result<Self, DeltaError> {
        let held = self.revision();
        if delta.since > held {
            return Err(DeltaError::Gap(held, delta.since));
        }
        if delta.revision <= held {
            return Err(DeltaError::Stale(held, delta.revision));
        }
        let mut errors = ConfigErrors::default();
        let mut draft = self.draft();
        draft.revision = delta.revision;
        for changed in &delta.sections {
            let block = Block {
                text: &changed.text,
                line: 1,
            };
            draft.read(changed.section, block, &mut errors);
            let part = draft.parts.entry(changed.section).or_default();
            part.stamp = changed.stamp.clone();
        }
        if errors.as_slice().is_empty() {
            errors = draft.cross_check(&Blocks::new());
        }
        errors.into_result(())?;
        let document = draft.build()?;
        if document.digest() != delta.digest {
            return Err(DeltaError::Diverged(delta.revision));
        }
        Ok(document)
    }
}
