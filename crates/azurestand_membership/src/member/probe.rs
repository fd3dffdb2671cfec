//! Failure detection inside a data centre.
//!
//! A member judges only peers of its own data centre. What another data centre
//! is cut off from is that data centre as a whole; its members keep the state
//! that their own data centre last told.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use azurestand_types::{HostName, Moment};

use super::Member;
use crate::gossip::Body;
use crate::record::{Health, Record};

/// How many probes on behalf of others are remembered.
const MAX_ERRANDS: usize = 64;

/// The probes under way.
#[derive(Debug)]
pub(super) struct Probes {
    number: u64,
    /// Peers still to be probed in this round.
    queue: Vec<HostName>,
    pending: BTreeMap<HostName, Probe>,
    errands: BTreeMap<u64, Errand>,
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
struct Errand {
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
            errands: BTreeMap::new(),
            suspects: BTreeSet::new(),
        }
    }

    /// Drops the probes under way, whose answers may have come while the process stood still.
    pub(super) fn forget(&mut self) {
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
        self.widen_probes();
        self.expire_suspects();
    }

    /// The next peer of a shuffled round, so that each is probed once a round.
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
        self.send_news(peer, Body::Ping(number));
    }

    /// Now and then pings a peer that was declared dead, so that two halves of a
    /// data centre that lost each other meet again.
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
            self.send_news(record, Body::Ping(number));
        }
    }

    /// Asks others to probe peers that did not answer; suspects those that still don't.
    fn widen_probes(&mut self) {
        let (direct, relay) = (self.limits.direct_wait, self.limits.relay_wait);
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
        let helpers = self.local_peers(self.limits.relays + 1);
        let others = helpers.iter().filter(|peer| peer.identity.host != *host);
        for helper in others.take(self.limits.relays) {
            self.send_news(helper, Body::Relay { number, address });
        }
    }

    /// Pings `address` for `origin`; the acknowledgement is passed on under `number`.
    pub(super) fn relay(&mut self, origin: &Record, number: u64, address: SocketAddr) {
        let own = self.probes.next();
        let errand = Errand {
            origin: origin.identity.address,
            number,
        };
        self.probes.errands.insert(own, errand);
        while self.probes.errands.len() > MAX_ERRANDS {
            self.probes.errands.pop_first();
        }
        let ping = self.message(Body::Ping(own));
        self.send(address, ping);
    }

    pub(super) fn acknowledged(&mut self, number: u64) {
        self.probes
            .pending
            .retain(|_, probe| probe.number != number);
        if let Some(errand) = self.probes.errands.remove(&number) {
            let ack = self.message(Body::Ack(errand.number));
            self.send(errand.origin, ack);
        }
    }

    /// Takes direct word from a peer as the answer to a probe of it.
    pub(super) fn saw(&mut self, host: &HostName) {
        self.probes.pending.remove(host);
    }

    /// Probes a peer at once whose connection broke.
    pub(super) fn lost(&mut self, host: &HostName) {
        let record = self.view.get(host).map(Record::without_status);
        let local = |record: &Record| record.identity.centre == self.me.identity.centre;
        let waits = self.probes.pending.contains_key(host);
        let due = record.filter(|record| local(record) && record.state().is_present() && !waits);
        if let Some(record) = due {
            self.probe(&record);
        }
    }

    fn suspect(&mut self, host: &HostName) {
        self.judge(host, Health::Suspect);
        // The suspect itself hears of it first, so that it can refute.
        if let Some(record) = self.view.get(host).map(Record::without_status) {
            self.send_news(&record, Body::Push);
        }
    }

    fn judge(&mut self, host: &HostName, health: Health) {
        let before = self.condition(host);
        if self.view.judge(self.now, host, health) {
            self.spread(host);
            self.report_change(host, before.as_ref());
        }
    }

    /// Remembers a suspect of the own data centre, whose time to refute runs out.
    pub(super) fn watch_suspect(&mut self, host: &HostName) {
        let local = |record: &&Record| record.identity.centre == self.me.identity.centre;
        if self.view.get(host).filter(local).is_some_and(is_suspect) {
            self.probes.suspects.insert(host.clone());
        }
    }

    /// Declares those dead that did not refute in time.
    fn expire_suspects(&mut self) {
        let resumed = self.timers.resumed;
        let limit = self.limits.suspect_for;
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
            self.judge(&host, Health::Dead);
        }
    }
}

fn is_suspect(record: &Record) -> bool {
    record.health == Health::Suspect && record.state().is_present()
}
