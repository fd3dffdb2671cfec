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

/// How often silent data centres are looked for.
const LISTEN_EVERY: Duration = Duration::from_secs(1);

/// One bridge message in this many goes to any member instead of a hub, in case
/// the hubs of the other data centre are others than this member thinks.
const STRAY_SHARE: usize = 4;

impl Member {
    /// Chooses the hubs of the own data centre anew after the membership changed.
    pub(super) fn choose_hubs(&mut self) {
        let count = self.limits.watchers;
        let chosen = self.view.hubs(&self.me.identity.centre, count);
        let hubs: Vec<HostName> = chosen.iter().map(|r| r.identity.host.clone()).collect();
        if hubs != self.hubs {
            self.hubs = hubs;
            self.timers.report_due = true;
        }
        // Whether this member serves is decided at the next tick, once it has settled.
        self.stale = false;
    }

    /// The hubs of the own data centre without this member.
    pub(super) fn hub_records(&self) -> Vec<Record> {
        self.hubs
            .iter()
            .filter(|host| !self.is_mine(host))
            .filter_map(|host| self.view.get(host))
            .map(Record::without_status)
            .collect()
    }

    pub(super) fn hub_tick(&mut self) {
        self.serve_as_hub();
        self.watch_silence();
        if self.watching && self.now >= self.timers.bridge {
            self.timers.bridge = self.now + self.limits.bridge_every;
            self.bridge();
        }
    }

    fn serve_as_hub(&mut self) {
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
        let mut centres = self.foreign_centres();
        if centres.is_empty() {
            return;
        }
        self.take_turns(&mut centres);
        let Some(centre) = centres.first() else {
            return;
        };
        if let Some(peer) = self.contact(centre) {
            self.open_sync(&peer);
        }
    }

    /// Starts the turn at another data centre each time.
    fn take_turns(&mut self, centres: &mut [DataCentre]) {
        let turn = self.timers.turn % centres.len();
        self.timers.turn = self.timers.turn.wrapping_add(1);
        centres.rotate_left(turn);
    }

    fn foreign_centres(&self) -> Vec<DataCentre> {
        let mine = &self.me.identity.centre;
        let populated = |centre: &&DataCentre| {
            let mut members = self.view.members_of(centre);
            *centre != mine && members.any(|record| record.state().is_present())
        };
        self.view.places().filter(populated).cloned().collect()
    }

    /// A member of another data centre to talk to, mostly one of its hubs.
    fn contact(&mut self, centre: &DataCentre) -> Option<Record> {
        let stray = self.random.usize(..STRAY_SHARE) == 0;
        let mut candidates = self.view.hubs(centre, self.limits.watchers);
        if stray || candidates.is_empty() {
            let members = self.view.members_of(centre);
            candidates = members.filter(|r| r.state().is_present()).collect();
        }
        let chosen = self.random.choice(candidates);
        chosen.map(Record::without_status)
    }

    /// Tells one member of each other data centre of the revision in force.
    pub(super) fn announce_abroad(&mut self) {
        for centre in self.foreign_centres() {
            if let Some(peer) = self.contact(&centre) {
                let gossip = self.message(Body::Push);
                self.send(peer.identity.address, gossip);
            }
        }
    }

    /// Reports the own status to the hubs when it changed, and now and then again.
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

    /// Notes data centres that fell silent or are heard again.
    fn watch_silence(&mut self) {
        if self.now < self.timers.listen {
            return;
        }
        self.timers.listen = self.now + LISTEN_EVERY;
        let limit = self.limits.quiet_for;
        let mine = &self.me.identity.centre;
        let silence: Vec<_> = self
            .view
            .centres()
            .filter(|(centre, _)| *centre != mine)
            .map(|(centre, heard)| (centre.clone(), self.now.since(heard) > limit))
            .collect();
        for (centre, silent) in silence {
            let before = self.silent.insert(centre.clone(), silent).unwrap_or(false);
            match (before, silent) {
                (false, true) => self.out.push(Action::Note(Note::CentreSilent(centre))),
                (true, false) => self.out.push(Action::Note(Note::CentreHeard(centre))),
                _ => {}
            }
        }
    }
}
