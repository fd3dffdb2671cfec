//! The live view, and the drawing order that follows from it.

use std::collections::BTreeMap;

use azurestand_types::{HostName, Moment, Region, rendezvous};

use super::Transfer;
use super::peers::{Neighbour, Place};
use crate::event::{Peer, Source};

impl Transfer {
    /// Takes over a view; hosts that it lacks are forgotten.
    pub(crate) fn see(&mut self, view: Vec<Peer>, now: Moment) {
        self.viewed = true;
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
            self.forget(&host);
        }
        for (host, peer) in view {
            self.meet(&host, peer);
        }
        self.reorder(now);
        self.subscribe(now);
    }

    pub(crate) fn meet(&mut self, host: &HostName, peer: Peer) {
        let known = self.peers.get(host).map(|known| known.peer.incarnation);
        match known {
            Some(known) if known > peer.incarnation => return,
            Some(known) if known < peer.incarnation => self.forget(host),
            _ => {}
        }
        let place = Place::of(&self.site, &peer);
        match self.peers.get_mut(host) {
            Some(neighbour) if neighbour.place == place => neighbour.peer = peer,
            _ => {
                self.forget(host);
                let mix = self.rng.u64(..);
                self.peers.insert(Neighbour::new(peer, place, mix));
            }
        }
    }

    /// Removes a host, or an earlier life of it, and all that hung on it.
    fn forget(&mut self, host: &HostName) {
        if self.peers.get(host).is_none() {
            return;
        }
        let source = Source::Peer(host.clone());
        for (digest, source) in self.flights.select(|_, flight| flight.source == source) {
            self.abort(digest, &source);
        }
        self.disbelieve(host);
        self.uploads.forget(host);
        self.peers.remove(host);
    }

    /// Works out the drawing order of each version afresh.
    pub(crate) fn reorder(&mut self, now: Moment) {
        for index in 0..self.goals.len() {
            self.reorder_goal(index, now);
        }
        self.link_regions(now);
    }

    fn reorder_goal(&mut self, index: usize, now: Moment) {
        let goal = &mut self.goals[index];
        let model = goal.manifest.model();
        let mut region = vec![self.site.host.clone()];
        let mut centre = vec![self.site.host.clone()];
        let mut abroad: BTreeMap<Region, Vec<HostName>> = BTreeMap::new();
        for neighbour in self.peers.iter() {
            let host = &neighbour.peer.host;
            if !neighbour.peer.models.contains(model) {
                continue;
            }
            match neighbour.place {
                Place::Centre => {
                    region.push(host.clone());
                    centre.push(host.clone());
                }
                Place::Region => region.push(host.clone()),
                Place::Cross => {
                    let hosts = abroad.entry(neighbour.peer.region.clone()).or_default();
                    hosts.push(host.clone());
                }
            }
        }
        let (own, count) = (&self.site.host, self.limits.drawers);
        let manifest = goal.manifest.clone();
        let orders = &mut goal.orders;
        orders.region.update(&manifest, &region, own, count, now);
        orders.centre.update(&manifest, &centre, own, count, now);
        let key = *manifest.digest().as_bytes();
        let first = |hosts: &Vec<HostName>| -> Vec<HostName> {
            let order = rendezvous::order(&key, hosts);
            order.into_iter().take(count).cloned().collect()
        };
        orders.abroad = abroad.values().flat_map(first).collect();
        let mut regions: Vec<_> = abroad.into_keys().collect();
        regions.push(self.site.region.clone());
        regions.sort();
        orders.set_regions(&manifest, regions, &self.site.region);
    }
}
