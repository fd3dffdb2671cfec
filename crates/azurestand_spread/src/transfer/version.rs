//! The state of one wanted version on this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, Moment};

use super::order::Orders;
use super::peers::Locality;
use crate::bitmap::Bitmap;
use crate::manifest::Manifest;
use crate::progress::{Progress, SourceBytes};

#[derive(Debug)]
pub(crate) struct VersionState {
    pub(crate) manifest: Arc<Manifest>,
    /// Chunks held and verified.
    pub(crate) have: Bitmap,
    /// Chunks in flight from any source.
    pub(crate) in_flight: Bitmap,
    /// Chunks not yet held.
    pub(crate) missing: usize,
    /// How many known hosts hold each chunk, by locality.
    pub(crate) counts: Counts,
    pub(crate) orders: Orders,
    /// Hosts to subscribe to beyond the usual number.
    pub(crate) extra_peers: usize,
    pub(crate) started: Moment,
    /// Whether other hosts had the chance to announce their chunks, so that designated
    /// hosts may fetch.
    pub(crate) peers_known: bool,
    /// When a chunk was last verified.
    pub(crate) last_gain: Moment,
    /// When another region last announced or delivered something new.
    pub(crate) last_offer: Moment,
    pub(crate) completed: Option<Moment>,
    /// Announcements to hosts of this region.
    pub(crate) near: Announcements,
    /// Announcements to hosts of other regions.
    pub(crate) far: Announcements,
    pub(crate) source_bytes: SourceBytes,
    pub(crate) received: u64,
    /// Length of the longest chunk in bytes; time-outs are computed from it.
    pub(crate) longest: u64,
    indexes: BTreeMap<Digest, Vec<usize>>,
}

/// The state of announcements to one group of hosts.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    pending: bool,
    /// Sent without waiting for the interval, since no further change follows.
    urgent: bool,
    last: Moment,
}

impl Announcements {
    fn record_change(&mut self, urgent: bool) {
        self.pending = true;
        self.urgent |= urgent;
    }

    /// Whether there is a change to announce and the interval has passed.
    pub(crate) fn is_due(&self, interval: Duration, now: Moment) -> bool {
        self.pending && (self.urgent || now.since(self.last) >= interval)
    }

    /// Records that the change was announced.
    pub(crate) fn record_sent(&mut self, now: Moment) {
        self.pending = false;
        self.urgent = false;
        self.last = now;
    }
}

#[derive(Debug)]
pub(crate) struct Counts {
    centre: Vec<u16>,
    region: Vec<u16>,
    cross: Vec<u16>,
}

impl Counts {
    fn new(length: usize) -> Self {
        Self {
            centre: vec![0; length],
            region: vec![0; length],
            cross: vec![0; length],
        }
    }

    pub(crate) fn of(&self, locality: Locality) -> &[u16] {
        match locality {
            Locality::Centre => &self.centre,
            Locality::Region => &self.region,
            Locality::Cross => &self.cross,
        }
    }

    /// Hosts of this region that hold chunk `index`.
    pub(crate) fn near(&self, index: usize) -> u16 {
        self.centre[index] + self.region[index]
    }

    /// Replaces the bits of one host; returns whether it gained any.
    pub(crate) fn replace(
        &mut self,
        locality: Locality,
        old: Option<&Bitmap>,
        new: &Bitmap,
    ) -> bool {
        let counts = match locality {
            Locality::Centre => &mut self.centre,
            Locality::Region => &mut self.region,
            Locality::Cross => &mut self.cross,
        };
        let mut gained = false;
        for (index, value) in new.changes(old) {
            if value {
                counts[index] += 1;
                gained = true;
            } else {
                counts[index] -= 1;
            }
        }
        gained
    }
}

impl VersionState {
    pub(crate) fn new(manifest: Arc<Manifest>, now: Moment) -> Self {
        let length = manifest.chunks().len();
        let mut indexes: BTreeMap<Digest, Vec<usize>> = BTreeMap::new();
        for (index, chunk) in manifest.chunks().iter().enumerate() {
            indexes.entry(chunk.digest).or_default().push(index);
        }
        let longest = manifest.chunks().iter().map(|chunk| chunk.length).max();
        Self {
            have: Bitmap::new(length),
            in_flight: Bitmap::new(length),
            missing: length,
            counts: Counts::new(length),
            orders: Orders::default(),
            extra_peers: 0,
            started: now,
            peers_known: false,
            last_gain: now,
            last_offer: now,
            completed: None,
            near: Announcements::default(),
            far: Announcements::default(),
            source_bytes: SourceBytes::default(),
            received: 0,
            longest: u64::from(longest.unwrap_or(1)),
            indexes,
            manifest,
        }
    }

    pub(crate) fn id(&self) -> Digest {
        self.manifest.digest()
    }

    pub(crate) fn len(&self) -> usize {
        self.manifest.chunks().len()
    }

    pub(crate) fn needs(&self, digest: Digest) -> bool {
        self.indexes
            .get(&digest)
            .is_some_and(|indexes| !self.have.get(indexes[0]))
    }

    pub(crate) fn contains(&self, digest: Digest) -> bool {
        self.indexes.contains_key(&digest)
    }

    /// The first index of a chunk in the manifest.
    pub(crate) fn index_of(&self, digest: Digest) -> Option<usize> {
        self.indexes.get(&digest).map(|indexes| indexes[0])
    }

    pub(crate) fn set_in_flight(&mut self, digest: Digest, value: bool) {
        for &index in self.indexes.get(&digest).into_iter().flatten() {
            self.in_flight.set(index, value);
        }
    }

    /// Marks a verified chunk as held; returns whether it was missing.
    pub(crate) fn mark_held(&mut self, digest: Digest, now: Moment) -> bool {
        let mut added = 0;
        for &index in self.indexes.get(&digest).into_iter().flatten() {
            added += usize::from(self.have.set(index, true));
        }
        self.missing -= added;
        if added > 0 {
            self.last_gain = now;
            let completed = self.missing == 0;
            self.near.record_change(completed);
            self.far.record_change(completed);
        }
        added > 0
    }

    /// Whether chunk `index` is neither held nor in flight.
    pub(crate) fn is_open(&self, index: usize) -> bool {
        !self.have.get(index) && !self.in_flight.get(index)
    }

    pub(crate) fn missing_bytes(&self) -> u64 {
        self.missing as u64 * self.longest
    }

    pub(crate) fn progress(&self, now: Moment) -> Progress {
        let held = |&(index, _): &(usize, _)| self.have.get(index);
        let chunks = self.manifest.chunks().iter().enumerate();
        let bytes = chunks
            .filter(held)
            .map(|(_, chunk)| u64::from(chunk.length));
        let bytes = bytes.sum();
        let age = self.completed.unwrap_or(now).since(self.started);
        let remaining = remaining(age, self.received, self.manifest.size() - bytes);
        Progress {
            model: self.manifest.model().clone(),
            version: self.manifest.version().clone(),
            manifest: self.id(),
            held: self.have.count(),
            wanted: self.len(),
            bytes,
            size: self.manifest.size(),
            source_bytes: self.source_bytes,
            age,
            remaining,
        }
    }
}

/// The time that `left` bytes take if they come as fast as those `received` over `age`.
fn remaining(age: Duration, received: u64, left: u64) -> Option<Duration> {
    let total = age.as_micros().saturating_mul(u128::from(left));
    let micros = total.checked_div(u128::from(received))?;
    u64::try_from(micros).ok().map(Duration::from_micros)
}
