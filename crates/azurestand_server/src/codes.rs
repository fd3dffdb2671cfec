//! The numbers that stand for closed sets between processes. A number is never reused.

use azurestand_target::Phase;
use azurestand_types::{Refusal, Uncertainty};

macro_rules! codes {
    ($to:ident, $from:ident, $kind:ident, $other:ident: $($name:ident = $code:literal,)+) => {
        pub(crate) fn $to(value: $kind) -> u32 {
            match value { $($kind::$name => $code,)+ }
        }

        /// An unknown number comes from a newer version; the most careful meaning holds.
        pub(crate) fn $from(code: u32) -> $kind {
            match code { $($code => $kind::$name,)+ _ => $kind::$other }
        }
    };
}

codes! { from_refusal, to_refusal, Refusal, Busy:
    Busy = 1,
    Draining = 2,
    OutOfService = 3,
    NotServed = 4,
    OverLimit = 5,
    Expired = 6,
    Revoked = 7,
    Unproved = 8,
    KeyReused = 9,
    Malformed = 10,
    Unauthorised = 11,
    NotReady = 12,
}

codes! { from_uncertainty, to_uncertainty, Uncertainty, TargetFailed:
    TargetFailed = 1,
    Unreachable = 2,
    TimedOut = 3,
    WeightsChanged = 4,
}

codes! { from_phase, to_phase, Phase, Empty:
    Empty = 1,
    Staging = 2,
    Loading = 3,
    Cold = 4,
    Warming = 5,
    Warm = 6,
    Draining = 7,
    Left = 8,
}
