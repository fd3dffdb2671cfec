//! Stand-ins for what surrounds the system: the platform's store, the origin of
//! weights, model engines and plain services.
//!
//! Tests and the local example need something to talk to that fails on
//! command. Each stand-in binds a free port of the loopback address, returns a
//! handle with its address, switches and records, and stops when the handle is
//! dropped. None is part of the shipped program. The protocols stand in
//! [docs/STANDINS.md](../../../docs/STANDINS.md).
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! use azurestand_standin::{Service, ServiceOptions};
//!
//! let service = Service::start(ServiceOptions::default()).await.unwrap();
//! service.fail_after_run(1); // the next call runs, but its answer is lost
//! assert!(service.address().ip().is_loopback());
//! # });
//! ```

mod deployment;
mod engine;
mod faults;
mod origin;
mod plan;
mod serve;
mod service;
mod store;
mod traffic;

pub use deployment::{Booth, Deployment, DeploymentError, Door, Record, Runner, Settled};
pub use engine::{Engine, EngineOptions, EngineRecord, EngineRun, EngineState};
pub use faults::{Driven, Fault, FaultEvent, FaultPlan, Limits, drive};
pub use origin::{Origin, OriginOptions, Served};
pub use plan::{CentrePlan, FLEET_KEY, Plan};
pub use service::{Service, ServiceOptions, ServiceRun};
pub use store::{Calls, Losses, Snapshot, Store, StoreOptions};
pub use traffic::{Caller, Tally, Told, Traffic};
