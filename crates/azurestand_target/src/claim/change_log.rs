//! The changes that a holder has yet to write, and its pending write.

use std::collections::VecDeque;
use std::time::Duration;

use azurestand_types::Moment;

use super::key::ClaimKey;
use super::record::{Batch, Claim, ClaimState};

/// The most changes in one transaction, so that a value stays far below 1 MB.
const MAX_CLAIMS: usize = 1_000;
/// The most bytes of claims and answers in one transaction, unless a single
/// change is larger.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// The most deletions in one transaction.
const MAX_DROPS: usize = 32;

/// A write that was sent, may have taken effect, and has no answer yet.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) batch: Batch,
    /// When it was first sent; its lease counts from then, since any of its
    /// copies may be the one that took effect.
    pub(crate) first_sent: Moment,
    /// The number of the last change in this or an earlier write.
    pub(crate) last_change: u64,
    /// The store answered that it wasn't applied; the record shows whether an
    /// earlier copy was.
    pub(crate) rejected: bool,
}

#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Unwritten changes with their numbers, which start at 1.
    changes: VecDeque<(u64, Claim)>,
    last_pushed: u64,
    last_taken: u64,
    /// Batches in the store by write number, the oldest first, with the time from which
    /// their age counts.
    batches: VecDeque<(Moment, u64)>,
    last_send: Option<Moment>,
}

impl ChangeLog {
    /// Appends a change and returns its number.
    pub(crate) fn push(&mut self, claim: Claim) -> u64 {
        self.last_pushed += 1;
        self.changes.push_back((self.last_pushed, claim));
        self.last_pushed
    }

    /// The number of the last change that was taken for a write.
    pub(crate) fn last_taken(&self) -> u64 {
        self.last_taken
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.changes.clear();
        self.batches.clear();
    }

    /// Removes the claim of `key` if it hasn't been taken for a write yet;
    /// returns whether it was removed.
    pub(crate) fn retract(&mut self, key: ClaimKey) -> bool {
        let position = self
            .changes
            .iter()
            .rposition(|(_, claim)| claim.key == key && claim.state == ClaimState::Claimed);
        position.is_some_and(|position| self.changes.remove(position).is_some())
    }

    /// The time since the last write was sent.
    pub(crate) fn since_send(&self, now: Moment) -> Duration {
        self.last_send.map_or(Duration::MAX, |last| now.since(last))
    }

    pub(crate) fn record_send(&mut self, now: Moment) {
        self.last_send = Some(now);
    }

    /// Removes and returns the changes for the next write.
    pub(crate) fn next_batch(&mut self) -> Vec<Claim> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some((number, claim)) = self.changes.pop_front() {
            bytes += size(&claim);
            let full = taken.len() == MAX_CLAIMS || bytes > MAX_BATCH_BYTES;
            if full && !taken.is_empty() {
                self.changes.push_front((number, claim));
                break;
            }
            self.last_taken = number;
            taken.push(claim);
        }
        taken
    }

    /// Records a batch that is in the store.
    pub(crate) fn add_batch(&mut self, at: Moment, write_number: u64) {
        self.batches.push_back((at, write_number));
    }

    /// The write numbers of batches whose claims are all older than `retention`.
    pub(crate) fn expired_batches(&self, now: Moment, retention: Duration) -> Vec<u64> {
        self.batches
            .iter()
            .take_while(|(at, _)| now.since(*at) > retention)
            .take(MAX_DROPS)
            .map(|(_, write_number)| *write_number)
            .collect()
    }

    pub(crate) fn remove_batches(&mut self, dropped: &[u64]) {
        self.batches
            .retain(|(_, write_number)| !dropped.contains(write_number));
    }
}

fn size(claim: &Claim) -> usize {
    match &claim.state {
        ClaimState::Answered(Some(body)) => 64 + body.len(),
        _ => 64,
    }
}
