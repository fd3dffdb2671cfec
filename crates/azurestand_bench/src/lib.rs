//! Measurements of the coordination parts.

/// Membership and dissemination at size.
pub mod control;
/// The way of requests, beside a baseline policy.
pub mod requests;
/// The spread of weights over real sockets, beside the same in virtual time.
pub mod sockets;
/// The spread of weights, beside two baselines.
pub mod spread;
