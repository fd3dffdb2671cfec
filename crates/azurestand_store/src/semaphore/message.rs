//! What passes between a semaphore and its owner.

use azurestand_types::Fence;

use crate::backoff::BackoffLimits;
use crate::error::StoreError;
use crate::key::{Key, Scope};
use crate::lease::{LeaseTiming, Warrant};
use crate::store::{Grant, Kept, LeaseId, Listing};
use crate::transaction::{Commit, Transaction};

/// Which permits, who wants one, and how.
#[derive(Debug, Clone)]
pub struct SemaphoreOptions {
    /// The key that the semaphore lives below.
    pub key: Key,
    /// The holder's name, which no other process or earlier life may use.
    pub holder: String,
    /// How many permits there are.
    pub limit: u32,
    /// How long a permit outlives its holder.
    pub timing: LeaseTiming,
    /// The delays between tries, while full or while the store fails.
    pub retry: BackoffLimits,
    /// Draws the delays.
    pub seed: u64,
}

/// What a holder wants or has learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitEvent {
    /// The holder wants a permit.
    Wanted,
    /// The holder is done with its permit, or wants none any more.
    Done,
    /// The number of permits changed; held ones stay.
    LimitChanged(u32),
    /// Somebody has seen this fencing number; later ones must be higher.
    FenceSeen(Fence),
    /// The answer to [`PermitAction::List`].
    Listed(Result<Listing, StoreError>),
    /// The answer to [`PermitAction::Grant`].
    Granted(Result<Grant, StoreError>),
    /// The answer to [`PermitAction::Commit`].
    Committed(Commit),
    /// The answer to [`PermitAction::Keep`].
    Kept {
        /// The lease that was to be kept; an answer about an earlier one is ignored.
        lease: LeaseId,
        /// The answer.
        kept: Result<Kept, StoreError>,
    },
    /// Time has passed.
    Tick,
}

/// What to do for the holder; each call's answer comes back as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitAction {
    /// List this scope.
    List(Scope),
    /// Ask for a lease.
    Grant(LeaseTiming),
    /// Apply this transaction.
    Commit(Transaction),
    /// Keep this lease.
    Keep(LeaseId),
    /// Release this lease; its answer isn't needed.
    Release(LeaseId),
    /// Tell the holder.
    Report(PermitNews),
}

/// What the holder has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitNews {
    /// The permit is held until the warrant's end; told again, under the same
    /// number, each time that the end moves. The holder compares the end with its
    /// own clock before each act, since `Lost` may come late to a slow process.
    Held(Warrant),
    /// The permit is gone, without the holder's doing; stop what it allowed.
    Lost,
}
