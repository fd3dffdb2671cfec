//! Measures how fast a version reaches every host, against the physical bound.
//!
//! Real [`Transfer`](azurestand_spread::Transfer) machines run in virtual time
//! over links that have a rate and a delay and nothing else. The formula of
//! the bound and the figures stand in [docs/SPREADING.md](../../../docs/SPREADING.md).

mod content;
mod host;
mod link;
mod outcome;
mod runs;
mod setup;
#[cfg(test)]
mod tests;
mod traffic;
mod world;

pub use outcome::Outcome;
pub use runs::{Case, chunk_sizes, designated_hosts, ends, faults, measure, scale};
pub use setup::{Faults, Setup};
pub use world::run;
