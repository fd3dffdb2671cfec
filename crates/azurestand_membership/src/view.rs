//! The live view: what this member knows of all members.

use std::collections::BTreeMap;
use std::collections::btree_map::{Keys, Values};

use azurestand_types::{DataCentre, HostName, Incarnation, Moment, Revision, rendezvous};

use crate::print::Print;
use crate::record::{Health, Record, Version};
use crate::{Role, State};

/// How many departed hosts' last versions are remembered after their records are gone.
const MAX_GRAVES: usize = 8_192;

/// What this member knows of all members and data centres.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: BTreeMap<HostName, Entry>,
    graves: BTreeMap<HostName, Version>,
    centres: BTreeMap<DataCentre, Moment>,
    /// The members by data centre, so that work on one of them costs by its size.
    places: BTreeMap<DataCentre, Vec<HostName>>,
}

/// A record with what only this member needs to know of it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    /// When the membership part last changed here.
    pub(crate) changed: Moment,
    /// When this incarnation was first seen.
    pub(crate) since: Moment,
    /// The incarnation that the platform's list says is leaving.
    pub(crate) hint: Option<Incarnation>,
    /// The record's part of a digest.
    pub(crate) print: Print,
}

impl Entry {
    fn new(now: Moment, record: &Record) -> Self {
        Self {
            record: record.clone(),
            changed: now,
            since: now,
            hint: None,
            print: Print::of(record),
        }
    }

    fn touch(&mut self, now: Moment) {
        self.changed = now;
        self.print = Print::of(&self.record);
    }
}

/// What came of an offered record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// It belongs to an earlier life; the newest incarnation is given.
    Stale(Incarnation),
    /// Nothing new about the membership.
    Same,
    /// The membership part changed.
    Changed,
}

