//! What a change did to a section's text, line by line, so that it can be taken back.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

/// The most comparisons that a diff may take, in pairs of lines.
///
/// Above it the changed middle of a text counts as one hunk: two megabytes of
/// unlike lines would take seconds.
const MAX_LINE_PAIRS: usize = 25_000_000;

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
        let hunks = hunks(&lines(old), &lines(new));
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
        let mut lines = lines(present);
        let runs = runs(&self::lines(&after), &lines);
        for hunk in self.hunks.iter().rev() {
            let at = hunk.moved(&runs).ok_or(RevertError::Overlap(hunk.line))?;
            lines.splice(at..at + hunk.added.len(), borrowed(&hunk.removed));
        }
        Ok(lines.concat())
    }
}

impl Hunk {
    /// Where the hunk's new lines stand after later changes, if none touched them.
    fn moved(&self, runs: &[Run]) -> Option<usize> {
        let start = self.line - 1;
        let end = start + self.added.len();
        let run = runs
            .iter()
            .find(|run| run.old <= start && end <= run.old + run.length)?;
        Some(run.new + start - run.old)
    }
}

/// Lines that two texts have in common.
struct Run {
    old: usize,
    new: usize,
    length: usize,
}

/// The runs of equal lines, with the common head and tail even if they are empty.
fn runs(old: &[&str], new: &[&str]) -> Vec<Run> {
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
/// Only these are taken from it: of a deletion and an insertion side by side,
/// each may be given the position before the other.
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

/// What stands between the runs of equal lines.
fn hunks(old: &[&str], new: &[&str]) -> Vec<Hunk> {
    let mut hunks = Vec::new();
    let (mut old_end, mut new_end) = (0, 0);
    for run in runs(old, new) {
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
