//! The daemons that run on a platform with its own store, targets and load
//! balancer. An adapter implements [`Platform`]; this crate depends on no
//! platform's names or formats.
//!
//! - [`DirectEntry`] accepts callers' requests and sends them directly to targets.
//! - [`PieceAgent`] stages weights beside an engine and orders it to load them.
//!
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) describes the path of a request.

mod agent;
mod client;
mod clock;
mod entry;
mod error;
mod feed;
mod log;
mod metrics;
mod notice;
mod pieces;
mod platform;
mod presence;
mod relay;
mod settings;
mod spread;
mod stall;
mod supervise;

pub use agent::PieceAgent;
pub use client::{CallError, Client, TransferLimits, plain_request};
pub use clock::BootClock;
pub use entry::DirectEntry;
pub use error::GatewayError;
pub use log::{LogEvent, flush_logs, start_logs};
pub use metrics::{Level, Span};
pub use platform::{
    DecodeError, Dialect, DigestList, EngineControl, EngineState, Manifest, ManifestQuery,
    NamedPause, OperatorItem, Order, OrderReply, Platform, RequestContext, RequestHead,
    ResponseHead,
};
pub use settings::{Bounds, GatewaySettings, LiveBounds, LocalEngine};
