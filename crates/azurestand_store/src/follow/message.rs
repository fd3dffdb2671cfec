//! Timing, events and actions of a follower.

use std::time::Duration;

use crate::backoff::BackoffLimits;
use crate::error::StoreError;
use crate::store::{Change, Listing, Versions, WatchEvent};
use crate::transaction::Version;

/// How often a follower calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowTiming {
    /// The interval between checks of the versions while a watch is open.
    pub probe: Duration,
    /// The time after which the scope is listed again, regardless of the versions.
    pub refresh: Duration,
    /// The delays between retries.
    pub retry: BackoffLimits,
}

impl Default for FollowTiming {
    fn default() -> Self {
        Self {
            probe: Duration::from_secs(2),
            refresh: Duration::from_mins(5),
            // Few processes follow, and a change can be delayed by the longest retry delay.
            retry: BackoffLimits {
                cap: Duration::from_secs(2),
                ..BackoffLimits::default()
            },
        }
    }
}

/// An input of [`crate::Follow::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// The answer to [`FollowAction::List`].
    Listed(Result<Listing, StoreError>),
    /// The answer to [`FollowAction::Open`]: the store's version when it opened.
    Opened(Result<Version, StoreError>),
    /// The answer to [`FollowAction::Probe`].
    Probed(Result<Versions, StoreError>),
    /// An event of the open watch.
    Watched(WatchEvent),
    /// Time has passed.
    Tick,
}

/// An action to execute; a new call replaces one that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowAction {
    /// List the scope.
    List,
    /// Open a watch on changes from now on, replacing any other.
    Open,
    /// Read the versions of the scope; the open watch keeps delivering events.
    Probe,
    /// Close the open watch.
    Close,
    /// Notify the owner.
    Report(FollowUpdate),
}

/// A notification to the owner of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowUpdate {
    /// All values, replacing everything reported before.
    Snapshot(Listing),
    /// Later changes, each newer than what was reported for its key.
    Changed(Vec<Change>),
    /// The store answered and has nothing newer.
    Current {
        /// The store's version.
        version: Version,
    },
    /// The store was restored to an older state; a snapshot of it follows.
    Restored {
        /// The newest version seen before.
        previous: Version,
        /// The version found.
        found: Version,
    },
    /// The store can't be followed now; the reported values may be out of date.
    Unreachable(StoreError),
}
