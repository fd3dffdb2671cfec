//! Builds messages and chooses who gets them.

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_types::{DataCentre, HostName, Moment};

use super::Member;
use crate::gossip::{Body, Gossip, Heard, record_bytes};
use crate::record::{Record, Status};
use crate::{Action, Role};

/// How many seeds are greeted at once.
const GREETED: usize = 3;

/// How many peers get a pushed membership change at once.
const PUSH_FAN_OUT: usize = 3;

/// How often a change is passed on, as a multiple of the logarithm of the members.
const SPREAD_FACTOR: u32 = 2;

/// How long a change is passed on; anti-entropy carries it to those that missed it.
const SPREAD_FOR: Duration = Duration::from_secs(10);

/// How often a member that knows its peers still greets a seed, so that views
/// that lost each other meet again.
const GREET_PAUSE: Duration = Duration::from_secs(30);

/// How often a member greets that is alone or has no document.
const LONELY_PAUSE: Duration = Duration::from_secs(1);

/// No record is smaller than this.
const LEAST_RECORD_BYTES: usize = 30;

/// Bytes kept free in a packet for the header and the body.
const HEADER_BYTES: usize = 300;

/// A change that is being passed on.
#[derive(Debug)]
pub(super) struct Hot {
    /// How often it was passed on to members of the own data centre.
    pub(super) sent: u32,
    pub(super) since: Moment,
}

impl Hot {
    pub(super) fn new(since: Moment) -> Self {
        Self { sent: 0, since }
    }
}

impl Member {
    /// A message with the header that every message carries, and no records.
    pub(super) fn message(&self, body: Body) -> Gossip {
        let mut sender = self.me.clone();
        sender.status = Status::default();
        let limit = self.limits.quiet_for * 2;
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

    /// Sends a message that also carries as much news as fits.
    pub(super) fn send_news(&mut self, to: &Record, body: Body) {
        let mut gossip = self.message(body);
        gossip.records = self.news(to);
        self.send(to.identity.address, gossip);
    }

    /// The record of the receiver when it is doubted, then the changes passed on least.
    fn news(&mut self, to: &Record) -> Vec<Record> {
        let local = to.identity.centre == self.me.identity.centre;
        let doubted = self.view.get(&to.identity.host).filter(|r| r.is_doubted());
        let mut records: Vec<_> = doubted.map(Record::without_status).into_iter().collect();
        let mut room = self.limits.packet_bytes.saturating_sub(HEADER_BYTES);
        for host in self.hottest(&to.identity.host) {
            let Some(record) = self.view.get(&host) else {
                self.hot.remove(&host);
                continue;
            };
            let size = record_bytes(record, false);
            if size > room {
                break;
            }
            room -= size;
            records.push(record.without_status());
            if let Some(hot) = self.hot.get_mut(&host).filter(|_| local) {
                hot.sent += 1;
            }
        }
        self.cool();
        records
    }

    fn hottest(&self, receiver: &HostName) -> Vec<HostName> {
        let mut ranked: Vec<_> = self
            .hot
            .iter()
            .filter(|(host, _)| *host != receiver)
            .map(|(host, hot)| (hot.sent, host))
            .collect();
        ranked.sort_by_key(|(sent, _)| *sent);
        let most = self.limits.packet_bytes / LEAST_RECORD_BYTES;
        let hottest = ranked.into_iter().take(most);
        hottest.map(|(_, host)| host.clone()).collect()
    }

    /// Drops the changes that were passed on often enough.
    fn cool(&mut self) {
        let rounds = usize::BITS - self.view.entries().len().leading_zeros();
        let limit = SPREAD_FACTOR * rounds;
        let now = self.now;
        let warm = |hot: &mut Hot| hot.sent < limit && now.since(hot.since) < SPREAD_FOR;
        self.hot.retain(|_, hot| warm(hot));
    }

    /// Up to `count` random present members of the own data centre.
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

    /// Pushes fresh membership changes to a few peers.
    pub(super) fn push_news(&mut self) {
        for peer in self.local_peers(PUSH_FAN_OUT) {
            self.send_news(&peer, Body::Push);
        }
    }

    /// Pushes the own record to peers and hubs at once.
    pub(super) fn push_self(&mut self) {
        let mut peers = self.local_peers(self.limits.fan_out);
        peers.extend(self.hub_records());
        for peer in peers {
            let mut gossip = self.message(Body::Push);
            gossip.sender.status = self.me.status.clone();
            self.send(peer.identity.address, gossip);
        }
    }

    /// Greets seeds: often while alone or without a document, and now and then later.
    pub(super) fn greet(&mut self) {
        if self.now < self.timers.greet {
            return;
        }
        let lonely = self.local_peers(1).is_empty() || self.stamp().is_none();
        let (count, pause) = if lonely {
            (GREETED, LONELY_PAUSE)
        } else {
            (1, GREET_PAUSE)
        };
        self.timers.greet = self.now + pause / 2 + self.jitter(pause);
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
