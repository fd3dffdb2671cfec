//! The versions that operators have named: which one an engine loads next, and which
//! ones may still begin a request.
//!
//! Versions may be named faster than they can be distributed. A version that is due
//! before the newest one could be loaded everywhere is loaded first; any other older
//! version is skipped.

use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;

/// How long a version takes to reach an engine and be loaded there.
const SPREAD_TIME: Duration = Duration::from_millis(4_800);

/// The time over which loads have to be spread, so that enough engines keep serving.
const LOAD_SPAN: Duration = Duration::from_secs(3);

/// A version that operators have named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// When it was named, as far as this process knows.
    pub since: Moment,
}

/// The version that an engine that holds `held` loads next. `named` is in ascending
/// order, and each version has to be in use everywhere within `bound` of its naming.
pub fn next_version(
    now: Moment,
    named: &[NamedVersion],
    held: u64,
    bound: Duration,
) -> Option<u64> {
    let newest = named.last().filter(|newest| newest.version > held)?;
    let loaded_everywhere = newest.since + SPREAD_TIME + LOAD_SPAN;
    let intermediate = named.iter().find(|candidate| {
        let due = candidate.since + bound;
        candidate.version > held && due > now && due < loaded_everywhere
    });
    Some(intermediate.unwrap_or(newest).version)
}

/// The time from which an engine that holds `held` may serve no more requests: the bound
/// of the first version after it, whichever version the engine loads; none if no later
/// version is named.
pub fn useful_until(named: &[NamedVersion], held: u64, bound: Duration) -> Option<Moment> {
    let later = named.iter().filter(|named| named.version > held);
    later.map(|named| named.since + bound).min()
}

/// How a process knows when a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NamingSource {
    /// It observed the naming itself.
    #[display("observed")]
    Observed,
    /// The version may have been named at any time from this one on: the process had just
    /// started, or it or the entry that relays updates to it had stalled.
    #[display("assumed")]
    Assumed,
    /// The store had failed for this process; the time is that of its recovery.
    #[display("recovered")]
    Recovered,
    /// A process that observed the naming reported it.
    #[display("reported")]
    Reported,
}

/// A named version, and how its naming time is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Naming {
    /// The version, and since when it counts as named.
    pub named: NamedVersion,
    /// How that time is known.
    pub source: NamingSource,
}

/// The versions of one model, as an entry knows them.
#[derive(Debug, Clone, Default)]
pub struct NamedVersions {
    /// In ascending order.
    named: Vec<Naming>,
}

impl NamedVersions {
    /// Records a version whose naming was observed at `since`; returns whether it is newer
    /// than all known ones.
    pub fn record_observed(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, NamingSource::Observed)
    }

    /// Records a version that may have been named at any time from `since` on; returns
    /// whether it is newer than all known ones.
    pub fn record_assumed(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, NamingSource::Assumed)
    }

    /// Records a version that the store reported when it recovered at `since`; returns
    /// whether it is newer than all known ones.
    pub fn record_recovered(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, NamingSource::Recovered)
    }

    fn add(&mut self, named: NamedVersion, source: NamingSource) -> bool {
        if named.version <= self.newest() {
            return false;
        }
        self.named.push(Naming { named, source });
        true
    }

    /// What is known of this version; none if it was not named.
    pub fn get(&self, version: u64) -> Option<&Naming> {
        self.named
            .iter()
            .find(|naming| naming.named.version == version)
    }

    /// The time from which no request may begin on `held`, when each version has to be in
    /// use everywhere within `bound` of its naming; none if no later version is named.
    pub fn useful_until(&self, held: u64, bound: Duration) -> Option<Moment> {
        let named: Vec<NamedVersion> = self.named.iter().map(|naming| naming.named).collect();
        useful_until(&named, held, bound)
    }

    /// Records that another process knows a version; `since` is when it was named, none
    /// if that process doesn't know. The earliest observation counts, since this process
    /// and others may have observed the naming late. A version that this process doesn't
    /// know was named before a newer one. Without a time it counts from the recovery that
    /// brought the newer one, if the store had failed for this process, or else from `before`.
    pub fn record_reported(&mut self, version: u64, since: Option<Moment>, before: Moment) {
        if version > self.newest() {
            // The store will report it.
            return;
        }
        let index = self
            .named
            .partition_point(|naming| naming.named.version < version);
        match self.named.get_mut(index) {
            Some(Naming { named, source }) if named.version == version => {
                let is_assumed = *source == NamingSource::Assumed;
                let Some(since) = since.filter(|since| is_assumed || *since < named.since) else {
                    return;
                };
                named.since = since;
                *source = NamingSource::Reported;
            }
            _ => {
                let next = self.named.get(index);
                let hidden = next.filter(|next| next.source == NamingSource::Recovered);
                let (since, source) = match (since, hidden) {
                    (Some(since), _) => (since, NamingSource::Reported),
                    (None, Some(next)) => (next.named.since, NamingSource::Recovered),
                    (None, None) => (before, NamingSource::Assumed),
                };
                let named = NamedVersion { version, since };
                self.named.insert(index, Naming { named, source });
            }
        }
    }

    /// Whether this version was named.
    pub fn contains(&self, version: u64) -> bool {
        self.get(version).is_some()
    }

    /// The newest version; 0 before any was named.
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |naming| naming.named.version)
    }

    /// The oldest version that may still begin a request, when a version may begin none
    /// from `limit` after the naming of the next one.
    pub fn oldest(&self, now: Moment, limit: Duration) -> u64 {
        let mut newest_first = self.named.iter().rev().map(|naming| naming.named);
        let due = newest_first.find(|named| now.since(named.since) >= limit);
        due.map_or(0, |named| named.version)
    }
}
