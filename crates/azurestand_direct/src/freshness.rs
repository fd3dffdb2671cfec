//! The age of the last proof that this process has seen every change.

use std::time::Duration;

use azurestand_types::Moment;

/// How up to date this process is with the operators' changes.
///
/// A proof counts from the moment at which the read or watch that returned it was *sent*:
/// every change that was acknowledged before that moment has been seen. The clock behind
/// the moments has to count the time for which the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    proved_at: Option<Moment>,
}

impl Freshness {
    /// Records that every change acknowledged before `sent` has been seen.
    pub fn record_proof(&mut self, sent: Moment) {
        if self.proved_at.is_none_or(|known| known < sent) {
            self.proved_at = Some(sent);
        }
    }

    /// The moment before which every change has been seen; none without a proof.
    pub fn proved_at(&self) -> Option<Moment> {
        self.proved_at
    }

    /// The age of the last proof; none if there never was one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proved_at.map(|proved_at| now.since(proved_at))
    }

    /// Whether the last proof is younger than `bound`.
    pub fn is_within(&self, now: Moment, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
