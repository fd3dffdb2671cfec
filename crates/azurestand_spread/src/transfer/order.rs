//! Who draws which chunk, worked out alike by every host from its live view.

use std::time::Duration;

use azurestand_types::{HostName, Moment, Region, rendezvous};

use crate::manifest::Manifest;

/// The drawing agents of a region or data centre, and their order for each chunk.
///
/// A view that differs by one host moves only that host's chunks. Two hosts
/// that both believe to be first cost one extra copy of a chunk and no more.
#[derive(Debug, Default)]
pub(crate) struct Order {
    pub(crate) drawers: Vec<HostName>,
    /// When the set of drawing agents last changed.
    pub(crate) since: Moment,
    /// When each drawing agent was last seen to gain a chunk.
    grown: Vec<Moment>,
    mine: Option<u8>,
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
        let mut drawers: Vec<_> = rendezvous::order(manifest.digest().as_bytes(), hosts)
            .into_iter()
            .take(count)
            .cloned()
            .collect();
        drawers.sort();
        if drawers == self.drawers {
            return;
        }
        self.since = now;
        self.grown = vec![now; drawers.len()];
        self.mine = position(&drawers, own);
        self.ranks.clear();
        for chunk in manifest.chunks() {
            let order = rendezvous::order(chunk.digest.as_bytes(), &drawers);
            let ranks = order.iter().filter_map(|host| position(&drawers, host));
            self.ranks.extend(ranks);
        }
        self.drawers = drawers;
    }

    fn note(&mut self, host: &HostName, now: Moment) {
        if let Some(rank) = position(&self.drawers, host) {
            self.grown[usize::from(rank)] = now;
        }
    }

    /// Which drawing agents gained no chunk for longer than `patience`.
    pub(crate) fn stalled(&self, patience: Duration, now: Moment) -> Vec<bool> {
        let is_stalled = |grown: &Moment| now.since(*grown) > patience;
        self.grown.iter().map(is_stalled).collect()
    }

    pub(crate) fn is_drawer(&self) -> bool {
        self.mine.is_some()
    }

    /// Whether every drawing agent before this host in the order of chunk `index` is stalled.
    pub(crate) fn is_turn(&self, index: usize, stalled: &[bool]) -> bool {
        let count = self.drawers.len();
        for &rank in &self.ranks[index * count..(index + 1) * count] {
            if Some(rank) == self.mine {
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
        let count = self.drawers.len();
        count > 0 && self.mine == Some(self.ranks[index * count])
    }
}

fn position(drawers: &[HostName], host: &HostName) -> Option<u8> {
    let index = drawers.iter().position(|drawer| drawer == host)?;
    u8::try_from(index).ok()
}

/// The orders that matter to one host.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) region: Order,
    pub(crate) centre: Order,
    /// The drawing agents of the other regions.
    pub(crate) abroad: Vec<HostName>,
    regions: Vec<Region>,
    home: Vec<bool>,
}

impl Orders {
    /// Sets the regions that take the version, this host's own included.
    ///
    /// Each chunk has a home region, which draws it from the origin.
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

    /// Takes note that a host gained a chunk.
    pub(crate) fn note(&mut self, host: &HostName, now: Moment) {
        self.region.note(host, now);
        self.centre.note(host, now);
    }

    pub(crate) fn is_home(&self, index: usize) -> bool {
        self.home[index]
    }

    pub(crate) fn region_count(&self) -> usize {
        self.regions.len().max(1)
    }
}
