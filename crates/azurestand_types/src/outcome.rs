//! The three ways a request can end.

use derive_more::Display;

/// Why a request certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// No target has capacity for it now.
    #[display("no target has capacity; try again later")]
    Busy,
    /// The target is draining.
    #[display("the target is leaving service; try another")]
    Draining,
    /// The data centre is out of service.
    #[display("the data centre is out of service; use another")]
    OutOfService,
    /// No target serves this model, version or service.
    #[display("no target serves this; check the name in the configuration")]
    NotServed,
    /// The account exceeds its rate or concurrency limit.
    #[display("the account is over its limit; send fewer requests or ask for a higher limit")]
    OverLimit,
    /// The deadline passed while the request waited.
    #[display("the deadline passed before it could start; set a later deadline")]
    Expired,
    /// The caller or the entry revoked the request before it started.
    #[display("it was revoked before it started; send it again")]
    Revoked,
    /// An earlier run with the same idempotency key can't be ruled out.
    #[display("an earlier run with this key can't be ruled out; wait out the retry window")]
    Unproved,
    /// The same idempotency key came with another request.
    #[display("this key belongs to another request; choose a fresh key")]
    KeyReused,
    /// The request itself is malformed or too large.
    #[display("the request is malformed; correct it")]
    Malformed,
    /// The entry has no configuration yet.
    #[display("the entry has no configuration yet; try again later or at another entry")]
    NotReady,
    /// The caller gave no known account, or a wrong key.
    #[display("the account's key is unknown; check the Authorization header")]
    Unauthorised,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Uncertainty {
    /// The target failed while the request ran.
    #[display("the target failed while the request ran; look up the result before repeating it")]
    TargetFailed,
    /// The agent became unreachable.
    #[display("the target became unreachable; look up the result before repeating it")]
    Unreachable,
    /// The deadline passed while the request ran.
    #[display("the deadline passed while the request ran; look up the result before repeating it")]
    TimedOut,
    /// The engine's weights changed during the answer.
    #[display("the weights changed during the answer; send the request again")]
    WeightsChanged,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Outcome {
    /// The caller received the complete answer.
    #[display("answered")]
    Answered,
    /// The request did not run and never will run.
    #[display("not run: {_0}")]
    NotRun(Refusal),
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(Uncertainty),
}
