//! Shares of the links that a region's designated hosts use together.

use std::collections::BTreeSet;
use std::time::Duration;

use azurestand_types::Moment;

use super::Transfer;
use super::peers::Locality;
use super::version::VersionState;
use crate::bucket::{Bucket, Rate};

/// This host's share of the link from another region.
#[derive(Debug)]
pub(crate) struct CrossLink {
    pub(crate) bucket: Bucket,
    pub(crate) fetches: usize,
}

impl Transfer {
    /// The rate that transfers of all hosts together may use on one link into this
    /// region.
    pub(crate) fn cross_rate(&self) -> Rate {
        let rate = self.limits.cross.percent(self.limits.share);
        rate.saturating_sub(self.live_traffic.cross)
    }

    /// Divides the links into this region, and the weight store, between the designated
    /// hosts.
    ///
    /// Each gets a share by the number of chunks that it is the first to fetch and that
    /// the region lacks, so that all finish at about the same time.
    pub(crate) fn share_links(&mut self, now: Moment) {
        self.shared_at = now;
        let (own, all) = self.backlog();
        let rate = Rate(self.cross_rate().0.saturating_mul(own) / all);
        for link in self.cross.values_mut() {
            link.bucket.set_rate(rate, now);
        }
        let count = self.cross.len() as u64 + 1;
        if let Some(store) = self.limits.store {
            let rate = Rate(store.0.saturating_mul(own) / (all * count));
            // This region fetches about one chunk in `count`, the other regions the
            // rest.
            self.store_slow = self.is_slow(rate.duration_of(own * self.longest() / count));
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
            .filter(|neighbour| neighbour.locality == Locality::Cross)
            .map(|neighbour| neighbour.peer.region.clone())
            .collect();
        self.cross.retain(|region, _| regions.contains(region));
        for region in regions {
            self.cross.entry(region).or_insert_with(|| CrossLink {
                bucket: Bucket::new(Rate(0), 0, now),
                fetches: 0,
            });
        }
        self.share_links(now);
    }

    fn longest(&self) -> u64 {
        let lengths = self.versions.iter().map(|version| version.longest);
        lengths.max().unwrap_or(0)
    }

    /// Whether `span` is longer than this host's own link needs for all missing chunks.
    fn is_slow(&self, span: Duration) -> bool {
        let missing = self.versions.iter().map(VersionState::missing_bytes).sum();
        span > self.ingress.rate().duration_of(missing)
    }

    /// The chunks that the region lacks: those that this host is the first to fetch,
    /// and all.
    fn backlog(&self) -> (u64, u64) {
        let (mut own, mut all) = (0, 0);
        for version in &self.versions {
            for index in 0..version.len() {
                if !version.have.get(index) && version.counts.near(index) == 0 {
                    all += 1;
                    own += u64::from(version.orders.region.is_first(index));
                }
            }
        }
        (own.max(1), all.max(1))
    }
}
