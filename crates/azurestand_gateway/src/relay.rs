//! News of the store that one entry of a data centre reads for the others.
//!
//! The first entry of an order that all agree on asks the store; the other entries and
//! the agents of its data centre ask that entry, so that a change crosses a link between
//! data centres once. Each answer carries how old the proof is that nothing is missing;
//! whoever hears nothing in time asks the store itself.
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) tells what was weighed.

mod log;
mod message;
mod peers;
mod server;

pub(crate) use peers::{NEWS_LIMIT, Peers};
pub(crate) use server::{NEWS_PATH, Relay, answer};
