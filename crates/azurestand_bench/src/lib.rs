//! Measurements of the coordination parts.

/// Membership and dissemination at size.
pub mod control;
/// Overload before emulated engines, by pattern and policy.
pub mod load;
/// One page of all figures beside the run before.
pub mod report;
/// The way of requests, beside a baseline policy.
pub mod requests;
/// What one more of something costs, fitted over several sizes.
pub mod slopes;
/// The spread of weights over real sockets, beside the same in virtual time.
pub mod sockets;
/// The spread of weights, beside two baselines.
pub mod spread;
