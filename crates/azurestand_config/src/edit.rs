//! A change of one section, and its merge into the newest document.

use std::sync::Arc;

use azurestand_types::{ChangeId, Revision};
use derive_more::{Display, From};
use quick_error::quick_error;
use similar::TextDiff;

use crate::cross::Blocks;
use crate::error::ConfigErrors;
use crate::layout::{self, Block};
use crate::stamp::Stamp;
use crate::{Document, Section};

const MAX_AUTHOR_BYTES: usize = 128;

/// Who made a change, as the audit record names them.
#[derive(Debug, Clone, PartialEq, Eq, Display, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Author(Arc<str>);

quick_error! {
    /// Why a text can't serve as an author.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AuthorError {
        /// The text is empty, too long, or holds control characters.
        Malformed(raw: String) {
            display("author {raw:?} is malformed; give 1 to 128 bytes without control characters")
        }
    }
}

impl TryFrom<String> for Author {
    type Error = AuthorError;

    fn try_from(raw: String) -> Result<Self, AuthorError> {
        let sized = (1..=MAX_AUTHOR_BYTES).contains(&raw.len());
        if sized && !raw.chars().any(char::is_control) {
            Ok(Self(raw.into()))
        } else {
            Err(AuthorError::Malformed(raw))
        }
    }
}

/// A change of one section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The section that changes.
    pub section: Section,
    /// The revision of the section's text from which the author started.
    pub base: Revision,
    /// Who changes it.
    pub author: Author,
    /// Names this change for ever; a fresh one for each change.
    pub change: ChangeId,
    /// The section's whole new text.
    pub text: String,
    /// Allows taking the last data centre out of service.
    pub force: bool,
}

quick_error! {
    /// Why an edit was refused. The document stays as it is.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EditError {
        /// Another change of the same section came first.
        Conflict(conflict: Conflict) {
            from()
            display("{conflict}")
        }
        /// The new text, or what it does to other sections, is wrong.
        Invalid(errors: ConfigErrors) {
            from()
            display("{errors}")
        }
        /// The edit takes the last data centre out of service.
        LastCentre {
            display("this takes the last data centre out of service; bring another in first, or repeat with --force")
        }
        /// The new text is the present one.
        Unchanged(section: Section) {
            display("section {section} already reads like this; there is nothing to apply")
        }
    }
}

/// What stands between an edit and the section's present text.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "section {section} was changed by {} at revision {}, after revision {base} on which this edit builds; take over this difference and apply again:\n{difference}",
    change_name(present), present.revision
)]
pub struct Conflict {
    /// The section that both changed.
    pub section: Section,
    /// The revision on which the edit builds.
    pub base: Revision,
    /// The change that came first.
    pub present: Stamp,
    /// The unified difference from the present text to the edit's text.
    pub difference: String,
}

fn change_name(stamp: &Stamp) -> String {
    match &stamp.change {
        Some(change) => format!("change {change}"),
        None => "the first document".to_owned(),
    }
}

/// What merging an edit gave.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum Merge {
    /// The document with the edit, one revision higher.
    Merged(Document),
    /// The section's last change is this very edit.
    AlreadyApplied(Revision),
}

impl Document {
    /// Merges `edit` into this document.
    ///
    /// Only the edit's section changes, byte for byte; the texts and comments
    /// of the others stay. An edit whose section has not moved since its base
    /// merges, whatever else has changed.
    ///
    /// # Errors
    ///
    /// An [`EditError`] with the difference when the section moved, with every
    /// error of the new text, or when the edit would take the last data centre
    /// out of service without force.
    pub fn apply(&self, edit: &Edit) -> Result<Merge, EditError> {
        let present = self.stamp(edit.section);
        if present.change.as_ref() == Some(&edit.change) {
            return Ok(Merge::AlreadyApplied(present.revision));
        }
        let old = self.section_text(edit.section);
        let new = layout::normalise(&edit.text);
        if present.revision != edit.base {
            return Err(EditError::Conflict(Conflict {
                section: edit.section,
                base: edit.base,
                present,
                difference: difference(old, &new),
            }));
        }
        if old == new {
            return Err(EditError::Unchanged(edit.section));
        }
        let document = self.replace(edit)?;
        if !edit.force && serves(self) && !serves(&document) {
            return Err(EditError::LastCentre);
        }
        Ok(Merge::Merged(document))
    }

    fn replace(&self, edit: &Edit) -> Result<Self, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let mut draft = self.draft();
        draft.revision = self.revision().next();
        let block = Block {
            text: &edit.text,
            line: 1,
        };
        draft.read(edit.section, block, &mut errors);
        if let Some(part) = draft.parts.get_mut(&edit.section) {
            part.stamp = Stamp {
                revision: draft.revision,
                change: Some(edit.change.clone()),
            };
        }
        if errors.as_slice().is_empty() {
            errors = draft.cross_check(&Blocks::from([(edit.section, block)]));
        }
        errors.into_result(())?;
        draft.build()
    }
}

/// The unified difference between two texts, with three lines of context.
pub fn difference(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .header("present", "new")
        .to_string()
}

fn serves(document: &Document) -> bool {
    let mut centres = document.centres().values();
    centres.any(|centre| centre.in_service)
}
