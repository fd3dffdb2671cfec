//! The state machine that applies one edit to the store, despite lost requests and responses.
//!
//! The document and the audit record of a change are written in one
//! transaction, on the condition that the document's key still has the version
//! that was read. A transaction on a document of revision 7 can therefore only
//! produce revision 8, and the audit record of revision 8 names the change that
//! did. After a lost response, this record shows whether the transaction took
//! effect.

use std::time::Duration;

use azurestand_types::{ChangeId, Revision};
use derive_more::Display;
use fastrand::Rng;

use crate::error::ConfigErrors;
use crate::transaction::{Commit, StoreVersion, Transaction};
use crate::{AuditRecord, Document, Edit, EditError, Merge};

const MAX_ATTEMPTS: u32 = 60;
const MAX_TRACE_STEPS: u32 = 64;
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// An input of the state machine: the result of the driver's last action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditingEvent {
    /// The document's key was read; the text is none if the key doesn't exist.
    Read(Option<String>, StoreVersion),
    /// An audit record was read; none if its key doesn't exist.
    AuditRead(Option<AuditRecord>),
    /// A read failed.
    ReadFailed,
    /// A transaction ended.
    CommitEnded(Commit),
    /// The driver's deadline has passed; the edit ends.
    TimedOut,
}

/// The next action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditingAction {
    /// Wait, then read the document.
    Read(Duration),
    /// Read the audit record of a revision.
    ReadAudit(Revision),
    /// Run a transaction.
    Commit(Transaction),
    /// Stop.
    Done(EditingOutcome),
}

/// The outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum EditingOutcome {
    /// The change is in the store.
    #[display("applied as revision {_0}")]
    Applied(Revision),
    /// The change was already in the store.
    #[display("this change was applied before, as revision {_0}")]
    AlreadyApplied(Revision),
    /// The change isn't in the store.
    #[display("{_0}")]
    Refused(EditError),
    /// The document in the store is invalid.
    #[display("the store's document is invalid; nothing was changed:\n{_0}")]
    InvalidDocument(ConfigErrors),
    /// The store holds no document.
    #[display("the store holds no document; write the first with `azurestand config init FILE`")]
    NoDocument,
    /// The store holds an older document than one that was in force.
    #[display(
        "the store holds revision {found} but {seen} was in force, so it was restored to an older state; bring the newer document back with `azurestand config recover`"
    )]
    StoreRestored {
        /// The revision that was in force.
        seen: Revision,
        /// The revision that the store holds.
        found: Revision,
    },
    /// The store rejected the transaction as invalid.
    #[display(
        "the store refuses the transaction as invalid; check its limits of value size and operations against a document of 1 MB"
    )]
    Rejected,
    /// The store didn't respond in time, and no transaction is pending that could take effect.
    #[display("the store doesn't answer or is too busy; nothing was changed; try again later")]
    Unreachable,
    /// The store didn't respond, and the change may have taken effect.
    #[display(
        "the store doesn't answer, and the change may have taken effect; ask with `azurestand config status {_0}`"
    )]
    Unknown(ChangeId),
}

/// The response that the state machine waits for.
#[derive(Debug, Clone)]
enum State {
    /// The document.
    Reading,
    /// The result of the transaction that writes this revision.
    Committing(Revision),
    /// The audit record of the pending revision, which names the change that wrote it.
    CheckingPending(Document, StoreVersion, Revision),
    /// The section's audit records, from the conflicting change back to the edit's base.
    Tracing(EditError, u32),
    /// Nothing: the edit has ended.
    Done,
}

/// Applies one edit to the store, at most once however often it is repeated.
///
/// The driver runs each action and passes the result back:
/// [`EditingAction::Read`] is answered by [`EditingEvent::Read`] or
/// [`EditingEvent::ReadFailed`], and so on, until
/// [`EditingAction::Done`].
#[derive(Debug, Clone)]
pub struct Editing {
    edit: Edit,
    at: u64,
    seen: Revision,
    rng: Rng,
    pending: Option<Revision>,
    attempts: u32,
    state: State,
}

impl Editing {
    /// Starts `edit`, made at `at` in seconds since 1970-01-01 UTC. `seen` is the
    /// highest revision known to have been in force, 0 if none is known; `rng`
    /// draws the pauses between attempts.
    pub fn new(edit: Edit, at: u64, seen: Revision, rng: Rng) -> Self {
        Self {
            edit,
            at,
            seen,
            rng,
            pending: None,
            attempts: 0,
            state: State::Reading,
        }
    }

    /// The first action.
    pub fn start(&self) -> EditingAction {
        EditingAction::Read(Duration::ZERO)
    }

