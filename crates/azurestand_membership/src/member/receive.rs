//! Takes in a message: first the header that all carry, then the body.

use azurestand_types::HostName;

use super::Member;
use crate::gossip::{Body, Gossip};
use crate::record::{Health, Record};
use crate::view::Merge;
use crate::{Note, State};

/// How many outdated records of one message are answered with newer ones.
const MAX_CORRECTIONS: usize = 8;

impl Member {
    pub(super) fn receive(&mut self, gossip: Gossip) {
        let sender = gossip.sender.clone();
        if !self.admit(&sender) {
            return;
        }
        self.take_header(&gossip);
        let corrections = self.take_records(&gossip.records, &sender);
        if !corrections.is_empty() {
            let mut answer = self.message(Body::Push);
            answer.records = corrections;
            self.send(sender.identity.address, answer);
        }
        self.take_body(&sender, gossip.body);
    }

    /// Merges the sender's record; tells whether the message may be read at all.
    ///
    /// A sender that has been replaced gets the record of its replacement, so
    /// that it learns of it; nothing else in its message counts.
    fn admit(&mut self, sender: &Record) -> bool {
        let host = &sender.identity.host;
        if self.is_mine(host) {
            self.take_rival(sender);
            return false;
        }
        let Merge::Stale(known) = self.take_in(sender) else {
            return true;
        };
        self.note(Note::StaleSender {
            host: host.clone(),
            stale: sender.identity.incarnation,
            known,
        });
        if let Some(newer) = self.view.get(host).map(Record::without_status) {
            let mut answer = self.message(Body::Push);
            answer.records.push(newer);
            self.send(sender.identity.address, answer);
        }
        false
    }

    fn take_header(&mut self, gossip: &Gossip) {
        let sender = &gossip.sender;
        let host = &sender.identity.host;
        self.saw(host);
        self.view.hear(&sender.identity.centre, self.now);
        if sender.identity.centre == self.me.identity.centre {
            for heard in &gossip.heard {
                self.view.hear(&heard.centre, self.now - heard.age);
            }
        }
        if let Some(age) = gossip.store_age {
            self.document.heard_store(self.now - age);
        }
        if let Some(stamp) = gossip.stamp {
            if let Some(entry) = self.view.entry_mut(host) {
                entry.record.status.stamp = stamp.max(entry.record.status.stamp);
            }
            self.offered(sender, stamp);
        }
    }

    /// Merges records; returns newer ones for those that the sender has outdated.
    fn take_records(&mut self, records: &[Record], sender: &Record) -> Vec<Record> {
        let mut corrections = Vec::new();
        for record in records {
            let host = &record.identity.host;
            if self.is_mine(host) {
                self.take_rival(record);
                self.refute(record, &sender.identity.host);
                continue;
            }
            if self.take_in(record) == Merge::Changed || corrections.len() == MAX_CORRECTIONS {
                continue;
            }
            let newer = self.view.get(host).filter(|known| known.outranks(record));
            corrections.extend(newer.map(Record::without_status));
        }
        corrections
    }

    /// Notes a process that runs under the own host name with a higher incarnation.
    fn take_rival(&mut self, rival: &Record) {
        if rival.identity.incarnation > self.me.identity.incarnation {
            self.note(Note::Replaced {
                host: rival.identity.host.clone(),
                known: rival.identity.incarnation,
            });
        }
    }

    /// Raises the own refutation count over that of a message that doubts us.
    fn refute(&mut self, doubt: &Record, by: &HostName) {
        let same = doubt.identity.incarnation == self.me.identity.incarnation;
        let judged = (doubt.refutation, doubt.health);
        if !same || judged <= (self.me.refutation, Health::Alive) {
            return;
        }
        self.me.refutation = doubt.refutation + 1;
        self.publish();
        self.note(Note::Refuted {
            by: by.clone(),
            state: match doubt.health {
                Health::Dead => State::Dead,
                Health::Suspect | Health::Alive => State::Suspect,
            },
            refutation: self.me.refutation,
        });
        self.push_self();
    }

    fn take_body(&mut self, sender: &Record, body: Body) {
        match body {
            Body::Ping(number) => self.send_news(sender, Body::Ack(number)),
            Body::Ack(number) => self.acknowledged(number),
            Body::Relay { number, address } => self.relay(sender, number, address),
            Body::Push => {}
            Body::Digest { statuses, buckets } => self.compare(sender, statuses, &buckets),
            Body::Summary(summary) => self.complete(sender, &summary),
            Body::Want { statuses, hosts } => self.supply(sender, statuses, &hosts),
            Body::Pull { marks } => self.serve(sender, &marks),
            Body::Delta(delta) => self.take_delta(sender, &delta),
        }
    }
}
