//! The entry and agent daemons.

mod agent;
mod client;
mod clock;
mod codes;
mod entry;
mod error;
mod event;
mod logs;
mod metrics;
mod node;
/// What one process must know before it can reach anything else.
pub mod settings;

pub use agent::Agent;
pub use clock::Clock;
pub use entry::Entry;
pub use error::ServerError;
pub use event::Event;
pub use logs::start as start_logs;
pub use metrics::{Counter, Gauge, Metrics, Timer};
