//! Admits requests at an entry and chooses the target that serves each of them.
//!
//! - [`Table`] stores the load that agents report and chooses a target by it.
//! - [`AccountLimits`] enforces each account's rate and concurrency.
//! - [`Delivery`] is the state machine of one request, from arrival to one of three
//!   outcomes.
//! - [`RetryBudget`] bounds the load that retries add.
//! - [`Spill`] chooses another data centre when the local one has no room.
//!
//! [docs/ROUTING.md](../../../docs/ROUTING.md) compares the alternatives that were
//! considered.
//!
//! ```
//! use azurestand_route::{HostReport, Load, Table, TargetRequirements};
//! use azurestand_types::{HostName, Incarnation, Moment, TargetName};
//!
//! let mut table = Table::default();
//! let target = TargetName::try_from("booking-1").unwrap();
//! let load = Load { target: target.clone(), subject: "bookings".into(), weights: None, limit: 4, running: 0, waiting: 0 };
//! let host = HostName::try_from("tov-host-1").unwrap();
//! let report = HostReport { host, incarnation: Incarnation(1), sequence: 1, leaving: false, loads: vec![load] };
//! table.apply_report(Moment::START, report);
//! let mut rng = fastrand::Rng::with_seed(1);
//! let choice = table.choose(Moment::START, &TargetRequirements::subject("bookings"), &mut rng).unwrap();
//! assert_eq!(choice.target, target);
//! ```

mod account;
mod delivery;
mod prefix;
mod retry;
mod spill;
mod table;

pub use account::{
    AccountDemand, AccountLimits, Allowance, DEMAND_INTERVAL, Demand, Level, MAX_DEMANDS,
    QueueAccess, RAISE_DELAY,
};
pub use delivery::{Attempt, Budget, Delivery, DeliveryAction, DeliveryEvent};
pub use prefix::{CacheChange, CacheEvent, MAX_BLOCKS, MAX_CACHED_BLOCKS, Prefix};
pub use retry::RetryBudget;
pub use spill::{MAX_HOPS, Spill, SpillSettings};
pub use table::{Choice, HostReport, Load, QueueLimits, Table, TargetRequirements};
