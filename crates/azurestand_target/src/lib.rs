//! The decisions about one target: its lifecycle, the admission of requests,
//! the detection of duplicates, and load orders.
//!
//! This crate does no I/O: its types take events with the current time and
//! return actions. The agent on the target's host runs one instance of each
//! type and is the only process that sends requests to the target. See
//! [docs/TARGET.md](../../../docs/TARGET.md) and
//! [docs/AT-MOST-ONCE.md](../../../docs/AT-MOST-ONCE.md).
//!
//! ```
//! use azurestand_target::{
//!     Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, Kind, Lifecycle,
//!     LifecycleEvent, LifecycleSettings, Phase, Report,
//! };
//! use azurestand_types::{AccountName, BootId, Moment, Priority, RequestId};
//!
//! let settings = LifecycleSettings { kind: Kind::Service, cold_limit: 1, ..LifecycleSettings::default() };
//! let mut lifecycle = Lifecycle::new(settings);
//! let now = Moment::from_millis(10);
//! let report = Report { boot: BootId(1), digest: None, ready: true, waiting: 0 };
//! lifecycle.handle(now, LifecycleEvent::Report(report));
//! assert_eq!((lifecycle.phase(), lifecycle.limit()), (Phase::Cold, 1));
//!
//! let mut admission = Admission::new(AdmissionSettings::default());
//! let change = AdmissionEvent::LimitChanged { weights: lifecycle.serves(), limit: lifecycle.limit() };
//! admission.handle(now, change);
//! let arrival = |id| Arrival {
//!     id: RequestId(id),
//!     account: AccountName::try_from("depot").unwrap(),
//!     weight: 1,
//!     priority: Priority(0),
//!     deadline: Moment::from_millis(5_000),
//!     pinned: None,
//! };
//! let first = admission.handle(now, AdmissionEvent::Arrived(arrival(1)));
//! assert!(matches!(first[..], [AdmissionAction::Start { .. }]));
//! let second = admission.handle(now, AdmissionEvent::Arrived(arrival(2)));
//! assert!(second.is_empty(), "a cold target runs one request at a time");
//! ```

mod admission;
mod claim;
mod exchange;
mod lifecycle;
mod order;

pub use admission::{Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival};
pub use claim::{
    Batch, Claim, ClaimKey, ClaimState, CodecError, CommitResult, Holder, HomeAction, HomeEvent,
    HomeSettings, Homes, KeyedRequest, Outage, Record, SHARDS, Shard, ShardContents, Version,
};
pub use exchange::{
    Ending, ExchangeSettings, Exchanges, Read, Retention, RevokeResult, SendResult, Stamp,
};
pub use lifecycle::{Kind, Lifecycle, LifecycleEvent, LifecycleSettings, Phase, Report, Weights};
pub use order::{
    EngineState, Order, OrderAction, OrderEvent, OrderPhase, OrderReply, OrderSettings, Orders,
    Verified, VerifyError,
};
