//! Chooses the next chunks to request, and their sources.

use std::time::Duration;

use azurestand_types::Moment;

use super::Transfer;
use super::fetch::LinkKind;
use super::order::Order;
use super::peers::{Locality, Neighbour};
use super::version::VersionState;
use crate::event::Source;
use crate::limits::Policy;

/// Cross-region chunks in flight from one region; the bucket sets the rate.
pub(crate) const CROSS_FETCHES: usize = 2;

/// For how many announcement intervals a host waits for the first announcements of the
/// others.
const PEER_WAIT_FACTOR: u32 = 5;

impl Transfer {
    /// Requests chunks until a limit is reached or none can be requested.
    pub(crate) fn request_chunks(&mut self, now: Moment) {
        if self.versions.iter().all(|version| version.missing == 0) {
            return;
        }
        match self.limits.policy {
            Policy::Origin => while self.pick(now, Self::pick_any) {},
            Policy::Ordered => {
                self.check_peers_known(now);
                while self.pick(now, Self::pick_upstream) {}
                while self.pick(now, Self::pick_cross) {}
                while self.pick(now, Self::pick_region) {}
                while self.pick(now, Self::pick_centre) {}
                while self.pick(now, Self::pick_endgame) {}
            }
            Policy::Unordered => {
                while self.pick(now, Self::pick_peer) {}
                while self.pick(now, Self::pick_unheld) {}
            }
        }
    }

    /// Tries the versions in turn, so that all of them make progress.
    fn pick<P>(&mut self, now: Moment, picker: P) -> bool
    where
        P: Fn(&mut Self, usize, Moment) -> bool,
    {
        self.salt = self.rng.u64(..);
        let count = self.versions.len();
        for step in 0..count {
            let index = (self.next_version + step) % count;
            let room = self.versions[index].missing > 0 && self.has_room(index, now);
            if room && picker(self, index, now) {
                self.next_version = (index + 1) % count;
                return true;
            }
        }
        false
    }

    fn has_room(&mut self, index: usize, now: Moment) -> bool {
        let length = self.versions[index].longest;
        let staged = self.fetches.bytes();
        let fits = staged == 0 || staged + length <= self.limits.staging;
        fits && self.ingress.is_ready(now)
    }

    /// Allows fetches for a version once the other hosts have announced their chunks,
    /// so that a host which joins late doesn't fetch from the origin what others hold.
    fn check_peers_known(&mut self, now: Moment) {
        for version in &mut self.versions {
            if version.peers_known {
                continue;
            }
            let id = version.id();
            let is_silent = |neighbour: &Neighbour| {
                neighbour.outbound_subs.contains_key(&id) && !neighbour.announced.contains_key(&id)
            };
            let answered = self.has_view && !self.peers.active().any(is_silent);
            let waited =
                now.since(version.started) >= self.limits.announce_interval * PEER_WAIT_FACTOR;
            version.peers_known = answered || waited;
        }
    }

    // Baseline policies.

    fn pick_any(&mut self, index: usize, now: Moment) -> bool {
        self.fetch_where(index, now, |_, _| true)
    }

    fn pick_unheld(&mut self, index: usize, now: Moment) -> bool {
        self.fetch_where(index, now, |version, chunk| {
            version.counts.near(chunk) == 0 && version.counts.of(Locality::Cross)[chunk] == 0
        })
    }

    fn pick_peer(&mut self, index: usize, now: Moment) -> bool {
        if self.fetches.count(LinkKind::Near) + self.fetches.count(LinkKind::Cross)
            >= self.limits.near_fetches
        {
            return false;
        }
        let version = &self.versions[index];
        let rarity = |chunk| version.counts.near(chunk) + version.counts.of(Locality::Cross)[chunk];
        let found = self.rarest(index, rarity, |_| true, |_| true, now);
        self.request(index, found, now)
    }

    // The ordered policy.

    /// A designated host of the region fetches chunks from the origin whose home is
    /// this region, and others too when the links between regions are slower than the
    /// hosts' own.
    fn pick_upstream(&mut self, index: usize, now: Moment) -> bool {
        if self.fetches.count(LinkKind::Upstream) >= self.limits.upstream_fetches
            || !self.upstream.is_ready(now)
        {
            return false;
        }
        let timeout = self.upstream_timeout(index);
        let Some(stalled) = self.stalled_designated(index, Scope::Region, timeout, now) else {
            return false;
        };
        let cross_slow = self.cross_is_slow(index, now);
        let version = &self.versions[index];
        let region = &version.orders.region;
        let eligible = |version: &VersionState, chunk: usize| {
            version.counts.near(chunk) == 0 && region.may_fetch(chunk, &stalled)
        };
        let cross_count = |chunk: usize| version.counts.of(Locality::Cross)[chunk];
        let first = self.find(index, |version, chunk| {
            version.orders.is_home(chunk) && cross_count(chunk) == 0 && eligible(version, chunk)
        });
        let second = || {
            self.find(index, |version, chunk| {
                cross_count(chunk) == 0 && eligible(version, chunk)
            })
        };
        let third = || self.find(index, eligible);
        let chunk = match first {
            Some(chunk) => Some(chunk),
            None if cross_slow => second().or_else(third),
            None => None,
        };
        chunk.is_some_and(|chunk| self.fetch_upstream(index, chunk, now))
    }