impl View {
    /// All members in the order of their names, departed ones included for a while.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|entry| &entry.record)
    }

    /// The members of one data centre in the order of their names.
    pub fn members_of<'a>(
        &'a self,
        centre: &DataCentre,
    ) -> impl Iterator<Item = &'a Record> + use<'a> {
        self.hosts_of(centre)
            .iter()
            .filter_map(|host| self.get(host))
    }

    /// The member under this name.
    pub fn get(&self, host: &HostName) -> Option<&Record> {
        self.members.get(host).map(|entry| &entry.record)
    }

    /// A member's state, with the platform's hint that it is leaving merged in.
    ///
    /// What peers have seen goes before the hint: it turns only "alive" into
    /// "leaving", and only for the incarnation that it was given about.
    pub fn state(&self, host: &HostName) -> Option<State> {
        let entry = self.members.get(host)?;
        let state = entry.record.state();
        let hinted = entry.hint == Some(entry.record.identity.incarnation);
        Some(match state {
            State::Alive if hinted => State::Leaving,
            _ => state,
        })
    }

    /// When a data centre was last heard of, at first or second hand.
    pub fn heard(&self, centre: &DataCentre) -> Option<Moment> {
        self.centres.get(centre).copied()
    }

    /// All data centres that were ever heard of.
    pub fn centres(&self) -> impl Iterator<Item = (&DataCentre, Moment)> {
        self.centres.iter().map(|(centre, heard)| (centre, *heard))
    }

    /// The members that have reported a lower revision than `wanted`, or none yet.
    pub fn lagging(&self, wanted: Revision) -> Vec<&Record> {
        self.members()
            .filter(|record| record.state().is_present())
            .filter(|record| record.status.stamp.revision < wanted)
            .collect()
    }

    /// The members of a data centre that watch the store and bridge to other data
    /// centres: the first `count` of a rendezvous order, entries before agents.
    pub fn hubs(&self, centre: &DataCentre, count: usize) -> Vec<&Record> {
        let key = centre.as_str().as_bytes();
        let mut ranked: Vec<_> = self
            .members_of(centre)
            .filter(|record| record.state() == State::Alive)
            .map(|record| {
                let identity = &record.identity;
                let score = rendezvous::score(key, identity.host.as_str());
                (identity.role == Role::Agent, u64::MAX - score, record)
            })
            .collect();
        ranked.sort_by(|a, b| (a.0, a.1, &a.2.identity.host).cmp(&(b.0, b.1, &b.2.identity.host)));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, _, record)| record).collect()
    }

    pub(crate) fn entry(&self, host: &HostName) -> Option<&Entry> {
        self.members.get(host)
    }

    pub(crate) fn entry_mut(&mut self, host: &HostName) -> Option<&mut Entry> {
        self.members.get_mut(host)
    }

    pub(crate) fn entries(&self) -> Values<'_, HostName, Entry> {
        self.members.values()
    }

    /// The names of the hosts of one data centre, departed ones included.
    pub(crate) fn hosts_of(&self, centre: &DataCentre) -> &[HostName] {
        self.places.get(centre).map_or(&[], Vec::as_slice)
    }

    /// The data centres that members stand in, departed members included.
    pub(crate) fn places(&self) -> Keys<'_, DataCentre, Vec<HostName>> {
        self.places.keys()
    }

    /// Notes that a data centre was heard of at `moment`.
    pub(crate) fn hear(&mut self, centre: &DataCentre, moment: Moment) {
        match self.centres.get_mut(centre) {
            Some(heard) => *heard = moment.max(*heard),
            None => {
                self.centres.insert(centre.clone(), moment);
            }
        }
    }

    /// Takes over what is newer in `record`.
    pub(crate) fn merge(&mut self, now: Moment, record: &Record) -> Merge {
        let host = &record.identity.host;
        let Some(entry) = self.members.get_mut(host) else {
            return self.insert(now, record);
        };
        let known = entry.record.identity.incarnation;
        if record.identity.incarnation < known {
            return Merge::Stale(known);
        }
        let counter = entry.record.status.counter;
        if !entry.record.merge(record) {
            if entry.record.status.counter != counter {
                entry.print = Print::of(&entry.record);
            }
            return Merge::Same;
        }
        entry.touch(now);
        if entry.record.identity.incarnation > known {
            entry.since = now;
            self.place(record);
        }
        Merge::Changed
    }

    /// Adds an unknown host, unless it is gone already or the record is of a life that ended.
    fn insert(&mut self, now: Moment, record: &Record) -> Merge {
        let host = &record.identity.host;
        if let Some(grave) = self.graves.get(host) {
            if record.identity.incarnation < grave.incarnation {
                return Merge::Stale(grave.incarnation);
            }
            let judged = |version: Version| (version.incarnation, version.refutation);
            if judged(record.version()) <= judged(*grave) {
                return Merge::Same;
            }
        }
        if !record.state().is_present() {
            return Merge::Same;
        }
        self.graves.remove(host);
        self.members.insert(host.clone(), Entry::new(now, record));
        self.place(record);
        Merge::Changed
    }

    /// Files a host under its data centre; a replacement may stand in another one.
    fn place(&mut self, record: &Record) {
        let identity = &record.identity;
        self.displace(&identity.host);
        let hosts = self.places.entry(identity.centre.clone()).or_default();
        if let Err(place) = hosts.binary_search(&identity.host) {
            hosts.insert(place, identity.host.clone());
        }
    }

    fn displace(&mut self, host: &HostName) {
        for hosts in self.places.values_mut() {
            if let Ok(place) = hosts.binary_search(host) {
                hosts.remove(place);
            }
        }
        self.places.retain(|_, hosts| !hosts.is_empty());
    }

    /// Sets the health of a member of our own data centre; tells whether that changed it.
    pub(crate) fn judge(&mut self, now: Moment, host: &HostName, health: Health) -> bool {
        let Some(entry) = self.members.get_mut(host) else {
            return false;
        };
        if entry.record.health >= health {
            return false;
        }
        entry.record.health = health;
        entry.touch(now);
        true
    }

    /// Drops the records of members that departed before `limit`, and keeps their versions.
    pub(crate) fn bury(&mut self, limit: Moment) {
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(_, entry)| !entry.record.state().is_present() && entry.changed < limit)
            .map(|(host, entry)| (host.clone(), entry.record.version()))
            .collect();
        for (host, version) in gone {
            self.members.remove(&host);
            self.displace(&host);
            self.graves.insert(host, version);
        }
        while self.graves.len() > MAX_GRAVES {
            self.graves.pop_first();
        }
    }
}
