//! Decides about requests that go from an entry straight to a target, without
//! an agent between them, and about weights whose pieces an engine stages.
//!
//! - [`Rules`] are the operators' routes, services, accounts and limits.
//! - [`Directory`] knows which targets exist and which of them are leaving.
//! - [`Freshness`] tells whether this process may trust what it last read.
//! - [`Placement`] chooses the target of a request.
//! - [`Line`] orders the requests that wait for room.
//! - [`ColdShare`] and [`ColdRate`] bound what one entry sends to a cold target.
//! - [`PieceBoard`] chooses which piece of weights an agent fetches next.
//! - [`next_version`] chooses among versions that were named in quick succession, and
//!   [`useful_until`] tells how long what an engine holds is of use.
//! - [`LoadTurn`] spreads the loads of a new version over time.
//!
//! Nothing here opens a socket or reads a clock: events and the present
//! [`Moment`](azurestand_types::Moment) go in, decisions come out.
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) tells what was weighed.

mod cold;
mod correction;
mod directory;
mod engine;
mod events;
mod freshness;
mod line;
mod pieces;
mod place;
mod rules;
mod turn;
mod versions;

pub use cold::{ColdLimit, ColdRate, ColdShare};
pub use correction::Correction;
pub use directory::{Directory, Held, Target, TargetState};
pub use engine::{EngineFigures, Work};
pub use events::{EventCutter, EventError, StreamEvent};
pub use freshness::Freshness;
pub use line::{Line, Rank, Waiter};
pub use pieces::{Distance, PieceBoard, PieceHost};
pub use place::{Choice, Fault, NoTarget, Placement, Report, Wanted};
pub use rules::{
    Account, InputLimits, Origin, Route, RouteKind, Rules, RulesParts, Service, Share,
};
pub use turn::{LoadTurn, VERSION_MARGIN};
pub use versions::{NamedVersion, NamedVersions, next_version, useful_until};
