//! Chunks on their way to this host.

use std::collections::BTreeMap;

use azurestand_types::{Digest, Moment};

use super::peers::Place;
use crate::event::Source;

/// The link that a chunk comes over; each has its own bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    Near,
    Cross,
    Upstream,
}

impl From<Place> for Lane {
    fn from(place: Place) -> Self {
        match place {
            Place::Centre | Place::Region => Self::Near,
            Place::Cross => Self::Cross,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flight {
    pub(crate) source: Source,
    pub(crate) lane: Lane,
    pub(crate) length: u32,
    pub(crate) since: Moment,
    pub(crate) deadline: Moment,
}

/// All chunks in flight; near the end one chunk may have two sources.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    chunks: BTreeMap<Digest, Vec<Flight>>,
    lanes: BTreeMap<Lane, usize>,
    bytes: u64,
}

impl Flights {
    pub(crate) fn add(&mut self, digest: Digest, flight: Flight) {
        *self.lanes.entry(flight.lane).or_default() += 1;
        self.bytes += u64::from(flight.length);
        self.chunks.entry(digest).or_default().push(flight);
    }

    pub(crate) fn remove(&mut self, digest: Digest, source: &Source) -> Option<Flight> {
        let flights = self.chunks.get_mut(&digest)?;
        let index = flights.iter().position(|flight| flight.source == *source)?;
        let flight = flights.remove(index);
        if flights.is_empty() {
            self.chunks.remove(&digest);
        }
        self.bytes -= u64::from(flight.length);
        if let Some(count) = self.lanes.get_mut(&flight.lane) {
            *count -= 1;
        }
        Some(flight)
    }

    pub(crate) fn get(&self, digest: Digest) -> &[Flight] {
        self.chunks.get(&digest).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn contains(&self, digest: Digest) -> bool {
        self.chunks.contains_key(&digest)
    }

    pub(crate) fn count(&self, lane: Lane) -> usize {
        self.lanes.get(&lane).copied().unwrap_or(0)
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The chunks and sources for which `test` holds.
    pub(crate) fn select<T>(&self, test: T) -> Vec<(Digest, Source)>
    where
        T: Fn(&Digest, &Flight) -> bool,
    {
        let all = self.chunks.iter();
        all.flat_map(|(digest, flights)| flights.iter().map(move |flight| (digest, flight)))
            .filter(|(digest, flight)| test(digest, flight))
            .map(|(digest, flight)| (*digest, flight.source.clone()))
            .collect()
    }
}
