//! Subscriptions to announcements of held chunks, and the announcements.

use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};
use bytes::Bytes;

use super::Transfer;
use super::fetch::LinkKind;
use super::peers::{Announced, Locality};
use crate::bitmap::Bitmap;
use crate::limits::Policy;
use crate::message::Message;

const SUBSCRIPTION_TTL: Duration = Duration::from_secs(20);
const RENEW_INTERVAL: Duration = Duration::from_secs(6);
const DECLINE_TTL: Duration = Duration::from_secs(5);
/// With fewer chunks in flight than this a host's link is partly idle.
const IDLE_FETCHES: usize = 2;

/// How many more hosts a host with an idle link subscribes to at a time.
const WIDEN_BY: usize = 2;

const MAX_SUBSCRIBERS: usize = 128;

/// The most versions that one host may subscribe to here.
const MAX_SUBSCRIPTIONS: usize = 32;

/// The size of an announcement without its bitmap, in bytes.
const HEADER_BYTES: u64 = 96;

/// How much longer the interval of announcements to other regions is.
const FAR_FACTOR: u32 = 5;

impl Transfer {
    /// Subscribes to the hosts whose chunks are needed for each unfinished version.
    pub(crate) fn subscribe(&mut self, now: Moment) {
        self.subscribed_at = now;
        for index in 0..self.versions.len() {
            let version = &self.versions[index];
            if version.missing == 0 {
                continue;
            }
            let id = version.id();
            for host in self.providers(index, now) {
                let Some(neighbour) = self.peers.activate(&host) else {
                    continue;
                };
                let declined = neighbour.declined.get(&id);
                let last = neighbour.outbound_subs.get(&id);
                if declined.is_some_and(|until| *until > now) {
                    continue;
                }
                if last.is_some_and(|last| now.since(*last) < RENEW_INTERVAL) {
                    continue;
                }
                neighbour.outbound_subs.insert(id, now);
                self.send(&host, Message::Subscribe { manifest: id });
            }
        }
    }

    fn providers(&mut self, index: usize, now: Moment) -> Vec<HostName> {
        let version = &self.versions[index];
        let (id, orders) = (version.id(), &version.orders);
        let mut hosts = Vec::new();
        if self.limits.policy == Policy::Ordered {
            if orders.centre.is_designated() {
                hosts.extend(orders.centre.designated.iter().cloned());
                hosts.extend(orders.region.designated.iter().cloned());
            }
            if orders.region.is_designated() {
                hosts.extend(orders.remote.iter().cloned());
            }
        }
        hosts.sort();
        hosts.dedup();
        let fanout = self.limits.fanout + self.widen(index);
        match self.limits.policy {
            Policy::Ordered => {
                hosts.extend(self.sample(id, fanout, now, |locality| locality == Locality::Centre));
                if self.is_stuck(index, now) {
                    hosts.extend(self.sample(id, 2, now, |locality| locality == Locality::Region));
                    hosts.extend(self.sample(id, 2, now, |locality| locality == Locality::Cross));
                }
            }
            Policy::Unordered => hosts.extend(self.sample(id, fanout, now, |_| true)),
            Policy::Origin => {}
        }
        hosts
    }

    /// Subscribes a host with an idle link to more hosts, a few more each time.
    fn widen(&mut self, index: usize) -> usize {
        let idle = self.fetches.count(LinkKind::Near) < IDLE_FETCHES;
        let max = self.limits.fanout;
        let version = &mut self.versions[index];
        if idle && version.have.count() > 0 {
            version.extra_peers = (version.extra_peers + WIDEN_BY).min(max);
        }
        version.extra_peers
    }

    /// Keeps up to `2 * count` hosts of a kind that are already subscribed to, and adds
    /// random ones up to `count`.
    fn sample<T>(&mut self, id: Digest, count: usize, now: Moment, test: T) -> Vec<HostName>
    where
        T: Fn(Locality) -> bool,
    {
        let model = self.versions.iter().find(|version| version.id() == id);
        let Some(model) = model.map(|version| version.manifest.model().clone()) else {
            return Vec::new();
        };
        let mut kept = Vec::new();
        let mut fresh = Vec::new();
        for neighbour in self.peers.iter() {
            let host = &neighbour.peer.host;
            let declined = neighbour
                .declined
                .get(&id)
                .is_some_and(|until| *until > now);
            if !test(neighbour.locality) || declined || !neighbour.peer.models.contains(&model) {
                continue;
            }
            let last = neighbour.outbound_subs.get(&id);
            let is_recent = last.is_some_and(|last| now.since(*last) < RENEW_INTERVAL);
            if is_recent || neighbour.announced.contains_key(&id) && last.is_some() {
                kept.push(host.clone());
            } else {
                fresh.push(host.clone());
            }
        }
        kept.truncate(2 * count);
        while kept.len() < count && !fresh.is_empty() {
            kept.push(fresh.swap_remove(self.rng.usize(..fresh.len())));
        }
        kept
    }