    /// Whether the links between regions would deliver later than this host's own link.
    fn cross_is_slow(&self, index: usize, now: Moment) -> bool {
        let version = &self.versions[index];
        if now.since(version.last_offer) > self.cross_timeout(index) {
            return true;
        }
        let links = version.orders.region_count() - 1;
        let rate = self.cross_rate().0 * links as u64;
        let absent = |chunk: &usize| !version.have.get(*chunk) && version.counts.near(*chunk) == 0;
        let count = (0..version.len()).filter(absent).count() as u64;
        let cross = crate::Rate(rate).duration_of(count * version.longest);
        let own = self.ingress.rate().duration_of(version.missing_bytes());
        cross > own
    }

    /// A designated host of the region fetches what another region holds and this one
    /// doesn't.
    fn pick_cross(&mut self, index: usize, now: Moment) -> bool {
        let timeout = self.cross_timeout(index);
        let Some(stalled) = self.stalled_designated(index, Scope::Region, timeout, now) else {
            return false;
        };
        let open: Vec<_> = self
            .cross
            .iter_mut()
            .filter_map(|(region, link)| {
                (link.fetches < CROSS_FETCHES && link.bucket.is_ready(now)).then(|| region.clone())
            })
            .collect();
        if open.is_empty() {
            return false;
        }
        let version = &self.versions[index];
        let rarity = |chunk| version.counts.of(Locality::Cross)[chunk];
        let wanted = |chunk| {
            version.counts.near(chunk) == 0 && version.orders.region.may_fetch(chunk, &stalled)
        };
        let usable = |neighbour: &Neighbour| {
            neighbour.locality == Locality::Cross && open.contains(&neighbour.peer.region)
        };
        let found = self.rarest(index, rarity, wanted, usable, now);
        self.request(index, found, now)
    }

    /// A designated host of the data centre fetches what the region holds and the data
    /// centre doesn't.
    fn pick_region(&mut self, index: usize, now: Moment) -> bool {
        if self.fetches.count(LinkKind::Near) >= self.limits.near_fetches {
            return false;
        }
        let timeout = self.near_timeout(index);
        let Some(stalled) = self.stalled_designated(index, Scope::Centre, timeout, now) else {
            return false;
        };
        let version = &self.versions[index];
        let rarity = |chunk| version.counts.of(Locality::Region)[chunk];
        let wanted = |chunk| {
            version.counts.of(Locality::Centre)[chunk] == 0
                && version.orders.centre.may_fetch(chunk, &stalled)
        };
        let usable = |neighbour: &Neighbour| neighbour.locality == Locality::Region;
        let found = self.rarest(index, rarity, wanted, usable, now);
        self.request(index, found, now)
    }

    /// Any host fetches what its data centre holds, rarest first.
    fn pick_centre(&mut self, index: usize, now: Moment) -> bool {
        if self.fetches.count(LinkKind::Near) >= self.limits.near_fetches {
            return false;
        }
        let version = &self.versions[index];
        let rarity = |chunk| version.counts.of(Locality::Centre)[chunk];
        let usable = |neighbour: &Neighbour| neighbour.locality == Locality::Centre;
        let found = self.rarest(index, rarity, |_| true, usable, now);
        self.request(index, found, now)
    }

    /// Near the end, requests a chunk that takes long from a second host.
    fn pick_endgame(&mut self, index: usize, now: Moment) -> bool {
        let version = &self.versions[index];
        if version.missing > 2 * self.limits.near_fetches
            || self.fetches.count(LinkKind::Near) >= self.limits.near_fetches
        {
            return false;
        }
        let slow = self.near_time(index) * 2;
        let late = self.fetches.select(|digest, fetch| {
            fetch.kind == LinkKind::Near
                && now.since(fetch.started) > slow
                && version.needs(*digest)
                && self.fetches.get(*digest).len() == 1
        });
        for (digest, source) in late {
            let Some(chunk) = version.index_of(digest) else {
                continue;
            };
            let other = |neighbour: &Neighbour| {
                neighbour.locality != Locality::Cross
                    && source != Source::Peer(neighbour.peer.host.clone())
            };
            let holders = self.holders(index, other, now);
            if let Some(host) = self.holder(&holders, chunk) {
                return self.request(index, Some((chunk, host)), now);
            }
        }
        false
    }

    fn fetch_where<T>(&mut self, index: usize, now: Moment, test: T) -> bool
    where
        T: Fn(&VersionState, usize) -> bool,
    {
        if self.fetches.count(LinkKind::Upstream) >= self.limits.upstream_fetches
            || !self.upstream.is_ready(now)
        {
            return false;
        }
        let chunk = self.find(index, test);
        chunk.is_some_and(|chunk| self.fetch_upstream(index, chunk, now))
    }

    /// Which designated hosts are stalled; none if this host may not fetch in their
    /// place.
    fn stalled_designated(
        &self,
        index: usize,
        scope: Scope,
        timeout: Duration,
        now: Moment,
    ) -> Option<Vec<bool>> {
        let version = &self.versions[index];
        let order: &Order = match scope {
            Scope::Region => &version.orders.region,
            Scope::Centre => &version.orders.centre,
        };
        let waited =
            now.since(version.last_gain.max(order.changed_at)) > timeout.mul_f64(self.jitter);
        if !version.peers_known || (!order.is_designated() && !waited) {
            return None;
        }
        Some(order.stalled(timeout, now))
    }

    pub(crate) fn is_stuck(&self, index: usize, now: Moment) -> bool {
        let version = &self.versions[index];
        now.since(version.last_gain) > self.limits.stall_timeout.mul_f64(self.jitter)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Region,
    Centre,
}
