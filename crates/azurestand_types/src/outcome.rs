//! The three ways a request can end.

use derive_more::Display;

/// Why a request was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// No target can take it now.
    #[display("no target has room; try again later")]
    Busy,
    /// The target is leaving service.
    #[display("the target is leaving service; try another")]
    Draining,
    /// The data centre is out of service.
    #[display("the data centre is out of service; use another")]
    OutOfService,
    /// No target serves this model, version or service.
    #[display("no target serves this; check the name in the configuration")]
    NotServed,
    /// The account used up its rate or its concurrency.
    #[display("the account is over its limit; slow down or ask for more")]
    OverLimit,
    /// The deadline passed while the request waited.
    #[display("the deadline passed before it could start; allow more time")]
    Expired,
    /// The caller or the entry revoked it before it started.
    #[display("it was revoked before it started; send it again")]
    Revoked,
    /// A keyed request whose earlier run can't be ruled out.
    #[display("whether this key ran before can't be proved; wait out the retry window")]
    Unproved,
    /// The same key came with another request.
    #[display("this key belongs to another request; choose a fresh key")]
    KeyReused,
    /// The request itself is malformed or too large.
    #[display("the request is malformed; correct it")]
    Malformed,
    /// The caller named no known account, or a wrong key.
    #[display("the account's key is unknown; check the Authorization header")]
    Unauthorised,
}

/// Why it can't be known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Uncertainty {
    /// The target failed while the request ran.
    #[display("the target failed while the request ran; look up the result before repeating it")]
    TargetFailed,
    /// The agent can't be reached any more.
    #[display("the target can't be reached any more; look up the result before repeating it")]
    Unreachable,
    /// The deadline passed while the request ran.
    #[display("the deadline passed while the request ran; look up the result before repeating it")]
    TimedOut,
    /// The engine's weights changed under the answer.
    #[display("the weights changed under the answer; ask again")]
    WeightsChanged,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Outcome {
    /// The caller got the whole answer.
    #[display("answered")]
    Answered,
    /// The request did not run and never will.
    #[display("not run: {_0}")]
    NotRun(Refusal),
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(Uncertainty),
}
