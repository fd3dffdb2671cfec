//! Updates of the store that one entry of a data centre reads and passes on to the others.
//!
//! All entries compute the same order of entries. The first one reads the store; the other
//! entries and the agents of its data centre call that entry, so that a change crosses a
//! link between data centres only once. Each response says when it is proved to have been
//! up to date. A process that gets no response in time calls the store itself.
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) describes the alternatives considered.

mod log;
mod message;
mod peers;
mod server;

pub(crate) use peers::{Peers, RESPONSE_TIMEOUT};
pub(crate) use server::{Relay, UPDATES_PATH, serve_updates};
