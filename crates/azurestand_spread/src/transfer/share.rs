//! Shares of the links that a region's drawing agents use together.

use std::collections::BTreeSet;
use std::time::Duration;

use azurestand_types::Moment;

use super::Transfer;
use super::goal::Goal;
use super::peers::Place;
use crate::bucket::{Bucket, Rate};

/// The link from another region, as far as this host may use it.
#[derive(Debug)]
pub(crate) struct CrossLink {
    pub(crate) bucket: Bucket,
    pub(crate) flights: usize,
}

impl Transfer {
    /// What transfers may use of one link into this region, all hosts together.
    pub(crate) fn cross_rate(&self) -> Rate {
        let rate = self.limits.cross.percent(self.limits.share);
        rate.less(self.load.cross)
    }

    /// Divides the links into this region, and the weight store, over the drawing agents.
    ///
    /// Each takes a share by the number of chunks that it is the first to draw
    /// and that the region lacks, so that all end at about the same time.
    pub(crate) fn share_links(&mut self, now: Moment) {
        self.shared = now;
        let (own, all) = self.backlog();
        let rate = Rate(self.cross_rate().0.saturating_mul(own) / all);
        for link in self.cross.values_mut() {
            link.bucket.set_rate(rate, now);
        }
        let count = self.cross.len() as u64 + 1;
        if let Some(store) = self.limits.store {
            let rate = Rate(store.0.saturating_mul(own) / (all * count));
            // About one chunk in `count` is drawn here, the others by other regions.
            self.hurried = self.is_slow(rate.time(own * self.longest() / count));
            let bucket = self.upstream.bucket.take();
            let mut bucket = bucket.unwrap_or_else(|| Bucket::new(rate, 0, now));
            bucket.set_rate(rate, now);
            self.upstream.bucket = Some(bucket);
        }
    }

    /// Keeps a link for each other region of the view.
    pub(crate) fn link_regions(&mut self, now: Moment) {
        let regions: BTreeSet<_> = self
            .peers
            .iter()
            .filter(|neighbour| neighbour.place == Place::Cross)
            .map(|neighbour| neighbour.peer.region.clone())
            .collect();
        self.cross.retain(|region, _| regions.contains(region));
        for region in regions {
            self.cross.entry(region).or_insert_with(|| CrossLink {
                bucket: Bucket::new(Rate(0), 0, now),
                flights: 0,
            });
        }
        self.share_links(now);
    }

    fn longest(&self) -> u64 {
        let lengths = self.goals.iter().map(|goal| goal.longest);
        lengths.max().unwrap_or(0)
    }

    /// Whether `span` is longer than this host's own link needs for all that is missing.
    fn is_slow(&self, span: Duration) -> bool {
        let missing = self.goals.iter().map(Goal::missing_bytes).sum();
        span > self.ingress.rate().time(missing)
    }

    /// Chunks that the region lacks: those that this host is to draw, and all.
    fn backlog(&self) -> (u64, u64) {
        let (mut own, mut all) = (0, 0);
        for goal in &self.goals {
            for index in 0..goal.len() {
                if !goal.have.get(index) && goal.counts.near(index) == 0 {
                    all += 1;
                    own += u64::from(goal.orders.region.is_first(index));
                }
            }
        }
        (own.max(1), all.max(1))
    }
}
