//! Derives the outcome of a transaction from an answer or its absence.

use bytes::Bytes;

use super::call::Failure;
use super::message::{TxnAnswer, decode};
use crate::transaction::{Cause, Commit};

/// Only errors that the store gives before it writes count as not applied.
pub(super) fn commit(answer: Result<Bytes, Failure>) -> Commit {
    match answer {
        Ok(body) => match decode::<TxnAnswer>(&body) {
            Ok(answer) => answer.commit(),
            Err(_) => Commit::Unknown,
        },
        Err(Failure::OverBudget(_)) => Commit::NotApplied(Cause::OverBudget),
        Err(Failure::Unsent) => Commit::NotApplied(Cause::NotSent),
        Err(Failure::Broken | Failure::TimedOut(_)) => Commit::Unknown,
        Err(failure) if failure.is_throttled() => Commit::NotApplied(Cause::Throttled),
        Err(Failure::Refused { refusal, .. }) if refusal.is_missing() => {
            Commit::NotApplied(Cause::LeaseExpired)
        }
        Err(Failure::Refused { status, refusal }) if refusal.is_invalid(status) => {
            Commit::NotApplied(Cause::Refused)
        }
        // A timeout inside the store or a lost leader: the write may still apply.
        Err(Failure::Refused { .. }) => Commit::Unknown,
    }
}
