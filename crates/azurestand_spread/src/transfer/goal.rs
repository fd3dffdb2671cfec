//! One wanted version's state on this host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, Moment};

use super::order::Orders;
use super::peers::Place;
use crate::bitmap::Bitmap;
use crate::manifest::Manifest;
use crate::progress::{Progress, Sourced};

#[derive(Debug)]
pub(crate) struct Goal {
    pub(crate) manifest: Arc<Manifest>,
    /// Chunks held and verified.
    pub(crate) have: Bitmap,
    /// Chunks in flight from anywhere.
    pub(crate) busy: Bitmap,
    /// Chunks not yet held.
    pub(crate) missing: usize,
    /// How many known hosts hold each chunk, by where they stand.
    pub(crate) counts: Counts,
    pub(crate) orders: Orders,
    /// Hosts to listen to beyond the usual number.
    pub(crate) extra: usize,
    pub(crate) begun: Moment,
    /// The other hosts were heard, so that drawing may begin.
    pub(crate) settled: bool,
    /// When a chunk was last verified.
    pub(crate) grown: Moment,
    /// When another region last offered or delivered something new.
    pub(crate) offered: Moment,
    pub(crate) ended: Option<Moment>,
    /// Announcements to hosts of this region.
    pub(crate) near: Bulletin,
    /// Announcements to hosts of other regions.
    pub(crate) far: Bulletin,
    pub(crate) sourced: Sourced,
    pub(crate) received: u64,
    /// Length of the longest chunk in bytes; times are reckoned with it.
    pub(crate) longest: u64,
    places: BTreeMap<Digest, Vec<usize>>,
}

/// When to announce a change.
#[derive(Debug, Default)]
pub(crate) struct Bulletin {
    pending: bool,
    /// Goes out without waiting, since nothing follows it.
    urgent: bool,
    last: Moment,
}

impl Bulletin {
    fn change(&mut self, urgent: bool) {
        self.pending = true;
        self.urgent |= urgent;
    }

    /// Whether there is something to announce and time for it.
    pub(crate) fn is_due(&self, interval: Duration, now: Moment) -> bool {
        self.pending && (self.urgent || now.since(self.last) >= interval)
    }

    /// Takes note that the change is announced now.
    pub(crate) fn publish(&mut self, now: Moment) {
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

    pub(crate) fn of(&self, place: Place) -> &[u16] {
        match place {
            Place::Centre => &self.centre,
            Place::Region => &self.region,
            Place::Cross => &self.cross,
        }
    }

    /// Hosts of this region that hold chunk `index`.
    pub(crate) fn near(&self, index: usize) -> u16 {
        self.centre[index] + self.region[index]
    }

    /// Replaces one host's bits; tells whether it gained any.
    pub(crate) fn replace(&mut self, place: Place, old: Option<&Bitmap>, new: &Bitmap) -> bool {
        let counts = match place {
            Place::Centre => &mut self.centre,
            Place::Region => &mut self.region,
            Place::Cross => &mut self.cross,
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

impl Goal {
    pub(crate) fn new(manifest: Arc<Manifest>, now: Moment) -> Self {
        let length = manifest.chunks().len();
        let mut places: BTreeMap<Digest, Vec<usize>> = BTreeMap::new();
        for (index, chunk) in manifest.chunks().iter().enumerate() {
            places.entry(chunk.digest).or_default().push(index);
        }
        let longest = manifest.chunks().iter().map(|chunk| chunk.length).max();
        Self {
            have: Bitmap::new(length),
            busy: Bitmap::new(length),
            missing: length,
            counts: Counts::new(length),
            orders: Orders::default(),
            extra: 0,
            begun: now,
            settled: false,
            grown: now,
            offered: now,
            ended: None,
            near: Bulletin::default(),
            far: Bulletin::default(),
            sourced: Sourced::default(),
            received: 0,
            longest: u64::from(longest.unwrap_or(1)),
            places,
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
        self.places
            .get(&digest)
            .is_some_and(|places| !self.have.get(places[0]))
    }

    pub(crate) fn contains(&self, digest: Digest) -> bool {
        self.places.contains_key(&digest)
    }

    /// The first place of a chunk in the manifest.
    pub(crate) fn place(&self, digest: Digest) -> Option<usize> {
        self.places.get(&digest).map(|places| places[0])
    }

    pub(crate) fn set_busy(&mut self, digest: Digest, value: bool) {
        for &index in self.places.get(&digest).into_iter().flatten() {
            self.busy.set(index, value);
        }
    }

    /// Marks a verified chunk as held; tells whether that was news.
    pub(crate) fn hold(&mut self, digest: Digest, now: Moment) -> bool {
        let mut news = 0;
        for &index in self.places.get(&digest).into_iter().flatten() {
            news += usize::from(self.have.set(index, true));
        }
        self.missing -= news;
        if news > 0 {
            self.grown = now;
            let ended = self.missing == 0;
            self.near.change(ended);
            self.far.change(ended);
        }
        news > 0
    }

    /// Whether chunk `index` is still to be asked for.
    pub(crate) fn open(&self, index: usize) -> bool {
        !self.have.get(index) && !self.busy.get(index)
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
        let age = self.ended.unwrap_or(now).since(self.begun);
        let remaining = remaining(age, self.received, self.manifest.size() - bytes);
        Progress {
            model: self.manifest.model().clone(),
            version: self.manifest.version().clone(),
            manifest: self.id(),
            held: self.have.count(),
            wanted: self.len(),
            bytes,
            size: self.manifest.size(),
            sourced: self.sourced,
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
