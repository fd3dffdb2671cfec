//! Positions in the history of a store that may come back from an older copy.

use derive_more::{Display, From, Into};

use crate::transaction::Version;

/// The bits of [`Position::fencing_number`] that hold the version.
const VERSION_BITS: u32 = 40;
/// The latest era that a fencing number can express. Up to it the number is exact even in a
/// decoder that reads numbers as floating point.
const MAX_FENCED_ERA: u64 = (1 << 13) - 1;

/// Counts the times that a store came back from an older copy; 0 if the store doesn't tell.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct Era(pub u64);

/// A position in the history of a store, ordered by era first. A later era starts from an
/// earlier version, and its versions are other ones than those of the era before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{era}.{version}")]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The store's version within the era.
    pub version: Version,
}

impl Position {
    /// Creates the position of `version` in `era`.
    pub fn new(era: Era, version: Version) -> Self {
        Self { era, version }
    }

    /// Whether `next`, which the store reported after this position, belongs to the same
    /// history. A lower version shows a restart also if the store names no eras.
    pub fn continues_to(self, next: Self) -> bool {
        self.era == next.era && self.version <= next.version
    }

    /// A number that grows with the position, for fencing.
    pub fn fencing_number(self) -> u64 {
        let era = self.era.0.min(MAX_FENCED_ERA);
        let version = self.version.0.min((1 << VERSION_BITS) - 1);
        era << VERSION_BITS | version
    }
}
