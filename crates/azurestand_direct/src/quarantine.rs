//! Keeps parts of prompts that crash targets away from them.
//!
//! A target that crashes breaks all its requests, and any part of any of them may be the
//! cause. A part is *cleared* once a target has gone on writing an answer under it, so a
//! crash speaks only against the other parts of the requests that had nothing written yet.
//! A part is *suspected* after one crash as an answer began, and *quarantined* after two of
//! different targets under different requests. Requests with a suspected part go one at a
//! time, first from one entry, then from more; those with a quarantined part are refused.
//!
//! Entries exchange [`PartNotice`]s, which may be lost, repeated or reordered. A clearance
//! takes precedence over crashes.
//! [docs/QUARANTINE.md](../../../docs/QUARANTINE.md) gives the reasons.

mod cleared;
mod evidence;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

use crate::part::PartId;
use cleared::ClearedParts;
use evidence::Evidence;

pub use evidence::Crash;

/// How long a part stays quarantined after the last crash under it.
const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// How long crashes are remembered beyond that, so that one more quarantines it again.
const MEMORY_TIME: Duration = Duration::from_mins(10);
/// The most parts with known crashes.
const MAX_PARTS: usize = 128;
/// The time after which twice as many entries may send requests with a suspected part.
const DOUBLING_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a request with a suspected part keeps others back.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// The `Retry-After` of a request with a suspected part.
const SUSPECT_RETRY: Duration = Duration::from_millis(500);

/// What is known of a part with known crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its crashes prove nothing yet.
    Noted,
    /// Its requests go one at a time.
    Suspected,
    /// Its requests are refused.
    Quarantined,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// It may be sent to find out whether this suspected part crashes targets.
    Trial(PartId),
    /// It has a suspected part and may be tried again after this time.
    Suspected(PartId, Duration),
    /// It has a quarantined part and may be tried again after this time.
    Quarantined(PartId, Duration),
}

/// What an entry tells others of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartNotice {
    /// The part.
    pub part: PartId,
    /// The known crashes; none if the part is cleared.
    pub crashes: Vec<Crash>,
    /// Whether a target has written an answer under it.
    pub cleared: bool,
}

/// A change of a part's standing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// There is a new crash; its standing may be the same as before.
    Crashed(PartId, Standing),
    /// It was suspected or quarantined and is cleared.
    Cleared(PartId),
}

/// The result of merging a notice.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Merged {
    /// What changed here.
    pub change: Option<PartChange>,
    /// Whether the sender has to be told that the part is cleared.
    pub contradicts: bool,
}

#[derive(Debug, Clone, Default)]
struct PartRecord {
    evidence: Evidence,
    /// When a request with the part was last sent to find out more, if it is still open.
    trial: Option<Moment>,
}

impl PartRecord {
    fn standing(&self, now: Moment) -> Standing {
        if self.evidence.convicts() && now.since(self.evidence.last()) < QUARANTINE_TIME {
            Standing::Quarantined
        } else if self.evidence.suspects() {
            Standing::Suspected
        } else {
            Standing::Noted
        }
    }

    /// Since when requests with the suspected part may be tried.
    fn suspected_since(&self, now: Moment) -> Moment {
        let last = self.evidence.last();
        match self.standing(now) {
            Standing::Suspected if self.evidence.convicts() => last + QUARANTINE_TIME,
            Standing::Noted | Standing::Suspected | Standing::Quarantined => last,
        }
    }

    fn has_open_trial(&self, now: Moment) -> bool {
        self.trial.is_some_and(|at| now.since(at) < TRIAL_TIME)
    }
}

/// What one entry knows of parts that crash targets.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    own: Arc<str>,
    entries: Vec<Arc<str>>,
    records: BTreeMap<PartId, PartRecord>,
    cleared: ClearedParts,
}

impl Quarantine {
    /// Sets the name of this entry and those of all entries, which agree by them on who
    /// sends requests with a suspected part.
    pub fn set_entries(&mut self, own: Arc<str>, entries: Vec<Arc<str>>) {
        self.own = own;
        self.entries = entries;
    }

    /// Whether a request with these parts may be sent; `crashed` tells whether a target has
    /// already crashed under it.
    pub fn admit(&self, now: Moment, parts: &[PartId], crashed: bool) -> Admission {
        let mut admission = Admission::Free;
        if self.records.is_empty() {
            return admission;
        }
        for part in parts {
            let Some(record) = self.records.get(part) else {
                continue;
            };
            match self.standing_for(now, *part, record, parts) {
                Standing::Quarantined => {
                    let end = record.evidence.last() + QUARANTINE_TIME;
                    return Admission::Quarantined(*part, end.since(now));
                }
                Standing::Suspected if crashed || !self.may_try(now, *part, record) => {
                    admission = Admission::Suspected(*part, SUSPECT_RETRY);
                }
                Standing::Suspected if admission == Admission::Free => {
                    admission = Admission::Trial(*part);
                }
                Standing::Suspected | Standing::Noted => {}
            }
        }
        admission
    }

    /// The standing of `part` for a request with `parts`. Where another quarantined part, which
    /// the request doesn't have, was there at each crash too, it is only suspected.
    fn standing_for(
        &self,
        now: Moment,
        part: PartId,
        record: &PartRecord,
        parts: &[PartId],
    ) -> Standing {
        let standing = record.standing(now);
        if standing != Standing::Quarantined {
            return standing;
        }
        let explains = |(other, known): (&PartId, &PartRecord)| {
            *other != part
                && !parts.contains(other)
                && known.standing(now) == Standing::Quarantined
                && record.evidence.is_covered_by(&known.evidence)
        };
        if self.records.iter().any(explains) {
            Standing::Suspected
        } else {
            standing
        }
    }

