//! An edit of one section, and its merge into the newest document.

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

/// The author of a change, as named in its audit record.
#[derive(Debug, Clone, PartialEq, Eq, Display, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String")]
pub struct Author(Arc<str>);

quick_error! {
    /// Why a text isn't a valid author.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AuthorError {
        /// The text is empty, too long, or contains control characters.
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
    /// The section to change.
    pub section: Section,
    /// The revision of the section's text on which the edit is based.
    pub base: Revision,
    /// The author of the change.
    pub author: Author,
    /// The id of the change, unique among all changes ever made.
    pub change: ChangeId,
    /// The complete new text of the section.
    pub text: String,
    /// Allows taking the last data centre out of service.
    pub force: bool,
}

quick_error! {
    /// Why an edit was refused. The document is unchanged.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EditError {
        /// The section was changed after the edit's base.
        Conflict(conflict: Conflict) {
            from()
            display("{conflict}")
        }
        /// The new text is invalid, or makes another section invalid.
        Invalid(errors: ConfigErrors) {
            from()
            display("{errors}")
        }
        /// The edit takes the last data centre out of service.
        LastCentre {
            display("this takes the last data centre out of service; bring another in first, or repeat with --force")
        }
        /// The new text equals the present one.
        Unchanged(section: Section) {
            display("section {section} already reads like this; there is nothing to apply")
        }
    }
}

/// A change of the section after the edit's base, and how the texts differ.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "section {section} was changed by {} at revision {}, after revision {base} on which this edit builds; take over this difference and apply again:\n{difference}",
    change_label(present), present.revision
)]
pub struct Conflict {
    /// The section that both change.
    pub section: Section,
    /// The revision on which the edit is based.
    pub base: Revision,
    /// The stamp of the section's present text.
    pub present: Stamp,
    /// The unified difference from the present text to the edit's text.
    pub difference: String,
}

fn change_label(stamp: &Stamp) -> String {
    match &stamp.change {
        Some(change) => format!("change {change}"),
        None => "the first document".to_owned(),
    }
}

/// The result of merging an edit.
#[derive(Debug, Clone, PartialEq, Eq, From)]
pub enum Merge {
    /// The document with the edit, one revision higher.
    Merged(Document),
    /// The section's last change is this edit.
    AlreadyApplied(Revision),
}

impl Document {
    /// Merges `edit` into this document.
    ///
    /// Only the edit's section changes; the other sections stay byte for byte,
    /// with their comments. An edit merges if its section hasn't changed since
    /// the edit's base, even if other sections have.
    ///
    /// # Errors
    ///
    /// An [`EditError`] with the difference if the section has changed, with all
    /// errors if the new text is invalid, or if the edit would take the last data
    /// centre out of service without force.
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
                difference: unified_diff(old, &new),
            }));
        }
        if old == new {
            return Err(EditError::Unchanged(edit.section));
        }
        let document = self.replace_section(edit)?;
        if !edit.force && any_in_service(self) && !any_in_service(&document) {
            return Err(EditError::LastCentre);
        }
        Ok(Merge::Merged(document))
    }

    fn replace_section(&self, edit: &Edit) -> Result<Self, ConfigErrors> {
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
pub fn unified_diff(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .header("present", "new")
        .to_string()
}

fn any_in_service(document: &Document) -> bool {
    let mut centres = document.centres().values();
    centres.any(|centre| centre.in_service)
}
