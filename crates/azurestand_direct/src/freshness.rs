//! How old the last proof is that this process has seen every change.

use std::time::Duration;

use azurestand_types::Moment;

/// The age of what a process knows of the operators' changes.
///
/// A proof counts from the moment at which the read or watch that brought it
/// was *sent*: whatever was acknowledged before that moment has been seen. The
/// clock behind the moments has to count time in suspension.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    proved: Option<Moment>,
}

impl Freshness {
    /// Takes in that everything acknowledged before `sent` has been seen.
    pub fn prove(&mut self, sent: Moment) {
        if self.proved.is_none_or(|known| known < sent) {
            self.proved = Some(sent);
        }
    }

    /// Up to when everything has been seen; none if nothing is proved.
    pub fn proved(&self) -> Option<Moment> {
        self.proved
    }

    /// The age of the last proof; none when there never was one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    /// Whether the last proof is younger than `bound`.
    pub fn is_within(&self, now: Moment, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
