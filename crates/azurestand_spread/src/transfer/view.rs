//! Applies the live view and derives the fetch orders from it.

use std::collections::BTreeMap;

use azurestand_types::{HostName, Moment, Region, rendezvous};

use super::Transfer;
use super::peers::{Locality, Neighbour};
use crate::event::{Peer, Source};

impl Transfer {
    /// Replaces the view; hosts that it lacks are removed.
    pub(crate) fn set_view(&mut self, view: Vec<Peer>, now: Moment) {
        self.has_view = true;
        let view: BTreeMap<_, _> = view
            .into_iter()
            .filter(|peer| peer.host != self.site.host)
            .map(|peer| (peer.host.clone(), peer))
            .collect();
        let gone: Vec<_> = self
            .peers
            .names()
            .filter(|host| !view.contains_key(*host))
            .cloned()
            .collect();
        for host in gone {
            self.remove_peer(&host);
        }
        for (host, peer) in view {
            self.update_peer(&host, peer);
        }
        self.reorder(now);
        self.subscribe(now);
    }

    pub(crate) fn update_peer(&mut self, host: &HostName, peer: Peer) {
        let known = self.peers.get(host).map(|known| known.peer.incarnation);
        match known {
            Some(known) if known > peer.incarnation => return,
            Some(known) if known < peer.incarnation => self.remove_peer(host),
            _ => {}
        }
        let locality = Locality::of(&self.site, &peer);
        match self.peers.get_mut(host) {
            Some(neighbour) if neighbour.locality == locality => neighbour.peer = peer,
            _ => {
                self.remove_peer(host);
                let tie_break = self.rng.u64(..);
                self.peers.insert(Neighbour::new(peer, locality, tie_break));
            }
        }
    }

    /// Removes a host, or an earlier incarnation of it, with all its state.
    fn remove_peer(&mut self, host: &HostName) {
        if self.peers.get(host).is_none() {
            return;
        }
        let source = Source::Peer(host.clone());
        for (digest, source) in self.fetches.select(|_, fetch| fetch.source == source) {
            self.abort(digest, &source);
        }
        self.discard_announced(host);
        self.uploads.remove_host(host);
        self.peers.remove(host);
    }

    /// Recomputes the orders of each version.
    pub(crate) fn reorder(&mut self, now: Moment) {
        for index in 0..self.versions.len() {
            self.reorder_version(index, now);
        }
        self.link_regions(now);
    }

    fn reorder_version(&mut self, index: usize, now: Moment) {
        let version = &mut self.versions[index];
        let model = version.manifest.model();
        let mut region = vec![self.site.host.clone()];
        let mut centre = vec![self.site.host.clone()];
        let mut remote: BTreeMap<Region, Vec<HostName>> = BTreeMap::new();
        for neighbour in self.peers.iter() {
            let host = &neighbour.peer.host;
            if !neighbour.peer.models.contains(model) {
                continue;
            }
            match neighbour.locality {
                Locality::Centre => {
                    region.push(host.clone());
                    centre.push(host.clone());
                }
                Locality::Region => region.push(host.clone()),
                Locality::Cross => {
                    let hosts = remote.entry(neighbour.peer.region.clone()).or_default();
                    hosts.push(host.clone());
                }
            }
        }
        let (own, count) = (&self.site.host, self.limits.designated_hosts);
        let manifest = version.manifest.clone();
        let orders = &mut version.orders;
        orders.region.update(&manifest, &region, own, count, now);
        orders.centre.update(&manifest, &centre, own, count, now);
        let key = *manifest.digest().as_bytes();
        let first = |hosts: &Vec<HostName>| -> Vec<HostName> {
            let order = rendezvous::order(&key, hosts);
            order.into_iter().take(count).cloned().collect()
        };
        orders.remote = remote.values().flat_map(first).collect();
        let mut regions: Vec<_> = remote.into_keys().collect();
        regions.push(self.site.region.clone());
        regions.sort();
        orders.set_regions(&manifest, regions, &self.site.region);
    }
}
