//! The record of one member, and the order between two versions of it.

use azurestand_types::Incarnation;
use bytes::Bytes;
use derive_more::Display;

use crate::{Identity, Stamp};

/// The most bytes of an opaque status.
pub const MAX_STATUS_BYTES: usize = 512;

/// The life-cycle stage of a member; only the member itself advances it, never back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Stage {
    Active,
    Leaving,
    Left,
}

/// The member's health as detected in its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Health {
    Alive,
    Suspect,
    Dead,
}

/// The state of a member as routing and operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum State {
    /// It answers and may get new work.
    #[display("alive")]
    Alive,
    /// It missed its probes and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// It completes its current work and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It announced that it was about to end.
    #[display("left")]
    Left,
    /// It neither answered nor refuted the suspicion in time.
    #[display("dead")]
    Dead,
}

impl State {
    /// Whether the process may still run.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// The order between records of one host name: a higher version always replaces a lower one.
///
/// The incarnation is compared first, so that nothing about an earlier process under
/// the same name remains; then the refutation count, which only the member raises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Version {
    pub(crate) incarnation: Incarnation,
    pub(crate) refutation: u64,
    pub(crate) health: Health,
    pub(crate) stage: Stage,
}

impl Version {
    /// Whether merging this version into `other` would change it.
    pub(crate) fn adds_to(self, other: Self) -> bool {
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        let newer_health = (self.refutation, self.health) > (other.refutation, other.health);
        newer_health || self.stage > other.stage
    }
}

/// The opaque status of a member, with its own counter; the highest counter of the
/// highest incarnation wins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Grows with each report of one incarnation.
    pub counter: u64,
    /// The configuration that the member has in force.
    pub stamp: Stamp,
    /// What the daemon shows to operators; at most 512 bytes.
    pub blob: Bytes,
}

/// Everything known about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Who it is.
    pub identity: Identity,
    /// Its last reported status, with counter 0 before the first report.
    pub status: Status,
    pub(crate) refutation: u64,
    pub(crate) stage: Stage,
    pub(crate) health: Health,
}

impl Record {
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            status: Status::default(),
            refutation: 0,
            stage: Stage::Active,
            health: Health::Alive,
        }
    }

    /// The member's state.
    pub fn state(&self) -> State {
        match (self.stage, self.health) {
            (Stage::Left, _) => State::Left,
            (_, Health::Dead) => State::Dead,
            (Stage::Leaving, _) => State::Leaving,
            (Stage::Active, Health::Suspect) => State::Suspect,
            (Stage::Active, Health::Alive) => State::Alive,
        }
    }

    pub(crate) fn version(&self) -> Version {
        Version {
            incarnation: self.identity.incarnation,
            refutation: self.refutation,
            health: self.health,
            stage: self.stage,
        }
    }

    /// The membership part alone, which is what most messages carry.
    pub(crate) fn without_status(&self) -> Self {
        Self {
            status: Status::default(),
            ..self.clone()
        }
    }

    /// Whether the member has to refute this record of itself.
    pub(crate) fn needs_refutation(&self) -> bool {
        self.health != Health::Alive
    }

    /// Whether this record holds newer membership than `other`.
    pub(crate) fn outranks(&self, other: &Self) -> bool {
        self.version().adds_to(other.version())
    }

    /// Whether the status is newer than one of the given version and counter.
    pub(crate) fn status_outranks(&self, version: Version, counter: u64) -> bool {
        self.identity.incarnation == version.incarnation && self.status.counter > counter
    }

    /// Merges what is newer in `other`; returns whether the membership part changed.
    ///
    /// Within an incarnation the stage only moves forward, whatever the
    /// refutation count says; a delayed "active" never undoes "leaving".
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        let before = self.version();
        let (mine, theirs) = (self.identity.incarnation, other.identity.incarnation);
        if theirs < mine {
            return false;
        }
        if theirs > mine {
            *self = other.clone();
            return true;
        }
        self.stage = self.stage.max(other.stage);
        let rank = (self.refutation, self.health).max((other.refutation, other.health));
        (self.refutation, self.health) = rank;
        if other.status.counter > self.status.counter {
            self.status = other.status.clone();
        }
        self.version() != before
    }
}
