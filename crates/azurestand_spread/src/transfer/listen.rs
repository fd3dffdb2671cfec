//! Who tells whom which chunks it holds.

use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};
use bytes::Bytes;

use super::Transfer;
use super::flight::Lane;
use super::peers::{Heard, Place};
use crate::bitmap::Bitmap;
use crate::limits::Policy;
use crate::message::Message;

const SUBSCRIPTION: Duration = Duration::from_secs(20);
const RENEWAL: Duration = Duration::from_secs(6);
const DECLINED: Duration = Duration::from_secs(5);
/// Fewer chunks in flight than this leave a host's link idle.
const IDLE_FLIGHTS: usize = 2;

/// How many more hosts an idle one listens to.
const WIDEN_BY: usize = 2;

const MAX_LISTENERS: usize = 128;

/// Versions that one host may subscribe to here.
const MAX_SUBSCRIPTIONS: usize = 32;

/// What an announcement needs beside its bitmap, in bytes.
const HEADER_BYTES: u64 = 96;

/// How much less often hosts of other regions are told.
const FAR_FACTOR: u32 = 5;

impl Transfer {
    /// Subscribes to the hosts whose chunks matter for each unfinished version.
    pub(crate) fn subscribe(&mut self, now: Moment) {
        self.listened = now;
        for index in 0..self.goals.len() {
            let goal = &self.goals[index];
            if goal.missing == 0 {
                continue;
            }
            let id = goal.id();
            for host in self.teachers(index, now) {
                let Some(neighbour) = self.peers.engage(&host) else {
                    continue;
                };
                let declined = neighbour.declined.get(&id);
                let last = neighbour.subscribed.get(&id);
                if declined.is_some_and(|until| *until > now) {
                    continue;
                }
                if last.is_some_and(|last| now.since(*last) < RENEWAL) {
                    continue;
                }
                neighbour.subscribed.insert(id, now);
                self.send(&host, Message::Subscribe { manifest: id });
            }
        }
    }

    fn teachers(&mut self, index: usize, now: Moment) -> Vec<HostName> {
        let goal = &self.goals[index];
        let (id, orders) = (goal.id(), &goal.orders);
        let mut hosts = Vec::new();
        if self.limits.policy == Policy::Ordered {
            if orders.centre.is_drawer() {
                hosts.extend(orders.centre.drawers.iter().cloned());
                hosts.extend(orders.region.drawers.iter().cloned());
            }
            if orders.region.is_drawer() {
                hosts.extend(orders.abroad.iter().cloned());
            }
        }
        hosts.sort();
        hosts.dedup();
        let fanout = self.limits.fanout + self.widen(index);
        match self.limits.policy {
            Policy::Ordered => {
                hosts.extend(self.sample(id, fanout, now, |place| place == Place::Centre));
                if self.is_stuck(index, now) {
                    hosts.extend(self.sample(id, 2, now, |place| place == Place::Region));
                    hosts.extend(self.sample(id, 2, now, |place| place == Place::Cross));
                }
            }
            Policy::Unordered => hosts.extend(self.sample(id, fanout, now, |_| true)),
            Policy::Origin => {}
        }
        hosts
    }

    /// Lets a host whose link idles listen to more hosts, a few more each time.
    fn widen(&mut self, index: usize) -> usize {
        let idle = self.flights.count(Lane::Near) < IDLE_FLIGHTS;
        let most = self.limits.fanout;
        let goal = &mut self.goals[index];
        if idle && goal.have.count() > 0 {
            goal.extra = (goal.extra + WIDEN_BY).min(most);
        }
        goal.extra
    }

