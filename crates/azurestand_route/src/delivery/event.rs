//! Events that a request's state machine handles, and the actions it returns.

use azurestand_types::{Outcome, Refusal, Uncertainty};

use crate::table::Choice;

/// The number of a request's attempt, from 1 on; 0 before it is first sent.
///
/// Entries store it with each answer that they wait for. An answer to an earlier
/// attempt may still be queued when the request has moved on; it must not be taken for
/// one of the current target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// An event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryEvent {
    /// A target was chosen.
    Chosen(Choice),
    /// No target can take the request now.
    NoTarget(Refusal),
    /// The answer's head was received.
    HeadReceived,
    /// A part of the body was received: `length` bytes at `offset`.
    PartReceived {
        /// Position in bytes from the start of the body.
        offset: u64,
        /// Length in bytes.
        length: u64,
    },
    /// The target reports that the body ends after `length` bytes.
    BodyEnded {
        /// Length in bytes.
        length: u64,
    },
    /// The target reports that the request did not run and never will.
    Refused(Refusal),
    /// The target reports that the request may have run.
    Failed(Uncertainty),
    /// The link to the target's host was lost.
    LinkLost,
    /// The link to the target's host was restored.
    LinkRestored,
    /// The target's host couldn't be reached for as long as the entry tries.
    Unreachable,
    /// The request's deadline passed.
    Expired,
    /// The target reports whether a revoked request had started.
    Revoked {
        /// Whether it had started; if not, it never will.
        started: bool,
    },
    /// The caller disconnected.
    CallerLeft,
}

impl DeliveryEvent {
    /// Whether the event comes from the current target or its link.
    pub(super) fn is_answer(&self) -> bool {
        match self {
            Self::Chosen(_) | Self::NoTarget(_) | Self::Expired | Self::CallerLeft => false,
            Self::HeadReceived
            | Self::PartReceived { .. }
            | Self::BodyEnded { .. }
            | Self::Refused(_)
            | Self::Failed(_)
            | Self::LinkLost
            | Self::LinkRestored
            | Self::Unreachable
            | Self::Revoked { .. } => true,
        }
    }
}

/// An action that the entry takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryAction {
    /// Choose a target other than those that refused.
    Choose,
    /// Send the request to the target.
    Send(Choice),
    /// Pass the answer's head on to the caller.
    PassHead,
    /// Pass the last part on to the caller, without its first `skip` bytes.
    PassPart {
        /// Bytes that the caller already has.
        skip: u64,
    },
    /// Reconnect to the target's host.
    Reconnect,
    /// Ask for the answer from `offset` on.
    Resume {
        /// Bytes that the caller already has.
        offset: u64,
    },
    /// Revoke the request, so that it never starts.
    Revoke,
    /// Tell the target that the answer is no longer needed.
    Cancel,
    /// Tell the target that the whole answer arrived, so that it can free it.
    Release,
    /// The request has ended.
    Finish(Outcome),
}

/// Decides whether a request may be sent again.
/// [`Delivery::handle`](crate::Delivery::handle) asks only when a retry would really be
/// sent, so that no budget is wasted.
pub trait Budget {
    /// Takes one retry out of the budget, if there is one.
    fn spend(&mut self) -> bool;
}

impl Budget for crate::RetryBudget {
    fn spend(&mut self) -> bool {
        Self::spend(self)
    }
}
