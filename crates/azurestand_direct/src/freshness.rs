//! The age of the last proof that this process has seen every change.

use std::time::Duration;

use azurestand_types::Moment;

/// How long after the store came back from an older copy its writers may take to write again
/// what the copy lacks.
pub(crate) const REWRITE_TIME: Duration = Duration::from_millis(1_900);

/// How up to date this process is with the operators' changes.
///
/// A proof counts from the moment at which the read or watch that returned it was *sent*, or
/// from the end of a wait in which the store had no change: every change that was
/// acknowledged before that moment has been seen. The clock behind
/// the moments has to count the time for which the machine is suspended.
///
/// A store that has just come back from an older copy proves nothing: an acknowledged change
/// may be missing until it is written again.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    proved_at: Option<Moment>,
    /// When the latest read that returned was sent, whether it is a proof or not.
    contact: Option<Moment>,
    /// Reads that were sent before it prove nothing.
    doubted_until: Moment,
}

impl Freshness {
    /// Records that a read that returned at `now` showed that the store came back from an older
    /// copy. It may have come back at any time until then.
    pub fn record_restart(&mut self, now: Moment) {
        self.doubted_until = now + REWRITE_TIME;
    }

    /// Records a read sent at `sent` that returned: every change acknowledged before has been
    /// seen, unless the store has just come back from an older copy.
    pub fn record_proof(&mut self, sent: Moment) {
        self.contact = self.contact.max(Some(sent));
        if sent < self.doubted_until {
            return;
        }
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

    /// Whether the last read that returned was sent less than `bound` ago.
    pub fn is_in_touch(&self, now: Moment, bound: Duration) -> bool {
        self.contact.is_some_and(|sent| now.since(sent) < bound)
    }

    /// Whether the last proof is younger than `bound`.
    pub fn is_within(&self, now: Moment, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
