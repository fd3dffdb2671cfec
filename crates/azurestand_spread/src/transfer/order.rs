//! Which host fetches which chunk, derived by every host from its live view.

use std::time::Duration;

use azurestand_types::{HostName, Moment, Region, rendezvous};

use crate::manifest::Manifest;

/// The designated hosts of a region or data centre, and their order for each chunk.
///
/// If two views differ by one host, only that host's chunks are assigned differently.
/// Two hosts that both consider themselves first cost one extra copy of a chunk and no
/// more.
#[derive(Debug, Default)]
pub(crate) struct Order {
    pub(crate) designated: Vec<HostName>,
    /// When the designated hosts last changed.
    pub(crate) changed_at: Moment,
    /// When each designated host last announced a new chunk.
    last_gain: Vec<Moment>,
    own_index: Option<u8>,
    ranks: Vec<u8>,
}

impl Order {
    /// Takes the first `count` of `hosts` for this manifest and orders them for each chunk.
    pub(crate) fn update(
        &mut self,
        manifest: &Manifest,
        hosts: &[HostName],
        own: &HostName,
        count: usize,
        now: Moment,
    ) {
        let mut designated: Vec<_> = rendezvous::order(manifest.digest().as_bytes(), hosts)
            .into_iter()
            .take(count)
            .cloned()
            .collect();
        designated.sort();
        if designated == self.designated {
            return;
        }
        self.changed_at = now;
        self.last_gain = vec![now; designated.len()];
        self.own_index = position(&designated, own);
        self.ranks.clear();
        for chunk in manifest.chunks() {
            let order = rendezvous::order(chunk.digest.as_bytes(), &designated);
            let ranks = order.iter().filter_map(|host| position(&designated, host));
            self.ranks.extend(ranks);
        }
        self.designated = designated;
    }

    fn record_gain(&mut self, host: &HostName, now: Moment) {
        if let Some(rank) = position(&self.designated, host) {
            self.last_gain[usize::from(rank)] = now;
        }
    }

    /// Which designated hosts gained no chunk for longer than `timeout`.
    pub(crate) fn stalled(&self, timeout: Duration, now: Moment) -> Vec<bool> {
        let is_stalled = |last_gain: &Moment| now.since(*last_gain) > timeout;
        self.last_gain.iter().map(is_stalled).collect()
    }

    pub(crate) fn is_designated(&self) -> bool {
        self.own_index.is_some()
    }

    /// Whether this host may fetch chunk `index`: all designated hosts before it are
    /// stalled.
    pub(crate) fn may_fetch(&self, index: usize, stalled: &[bool]) -> bool {
        let count = self.designated.len();
        for &rank in &self.ranks[index * count..(index + 1) * count] {
            if Some(rank) == self.own_index {
                return true;
            }
            if !stalled[usize::from(rank)] {
                return false;
            }
        }
        true
    }

    /// Whether this host is the first in the order of chunk `index`.
    pub(crate) fn is_first(&self, index: usize) -> bool {
        let count = self.designated.len();
        count > 0 && self.own_index == Some(self.ranks[index * count])
    }
}

fn position(designated: &[HostName], host: &HostName) -> Option<u8> {
    let index = designated.iter().position(|name| name == host)?;
    u8::try_from(index).ok()
}

/// The orders of a version that concern this host.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) region: Order,
    pub(crate) centre: Order,
    /// The designated hosts of the other regions.
    pub(crate) remote: Vec<HostName>,
    regions: Vec<Region>,
    home: Vec<bool>,
}

impl Orders {
    /// Sets the regions that take the version, this host's own included.
    ///
    /// Each chunk has a home region, which fetches it from the origin.
    pub(crate) fn set_regions(&mut self, manifest: &Manifest, regions: Vec<Region>, own: &Region) {
        if regions == self.regions {
            return;
        }
        let is_home = |digest: &[u8; 32]| rendezvous::first(digest, &regions) == Some(own);
        let chunks = manifest.chunks().iter();
        self.home = chunks
            .map(|chunk| is_home(chunk.digest.as_bytes()))
            .collect();
        self.regions = regions;
    }

    /// Records that a host gained a chunk.
    pub(crate) fn record_gain(&mut self, host: &HostName, now: Moment) {
        self.region.record_gain(host, now);
        self.centre.record_gain(host, now);
    }

    pub(crate) fn is_home(&self, index: usize) -> bool {
        self.home[index]
    }

    pub(crate) fn region_count(&self) -> usize {
        self.regions.len().max(1)
    }
}
