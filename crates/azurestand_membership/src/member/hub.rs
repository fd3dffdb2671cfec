//! Hubs: the few members of a data centre that watch the store, bridge to other
//! data centres, and collect statuses.

use std::time::Duration;

use azurestand_types::{DataCentre, HostName};

use super::Member;
use crate::gossip::Body;
use crate::record::{Record, Stage};
use crate::{Action, Note};

/// How often a status is reported again, in case a report was lost.
const REFRESH_EVERY: Duration = Duration::from_mins(1);

/// How often the member checks for silent data centres.
const SILENCE_EVERY: Duration = Duration::from_secs(1);

/// One in this many messages to another data centre goes to a random member instead of
/// a hub, in case this member's idea of that data centre's hubs is outdated.
const ANY_MEMBER_SHARE: usize = 4;

impl Member {
    /// Recomputes the hubs of this data centre after the membership changed.
    pub(super) fn choose_hubs(&mut self) {
        let count = self.limits.hubs_per_centre;
        let chosen = self.view.hubs(&self.me.identity.centre, count);
        let hubs: Vec<HostName> = chosen.iter().map(|r| r.identity.host.clone()).collect();
        if hubs != self.hubs {
            self.hubs = hubs;
            self.timers.report_due = true;
        }
        // Whether this member acts as a hub is decided in `hub_tick`, once it has settled.
        self.hubs_outdated = false;
    }

    /// The hubs of this data centre except this member.
    pub(super) fn hub_records(&self) -> Vec<Record> {
        self.hubs
            .iter()
            .filter(|host| !self.is_mine(host))
            .filter_map(|host| self.view.get(host))
            .map(Record::without_status)
            .collect()
    }

    pub(super) fn hub_tick(&mut self) {
        self.update_watch();
        self.check_silence();
        if self.watching && self.now >= self.timers.bridge {
            self.timers.bridge = self.now + self.limits.bridge_every;
            self.bridge();
        }
    }

    fn update_watch(&mut self) {
        let settled = self.now >= self.timers.settled;
        let chosen = self.hubs.iter().any(|host| self.is_mine(host));
        let wanted = settled && chosen && self.me.stage == Stage::Active;
        match (self.watching, wanted) {
            (false, true) => self.out.push(Action::StartWatch),
            (true, false) => self.out.push(Action::StopWatch),
            _ => {}
        }
        self.watching = wanted;
    }

    /// Compares views with one other data centre, each in turn.
    fn bridge(&mut self) {
        let mut centres = self.other_centres();
        if centres.is_empty() {
            return;
        }
        self.rotate_centres(&mut centres);
        let Some(centre) = centres.first() else {
            return;
        };
        if let Some(peer) = self.choose_contact(centre) {
            self.open_sync(&peer);
        }
    }

    /// Rotates the list so that each call puts the next data centre first.
    fn rotate_centres(&mut self, centres: &mut [DataCentre]) {
        let turn = self.timers.next_centre % centres.len();
        self.timers.next_centre = self.timers.next_centre.wrapping_add(1);
        centres.rotate_left(turn);
    }

    fn other_centres(&self) -> Vec<DataCentre> {
        let mine = &self.me.identity.centre;
        let populated = |centre: &&DataCentre| {
            let mut members = self.view.members_of(centre);
            *centre != mine && members.any(|record| record.state().is_present())
        };
        self.view
            .member_centres()
            .filter(populated)
            .cloned()
            .collect()
    }

    /// Chooses a member of another data centre to contact, usually one of its hubs.
    fn choose_contact(&mut self, centre: &DataCentre) -> Option<Record> {
        let any_member = self.random.usize(..ANY_MEMBER_SHARE) == 0;
        let mut candidates = self.view.hubs(centre, self.limits.hubs_per_centre);
        if any_member || candidates.is_empty() {
            let members = self.view.members_of(centre);
            candidates = members.filter(|r| r.state().is_present()).collect();
        }
        let chosen = self.random.choice(candidates);
        chosen.map(Record::without_status)
    }

    /// Announces the revision in force to one member of each other data centre.
    pub(super) fn announce_remote(&mut self) {
        for centre in self.other_centres() {
            if let Some(peer) = self.choose_contact(&centre) {
                let gossip = self.message(Body::Push);
                self.send(peer.identity.address, gossip);
            }
        }
    }

    /// Reports this member's status to the hubs when it changed, and periodically.
    pub(super) fn report_tick(&mut self) {
        let due = self.timers.report_due && self.now >= self.timers.report;
        if self.me.status.counter == 0 || !(due || self.now >= self.timers.refresh) {
            return;
        }
        self.timers.report_due = false;
        self.timers.report = self.now + self.limits.report_every;
        self.timers.refresh = self.now + REFRESH_EVERY / 2 + self.jitter(REFRESH_EVERY);
        for hub in self.hub_records() {
            let mut gossip = self.message(Body::Push);
            gossip.sender.status = self.me.status.clone();
            self.send(hub.identity.address, gossip);
        }
    }

    /// Notes data centres that became silent or send messages again.
    fn check_silence(&mut self) {
        if self.now < self.timers.silence_check {
            return;
        }
        self.timers.silence_check = self.now + SILENCE_EVERY;
        let limit = self.limits.centre_silence_timeout;
        let mine = &self.me.identity.centre;
        let silence: Vec<_> = self
            .view
            .centres()
            .filter(|(centre, _)| *centre != mine)
            .map(|(centre, contact)| (centre.clone(), self.now.since(contact) > limit))
            .collect();
        for (centre, silent) in silence {
            let before = self.silent.insert(centre.clone(), silent).unwrap_or(false);
            match (before, silent) {
                (false, true) => self.out.push(Action::Note(Note::CentreSilent(centre))),
                (true, false) => self.out.push(Action::Note(Note::CentreBack(centre))),
                _ => {}
            }
        }
    }
}
