//! Bounds on the HTTP responses of peers, for each client of the workspace.
//!
//! The HTTP library bounds the length of a head and leaves the rest to its caller. Here are
//! bounds on bytes that complete no part of a response ([`MeteredStream`]) and on the memory of
//! a body ([`collect`]), a check of a response's status ([`check_status`]), and a body that never ends in order once it has failed
//! ([`ResponseBody`]). See
//! [docs/incidents/request-bodies-use-up-memory.md](../../../docs/incidents/request-bodies-use-up-memory.md).

mod body;
mod connect;
mod meter;
mod status;

pub use body::{BodyFailure, CollectError, ResponseBody, collect};
pub use connect::{MeteredConnector, meter_connections, meter_response};
pub use meter::{ByteMeter, CancelFlag, MeteredStream};
pub use status::{InvalidStatus, check_status};

/// The largest head of a response, and the most that is read at once, in bytes.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Each part of a response counts as this many bytes at least, since it costs time as well.
pub const MIN_PART_BYTES: usize = 64;
