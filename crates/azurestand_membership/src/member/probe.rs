//! Failure detection inside a data centre.
//!
//! A member probes only peers of its own data centre. When another data centre is
//! unreachable, it is so as a whole; its members keep the state that their own data
//! centre last reported.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use azurestand_types::{HostName, Moment};

use super::Member;
use crate::gossip::Body;
use crate::record::{Health, Record};

/// The maximum number of probes in progress on behalf of other members.
const MAX_FORWARDED: usize = 64;

/// The probes in progress.
#[derive(Debug)]
pub(super) struct Probes {
    number: u64,
    /// Peers still to be probed in this round.
    queue: Vec<HostName>,
    pending: BTreeMap<HostName, Probe>,
    forwarded: BTreeMap<u64, ForwardedProbe>,
    suspects: BTreeSet<HostName>,
}

#[derive(Debug)]
struct Probe {
    number: u64,
    sent: Moment,
    relayed: bool,
}

/// A probe on behalf of another member.
#[derive(Debug)]
struct ForwardedProbe {
    origin: SocketAddr,
    number: u64,
}

impl Probes {
    /// Numbers start at a random point, so that an acknowledgement for an earlier
    /// process under the same name matches no probe.
    pub(super) fn new(number: u64) -> Self {
        Self {
            number: number >> 1,
            queue: Vec::new(),
            pending: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            suspects: BTreeSet::new(),
        }
    }

    /// Drops the probes in progress, whose answers may have come while the process was suspended.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

impl Member {
    pub(super) fn probe_tick(&mut self) {
        if self.now >= self.timers.probe {
            self.timers.probe = self.now + self.limits.probe_every;
            if let Some(peer) = self.next_peer() {
                self.probe(&peer);
            }
        }
        self.retry_tick();
        self.escalate_probes();
        self.expire_suspects();
    }

    /// The next peer in shuffled order; each peer is probed once per round.
    fn next_peer(&mut self) -> Option<Record> {
        if self.probes.queue.is_empty() {
            let peers = self.local_peers(usize::MAX);
            let mut hosts: Vec<_> = peers.into_iter().map(|peer| peer.identity.host).collect();
            self.random.shuffle(&mut hosts);
            self.probes.queue = hosts;
        }
        while let Some(host) = self.probes.queue.pop() {
            let record = self.view.get(&host).map(Record::without_status);
            let present = record.filter(|record| record.state().is_present());
            if present.is_some() {
                return present;
            }
        }
        None
    }

    fn probe(&mut self, peer: &Record) {
        let number = self.probes.next();
        let probe = Probe {
            number,
            sent: self.now,
            relayed: false,
        };
        self.probes
            .pending
            .insert(peer.identity.host.clone(), probe);
        self.send_with_updates(peer, Body::Ping(number));
    }

    /// Periodically pings a peer that was declared dead, so that the halves of a
    /// partitioned data centre merge again.
    fn retry_tick(&mut self) {
        if self.now < self.timers.retry {
            return;
        }
        self.timers.retry = self.now + self.limits.sync_every;
        let centre = &self.me.identity.centre;
        let dead: Vec<_> = self
            .view
            .members_of(centre)
            .filter(|record| record.state() == crate::State::Dead)
            .map(Record::without_status)
            .collect();
        if let Some(record) = self.random.choice(&dead) {
            let number = self.probes.next();
            self.send_with_updates(record, Body::Ping(number));
        }
    }

    /// Requests indirect probes of peers that didn't answer; suspects those that still don't.
    fn escalate_probes(&mut self) {
        let (direct, relay) = (
            self.limits.direct_probe_timeout,
            self.limits.indirect_probe_timeout,
        );
        let age = |probe: &Probe| self.now.since(probe.sent);
        let due = |probe: &Probe| !probe.relayed && age(probe) >= direct;
        let pending = &self.probes.pending;
        let late: Vec<_> = pending
            .iter()
            .filter(|(_, probe)| due(probe))
            .map(|(host, _)| host.clone())
            .collect();
        let failed: Vec<_> = pending
            .iter()
            .filter(|(_, probe)| age(probe) >= direct + relay)
            .map(|(host, _)| host.clone())
            .collect();
        for host in late {
            self.ask_relays(&host);
        }
        for host in failed {
            self.probes.pending.remove(&host);
            self.suspect(&host);
        }
    }

