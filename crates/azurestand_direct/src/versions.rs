//! The versions that operators have named: which one an engine is to load next,
//! and which ones may still begin a request.
//!
//! Versions may be named faster than they spread. A version whose bound ends
//! before the newest could be loaded is loaded on the way; any other one is
//! skipped.

use std::time::Duration;

use azurestand_types::Moment;

/// How long a version takes to reach an engine and to be loaded there.
const SPREAD_TIME: Duration = Duration::from_millis(4_800);

/// The time over which loads have to be spread, for enough engines to stay.
const LOAD_SPAN: Duration = Duration::from_secs(3);

/// A version that operators have named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// When this process learned of it.
    pub since: Moment,
}

/// The version to load next at an engine that holds `held`; `named` is in
/// ascending order, and each has to be in use everywhere within `bound`.
pub fn next_version(
    now: Moment,
    named: &[NamedVersion],
    held: u64,
    bound: Duration,
) -> Option<u64> {
    let newest = named.last().filter(|newest| newest.version > held)?;
    let reached = newest.since + SPREAD_TIME + LOAD_SPAN;
    let on_the_way = named.iter().find(|one| {
        let due = one.since + bound;
        one.version > held && due > now && due < reached
    });
    Some(on_the_way.unwrap_or(newest).version)
}

/// When an engine that holds `held` is of no use any more: at the bound of the first
/// version after it, whichever version the engine loads; none if there is none.
pub fn useful_until(named: &[NamedVersion], held: u64, bound: Duration) -> Option<Moment> {
    let later = named.iter().filter(|one| one.version > held);
    later.map(|one| one.since + bound).min()
}

/// How a process knows since when a version is named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It saw the naming itself.
    Seen,
    /// The version was named before the process started.
    Assumed,
    /// A process that saw the naming told.
    Told,
}

/// The versions of one model as an entry knows them.
#[derive(Debug, Clone, Default)]
pub struct NamedVersions {
    /// In ascending order.
    named: Vec<(NamedVersion, Source)>,
}

impl NamedVersions {
    /// Takes in that a version was named now; gives whether it is a newer one.
    pub fn see(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, Source::Seen)
    }

    /// Takes in a version that was named before this process started, `since` at the
    /// latest as far as it can tell; gives whether it is a newer one.
    pub fn find(&mut self, version: u64, since: Moment) -> bool {
        self.add(NamedVersion { version, since }, Source::Assumed)
    }

    fn add(&mut self, named: NamedVersion, source: Source) -> bool {
        if named.version <= self.newest() {
            return false;
        }
        self.named.push((named, source));
        true
    }

    /// Takes in that another process knows of a version; `since` is when it was named,
    /// none if that process can't tell. Of several the earliest counts,
    /// since others may have seen it late. A version that this process never heard of
    /// was named before a newer one; without a moment it counts as named at `before`.
    pub fn tell(&mut self, version: u64, since: Option<Moment>, before: Moment) {
        if version > self.newest() {
            // The store will tell.
            return;
        }
        let place = self
            .named
            .partition_point(|(named, _)| named.version < version);
        match self.named.get_mut(place) {
            Some((named, source)) if named.version == version => {
                let Some(since) = since.filter(|_| *source != Source::Seen) else {
                    return;
                };
                named.since = match source {
                    Source::Told => named.since.min(since),
                    Source::Assumed | Source::Seen => since,
                };
                *source = Source::Told;
            }
            _ => {
                let source = since.map_or(Source::Assumed, |_| Source::Told);
                let since = since.unwrap_or(before);
                let named = NamedVersion { version, since };
                self.named.insert(place, (named, source));
            }
        }
    }

    /// Whether this version was named.
    pub fn has(&self, version: u64) -> bool {
        self.named.iter().any(|(named, _)| named.version == version)
    }

    /// The newest version; 0 before any was named.
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |(named, _)| named.version)
    }

    /// The oldest version that may still begin a request, when each may begin none
    /// from `limit` after the naming of the next one.
    pub fn oldest(&self, now: Moment, limit: Duration) -> u64 {
        let mut newest_first = self.named.iter().rev();
        let due = newest_first.find(|(named, _)| now.since(named.since) >= limit);
        due.map_or(0, |(named, _)| named.version)
    }
}
