//! Anti-entropy: two members compare their views, starting with digests.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::HostName;

use super::Member;
use crate::Role;
use crate::gossip::{BUCKETS, Body, Brief, MAX_BRIEFS, Summary, record_bytes};
use crate::record::Record;

/// The number of versions in a summary; only a single bucket that exceeds it by itself
/// may go over, up to [`MAX_BRIEFS`].
const SUMMARY_BRIEFS: usize = 96;

/// The expected number of entries per data centre that compare with a hub in one round.
const HUB_SYNCS: usize = 4;

/// The number of random peers among which an entry looks for another entry.
const SYNC_CANDIDATES: usize = 8;

/// The maximum size in bytes of the records in one message.
const SYNC_BYTES: usize = 8_192;

/// A member that lacks at least this many statuses compares again soon.
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
        let peers = if entry && self.syncs_with_hub() {
            self.hub_records()
        } else {
            self.local_peers(SYNC_CANDIDATES)
        };
        // Entries exchange statuses, so an entry prefers another entry.
        let preferred = peers.iter().find(|peer| peer.identity.role == Role::Entry);
        let Some(peer) = preferred.filter(|_| entry).or(peers.first()).cloned() else {
            return;
        };
        self.open_sync(&peer);
    }

    /// Whether an entry compares with a hub this time; the probability falls with the
    /// number of entries, so that a hub's load doesn't grow with it.
    fn syncs_with_hub(&mut self) -> bool {
        let locals = self.view.members_of(&self.me.identity.centre);
        let entries = locals.filter(|r| r.identity.role == Role::Entry).count();
        self.random.usize(..entries.max(1)) < HUB_SYNCS
    }

    /// Starts a comparison; it includes statuses only if this member stores them and the
    /// peer is an entry.
    pub(super) fn open_sync(&mut self, peer: &Record) {
        let both = self.keeps_statuses() && peer.identity.role == Role::Entry;
        let digest = self.digest(both);
        self.send_with_updates(peer, digest);
    }

    fn keeps_statuses(&self) -> bool {
        self.watching || self.me.identity.role == Role::Entry
    }

    /// One hash per bucket over all present members.
    pub(super) fn digest(&self, statuses: bool) -> Body {
        let mut buckets = vec![0; BUCKETS];
        for entry in self.view.entries() {
            if entry.record.state().is_present() {
                buckets[entry.fingerprint.bucket] ^= entry.fingerprint.hash(statuses);
            }
        }
        Body::Digest { statuses, buckets }
    }

    /// Answers a digest with the versions in some of the buckets that differ.
    pub(super) fn answer_digest(&mut self, sender: &Record, statuses: bool, theirs: &[u32]) {
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
        self.send_with_updates(sender, Body::Summary(summary));
    }

    /// The versions in the wanted buckets, by bucket.
    fn briefs(&self, wanted: &[usize]) -> Vec<Vec<Brief>> {
        let mut held = vec![Vec::new(); BUCKETS];
        if wanted.is_empty() {
            return held;
        }
        for entry in self.view.entries() {
            let bucket = entry.fingerprint.bucket;
            if entry.record.state().is_present() && wanted.contains(&bucket) {
                held[bucket].push(Brief::of(&entry.record));
            }
        }
        held
    }

    /// Sends records that the peer lacks and requests those that this member lacks.
    pub(super) fn answer_summary(&mut self, sender: &Record, summary: &Summary) {
        let statuses = summary.statuses;
        let adds = |record: &Record, brief: &Brief| {
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
            if !summary.buckets.contains(&entry.fingerprint.bucket) {
                continue;
            }
            let record = &entry.record;
            let host = &record.identity.host;
            let missing = || record.state().is_present();
            let newer = |brief: &&Brief| adds(record, brief);
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

    /// Schedules an early comparison when members or many statuses are missing: sooner for
    /// unknown members than for statuses.
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

    /// Sends the requested records.
    pub(super) fn answer_want(&mut self, sender: &Record, statuses: bool, hosts: &[HostName]) {
        let mut answer = self.message(Body::Push);
        answer.records = self.records(hosts, statuses);
        self.send(sender.identity.address, answer);
    }

    /// The records of some hosts, as many as fit into one message.
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
