//! Line-based patches of a section's text, with which changes are reverted.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

/// The maximum number of line pairs that a diff may compare.
///
/// Above it, everything between the common head and tail counts as one hunk:
/// a diff of two megabytes of unlike lines would take seconds.
const MAX_LINE_PAIRS: usize = 25_000_000;

/// The maximum size of a patch in an audit record, in bytes of its lines.
pub(crate) const MAX_PATCH_BYTES: usize = 128 * 1024;

quick_error! {
    /// Why a change can't be reverted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RevertError {
        /// A later change modified the same lines.
        Overlap(line: usize) {
            display("line {line} of the change was changed again since; edit the section by hand")
        }
        /// The change was too large for the audit record to include its lines.
        PatchTooLarge {
            display("the change was too large for its lines to be kept; apply the earlier text by hand")
        }
    }
}

/// A run of lines that was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hunk {
    /// The position of the added lines in the new text, counted from 1.
    pub line: usize,
    /// The lines that were removed.
    pub removed: Vec<String>,
    /// The lines that were added.
    pub added: Vec<String>,
}

/// The difference that a change made to a section's text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Patch {
    /// The hunks in the order of their lines.
    pub hunks: Vec<Hunk>,
}

impl Patch {
    /// The patch from `old` to `new`; none if it exceeds the maximum size.
    pub fn between(old: &str, new: &str) -> Option<Self> {
        let hunks = hunks(&lines(old), &lines(new));
        let lines = hunks
            .iter()
            .flat_map(|hunk| hunk.removed.iter().chain(&hunk.added));
        let bytes: usize = lines.map(String::len).sum();
        (bytes <= MAX_PATCH_BYTES).then_some(Self { hunks })
    }

    /// Returns the text before this change, given the text directly after it.
    ///
    /// # Errors
    ///
    /// [`RevertError::Overlap`] if `after` isn't the text that the change produced.
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

    /// Reverts this change in `present`, and keeps the changes after it.
    ///
    /// `later` holds the patches of the same section after this one, newest first.
    ///
    /// # Errors
    ///
    /// [`RevertError::Overlap`] if a later change modified the same lines.
    pub fn revert(&self, present: &str, later: &[&Self]) -> Result<String, RevertError> {
        let mut after = present.to_owned();
        for patch in later {
            after = patch.undo(&after)?;
        }
        let mut lines = lines(present);
        let runs = common_runs(&self::lines(&after), &lines);
        for hunk in self.hunks.iter().rev() {
            let at = hunk
                .index_after(&runs)
                .ok_or(RevertError::Overlap(hunk.line))?;
            lines.splice(at..at + hunk.added.len(), borrowed(&hunk.removed));
        }
        Ok(lines.concat())
    }
}

impl Hunk {
    /// The index of the hunk's added lines after later changes, if none modified them.
    fn index_after(&self, runs: &[Run]) -> Option<usize> {
        let start = self.line - 1;
        let end = start + self.added.len();
        let run = runs
            .iter()
            .find(|run| run.old <= start && end <= run.old + run.length)?;
        Some(run.new + start - run.old)
    }
}

/// A run of lines that two texts have in common.
struct Run {
    old: usize,
    new: usize,
    length: usize,
}

/// The runs of equal lines, including the common head and tail even if they are empty.
fn common_runs(old: &[&str], new: &[&str]) -> Vec<Run> {
    let head = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let tails = old[head..].iter().rev().zip(new[head..].iter().rev());
    let tail = tails.take_while(|(a, b)| a == b).count();
    let (old_end, new_end) = (old.len() - tail, new.len() - tail);
    let pairs = (old_end - head).saturating_mul(new_end - head);
    let mut runs = vec![Run {
        old: 0,
        new: 0,
        length: head,
    }];
    if pairs <= MAX_LINE_PAIRS {
        let middle = equal_runs(&old[head..old_end], &new[head..new_end]);
        runs.extend(middle.into_iter().map(|run| Run {
            old: run.old + head,
            new: run.new + head,
            ..run
        }));
    }
    runs.push(Run {
        old: old_end,
        new: new_end,
        length: tail,
    });
    runs
}

/// The equal runs that a diff finds.
///
/// The diff's other operations aren't used: for an adjacent deletion and insertion,
/// each may be reported at the position before the other.
fn equal_runs(old: &[&str], new: &[&str]) -> Vec<Run> {
    let diff = TextDiff::from_slices(old, new);
    let equal = diff.ops().iter().filter_map(|op| match *op {
        DiffOp::Equal {
            old_index: old,
            new_index: new,
            len: length,
        } => Some(Run { old, new, length }),
        _ => None,
    });
    equal.collect()
}

/// The hunks between the runs of equal lines.
fn hunks(old: &[&str], new: &[&str]) -> Vec<Hunk> {
    let mut hunks = Vec::new();
    let (mut old_end, mut new_end) = (0, 0);
    for run in common_runs(old, new) {
        if old_end < run.old || new_end < run.new {
            hunks.push(Hunk {
                line: new_end + 1,
                removed: owned(&old[old_end..run.old]),
                added: owned(&new[new_end..run.new]),
            });
        }
        (old_end, new_end) = (run.old + run.length, run.new + run.length);
    }
    hunks
}

/// The lines of a text with their line breaks, so that joining them gives the same text.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

fn owned(lines: &[&str]) -> Vec<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

fn borrowed(lines: &[String]) -> Vec<&str> {
    lines.iter().map(String::as_str).collect()
}