    /// Handles the result of the last action and returns the next one.
    pub fn handle(&mut self, event: EditingEvent) -> EditingAction {
        let state = std::mem::replace(&mut self.state, State::Done);
        match (state, event) {
            (State::Committing(revision), EditingEvent::TimedOut) => {
                self.pending = Some(revision);
                self.give_up()
            }
            (State::Reading, EditingEvent::Read(text, version)) => {
                self.read(text.as_deref(), version)
            }
            (State::Committing(revision), EditingEvent::CommitEnded(commit)) => {
                self.committed(revision, commit)
            }
            (
                State::CheckingPending(document, version, revision),
                EditingEvent::AuditRead(record),
            ) => self.check_pending(&document, version, revision, record),
            (State::Tracing(error, steps), EditingEvent::AuditRead(record)) => {
                self.trace(error, steps, record)
            }
            (State::Committing(revision), _) => self.committed(revision, Commit::Unknown),
            (_, EditingEvent::TimedOut) | (State::Done, _) => self.give_up(),
            _ => self.retry(),
        }
    }

    fn read(&mut self, text: Option<&str>, version: StoreVersion) -> EditingAction {
        let found = match text.map(Document::parse) {
            Some(Ok(document)) => document,
            Some(Err(errors)) => return self.done(EditingOutcome::InvalidDocument(errors)),
            None if self.seen == Revision(0) => return self.done(EditingOutcome::NoDocument),
            None => Document::empty(),
        };
        if found.revision() < self.seen {
            return self.done(EditingOutcome::StoreRestored {
                seen: self.seen,
                found: found.revision(),
            });
        }
        self.seen = found.revision();
        match self.pending {
            Some(revision) if found.revision() >= revision => {
                self.state = State::CheckingPending(found, version, revision);
                EditingAction::ReadAudit(revision)
            }
            _ => self.merge(&found, version),
        }
    }

    fn merge(&mut self, found: &Document, version: StoreVersion) -> EditingAction {
        match found.apply(&self.edit) {
            Ok(Merge::Merged(merged)) => {
                let record = AuditRecord::for_edit(&self.edit, found, &merged, self.at);
                self.state = State::Committing(merged.revision());
                EditingAction::Commit(Transaction::new(version, &merged, &record))
            }
            Ok(Merge::AlreadyApplied(revision)) => {
                self.done(EditingOutcome::AlreadyApplied(revision))
            }
            Err(EditError::Conflict(conflict)) if conflict.present.revision > conflict.base => {
                let revision = conflict.present.revision;
                self.state = State::Tracing(conflict.into(), 0);
                EditingAction::ReadAudit(revision)
            }
            Err(error) => self.done(EditingOutcome::Refused(error)),
        }
    }

    fn committed(&mut self, revision: Revision, commit: Commit) -> EditingAction {
        match commit {
            Commit::Applied => return self.done(EditingOutcome::Applied(revision)),
            Commit::Rejected if self.pending.is_none() => {
                return self.done(EditingOutcome::Rejected);
            }
            Commit::NotApplied | Commit::Rejected => {}
            Commit::Unknown => self.pending = Some(revision),
        }
        self.retry()
    }

    /// Decides from its audit record whether the pending transaction took effect.
    ///
    /// If it didn't, it never will: the document's key no longer has the version of its
    /// condition.
    fn check_pending(
        &mut self,
        found: &Document,
        version: StoreVersion,
        revision: Revision,
        record: Option<AuditRecord>,
    ) -> EditingAction {
        if record.is_some_and(|record| record.change == self.edit.change) {
            return self.done(EditingOutcome::Applied(revision));
        }
        self.pending = None;
        self.merge(found, version)
    }

    /// Searches the section's earlier changes for this one: an earlier run may have applied it
    /// before the conflicting changes.
    fn trace(
        &mut self,
        error: EditError,
        steps: u32,
        record: Option<AuditRecord>,
    ) -> EditingAction {
        match record {
            Some(record) if record.change == self.edit.change => {
                self.done(EditingOutcome::AlreadyApplied(record.revision))
            }
            Some(record) if record.from > self.edit.base && steps < MAX_TRACE_STEPS => {
                self.state = State::Tracing(error, steps + 1);
                EditingAction::ReadAudit(record.from)
            }
            _ => self.done(EditingOutcome::Refused(error)),
        }
    }

    fn retry(&mut self) -> EditingAction {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return self.give_up();
        }
        let doublings = self.attempts.min(16) - 1;
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF);
        self.state = State::Reading;
        EditingAction::Read(backoff.mul_f64(self.rng.f64()))
    }

    fn give_up(&mut self) -> EditingAction {
        let outcome = match self.pending {
            Some(_) => EditingOutcome::Unknown(self.edit.change.clone()),
            None => EditingOutcome::Unreachable,
        };
        self.done(outcome)
    }

    fn done(&mut self, outcome: EditingOutcome) -> EditingAction {
        self.state = State::Done;
        EditingAction::Done(outcome)
    }
}