    fn ask_relays(&mut self, host: &HostName) {
        let Some(address) = self.view.get(host).map(|record| record.identity.address) else {
            return;
        };
        let Some(probe) = self.probes.pending.get_mut(host) else {
            return;
        };
        probe.relayed = true;
        let number = probe.number;
        let candidates = self.local_peers(self.limits.indirect_probes + 1);
        let others = candidates.iter().filter(|peer| peer.identity.host != *host);
        for relay in others.take(self.limits.indirect_probes) {
            self.send_with_updates(relay, Body::Relay { number, address });
        }
    }

    /// Pings `address` for `origin`; the acknowledgement is forwarded under `number`.
    pub(super) fn relay(&mut self, origin: &Record, number: u64, address: SocketAddr) {
        let own = self.probes.next();
        let forward = ForwardedProbe {
            origin: origin.identity.address,
            number,
        };
        self.probes.forwarded.insert(own, forward);
        while self.probes.forwarded.len() > MAX_FORWARDED {
            self.probes.forwarded.pop_first();
        }
        let ping = self.message(Body::Ping(own));
        self.send(address, ping);
    }

    pub(super) fn acknowledged(&mut self, number: u64) {
        self.probes
            .pending
            .retain(|_, probe| probe.number != number);
        if let Some(forward) = self.probes.forwarded.remove(&number) {
            let ack = self.message(Body::Ack(forward.number));
            self.send(forward.origin, ack);
        }
    }

    /// Direct contact with a peer, a message or a connection, answers a pending probe of it.
    pub(super) fn probe_answered(&mut self, host: &HostName) {
        self.probes.pending.remove(host);
    }

    /// Immediately probes a peer whose connection broke.
    pub(super) fn connection_lost(&mut self, host: &HostName) {
        let record = self.view.get(host).map(Record::without_status);
        let local = |record: &Record| record.identity.centre == self.me.identity.centre;
        let waits = self.probes.pending.contains_key(host);
        let due = record.filter(|record| local(record) && record.state().is_present() && !waits);
        if let Some(record) = due {
            self.probe(&record);
        }
    }

    fn suspect(&mut self, host: &HostName) {
        self.set_health(host, Health::Suspect);
        // The suspect itself is notified first, so that it can refute the suspicion.
        if let Some(record) = self.view.get(host).map(Record::without_status) {
            self.send_with_updates(&record, Body::Push);
        }
    }

    fn set_health(&mut self, host: &HostName, health: Health) {
        let before = self.reported_state(host);
        if self.view.set_health(self.now, host, health) {
            self.queue_update(host);
            self.report_change(host, before.as_ref());
        }
    }

    /// Tracks a suspect of this data centre until it refutes or times out.
    pub(super) fn track_suspect(&mut self, host: &HostName) {
        let local = |record: &&Record| record.identity.centre == self.me.identity.centre;
        if self.view.get(host).filter(local).is_some_and(is_suspect) {
            self.probes.suspects.insert(host.clone());
        }
    }

    /// Declares suspects dead that didn't refute in time.
    fn expire_suspects(&mut self) {
        let resumed = self.timers.resumed;
        let limit = self.limits.suspect_timeout;
        let mut dead = Vec::new();
        self.probes.suspects.retain(|host| {
            let entry = self.view.entry(host);
            let Some(entry) = entry.filter(|entry| is_suspect(&entry.record)) else {
                return false;
            };
            if self.now.since(entry.changed.max(resumed)) >= limit {
                dead.push(host.clone());
            }
            true
        });
        for host in dead {
            self.set_health(&host, Health::Dead);
        }
    }
}

fn is_suspect(record: &Record) -> bool {
    record.health == Health::Suspect && record.state().is_present()
}
