//! Determines the outcome of a transaction whose answer was lost.
//!
//! The transaction must put a marker, a key that nothing else ever writes, on
//! the condition that it is absent; so it can apply only once, and sending it
//! again is safe. Its other conditions must be of the kind `Unchanged`: once
//! such a condition fails it always fails, so a conflict together with a missing
//! marker proves that no copy of the transaction will ever apply.

use std::time::Duration;

use azurestand_types::Moment;

use crate::backoff::{Backoff, BackoffLimits};
use crate::error::StoreError;
use crate::key::Key;
use crate::store::{Store, Versioned};
use crate::transaction::{Cause, Commit, Transaction, Version};

/// The final outcome of a transaction.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It took effect, once.
    Applied {
        /// The version that it made.
        version: Version,
    },
    /// It did not take effect and never will.
    NotApplied(Cause),
    /// The deadline passed first; read the marker later.
    Undecided,
}

/// An input of [`Settle::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettleEvent {
    /// The answer to [`SettleAction::Commit`].
    Committed(Commit),
    /// The answer to [`SettleAction::ReadMarker`].
    MarkerRead(Result<Option<Versioned>, StoreError>),
    /// A wait is over.
    Tick,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleAction {
    /// Send the transaction.
    Commit,
    /// Read the marker.
    ReadMarker,
    /// Send [`SettleEvent::Tick`] after this time.
    Wait(Duration),
    /// Stop with this outcome.
    Finish(Settled),
}

/// Sends a marked transaction until its outcome is certain or time runs out.
#[derive(Debug)]
pub struct Settle {
    deadline: Moment,
    backoff: Backoff,
    /// Whether an answer was ever lost; from then on a conflict may come from this
    /// transaction's own write.
    answer_lost: bool,
    next: SettleAction,
    /// Why the last attempt certainly did not apply.
    cause: Option<Cause>,
}

impl Settle {
    /// Starts with sending the transaction; gives up at `deadline`.
    pub fn new(deadline: Moment, retry: BackoffLimits, seed: u64) -> (Self, SettleAction) {
        let settle = Self {
            deadline,
            backoff: Backoff::new(retry, seed),
            answer_lost: false,
            next: SettleAction::Commit,
            cause: None,
        };
        (settle, SettleAction::Commit)
    }

    /// Handles an event and returns the next action.
    pub fn step(&mut self, now: Moment, event: SettleEvent) -> SettleAction {
        match event {
            SettleEvent::Tick => self.next,
            SettleEvent::Committed(commit) => self.committed(now, commit),
            SettleEvent::MarkerRead(marker) => self.marker(now, marker),
        }
    }

    fn committed(&mut self, now: Moment, commit: Commit) -> SettleAction {
        match commit {
            Commit::Applied { version } => SettleAction::Finish(Settled::Applied { version }),
            Commit::Unknown => {
                self.answer_lost = true;
                self.cause = None;
                self.retry_later(now, SettleAction::ReadMarker)
            }
            Commit::NotApplied(cause) if !self.answer_lost && is_final(cause) => {
                SettleAction::Finish(Settled::NotApplied(cause))
            }
            Commit::NotApplied(cause) if is_final(cause) => {
                self.cause = Some(cause);
                SettleAction::ReadMarker
            }
            Commit::NotApplied(cause) => {
                if !self.answer_lost && now >= self.deadline {
                    return SettleAction::Finish(Settled::NotApplied(cause));
                }
                self.retry_later(now, SettleAction::Commit)
            }
        }
    }

    fn marker(
        &mut self,
        now: Moment,
        marker: Result<Option<Versioned>, StoreError>,
    ) -> SettleAction {
        match (marker, self.cause) {
            (Ok(Some(Versioned { version, .. })), _) => {
                SettleAction::Finish(Settled::Applied { version })
            }
            // Another write broke a condition: the transaction can no longer apply.
            (Ok(None), Some(cause)) => SettleAction::Finish(Settled::NotApplied(cause)),
            // It may still be in flight, so it is sent again under the same conditions.
            (Ok(None), None) => self.retry_later(now, SettleAction::Commit),
            (Err(_), _) => self.retry_later(now, SettleAction::ReadMarker),
        }
    }

    fn retry_later(&mut self, now: Moment, next: SettleAction) -> SettleAction {
        if now >= self.deadline {
            return SettleAction::Finish(Settled::Undecided);
        }
        self.next = next;
        SettleAction::Wait(self.backoff.delay())
    }
}

/// Whether sending the same transaction again can't change the outcome.
fn is_final(cause: Cause) -> bool {
    match cause {
        Cause::Conflict | Cause::LeaseExpired | Cause::Refused => true,
        Cause::Throttled | Cause::OverBudget | Cause::NotSent => false,
    }
}

/// Commits `transaction`, which writes `marker`, and resolves lost answers.
pub async fn commit_settled<S>(
    store: &S,
    transaction: &Transaction,
    marker: &Key,
    time_limit: Duration,
    seed: u64,
) -> Settled
where
    S: Store,
{
    let start = tokio::time::Instant::now();
    let deadline = Moment::START + time_limit;
    let (mut settle, mut action) = Settle::new(deadline, BackoffLimits::default(), seed);
    loop {
        let event = match action {
            SettleAction::Commit => SettleEvent::Committed(store.commit(transaction).await),
            SettleAction::ReadMarker => SettleEvent::MarkerRead(store.read(marker).await),
            SettleAction::Wait(span) => {
                tokio::time::sleep(span).await;
                SettleEvent::Tick
            }
            SettleAction::Finish(settled) => return settled,
        };
        action = settle.step(Moment::START + start.elapsed(), event);
    }
}
