//! The origin and the weight store, as seen from one host.

use std::time::Duration;

use azurestand_types::Moment;

use crate::bucket::Bucket;
use crate::event::Source;

const MAX_STRIKES: u32 = 5;

/// How the origin or weight store behaved lately.
#[derive(Debug, Default)]
struct Health {
    strikes: u32,
    resting: Moment,
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
        self.origin.resting <= now || (self.bucket.is_some() && self.store.resting <= now)
    }

    /// The source for the next chunk: the weight store as long as it works.
    ///
    /// The origin helps when the weight store is slower than the host's link
    /// (`hurried`), and replaces it when that fails.
    pub(crate) fn take(&mut self, bytes: u64, hurried: bool, now: Moment) -> Option<Source> {
        if let Some(bucket) = &mut self.bucket
            && self.store.resting <= now
        {
            if bucket.take(bytes, now) {
                return Some(Source::WeightStore);
            }
            if !hurried {
                return None;
            }
        }
        (self.origin.resting <= now).then_some(Source::Origin)
    }

    pub(crate) fn fail(&mut self, source: &Source, base: Duration, now: Moment) {
        let health = self.health(source);
        health.resting = now + base * (1 << health.strikes);
        health.strikes = (health.strikes + 1).min(MAX_STRIKES);
    }

    pub(crate) fn succeed(&mut self, source: &Source) {
        *self.health(source) = Health::default();
    }

    fn health(&mut self, source: &Source) -> &mut Health {
        match source {
            Source::WeightStore => &mut self.store,
            Source::Origin | Source::Peer(_) => &mut self.origin,
        }
    }
}
