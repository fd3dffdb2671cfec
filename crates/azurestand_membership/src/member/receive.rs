//! Handles a message: first the common header, then the body.

use azurestand_types::HostName;

use super::Member;
use crate::gossip::{Body, Gossip};
use crate::record::{Health, Record};
use crate::view::Merge;
use crate::{Note, State};

/// The maximum number of outdated records of one message that are answered with newer ones.
const MAX_CORRECTIONS: usize = 8;

impl Member {
    pub(super) fn receive(&mut self, gossip: Gossip) {
        let sender = gossip.sender.clone();
        if !self.admit(&sender) {
            return;
        }
        self.apply_header(&gossip);
        let corrections = self.merge_records(&gossip.records, &sender);
        if !corrections.is_empty() {
            let mut answer = self.message(Body::Push);
            answer.records = corrections;
            self.send(sender.identity.address, answer);
        }
        self.handle_body(&sender, gossip.body);
    }

    /// Merges the sender's record; returns whether the rest of the message may be handled.
    ///
    /// A sender that has been replaced is sent the record of its replacement; the rest
    /// of its message is ignored.
    fn admit(&mut self, sender: &Record) -> bool {
        let host = &sender.identity.host;
        if self.is_mine(host) {
            self.note_replacement(sender);
            return false;
        }
        let Merge::Stale(known) = self.merge_record(sender) else {
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

    fn apply_header(&mut self, gossip: &Gossip) {
        let sender = &gossip.sender;
        let host = &sender.identity.host;
        self.probe_answered(host);
        self.view.record_contact(&sender.identity.centre, self.now);
        if sender.identity.centre == self.me.identity.centre {
            for heard in &gossip.heard {
                self.view
                    .record_contact(&heard.centre, self.now - heard.age);
            }
        }
        if let Some(age) = gossip.store_age {
            self.document.record_contact(self.now - age);
        }
        if let Some(stamp) = gossip.stamp {
            if let Some(entry) = self.view.entry_mut(host) {
                entry.record.status.stamp = stamp.max(entry.record.status.stamp);
            }
            self.check_stamp(sender, stamp);
        }
    }

    /// Merges records; returns newer versions of those that are outdated at the sender.
    fn merge_records(&mut self, records: &[Record], sender: &Record) -> Vec<Record> {
        let mut corrections = Vec::new();
        for record in records {
            let host = &record.identity.host;
            if self.is_mine(host) {
                self.note_replacement(record);
                self.refute(record, &sender.identity.host);
                continue;
            }
            if self.merge_record(record) == Merge::Changed || corrections.len() == MAX_CORRECTIONS {
                continue;
            }
            let newer = self.view.get(host).filter(|known| known.outranks(record));
            corrections.extend(newer.map(Record::without_status));
        }
        corrections
    }

    /// Notes a process that runs under this member's host name with a higher incarnation.
    fn note_replacement(&mut self, other: &Record) {
        if other.identity.incarnation > self.me.identity.incarnation {
            self.note(Note::Replaced {
                host: other.identity.host.clone(),
                known: other.identity.incarnation,
            });
        }
    }

    /// Raises this member's refutation count above that of a record that suspects it.
    fn refute(&mut self, suspicion: &Record, by: &HostName) {
        let same = suspicion.identity.incarnation == self.me.identity.incarnation;
        let rank = (suspicion.refutation, suspicion.health);
        if !same || rank <= (self.me.refutation, Health::Alive) {
            return;
        }
        self.me.refutation = suspicion.refutation + 1;
        self.publish();
        self.note(Note::Refuted {
            by: by.clone(),
            state: match suspicion.health {
                Health::Dead => State::Dead,
                Health::Suspect | Health::Alive => State::Suspect,
            },
            refutation: self.me.refutation,
        });
        self.push_self();
    }

    fn handle_body(&mut self, sender: &Record, body: Body) {
        match body {
            Body::Ping(number) => self.send_with_updates(sender, Body::Ack(number)),
            Body::Ack(number) => self.acknowledged(number),
            Body::Relay { number, address } => self.relay(sender, number, address),
            Body::Push => {}
            Body::Digest { statuses, buckets } => self.answer_digest(sender, statuses, &buckets),
            Body::Summary(summary) => self.answer_summary(sender, &summary),
            Body::Want { statuses, hosts } => self.answer_want(sender, statuses, &hosts),
            Body::Pull { marks } => self.answer_pull(sender, &marks),
            Body::Delta(delta) => self.apply_delta(sender, &delta),
        }
    }
}
