//! What passes between a follower and its owner.

use std::time::Duration;

use crate::backoff::BackoffLimits;
use crate::error::StoreError;
use crate::store::{Change, Listing, Versions, WatchEvent};
use crate::transaction::Version;

/// How often the store is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTiming {
    /// The time between two looks at the versions while a watch is open.
    pub probe: Duration,
    /// The time after which everything is listed again, whatever the versions say.
    pub refresh: Duration,
    /// The delays between tries.
    pub retry: BackoffLimits,
}

impl Default for FollowTiming {
    fn default() -> Self {
        Self {
            probe: Duration::from_secs(2),
            refresh: Duration::from_mins(5),
            // Few processes follow, and a change waits for the slowest try.
            retry: BackoffLimits {
                cap: Duration::from_secs(2),
                ..BackoffLimits::default()
            },
        }
    }
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// The answer to [`FollowAction::List`].
    Listed(Result<Listing, StoreError>),
    /// The answer to [`FollowAction::Open`]: the store's version then.
    Opened(Result<Version, StoreError>),
    /// The answer to [`FollowAction::Probe`].
    Probed(Result<Versions, StoreError>),
    /// What the open watch told.
    Watched(WatchEvent),
    /// Time has passed.
    Tick,
}

/// What to do next; a new call takes the place of one that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowAction {
    /// List the scope.
    List,
    /// Open a watch on what changes from now on, in place of any other.
    Open,
    /// Read the versions of the scope; events of the open watch go on meanwhile.
    Probe,
    /// Close the open watch.
    Close,
    /// Tell the owner.
    Report(News),
}

/// What the owner of a follower learns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News {
    /// All values, in place of everything told before.
    Snapshot(Listing),
    /// Later changes, each newer than what was told of its key.
    Changed(Vec<Change>),
    /// The store answered and holds nothing newer.
    Current {
        /// The store's version.
        version: Version,
    },
    /// The store went back to an older state; a snapshot of it follows.
    Restored {
        /// The newest version seen before.
        had: Version,
        /// The version found.
        found: Version,
    },
    /// The store can't be followed now; what was told may be old.
    Unreachable(StoreError),
}
