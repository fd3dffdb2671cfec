//! Changes of a scope by long polling.
//!
//! A long poll that returns proves that all changes made before it was sent have
//! been received; a watch that merely stays open proves nothing.

use std::time::Duration;

use crate::error::StoreError;
use crate::key::Scope;
use crate::store::{Change, Listing};
use crate::transaction::Version;

/// The changes in a scope since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The changes in order; empty when the wait ended without one.
    Since {
        /// The changes.
        changes: Vec<Change>,
        /// The version to pass to the next call.
        version: Version,
    },
    /// The store no longer has the changes; list the scope again.
    Compacted,
}

/// A store that supports long polling for changes.
pub trait ChangeFeed: Send + Sync {
    /// Reads all values of a scope. Later changes are returned by
    /// [`ChangeFeed::changes`] after the listing's version.
    fn list_all(&self, scope: &Scope) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Waits up to `wait` for changes after `version`.
    fn changes(
        &self,
        scope: &Scope,
        version: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;
}
