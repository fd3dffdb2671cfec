//! The versions that operators have named: which one an engine loads next, and which
//! ones may still begin a request.
//!
//! Versions may be named faster than they can be distributed. A version that is due
//! before the newest one could be loaded everywhere is loaded first; any other older
//! version is skipped.

use std::time::Duration;

use azurestand_types::Moment;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It observed the naming itself.
    Observed,
    /// The version was named before the process started; the time is an assumption.
    Assumed,
    /// A process that observed the naming reported it.
    Reported,
}

/// The versions of one model, as an entry knows them.
#[derive(Debug, Clone, Default)]
pub struct NamedVersions {
    /// In ascending order.
    named: Vec<(NamedVersion, Source)>,
}

impl NamedVersions {
    /// Records a version whose naming was observed at `since`; returns whether it is newer
    /// than all known ones.
    pub fn record_observed(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, Source::Observed)
    }

    /// Records a version that was named before this process started, at `since` at the
    /// latest as far as it can tell; returns whether it is newer than all known ones.
    pub fn record_assumed(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, Source::Assumed)
    }

    fn add(&mut self, named: NamedVersion, source: Source) -> bool {
        if named.version <= self.newest() {
            return false;
        }
        self.named.push((named, source));
        true
    }

    /// Records that another process knows a version; `since` is when it was named, none
    /// if that process doesn't know. The earliest of several reports counts, since other
    /// processes may have observed the naming late. A version that this process doesn't
    /// know was named before a newer one; without a time it counts as named at `before`.
    pub fn record_reported(&mut self, version: u64, since: Option<Moment>, before: Moment) {
        if version > self.newest() {
            // The store will report it.
            return;
        }
        let index = self
            .named
            .partition_point(|(named, _)| named.version < version);
        match self.named.get_mut(index) {
            Some((named, source)) if named.version == version => {
                let Some(since) = since.filter(|_| *source != Source::Observed) else {
                    return;
                };
                named.since = match source {
                    Source::Reported => named.since.min(since),
                    Source::Assumed | Source::Observed => since,
                };
                *source = Source::Reported;
            }
            _ => {
                let source = since.map_or(Source::Assumed, |_| Source::Reported);
                let since = since.unwrap_or(before);
                let named = NamedVersion { version, since };
                self.named.insert(index, (named, source));
            }
        }
    }

    /// Whether this version was named.
    pub fn contains(&self, version: u64) -> bool {
        self.named.iter().any(|(named, _)| named.version == version)
    }

    /// The newest version; 0 before any was named.
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |(named, _)| named.version)
    }

    /// The oldest version that may still begin a request, when a version may begin none
    /// from `limit` after the naming of the next one.
    pub fn oldest(&self, now: Moment, limit: Duration) -> u64 {
        let mut newest_first = self.named.iter().rev();
        let due = newest_first.find(|(named, _)| now.since(named.since) >= limit);
        due.map_or(0, |(named, _)| named.version)
    }
}
