//! What happens to a request, and what the entry does about it.

use azurestand_types::{Outcome, Refusal, Uncertainty};

use crate::table::Choice;

/// Counts the targets that one request was sent to, from 1 on; 0 before the first.
///
/// An entry notes it beside each answer that it waits for. An answer of an
/// earlier attempt may still lie in a queue when the request has moved on;
/// read as the present target's word it would be a lie.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// What happens to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryEvent {
    /// A target was chosen.
    Chosen(Choice),
    /// No target can take it now.
    NoTarget(Refusal),
    /// The answer's head came.
    Began,
    /// `length` bytes of the body came, which belong at `offset`.
    Part {
        /// Where they belong, in bytes from the body's start.
        offset: u64,
        /// How many they are, in bytes.
        length: u64,
    },
    /// The target says that the body ends after `length` bytes.
    Ended {
        /// The length in bytes.
        length: u64,
    },
    /// The target says that it did not run and never will.
    Refused(Refusal),
    /// The target says that it may have run.
    Failed(Uncertainty),
    /// The link to the target's host ended.
    Lost,
    /// The target's host is reached again.
    Reached,
    /// The target's host can't be reached for as long as the entry tries.
    Unreachable,
    /// The caller's patience ended.
    Expired,
    /// The target says whether a revoked request had started.
    Revoked {
        /// Whether it had started; if not, it never will.
        started: bool,
    },
    /// The caller went away.
    Left,
}

impl DeliveryEvent {
    /// Whether only a target that has the request can cause it.
    pub(super) fn is_answer(&self) -> bool {
        match self {
            Self::Chosen(_) | Self::NoTarget(_) | Self::Expired | Self::Left => false,
            Self::Began
            | Self::Part { .. }
            | Self::Ended { .. }
            | Self::Refused(_)
            | Self::Failed(_)
            | Self::Lost
            | Self::Reached
            | Self::Unreachable
            | Self::Revoked { .. } => true,
        }
    }
}

/// What the entry does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryAction {
    /// Choose a target other than those refused so far.
    Choose,
    /// Send the request to the target.
    Send(Choice),
    /// Pass the answer's head on.
    Begin,
    /// Pass the last part on without its first `skip` bytes.
    Pass {
        /// Bytes that the caller already has.
        skip: u64,
    },
    /// Open a link to the target's host again.
    Reach,
    /// Ask for the answer from `offset` on.
    Resume {
        /// Bytes that the caller already has.
        offset: u64,
    },
    /// Ask that the request never starts.
    Revoke,
    /// Tell the target that nobody waits for the answer.
    Cancel,
    /// Tell the target that the whole answer arrived.
    Release,
    /// The request has ended.
    Finish(Outcome),
}

/// Whether a request may be sent again, asked of the caller of [`Delivery::handle`](crate::Delivery::handle)
/// at the moment when it matters, so that no budget is spent in vain.
pub trait Budget {
    /// Takes one retry out of the budget, if there is one.
    fn spend(&mut self) -> bool;
}

impl Budget for crate::RetryBudget {
    fn spend(&mut self) -> bool {
        Self::spend(self)
    }
}
