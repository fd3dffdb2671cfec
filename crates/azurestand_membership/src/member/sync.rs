//! Anti-entropy: two members compare their views, digest first.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::HostName;

use super::Member;
use crate::Role;
use crate::gossip::{BUCKETS, Body, Brief, MAX_BRIEFS, Summary, record_bytes};
use crate::record::Record;

/// How many versions one answer lists at most.
const SUMMARY_BRIEFS: usize = 96;

/// How many entries of a data centre turn to a hub in one round of comparisons.
const HUB_VISITS: usize = 4;

/// Among how many random peers an entry looks for another entry.
const SYNC_CANDIDATES: usize = 8;

/// Bytes of records that one exchange carries at most.
const SYNC_BYTES: usize = 8_192;

/// A member that lacks this many statuses compares again soon.
const CATCH_UP: usize = 4;

const MEMBERS_PAUSE: Duration = Duration::from_millis(200);
const STATUSES_PAUSE: Duration = Duration::from_secs(1);

impl Member {
    pub(super) fn sync_tick(&mut self) {
        if self.now < self.timers.sync {
            return;
        }
        self.timers.sync = self.now + self.limits.sync_every;
        let entry = self.me.identity.role == Role::Entry;
        let peers = if entry && self.turns_to_hub() {
            self.hub_records()
        } else {
            self.local_peers(SYNC_CANDIDATES)
        };
        // Statuses travel among entries, so an entry prefers one of its kind.
        let suited = peers.iter().find(|peer| peer.identity.role == Role::Entry);
        let Some(peer) = suited.filter(|_| entry).or(peers.first()).cloned() else {
            return;
        };
        self.open_sync(&peer);
    }

    /// Whether an entry compares with a hub this time; the more entries, the rarer,
    /// so that a hub's share of the work doesn't grow with them.
    fn turns_to_hub(&mut self) -> bool {
        let locals = self.view.members_of(&self.me.identity.centre);
        let entries = locals.filter(|r| r.identity.role == Role::Entry).count();
        self.random.usize(..entries.max(1)) < HUB_VISITS
    }

    /// Opens a comparison; statuses are compared only among entries and hubs, which keep them.
    pub(super) fn open_sync(&mut self, peer: &Record) {
        let both = self.keeps_statuses() && peer.identity.role == Role::Entry;
        let digest = self.digest(both);
        self.send_news(peer, digest);
    }

    fn keeps_statuses(&self) -> bool {
        self.watching || self.me.identity.role == Role::Entry
    }

    /// One hash a bucket over all present members.
    pub(super) fn digest(&self, statuses: bool) -> Body {
        let mut buckets = vec![0; BUCKETS];
        for entry in self.view.entries() {
            if entry.record.state().is_present() {
                buckets[entry.print.bucket] ^= entry.print.hash(statuses);
            }
        }
        Body::Digest { statuses, buckets }
    }

    /// Answers a digest with what is held in some of the buckets that differ.
    pub(super) fn compare(&mut self, sender: &Record, statuses: bool, theirs: &[u32]) {
        let Body::Digest { buckets: mine, .. } = self.digest(statuses) else {
            return;
        };
        let mut differing: Vec<_> = (0..BUCKETS)
            .filter(|bucket| mine[*bucket] != theirs[*bucket])
            .collect();
        self.random.shuffle(&mut differing);
        let mut held = self.briefs(&differing);
        let mut summary = Summary {
            statuses,
            buckets: Vec::new(),
            briefs: Vec::new(),
        };
        for bucket in differing {
            let briefs = std::mem::take(&mut held[bucket]);
            let full = summary.briefs.len() + briefs.len() > SUMMARY_BRIEFS;
            if full && !summary.buckets.is_empty() {
                break;
            }
            summary.buckets.push(bucket);
            summary.briefs.extend(briefs);
        }
        summary.briefs.truncate(MAX_BRIEFS);
        self.send_news(sender, Body::Summary(summary));
    }

    /// What is held in the wanted buckets, by bucket.
    fn briefs(&self, wanted: &[usize]) -> Vec<Vec<Brief>> {
        let mut held = vec![Vec::new(); BUCKETS];
        if wanted.is_empty() {
            return held;
        }
        for entry in self.view.entries() {
            let bucket = entry.print.bucket;
            if entry.record.state().is_present() && wanted.contains(&bucket) {
                held[bucket].push(Brief::of(&entry.record));
            }
        }
        held
    }

    /// Sends what the other lacks and asks for what this member lacks.
    pub(super) fn complete(&mut self, sender: &Record, summary: &Summary) {
        let statuses = summary.statuses;
        let news = |record: &Record, brief: &Brief| {
            record.version().adds_to(brief.version)
                || (statuses && record.status_outranks(brief.version, brief.counter))
        };
        let lacks = |brief: &Brief| match self.view.get(&brief.host) {
            None => true,
            Some(known) => {
                brief.version.adds_to(known.version()) || (statuses && brief.status_outranks(known))
            }
        };
        let hosts: Vec<_> = summary
            .briefs
            .iter()
            .filter(|brief| lacks(brief) && !self.is_mine(&brief.host))
            .map(|brief| brief.host.clone())
            .collect();
        let theirs: BTreeMap<_, _> = summary
            .briefs
            .iter()
            .map(|brief| (&brief.host, brief))
            .collect();
        let mut mine: Vec<HostName> = Vec::new();
        for entry in self.view.entries() {
            if !summary.buckets.contains(&entry.print.bucket) {
                continue;
            }
            let record = &entry.record;
            let host = &record.identity.host;
            let missing = || record.state().is_present();
            let newer = |brief: &&Brief| news(record, brief);
            if theirs.get(host).map_or_else(missing, newer) {
                mine.push(host.clone());
            }
        }
        self.catch_up(sender, &hosts);
        if hosts.is_empty() && mine.is_empty() {
            return;
        }
        let records = self.records(&mine, statuses);
        let mut answer = self.message(if hosts.is_empty() {
            Body::Push
        } else {
            Body::Want { statuses, hosts }
        });
        answer.records = records;
        self.send(sender.identity.address, answer);
    }

    /// Compares again soon when much is lacking: sooner for unknown members than for statuses.
    fn catch_up(&mut self, peer: &Record, lacking: &[HostName]) {
        let unknown = |host: &HostName| self.view.get(host).is_none();
        let pause = if lacking.iter().any(unknown) {
            MEMBERS_PAUSE
        } else if lacking.len() >= CATCH_UP {
            STATUSES_PAUSE
        } else {
            return;
        };
        let local = peer.identity.centre == self.me.identity.centre;
        let timer = if local {
            &mut self.timers.sync
        } else {
            &mut self.timers.bridge
        };
        *timer = (*timer).min(self.now + pause);
    }

    /// Sends the records that were asked for.
    pub(super) fn supply(&mut self, sender: &Record, statuses: bool, hosts: &[HostName]) {
        let mut answer = self.message(Body::Push);
        answer.records = self.records(hosts, statuses);
        self.send(sender.identity.address, answer);
    }

    /// The records of some hosts, as many as one exchange carries.
    fn records(&self, hosts: &[HostName], statuses: bool) -> Vec<Record> {
        let mut room = SYNC_BYTES;
        let mut records = Vec::new();
        for record in hosts.iter().filter_map(|host| self.view.get(host)) {
            let size = record_bytes(record, statuses);
            if size > room {
                break;
            }
            room -= size;
            records.push(if statuses {
                record.clone()
            } else {
                record.without_status()
            });
        }
        records
    }
}