    /// Whether this entry may send a request with the suspected part.
    fn may_try(&self, now: Moment, part: PartId, record: &PartRecord) -> bool {
        if record.has_open_trial(now) {
            return false;
        }
        let age = now.since(record.suspected_since(now));
        let doublings = age.as_millis() / DOUBLING_TIME.as_millis();
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let senders = 1_usize.checked_shl(doublings).unwrap_or(usize::MAX);
        self.rank(part) < senders
    }

    /// The number of entries that send requests with the suspected part before this one.
    fn rank(&self, part: PartId) -> usize {
        let key = part.0.to_be_bytes();
        let own = rendezvous::score(&key, &self.own);
        let others = self.entries.iter().filter(|entry| **entry != self.own);
        others
            .filter(|entry| rendezvous::score(&key, entry) > own)
            .count()
    }

    /// Records that a request was sent as a trial of a suspected part.
    pub fn record_trial(&mut self, now: Moment, part: PartId) {
        if let Some(record) = self.records.get_mut(&part) {
            record.trial = Some(now);
        }
    }

    /// Records that the trial of a part has ended before a target had the request.
    pub fn cancel_trial(&mut self, part: PartId) {
        if let Some(record) = self.records.get_mut(&part) {
            record.trial = None;
        }
    }

    /// Records that a target has gone on writing an answer under these parts; returns those
    /// that had been suspected.
    pub fn record_written(&mut self, now: Moment, parts: &[PartId]) -> Vec<PartChange> {
        let clear = |part: &PartId| self.clear(now, *part);
        parts.iter().filter_map(clear).collect()
    }

    fn clear(&mut self, now: Moment, part: PartId) -> Option<PartChange> {
        self.cleared.add(now, part);
        let record = self.records.remove(&part)?;
        let was_suspect = record.standing(now) != Standing::Noted;
        was_suspect.then_some(PartChange::Cleared(part))
    }

    /// Records that a target crashed under a request with these parts before it had written
    /// anything of the answer; returns what changed.
    pub fn record_crash(
        &mut self,
        now: Moment,
        crash: &Crash,
        parts: &[PartId],
    ) -> Vec<PartChange> {
        let record = |part: &PartId| self.add_crashes(now, *part, vec![crash.clone()]);
        parts.iter().filter_map(record).collect()
    }

    fn add_crashes(
        &mut self,
        now: Moment,
        part: PartId,
        crashes: Vec<Crash>,
    ) -> Option<PartChange> {
        let is_cleared = self.cleared.contains(now, part);
        if is_cleared || crashes.is_empty() || !self.has_room(now, part) {
            return None;
        }
        let record = self.records.entry(part).or_default();
        let mut is_new = false;
        for crash in crashes {
            is_new |= record.evidence.add(crash);
        }
        if is_new {
            record.trial = None;
        }
        is_new.then(|| PartChange::Crashed(part, record.standing(now)))
    }

    /// Whether a part can be recorded; drops the oldest one that isn't quarantined for it.
    fn has_room(&mut self, now: Moment, part: PartId) -> bool {
        if self.records.len() < MAX_PARTS || self.records.contains_key(&part) {
            return true;
        }
        let others = self.records.iter();
        let others = others.filter(|(_, record)| record.standing(now) != Standing::Quarantined);
        let oldest = others.min_by_key(|(_, record)| record.evidence.last());
        let oldest = oldest.map(|(part, _)| *part);
        oldest.is_some_and(|oldest| self.records.remove(&oldest).is_some())
    }

    /// Merges what another entry tells.
    pub fn merge(&mut self, now: Moment, notice: PartNotice) -> Merged {
        if notice.cleared {
            return Merged {
                change: self.clear(now, notice.part),
                contradicts: false,
            };
        }
        if self.cleared.contains(now, notice.part) {
            return Merged {
                change: None,
                contradicts: true,
            };
        }
        Merged {
            change: self.add_crashes(now, notice.part, notice.crashes),
            contradicts: false,
        }
    }

    /// What this entry knows of a part.
    pub fn notice(&mut self, now: Moment, part: PartId) -> PartNotice {
        let record = self.records.get(&part);
        PartNotice {
            part,
            crashes: record.map_or_else(Vec::new, |record| record.evidence.crashes().to_vec()),
            cleared: self.cleared.contains(now, part),
        }
    }

    /// What this entry knows of all parts with known crashes.
    pub fn notices(&mut self, now: Moment) -> Vec<PartNotice> {
        let parts: Vec<PartId> = self.records.keys().copied().collect();
        let notices = parts.into_iter().map(|part| self.notice(now, part));
        notices.collect()
    }

    /// Forgets the parts without a crash for a long time.
    pub fn expire(&mut self, now: Moment) {
        let limit = QUARANTINE_TIME + MEMORY_TIME;
        self.records
            .retain(|_, record| now.since(record.evidence.last()) < limit);
    }

    /// The numbers of suspected and of quarantined parts.
    pub fn counts(&self, now: Moment) -> (usize, usize) {
        let count = |standing| {
            let records = self.records.values();
            records
                .filter(|record| record.standing(now) == standing)
                .count()
        };
        (count(Standing::Suspected), count(Standing::Quarantined))
    }
}
