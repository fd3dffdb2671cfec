//! Builds messages and chooses their receivers.

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, Moment};

use super::Member;
use crate::gossip::{Body, Gossip, Heard, record_bytes};
use crate::record::{Record, Status};
use crate::{Action, Role};

/// How many seeds are contacted at once while isolated.
const SEED_CONTACTS: usize = 3;

/// How many peers get a pushed membership change at once.
const PUSH_FAN_OUT: usize = 3;

/// How often a change is sent, as a multiple of the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 2;

/// How long a change is sent; anti-entropy delivers it to members that missed it.
const RETRANSMIT_FOR: Duration = Duration::from_secs(10);

/// How often a member that knows its peers still contacts a seed, so that partitioned
/// views merge again.
const CONTACT_PAUSE: Duration = Duration::from_secs(30);

/// How often a member without peers or without a document contacts seeds.
const ISOLATED_PAUSE: Duration = Duration::from_secs(1);

/// A lower bound on the size of a record.
const LEAST_RECORD_BYTES: usize = 30;

/// Bytes reserved in a packet for the header and the body.
const HEADER_BYTES: usize = 300;

/// A change that is being disseminated.
#[derive(Debug)]
pub(super) struct Update {
    /// How often it was sent to members of this data centre.
    pub(super) sent: u32,
    pub(super) since: Moment,
}

impl Update {
    pub(super) fn new(since: Moment) -> Self {
        Self { sent: 0, since }
    }
}

impl Member {
    /// A message with the common header and no records.
    pub(super) fn message(&self, body: Body) -> Gossip {
        let mut sender = self.me.clone();
        sender.status = Status::default();
        let limit = self.limits.centre_silence_timeout * 2;
        let heard = |(centre, moment): (&DataCentre, _)| Heard {
            centre: centre.clone(),
            age: self.now.since(moment),
        };
        let mine = &self.me.identity.centre;
        Gossip {
            sender,
            stamp: self.stamp(),
            store_age: self.document.store_age(self.now),
            heard: self
                .view
                .centres()
                .filter(|(centre, _)| *centre != mine)
                .map(heard)
                .filter(|heard| heard.age < limit)
                .collect(),
            records: Vec::new(),
            body,
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, gossip: Gossip) {
        let gossip = Box::new(gossip);
        self.out.push(Action::Send { to, gossip });
    }

    /// Sends a message with as many pending updates as fit.
    pub(super) fn send_with_updates(&mut self, to: &Record, body: Body) {
        let mut gossip = self.message(body);
        gossip.records = self.pending_records(to);
        self.send(to.identity.address, gossip);
    }

    /// The receiver's own record if it is suspected or declared dead, then the least-sent changes.
    fn pending_records(&mut self, to: &Record) -> Vec<Record> {
        let local = to.identity.centre == self.me.identity.centre;
        let suspected = self
            .view
            .get(&to.identity.host)
            .filter(|r| r.needs_refutation());
        let mut records: Vec<_> = suspected.map(Record::without_status).into_iter().collect();
        let mut room = self.limits.packet_bytes.saturating_sub(HEADER_BYTES);
        for host in self.least_sent(&to.identity.host) {
            let Some(record) = self.view.get(&host) else {
                self.updates.remove(&host);
                continue;
            };
            let size = record_bytes(record, false);
            if size > room {
                break;
            }
            room -= size;
            records.push(record.without_status());
            if let Some(update) = self.updates.get_mut(&host).filter(|_| local) {
                update.sent += 1;
            }
        }
        self.expire_updates();
        records
    }

    fn least_sent(&self, receiver: &HostName) -> Vec<HostName> {
        let mut ranked: Vec<_> = self
            .updates
            .iter()
            .filter(|(host, _)| *host != receiver)
            .map(|(host, update)| (update.sent, host))
            .collect();
        ranked.sort_by_key(|(sent, _)| *sent);
        let most = self.limits.packet_bytes / LEAST_RECORD_BYTES;
        let least_sent = ranked.into_iter().take(most);
        least_sent.map(|(_, host)| host.clone()).collect()
    }

    /// Drops the changes that were sent often enough or for long enough.
    fn expire_updates(&mut self) {
        let rounds = usize::BITS - self.view.entries().len().leading_zeros();
        let limit = RETRANSMIT_FACTOR * rounds;
        let now = self.now;
        let active =
            |update: &mut Update| update.sent < limit && now.since(update.since) < RETRANSMIT_FOR;
        self.updates.retain(|_, update| active(update));
    }

    /// Up to `count` random present members of this data centre, except this one.
    pub(super) fn local_peers(&mut self, count: usize) -> Vec<Record> {
        let me = &self.me.identity;
        let mut hosts: Vec<_> = self.view.hosts_of(&me.centre).iter().collect();
        let mut peers = Vec::new();
        while peers.len() < count && !hosts.is_empty() {
            let host = hosts.swap_remove(self.random.usize(..hosts.len()));
            let present = |record: &&Record| *host != me.host && record.state().is_present();
            let record = self.view.get(host).filter(present);
            peers.extend(record.map(Record::without_status));
        }
        peers
    }

    /// Pushes pending membership changes to a few peers.
    pub(super) fn push_updates(&mut self) {
        for peer in self.local_peers(PUSH_FAN_OUT) {
            self.send_with_updates(&peer, Body::Push);
        }
    }

    /// Pushes this member's record to peers and hubs immediately.
    pub(super) fn push_self(&mut self) {
        let mut peers = self.local_peers(self.limits.fan_out);
        peers.extend(self.hub_records());
        for peer in peers {
            let mut gossip = self.message(Body::Push);
            gossip.sender.status = self.me.status.clone();
            self.send(peer.identity.address, gossip);
        }
    }

    /// Contacts seeds: often while without peers or a document, rarely afterwards.
    pub(super) fn contact_seeds(&mut self) {
        if self.now < self.timers.contact {
            return;
        }
        let isolated = self.local_peers(1).is_empty() || self.stamp().is_none();
        let (count, pause) = if isolated {
            (SEED_CONTACTS, ISOLATED_PAUSE)
        } else {
            (1, CONTACT_PAUSE)
        };
        self.timers.contact = self.now + pause / 2 + self.jitter(pause);
        let me = self.me.identity.address;
        let known = self.seeds.iter().chain(&self.listed);
        let contacts: Vec<_> = known.filter(|contact| **contact != me).copied().collect();
        for contact in self.random.choose_multiple(contacts, count) {
            let digest = self.digest(self.me.identity.role == Role::Entry);
            let gossip = self.message(digest);
            self.send(contact, gossip);
        }
    }
}
