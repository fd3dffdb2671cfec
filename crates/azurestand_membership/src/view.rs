//! The view: what this member knows about all members.

use std::collections::BTreeMap;
use std::collections::btree_map::{Keys, Values};

use azurestand_types::{DataCentre, HostName, Incarnation, Moment, Revision, rendezvous};

use crate::fingerprint::Fingerprint;
use crate::record::{Health, Record, Version};
use crate::{Role, State};

/// The maximum number of tombstones: last versions of hosts whose records were dropped.
const MAX_TOMBSTONES: usize = 8_192;

/// What this member knows about all members and data centres.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: BTreeMap<HostName, Entry>,
    tombstones: BTreeMap<HostName, Version>,
    centres: BTreeMap<DataCentre, Moment>,
    /// The hosts by data centre, so that work on one data centre scales with its size only.
    by_centre: BTreeMap<DataCentre, Vec<HostName>>,
}

/// A record with this member's local data about it.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    /// When the membership part last changed here.
    pub(crate) changed: Moment,
    /// When this incarnation was first seen.
    pub(crate) since: Moment,
    /// The incarnation that the platform's list says is leaving.
    pub(crate) hint: Option<Incarnation>,
    /// The record's contribution to the digest of the view.
    pub(crate) fingerprint: Fingerprint,
}

impl Entry {
    fn new(now: Moment, record: &Record) -> Self {
        Self {
            record: record.clone(),
            changed: now,
            since: now,
            hint: None,
            fingerprint: Fingerprint::of(record),
        }
    }

    fn touch(&mut self, now: Moment) {
        self.changed = now;
        self.fingerprint = Fingerprint::of(&self.record);
    }
}

/// The result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// It belongs to an earlier incarnation; holds the newest one.
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
    /// What peers observe takes precedence: the hint turns only "alive" into
    /// "leaving", and only for the incarnation that it applies to.
    pub fn state(&self, host: &HostName) -> Option<State> {
        let entry = self.members.get(host)?;
        let state = entry.record.state();
        let hinted = entry.hint == Some(entry.record.identity.incarnation);
        Some(match state {
            State::Alive if hinted => State::Leaving,
            _ => state,
        })
    }

    /// When a data centre last sent a message, to this member or to a peer that reported it.
    pub fn last_contact(&self, centre: &DataCentre) -> Option<Moment> {
        self.centres.get(centre).copied()
    }

    /// All data centres with the time of the last known message from each.
    pub fn centres(&self) -> impl Iterator<Item = (&DataCentre, Moment)> {
        self.centres
            .iter()
            .map(|(centre, contact)| (centre, *contact))
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
        self.by_centre.get(centre).map_or(&[], Vec::as_slice)
    }

    /// The data centres that have members, departed ones included.
    pub(crate) fn member_centres(&self) -> Keys<'_, DataCentre, Vec<HostName>> {
        self.by_centre.keys()
    }

    /// Records that a data centre sent a message at `moment`.
    pub(crate) fn record_contact(&mut self, centre: &DataCentre, moment: Moment) {
        match self.centres.get_mut(centre) {
            Some(contact) => *contact = moment.max(*contact),
            None => {
                self.centres.insert(centre.clone(), moment);
            }
        }
    }

    /// Merges what is newer in `record`.
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
                entry.fingerprint = Fingerprint::of(&entry.record);
            }
            return Merge::Same;
        }
        entry.touch(now);
        if entry.record.identity.incarnation > known {
            entry.since = now;
            self.index_host(record);
        }
        Merge::Changed
    }

    /// Adds an unknown host, unless it has departed or a tombstone shows the record as outdated.
    fn insert(&mut self, now: Moment, record: &Record) -> Merge {
        let host = &record.identity.host;
        if let Some(tombstone) = self.tombstones.get(host) {
            if record.identity.incarnation < tombstone.incarnation {
                return Merge::Stale(tombstone.incarnation);
            }
            let rank = |version: Version| (version.incarnation, version.refutation);
            if rank(record.version()) <= rank(*tombstone) {
                return Merge::Same;
            }
        }
        if !record.state().is_present() {
            return Merge::Same;
        }
        self.tombstones.remove(host);
        self.members.insert(host.clone(), Entry::new(now, record));
        self.index_host(record);
        Merge::Changed
    }

    /// Adds a host to the index by data centre; a replacement may be in another one.
    fn index_host(&mut self, record: &Record) {
        let identity = &record.identity;
        self.unindex_host(&identity.host);
        let hosts = self.by_centre.entry(identity.centre.clone()).or_default();
        if let Err(position) = hosts.binary_search(&identity.host) {
            hosts.insert(position, identity.host.clone());
        }
    }

    fn unindex_host(&mut self, host: &HostName) {
        for hosts in self.by_centre.values_mut() {
            if let Ok(position) = hosts.binary_search(host) {
                hosts.remove(position);
            }
        }
        self.by_centre.retain(|_, hosts| !hosts.is_empty());
    }

    /// Worsens the health of a member of this data centre; returns whether that changed it.
    pub(crate) fn set_health(&mut self, now: Moment, host: &HostName, health: Health) -> bool {
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

    /// Drops the records of members that departed before `limit`; keeps their versions as
    /// tombstones.
    pub(crate) fn forget_departed(&mut self, limit: Moment) {
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(_, entry)| !entry.record.state().is_present() && entry.changed < limit)
            .map(|(host, entry)| (host.clone(), entry.record.version()))
            .collect();
        for (host, version) in gone {
            self.members.remove(&host);
            self.unindex_host(&host);
            self.tombstones.insert(host, version);
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_first();
        }
    }
}
