//! Decisions about requests that an entry sends straight to a target, without an agent
//! between them, and about the pieces of weights that an engine stages.
//!
//! - [`Rules`] holds the operators' routes, services, accounts and limits.
//! - [`Directory`] tracks which targets exist and which of them are leaving.
//! - [`Exclusions`] holds the data centres that operators took out of service.
//! - [`Freshness`] tells whether what this process last read is recent enough to rely on.
//! - [`Incarnation`] names one run of a target; one that says that it leaves gets
//!   nothing more, and one that names a [`RetryAfter`] nothing for that time.
//! - [`Residency`] holds the regions that a request may reach.
//! - [`Placement`] chooses the target of a request.
//! - [`AdmissionControl`] tells which requests go first when engines have too little capacity.
//! - [`RequestQueue`] queues the requests that wait for capacity; [`Lateness`] and
//!   [`max_wait`] tell when an answer would come too late to be sent for, and
//!   [`longest_gap`] how long callers wait at a silent target.
//! - [`Quarantine`] keeps parts of prompts that crash targets away from them.
//! - [`SendShare`] and [`SendBucket`] limit the rate at which one entry sends to a target that
//!   all entries together may send little to.
//! - [`PieceSelector`] chooses which piece of weights a host fetches next, and
//!   [`digest_sources`] from whom it gets the digests of all of them.
//! - [`next_version`] chooses among versions that were named in quick succession, and
//!   [`useful_until`] tells how long the version that an engine holds may serve.
//! - [`LoadTurn`] spreads the loads of a new version over time.
//!
//! Nothing here opens a socket or reads a clock: callers pass in events and the present
//! [`Moment`](azurestand_types::Moment) and get decisions back.
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) gives the reasons for the design.

mod admission;
mod barred;
mod correction;
mod digests;
mod directory;
mod engine;
mod events;
mod exclusions;
mod freshness;
mod lateness;
mod limit;
mod part;
mod pieces;
mod place;
mod quarantine;
mod queue;
mod residency;
mod retry_after;
mod rules;
mod share;
mod stop;
mod turn;
mod versions;

pub use admission::{
    AdmissionControl, Basis, FleetSize, LeastShare, LeastShareError, Levels, Reserve, Terms,
    Urgency,
};
pub use barred::{Bar, BarredTarget, Incarnation};
pub use correction::Correction;
pub use digests::{DigestSource, digest_sources};
pub use directory::{Directory, LoadedWeights, Target, TargetState};
pub use engine::{CostModel, RequestSize};
pub use events::{EventError, EventSplitter, StreamEvent};
pub use exclusions::Exclusions;
pub use freshness::Freshness;
pub use lateness::{Lateness, longest_gap, max_wait};
pub use limit::{LimitNotice, RateError, RateLimit};
pub use part::PartId;
pub use pieces::{Distance, PieceHost, PieceSelector};
pub use place::{Choice, Fault, NoTarget, Placement, TargetLoad, TargetRequirements};
pub use quarantine::{Admission, Crash, Merged, PartChange, PartNotice, Quarantine, Standing};
pub use queue::{Need, QueuedRequest, Rank, RequestQueue, Waiter};
pub use residency::{Regions, Residency};
pub use retry_after::{RetryAfter, RetryAfterError};
pub use rules::{
    Account, InputLimits, Origin, Route, RouteKind, Rules, RulesParts, Service, Share,
};
pub use share::{SendBound, SendBucket, SendLimit, SendPlace, SendShare};
pub use stop::StopPlan;
pub use turn::{LoadTurn, VERSION_MARGIN};
pub use versions::{NamedVersion, NamedVersions, Naming, NamingSource, next_version, useful_until};
