//! Client of the platform's key-value service.
//!
//! The crate decides how often a process may call the store, what a lost
//! answer means, how long a lease is valid and who holds a permit. The logic is
//! free of I/O: it takes events and the current [`Moment`] and returns actions.
//! Only [`HttpStore`] opens sockets, and only [`Follower`] and [`Permit`] run tasks.
//! [docs/STORE.md](../../../docs/STORE.md) explains the design choices.
//!
//! ```
//! use std::time::Duration;
//! use azurestand_store::{Grant, Lease, LeaseId, LeaseTiming};
//! use azurestand_types::Moment;
//!
//! let timing = LeaseTiming::try_from(Duration::from_secs(10)).unwrap();
//! let grant = Grant { lease: LeaseId(1), ttl: Duration::from_secs(10) };
//! let asked = Moment::from_millis(500);
//! let lease = Lease::granted(timing, asked, grant);
//! assert!(lease.is_held(Moment::from_millis(9_000)));
//! // The lease expires in the store at 10.5 s or later; its holder stops earlier.
//! assert!(!lease.is_held(Moment::from_millis(9_600)));
//! ```
//!
//! [`Moment`]: azurestand_types::Moment

mod backoff;
mod budget;
mod clock;
mod error;
mod feed;
mod follow;
mod follower;
mod http;
mod key;
mod lease;
mod permit;
mod position;
mod semaphore;
mod settle;
mod store;
mod transaction;

pub use backoff::{Backoff, BackoffLimits};
pub use budget::{Bucket, Budget, OverBudget, Rates, Share};
pub use error::StoreError;
pub use feed::{ChangeFeed, Changes, Snapshot};
pub use follow::{Follow, FollowAction, FollowEvent, FollowTiming, FollowUpdate};
pub use follower::Follower;
pub use http::{HttpOptions, HttpStore};
pub use key::{Key, KeyError, Scope};
pub use lease::{FencedLease, Lease, LeaseError, LeaseTiming};
pub use permit::Permit;
pub use position::{Era, Position};
pub use semaphore::{PermitAction, PermitEvent, PermitUpdate, Semaphore, SemaphoreOptions};
pub use settle::{Settle, SettleAction, SettleEvent, Settled, commit_settled};
pub use store::{
    Change, Entry, Grant, KeyVersion, LeaseId, Listing, Renewal, Store, Versioned, Versions, Watch,
    WatchEvent,
};
pub use transaction::{Cause, Commit, Condition, Transaction, Version, Write};
