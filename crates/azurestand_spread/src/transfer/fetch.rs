//! The fetches in progress.

use std::collections::BTreeMap;

use azurestand_types::{Digest, Moment};

use super::peers::Locality;
use crate::event::Source;

/// The kind of link that a chunk comes over; each kind has its own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LinkKind {
    Near,
    Cross,
    Upstream,
}

impl From<Locality> for LinkKind {
    fn from(locality: Locality) -> Self {
        match locality {
            Locality::Centre | Locality::Region => Self::Near,
            Locality::Cross => Self::Cross,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fetch {
    pub(crate) source: Source,
    pub(crate) kind: LinkKind,
    pub(crate) length: u32,
    pub(crate) started: Moment,
    pub(crate) deadline: Moment,
}

/// All fetches in progress; near the end one chunk may be fetched from two sources.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    chunks: BTreeMap<Digest, Vec<Fetch>>,
    counts: BTreeMap<LinkKind, usize>,
    bytes: u64,
}

impl Fetches {
    pub(crate) fn add(&mut self, digest: Digest, fetch: Fetch) {
        *self.counts.entry(fetch.kind).or_default() += 1;
        self.bytes += u64::from(fetch.length);
        self.chunks.entry(digest).or_default().push(fetch);
    }

    pub(crate) fn remove(&mut self, digest: Digest, source: &Source) -> Option<Fetch> {
        let fetches = self.chunks.get_mut(&digest)?;
        let index = fetches.iter().position(|fetch| fetch.source == *source)?;
        let fetch = fetches.remove(index);
        if fetches.is_empty() {
            self.chunks.remove(&digest);
        }
        self.bytes -= u64::from(fetch.length);
        if let Some(count) = self.counts.get_mut(&fetch.kind) {
            *count -= 1;
        }
        Some(fetch)
    }

    pub(crate) fn get(&self, digest: Digest) -> &[Fetch] {
        self.chunks.get(&digest).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn contains(&self, digest: Digest) -> bool {
        self.chunks.contains_key(&digest)
    }

    pub(crate) fn count(&self, kind: LinkKind) -> usize {
        self.counts.get(&kind).copied().unwrap_or(0)
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The chunks and sources for which `test` holds.
    pub(crate) fn select<T>(&self, test: T) -> Vec<(Digest, Source)>
    where
        T: Fn(&Digest, &Fetch) -> bool,
    {
        let all = self.chunks.iter();
        all.flat_map(|(digest, fetches)| fetches.iter().map(move |fetch| (digest, fetch)))
            .filter(|(digest, fetch)| test(digest, fetch))
            .map(|(digest, fetch)| (*digest, fetch.source.clone()))
            .collect()
    }
}
