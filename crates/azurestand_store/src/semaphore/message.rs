//! Options, events and actions of a semaphore.

use azurestand_types::Fence;

use crate::backoff::BackoffLimits;
use crate::error::StoreError;
use crate::key::{Key, Scope};
use crate::lease::{FencedLease, LeaseTiming};
use crate::store::{Grant, LeaseId, Listing, Renewal};
use crate::transaction::{Commit, Transaction};

/// The semaphore, its holder and the timing.
#[derive(Debug, Clone)]
pub struct SemaphoreOptions {
    /// The key below which the semaphore is stored.
    pub key: Key,
    /// The holder's name, which no other process or earlier incarnation may use.
    pub holder: String,
    /// The number of permits.
    pub limit: u32,
    /// The lease's time to live: how long a permit outlasts its holder.
    pub timing: LeaseTiming,
    /// The delays between attempts while no permit is free or the store fails.
    pub retry: BackoffLimits,
    /// Seed of the random delays.
    pub seed: u64,
}

/// An input of [`crate::Semaphore::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitEvent {
    /// The holder requests a permit.
    Requested,
    /// The holder releases its permit or withdraws its request.
    Released,
    /// The number of permits changed; held permits are unaffected.
    LimitChanged(u32),
    /// This fencing number was seen elsewhere; later ones must be higher.
    FenceSeen(Fence),
    /// The answer to [`PermitAction::List`].
    Listed(Result<Listing, StoreError>),
    /// The answer to [`PermitAction::Grant`].
    Granted(Result<Grant, StoreError>),
    /// The answer to [`PermitAction::Commit`].
    Committed(Commit),
    /// The answer to [`PermitAction::Renew`].
    Renewed {
        /// The lease to renew; an answer about an earlier one is ignored.
        id: LeaseId,
        /// The answer.
        answer: Result<Renewal, StoreError>,
    },
    /// Time has passed.
    Tick,
}

/// An action to execute for the holder; each answer comes back as an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitAction {
    /// List this scope.
    List(Scope),
    /// Request a lease.
    Grant(LeaseTiming),
    /// Apply this transaction.
    Commit(Transaction),
    /// Renew this lease.
    Renew(LeaseId),
    /// Release this lease; its answer isn't needed.
    Release(LeaseId),
    /// Notify the holder.
    Report(PermitUpdate),
}

/// A notification to the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitUpdate {
    /// The permit is held until the fenced lease's end; sent again, under the same
    /// number, each time the end is extended. The holder compares the end with its
    /// own clock before each action, since `Lost` may reach a slow process late.
    Held(FencedLease),
    /// The permit was lost, not released; stop the work it allowed.
    Lost,
}
