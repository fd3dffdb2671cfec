//! The audit trail: one record of bounded size for each change.

use azurestand_types::{ChangeId, Digest, Revision};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::patch::{Patch, RevertError};
use crate::{Author, Document, Edit, Section};

/// The store key of the document.
pub const DOCUMENT_KEY: &str = "azurestand/document";

/// The prefix of the store keys of audit records.
pub const AUDIT_PREFIX: &str = "azurestand/audit/";

/// The number of latest changes whose audit records the store keeps; older records are deleted.
pub const KEPT_RECORDS: u64 = 100_000;

quick_error! {
    /// Why bytes aren't an audit record.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AuditError {
        /// The bytes aren't a record in this version's format.
        Malformed(message: String) {
            display("the audit record is malformed ({message}); read it with the version that wrote it")
        }
    }
}

/// The record of one change: its author, time, section and difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The document's revision after the change.
    pub revision: Revision,
    /// The section that changed; none when the whole document was written.
    pub section: Option<Section>,
    /// The revision in which the section got its text before this change.
    pub from: Revision,
    /// The change's id.
    pub change: ChangeId,
    /// The author of the change.
    pub author: Author,
    /// The time at which it was sent, in seconds since 1970-01-01 UTC by the author's clock.
    pub at: u64,
    /// Whether the author forced it.
    pub force: bool,
    /// The digest of the section's text before the change; of the empty text for a whole document.
    pub before: Digest,
    /// The digest of the text after the change, of the section or of the whole document.
    pub after: Digest,
    /// The changed lines; none if they exceed the maximum size, or for a whole document.
    pub patch: Option<Patch>,
}

impl AuditRecord {
    /// The record of `edit`, which changed `old` to `new` at `at`, in seconds since 1970-01-01 UTC.
    pub fn for_edit(edit: &Edit, old: &Document, new: &Document, at: u64) -> Self {
        let before = old.section_text(edit.section);
        let after = new.section_text(edit.section);
        Self {
            revision: new.revision(),
            section: Some(edit.section),
            from: old.stamp(edit.section).revision,
            change: edit.change.clone(),
            author: edit.author.clone(),
            at,
            force: edit.force,
            before: Digest::of(before.as_bytes()),
            after: Digest::of(after.as_bytes()),
            patch: Patch::between(before, after),
        }
    }

    /// The record of a whole `document`, written as the initial one or restored.
    pub fn for_document(document: &Document, author: Author, change: ChangeId, at: u64) -> Self {
        Self {
            revision: document.revision(),
            section: None,
            from: Revision(0),
            change,
            author,
            at,
            force: false,
            before: Digest::of(b""),
            after: document.digest(),
            patch: None,
        }
    }

    /// The store key of the record of `revision`. Keys sort in the order of revisions.
    pub fn key(revision: Revision) -> String {
        format!("{AUDIT_PREFIX}{:020}", revision.0)
    }

    /// The record as JSON, as stored.
    pub fn to_json(&self) -> String {
        serde_json::json!(self).to_string()
    }

    /// Reverts this change in the section's `present` text.
    ///
    /// `later` holds the records of the same section after this one, newest first.
    ///
    /// # Errors
    ///
    /// A [`RevertError`] if a later change modified the same lines, or if the
    /// lines of this or a later change weren't kept.
    pub fn revert(&self, present: &str, later: &[Self]) -> Result<String, RevertError> {
        let patch = self.patch.as_ref().ok_or(RevertError::PatchTooLarge)?;
        let later: Option<Vec<&Patch>> = later.iter().map(|record| record.patch.as_ref()).collect();
        patch.revert(present, &later.ok_or(RevertError::PatchTooLarge)?)
    }
}

impl TryFrom<&[u8]> for AuditRecord {
    type Error = AuditError;

    fn try_from(bytes: &[u8]) -> Result<Self, AuditError> {
        serde_json::from_slice(bytes).map_err(|error| AuditError::Malformed(error.to_string()))
    }
}
