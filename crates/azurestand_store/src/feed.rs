//! Changes of a scope by long polling.
//!
//! A long poll that returns proves that all changes made before it was sent have
//! been received; a watch that merely stays open proves nothing.

use std::time::Duration;

use crate::error::StoreError;
use crate::key::Scope;
use crate::position::Position;
use crate::store::{Change, Entry};

/// All values of a scope.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The values.
    pub entries: Vec<Entry>,
    /// The position after which [`ChangeFeed::changes`] returns the later changes.
    pub position: Position,
}

/// The changes in a scope since a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The changes in order; empty when the wait ended without one.
    Since {
        /// The changes.
        changes: Vec<Change>,
        /// The position to pass to the next call.
        position: Position,
    },
    /// The store no longer has the changes, or its history is another one than that of the
    /// position; list the scope again.
    Compacted,
}

/// A store that supports long polling for changes.
pub trait ChangeFeed: Send + Sync {
    /// Reads all values of a scope. Later changes are returned by
    /// [`ChangeFeed::changes`] after the snapshot's position.
    fn list_all(&self, scope: &Scope) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Waits up to `wait` for changes after `position`.
    fn changes(
        &self,
        scope: &Scope,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;
}
