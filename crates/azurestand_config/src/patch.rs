//! What a change did to a section's text, line by line, so that it can be taken back.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

/// The longest patch that an audit record carries, in bytes of its lines.
pub(crate) const MAX_PATCH_BYTES: usize = 128 * 1024;

quick_error! {
    /// Why a change can't be taken back.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RevertError {
        /// Later changes touched the same lines.
        Overlap(line: usize) {
            display("line {line} of the change was changed again since; edit the section by hand")
        }
        /// The change was too large for the audit record to hold its lines.
        NotKept {
            display("the change was too large for its lines to be kept; apply the earlier text by hand")
        }
    }
}

/// Lines that stand in place of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hunk {
    /// The first of the new text's lines, counted from 1.
    pub line: usize,
    /// The lines that went.
    pub removed: Vec<String>,
    /// The lines that came.
    pub added: Vec<String>,
}

/// What a change did to a section's text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Patch {
    /// The hunks in the order of their lines.
    pub hunks: Vec<Hunk>,
}

impl Patch {
    /// What leads from `old` to `new`; none if that is too long to keep.
    pub fn between(old: &str, new: &str) -> Option<Self> {
        let removed = lines(old);
        let added = lines(new);
        let diff = TextDiff::from_slices(&removed, &added);
        let ops = diff.ops().iter();
        let changed = ops.filter(|op| !matches!(op, DiffOp::Equal { .. }));
        let hunks: Vec<Hunk> = changed
            .map(|op| Hunk {
                line: op.new_range().start + 1,
                removed: owned(&removed[op.old_range()]),
                added: owned(&added[op.new_range()]),
            })
            .collect();
        let lines = hunks
            .iter()
            .flat_map(|hunk| hunk.removed.iter().chain(&hunk.added));
        let bytes: usize = lines.map(String::len).sum();
        (bytes <= MAX_PATCH_BYTES).then_some(Self { hunks })
    }

    /// The text before this change, given the text right after it.
    ///
    /// # Errors
    ///
    /// [`RevertError::Overlap`] when `after` isn't the text that the change gave.
    pub fn undo(&self, after: &str) -> Result<String, RevertError> {
        let mut lines = lines(after);
        for hunk in self.hunks.iter().rev() {
            let start = hunk.line - 1;
            let range = start..start + hunk.added.len();
            if lines.get(range.clone()) != Some(&borrowed(&hunk.added)[..]) {
                return Err(RevertError::Overlap(hunk.line));
            }
            lines.splice(range, borrowed(&hunk.removed));
        }
        Ok(lines.concat())
    }

    /// Takes this change back from `present`, and keeps the changes after it.
    ///
    /// `later` are the patches of the same section after this one, the newest first.
    ///
    /// # Errors
    ///
    /// [`RevertError::Overlap`] when a later change touched the same lines.
    pub fn revert(&self, present: &str, later: &[&Self]) -> Result<String, RevertError> {
        let mut after = present.to_owned();
        for patch in later {
            after = patch.undo(&after)?;
        }
        let old = lines(&after);
        let mut lines = lines(present);
        let diff = TextDiff::from_slices(&old, &lines);
        let ops = diff.ops().to_vec();
        for hunk in self.hunks.iter().rev() {
            let at = hunk.moved(&ops).ok_or(RevertError::Overlap(hunk.line))?;
            lines.splice(at..at + hunk.added.len(), borrowed(&hunk.removed));
        }
        Ok(lines.concat())
    }
}

impl Hunk {
    /// Where the hunk's new lines stand after later changes, if none touched them.
    fn moved(&self, ops: &[DiffOp]) -> Option<usize> {
        let start = self.line - 1;
        let end = start + self.added.len();
        ops.iter().find_map(|op| match *op {
            DiffOp::Equal {
                old_index,
                new_index,
                len,
            } if old_index <= start && end <= old_index + len => {
                Some(new_index + start - old_index)
            }
            _ => None,
        })
    }
}

/// The lines of a text with their breaks, so that they join to the same text.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn owned(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

fn borrowed(lines: &[String]) -> Vec<&str> {
    lines.iter().map(String::as_str).collect()
}