    /// Keeps up to `count` hosts of a kind that are subscribed to already and fills up at random.
    fn sample<T>(&mut self, id: Digest, count: usize, now: Moment, test: T) -> Vec<HostName>
    where
        T: Fn(Place) -> bool,
    {
        let model = self.goals.iter().find(|goal| goal.id() == id);
        let Some(model) = model.map(|goal| goal.manifest.model().clone()) else {
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
            if !test(neighbour.place) || declined || !neighbour.peer.models.contains(&model) {
                continue;
            }
            let asked = neighbour.subscribed.get(&id);
            let fresh_ask = asked.is_some_and(|asked| now.since(*asked) < RENEWAL);
            if fresh_ask || neighbour.heard.contains_key(&id) && asked.is_some() {
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

    pub(crate) fn subscribed(&mut self, from: &HostName, manifest: Digest, now: Moment) {
        let listeners = self.peers.active();
        let count = listeners
            .filter(|neighbour| neighbour.listens.contains_key(&manifest))
            .count();
        let Some(neighbour) = self.peers.engage(from) else {
            return;
        };
        if count >= MAX_LISTENERS && !neighbour.listens.contains_key(&manifest) {
            return;
        }
        neighbour.listens.retain(|_, until| *until > now);
        let known = neighbour.listens.contains_key(&manifest);
        if known || neighbour.listens.len() < MAX_SUBSCRIPTIONS {
            neighbour.listens.insert(manifest, now + SUBSCRIPTION);
        }
        match self.goals.iter().position(|goal| goal.id() == manifest) {
            Some(index) => self.tell(index, std::slice::from_ref(from)),
            None => self.send(from, Message::Decline { manifest }),
        }
    }

    pub(crate) fn declined(&mut self, from: &HostName, manifest: Digest, now: Moment) {
        if let Some(neighbour) = self.peers.get_mut(from) {
            neighbour.subscribed.remove(&manifest);
            neighbour.declined.insert(manifest, now + DECLINED);
        }
    }

    /// Tells listeners what is held, as often as allowed; those of other
    /// regions less often, since a chunk takes longer to reach them.
    pub(crate) fn announce(&mut self, now: Moment) {
        let near = self.limits.announce;
        for index in 0..self.goals.len() {
            if self.goals[index].near.is_due(near, now) {
                self.tell_all(index, false, now);
            }
            if self.goals[index].far.is_due(near * FAR_FACTOR, now) {
                self.tell_all(index, true, now);
            }
        }
    }

    fn tell_all(&mut self, index: usize, far: bool, now: Moment) {
        if !self.control.ready(now) {
            return;
        }
        let goal = &mut self.goals[index];
        let bulletin = if far { &mut goal.far } else { &mut goal.near };
        bulletin.publish(now);
        let (id, length) = (goal.id(), goal.have.bytes().len() as u64);
        let listens = |until: &Moment| *until > now;
        let listeners = self.peers.active().filter(|neighbour| {
            let is_far = neighbour.place == Place::Cross;
            is_far == far && neighbour.listens.get(&id).is_some_and(listens)
        });
        let hosts: Vec<_> = listeners
            .map(|neighbour| neighbour.peer.host.clone())
            .collect();
        let bytes = hosts.len() as u64 * (length + HEADER_BYTES);
        self.control.take(bytes, now);
        self.tell(index, &hosts);
    }

    fn tell(&mut self, index: usize, hosts: &[HostName]) {
        self.sequence += 1;
        let goal = &self.goals[index];
        let message = Message::Have {
            manifest: goal.id(),
            sequence: self.sequence,
            bits: Bytes::copy_from_slice(goal.have.bytes()),
        };
        for host in hosts {
            self.send(host, message.clone());
        }
    }

    pub(crate) fn heard(
        &mut self,
        from: &HostName,
        manifest: Digest,
        sequence: u64,
        raw: &[u8],
        now: Moment,
    ) {
        let Some(goal) = self.goals.iter_mut().find(|goal| goal.id() == manifest) else {
            return;
        };
        let Some(neighbour) = self.peers.get_mut(from) else {
            return;
        };
        let old = neighbour.heard.get(&manifest);
        let late = old.is_some_and(|old| old.sequence >= sequence);
        if late || neighbour.muted > now {
            return;
        }
        let bits = Bitmap::read(raw, goal.len());
        let gained = goal
            .counts
            .replace(neighbour.place, old.map(|old| &old.bits), &bits);
        if gained && neighbour.place == Place::Cross {
            goal.offered = now;
        }
        if gained {
            goal.orders.note(from, now);
        }
        let heard = Heard { bits, sequence };
        neighbour.heard.insert(manifest, heard);
    }

    /// Forgets what a host said it holds, since it lied, was slow, or is gone.
    pub(crate) fn disbelieve(&mut self, host: &HostName) {
        let Some(neighbour) = self.peers.get_mut(host) else {
            return;
        };
        for goal in &mut self.goals {
            if let Some(heard) = neighbour.heard.remove(&goal.id()) {
                let none = Bitmap::new(goal.len());
                goal.counts
                    .replace(neighbour.place, Some(&heard.bits), &none);
            }
        }
        neighbour.heard.clear();
        neighbour.subscribed.clear();
    }

    /// Takes note that a host doesn't hold a chunk after all.
    pub(crate) fn correct(&mut self, host: &HostName, digest: Digest) {
        let Some(neighbour) = self.peers.get_mut(host) else {
            return;
        };
        for goal in &mut self.goals {
            let Some(index) = goal.place(digest) else {
                continue;
            };
            if let Some(heard) = neighbour.heard.get_mut(&goal.id()) {
                let mut bits = heard.bits.clone();
                bits.set(index, false);
                goal.counts
                    .replace(neighbour.place, Some(&heard.bits), &bits);
                heard.bits = bits;
            }
        }
    }
}