    pub(crate) fn handle_subscribe(&mut self, from: &HostName, manifest: Digest, now: Moment) {
        let subscribers = self.peers.active();
        let count = subscribers
            .filter(|neighbour| neighbour.inbound_subs.contains_key(&manifest))
            .count();
        let Some(neighbour) = self.peers.activate(from) else {
            return;
        };
        if count >= MAX_SUBSCRIBERS && !neighbour.inbound_subs.contains_key(&manifest) {
            return;
        }
        neighbour.inbound_subs.retain(|_, until| *until > now);
        let known = neighbour.inbound_subs.contains_key(&manifest);
        if known || neighbour.inbound_subs.len() < MAX_SUBSCRIPTIONS {
            neighbour
                .inbound_subs
                .insert(manifest, now + SUBSCRIPTION_TTL);
        }
        match self
            .versions
            .iter()
            .position(|version| version.id() == manifest)
        {
            Some(index) => self.send_announcement(index, std::slice::from_ref(from)),
            None => self.send(from, Message::Decline { manifest }),
        }
    }

    pub(crate) fn handle_decline(&mut self, from: &HostName, manifest: Digest, now: Moment) {
        if let Some(neighbour) = self.peers.get_mut(from) {
            neighbour.outbound_subs.remove(&manifest);
            neighbour.declined.insert(manifest, now + DECLINE_TTL);
        }
    }

    /// Announces the held chunks to subscribers as often as allowed, and less often to
    /// other regions, since a chunk takes longer to get there.
    pub(crate) fn announce(&mut self, now: Moment) {
        let near = self.limits.announce_interval;
        for index in 0..self.versions.len() {
            if self.versions[index].near.is_due(near, now) {
                self.announce_group(index, false, now);
            }
            if self.versions[index].far.is_due(near * FAR_FACTOR, now) {
                self.announce_group(index, true, now);
            }
        }
    }

    fn announce_group(&mut self, index: usize, far: bool, now: Moment) {
        if !self.control.is_ready(now) {
            return;
        }
        let version = &mut self.versions[index];
        let announcements = if far {
            &mut version.far
        } else {
            &mut version.near
        };
        announcements.record_sent(now);
        let (id, length) = (version.id(), version.have.bytes().len() as u64);
        let is_active = |until: &Moment| *until > now;
        let subscribers = self.peers.active().filter(|neighbour| {
            let is_far = neighbour.locality == Locality::Cross;
            is_far == far && neighbour.inbound_subs.get(&id).is_some_and(is_active)
        });
        let hosts: Vec<_> = subscribers
            .map(|neighbour| neighbour.peer.host.clone())
            .collect();
        let bytes = hosts.len() as u64 * (length + HEADER_BYTES);
        self.control.take(bytes, now);
        self.send_announcement(index, &hosts);
    }

    fn send_announcement(&mut self, index: usize, hosts: &[HostName]) {
        self.sequence += 1;
        let version = &self.versions[index];
        let message = Message::Announce {
            manifest: version.id(),
            sequence: self.sequence,
            bits: Bytes::copy_from_slice(version.have.bytes()),
        };
        for host in hosts {
            self.send(host, message.clone());
        }
    }

    pub(crate) fn handle_announce(
        &mut self,
        from: &HostName,
        manifest: Digest,
        sequence: u64,
        raw: &[u8],
        now: Moment,
    ) {
        let Some(version) = self
            .versions
            .iter_mut()
            .find(|version| version.id() == manifest)
        else {
            return;
        };
        let Some(neighbour) = self.peers.get_mut(from) else {
            return;
        };
        let old = neighbour.announced.get(&manifest);
        let late = old.is_some_and(|old| old.sequence >= sequence);
        if late || neighbour.ignored_until > now {
            return;
        }
        let bits = Bitmap::from_bytes(raw, version.len());
        let gained = version
            .counts
            .replace(neighbour.locality, old.map(|old| &old.bits), &bits);
        if gained && neighbour.locality == Locality::Cross {
            version.last_offer = now;
        }
        if gained {
            version.orders.record_gain(from, now);
        }
        let announced = Announced { bits, sequence };
        neighbour.announced.insert(manifest, announced);
    }

    /// Discards what a host announced, since it sent corrupt chunks, was slow, or is
    /// gone.
    pub(crate) fn discard_announced(&mut self, host: &HostName) {
        let Some(neighbour) = self.peers.get_mut(host) else {
            return;
        };
        for version in &mut self.versions {
            if let Some(announced) = neighbour.announced.remove(&version.id()) {
                let none = Bitmap::new(version.len());
                version
                    .counts
                    .replace(neighbour.locality, Some(&announced.bits), &none);
            }
        }
        neighbour.announced.clear();
        neighbour.outbound_subs.clear();
    }

    /// Records that a host doesn't hold a chunk that it announced.
    pub(crate) fn clear_announced(&mut self, host: &HostName, digest: Digest) {
        let Some(neighbour) = self.peers.get_mut(host) else {
            return;
        };
        for version in &mut self.versions {
            let Some(index) = version.index_of(digest) else {
                continue;
            };
            if let Some(announced) = neighbour.announced.get_mut(&version.id()) {
                let mut bits = announced.bits.clone();
                bits.set(index, false);
                version
                    .counts
                    .replace(neighbour.locality, Some(&announced.bits), &bits);
                announced.bits = bits;
            }
        }
    }
}
