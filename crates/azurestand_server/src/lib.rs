//! The entry and agent daemons.

mod clock;
mod event;
mod logs;
mod metrics;
/// What one process must know before it can reach anything else.
pub mod settings;

pub use clock::Clock;
pub use event::Event;
pub use metrics::{Counter, Gauge, Metrics, Timer};
