//! What a holder has yet to write, and the write whose answer is awaited.

use std::collections::VecDeque;
use std::time::Duration;

use azurestand_types::Moment;

use super::key::ClaimKey;
use super::record::{Batch, Claim, ClaimState};

/// Changes that one transaction carries, so that a value stays far below 1 MB.
const MAX_CLAIMS: usize = 1_000;
/// Bytes of answers that one transaction carries.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Deletions that one transaction carries.
const MAX_DROPS: usize = 32;

/// A write that was sent and may have taken effect.
#[derive(Debug)]
pub(crate) struct Sending {
    pub(crate) batch: Batch,
    /// When it was sent for the first time; its lease counts from here, since
    /// any of its copies may be the one that took effect.
    pub(crate) first: Moment,
    /// The number of the last change that it or an earlier write carries.
    pub(crate) upto: u64,
    /// The store said that it wasn't applied: the record tells whether an
    /// earlier copy was.
    pub(crate) refused: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Log {
    /// Changes by number, counted from 1.
    changes: VecDeque<(u64, Claim)>,
    pushed: u64,
    taken: u64,
    /// Batches in the store, the oldest first.
    beats: VecDeque<(Moment, u64)>,
    last: Option<Moment>,
}

impl Log {
    /// Adds a change and returns its number.
    pub(crate) fn push(&mut self, claim: Claim) -> u64 {
        self.pushed += 1;
        self.changes.push_back((self.pushed, claim));
        self.pushed
    }

    /// The number of the last change that was put into a write.
    pub(crate) fn taken(&self) -> u64 {
        self.taken
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.changes.clear();
        self.beats.clear();
    }

    /// Takes back the claim of `key`, if it wasn't put into a write yet.
    pub(crate) fn retract(&mut self, key: ClaimKey) -> bool {
        let place = self
            .changes
            .iter()
            .rposition(|(_, claim)| claim.key == key && claim.state == ClaimState::Claimed);
        place.is_some_and(|place| self.changes.remove(place).is_some())
    }

    /// The time since the last write was sent.
    pub(crate) fn since_send(&self, now: Moment) -> Duration {
        self.last.map_or(Duration::MAX, |last| now.since(last))
    }

    pub(crate) fn note_send(&mut self, now: Moment) {
        self.last = Some(now);
    }

    /// Takes out the changes for the next write.
    pub(crate) fn take(&mut self) -> Vec<Claim> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        while let Some((number, claim)) = self.changes.pop_front() {
            bytes += size(&claim);
            let full = taken.len() == MAX_CLAIMS || bytes > MAX_BATCH_BYTES;
            if full && !taken.is_empty() {
                self.changes.push_front((number, claim));
                break;
            }
            self.taken = number;
            taken.push(claim);
        }
        taken
    }

    /// Notes a batch that is in the store.
    pub(crate) fn note_beat(&mut self, at: Moment, beat: u64) {
        self.beats.push_back((at, beat));
    }

    /// Batches all of whose claims are older than `retain`.
    pub(crate) fn old_beats(&self, now: Moment, retain: Duration) -> Vec<u64> {
        self.beats
            .iter()
            .take_while(|(at, _)| now.since(*at) > retain)
            .take(MAX_DROPS)
            .map(|(_, beat)| *beat)
            .collect()
    }

    pub(crate) fn note_dropped(&mut self, dropped: &[u64]) {
        self.beats.retain(|(_, beat)| !dropped.contains(beat));
    }
}

fn size(claim: &Claim) -> usize {
    match &claim.state {
        ClaimState::Answered(Some(body)) => 64 + body.len(),
        _ => 64,
    }
}
