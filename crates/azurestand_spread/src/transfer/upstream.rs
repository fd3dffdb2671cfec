//! This host's access to the origin and the weight store.

use std::time::Duration;

use azurestand_types::Moment;

use crate::bucket::Bucket;
use crate::event::Source;

const MAX_FAILURES: u32 = 5;

/// The recent failures of the origin or weight store.
#[derive(Debug, Default)]
struct Health {
    failures: u32,
    paused_until: Moment,
}

/// Chooses between the weight store and the origin.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    origin: Health,
    store: Health,
    /// This host's share of the weight store's rate; none when there is no weight store.
    pub(crate) bucket: Option<Bucket>,
}

impl Upstream {
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.origin.paused_until <= now || (self.bucket.is_some() && self.store.paused_until <= now)
    }

    /// The source of the next chunk: the weight store as long as it works.
    ///
    /// The origin helps when the weight store is slower than the host's link
    /// (`store_slow`), and replaces it when it fails.
    pub(crate) fn take(&mut self, bytes: u64, store_slow: bool, now: Moment) -> Option<Source> {
        if let Some(bucket) = &mut self.bucket
            && self.store.paused_until <= now
        {
            if bucket.take(bytes, now) {
                return Some(Source::WeightStore);
            }
            if !store_slow {
                return None;
            }
        }
        (self.origin.paused_until <= now).then_some(Source::Origin)
    }

    pub(crate) fn record_failure(&mut self, source: &Source, base: Duration, now: Moment) {
        let health = self.health(source);
        health.paused_until = now + base * (1 << health.failures);
        health.failures = (health.failures + 1).min(MAX_FAILURES);
    }

    pub(crate) fn record_success(&mut self, source: &Source) {
        *self.health(source) = Health::default();
    }

    fn health(&mut self, source: &Source) -> &mut Health {
        match source {
            Source::WeightStore => &mut self.store,
            Source::Origin | Source::Peer(_) => &mut self.origin,
        }
    }
}
