//! What one entry may send to one target that all entries together may send little to: since it
//! is cold, since it names a rate limit, or both.

use std::time::Duration;

use azurestand_types::Moment;

use crate::limit::{NamedLimit, RateLimit};
use crate::share::{SendBound, SendBucket, SendPlace};

/// This entry's shares of the rates of one target.
#[derive(Debug, Clone)]
pub(super) struct Shares {
    /// This entry's place among those that may send to the target; none if it isn't known yet.
    place: Option<SendPlace>,
    cold_until: Moment,
    cold_bucket: SendBucket,
    named_limit: NamedLimit,
    named_bucket: SendBucket,
}

impl Shares {
    pub(super) fn new(now: Moment, cold: Duration, place: Option<SendPlace>) -> Self {
        Self {
            place,
            cold_until: now + cold,
            cold_bucket: SendBucket::new(now),
            named_limit: NamedLimit::default(),
            named_bucket: SendBucket::new(now),
        }
    }

    pub(super) fn set_place(&mut self, place: Option<SendPlace>) {
        self.place = place;
    }

    /// Records that the target is cold until `end` at least.
    pub(super) fn extend_cold(&mut self, end: Moment) {
        self.cold_until = self.cold_until.max(end);
    }

    /// Records the rate limit that an answer told which arrived at `observed_at`; returns
    /// whether it changed.
    pub(super) fn record_limit(
        &mut self,
        now: Moment,
        observed_at: Moment,
        limit: Option<RateLimit>,
    ) -> bool {
        let was_limited = self.has_limit();
        let has_changed = self.named_limit.record(now, observed_at, limit);
        if has_changed && !was_limited {
            self.named_bucket = SendBucket::new(now);
        }
        has_changed
    }

    /// Whether the target names a rate limit.
    pub(super) fn has_limit(&self) -> bool {
        self.named_limit.get().is_some()
    }

    /// The rate limit that the target names.
    pub(super) fn named_limit(&self) -> &NamedLimit {
        &self.named_limit
    }

    /// How long until the shares allow a send; none if other entries send instead.
    pub(super) fn wait(&self, now: Moment, cold_rate: Option<f64>) -> Option<Duration> {
        let mut longest = Duration::ZERO;
        for (bound, bucket) in self.bounds(now, cold_rate).into_iter().flatten() {
            let limit = self.place?.limit(bound)?;
            longest = longest.max(bucket.wait(now, limit));
        }
        Some(longest)
    }

    /// Takes a send out of the shares.
    pub(super) fn spend(&mut self, now: Moment, cold_rate: Option<f64>) {
        let [cold, named] = self.bounds(now, cold_rate);
        let spent = |bounded: Option<(SendBound, SendBucket)>| {
            let (bound, mut bucket) = bounded?;
            bucket.spend(now, self.place?.limit(bound)?);
            Some(bucket)
        };
        let (cold, named) = (spent(cold), spent(named));
        self.cold_bucket = cold.unwrap_or(self.cold_bucket);
        self.named_bucket = named.unwrap_or(self.named_bucket);
    }

    /// The bounds on what all entries together may send, with this entry's buckets.
    fn bounds(&self, now: Moment, cold_rate: Option<f64>) -> [Option<(SendBound, SendBucket)>; 2] {
        let is_cold = now < self.cold_until;
        let cold = cold_rate.filter(|_| is_cold).map(SendBound::cold);
        let named = self.named_limit.get().map(SendBound::named);
        [
            cold.map(|bound| (bound, self.cold_bucket)),
            named.map(|bound| (bound, self.named_bucket)),
        ]
    }
}
