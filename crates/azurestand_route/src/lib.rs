//! Decides at an entry whether a request may go on, and to which target.
//!
//! - [`Table`] keeps what agents report and chooses between two targets.
//! - [`AccountLimits`] holds each account's rate and concurrency.
//! - [`Delivery`] takes one request from its arrival to one of three outcomes.
//! - [`RetryBudget`] bounds the load that retries add.
//! - [`Spill`] decides which other data centre may be asked.
//!
//! [docs/ROUTING.md](../../../docs/ROUTING.md) says what was weighed.
//!
//! ```
//! use azurestand_route::{Load, Report, Table, Wanted};
//! use azurestand_types::{HostName, Incarnation, Moment, TargetName};
//!
//! let mut table = Table::default();
//! let target = TargetName::try_from("booking-1").unwrap();
//! let load = Load { target: target.clone(), subject: "bookings".into(), weights: None, limit: 4, running: 0, waiting: 0 };
//! let host = HostName::try_from("tov-host-1").unwrap();
//! let report = Report { host, incarnation: Incarnation(1), sequence: 1, leaving: false, loads: vec![load] };
//! table.report(Moment::START, report);
//! let mut rng = fastrand::Rng::with_seed(1);
//! let choice = table.choose(Moment::START, &Wanted::subject("bookings"), &mut rng).unwrap();
//! assert_eq!(choice.target, target);
//! ```

mod account;
mod delivery;
mod prefix;
mod retry;
mod spill;
mod table;

pub use account::{
    AccountDemand, AccountLimits, Allowance, DEMAND_INTERVAL, Demand, HOLD, Level, MAX_DEMANDS,
    Standing,
};
pub use delivery::{Attempt, Budget, Delivery, DeliveryAction, DeliveryEvent};
pub use prefix::{CacheChange, CacheEvent, MAX_BLOCKS, MAX_PLACES, Prefix};
pub use retry::RetryBudget;
pub use spill::{MAX_HOPS, Spill, SpillSettings};
pub use table::{Choice, Load, Report, Room, Table, Wanted};
