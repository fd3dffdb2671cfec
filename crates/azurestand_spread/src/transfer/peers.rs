//! The state of the other hosts, as this one knows it.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};

use crate::bitmap::Bitmap;
use crate::event::{Peer, Site};

const MAX_FAILURES: u32 = 6;

/// An odd multiplier that spreads small differences over the upper bits.
const HASH_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where another host is, relative to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Locality {
    Centre,
    Region,
    Cross,
}

impl Locality {
    pub(crate) fn of(site: &Site, peer: &Peer) -> Self {
        if peer.centre == site.centre {
            Self::Centre
        } else if peer.region == site.region {
            Self::Region
        } else {
            Self::Cross
        }
    }
}

/// The chunks of one version that a host announced.
#[derive(Debug)]
pub(crate) struct Announced {
    pub(crate) bits: Bitmap,
    pub(crate) sequence: u64,
}

#[derive(Debug)]
pub(crate) struct Neighbour {
    pub(crate) peer: Peer,
    pub(crate) locality: Locality,
    pub(crate) announced: BTreeMap<Digest, Announced>,
    /// Versions that this host subscribed to there, and when it last did.
    pub(crate) outbound_subs: BTreeMap<Digest, Moment>,
    /// Versions that it subscribed to here, and when each subscription ends.
    pub(crate) inbound_subs: BTreeMap<Digest, Moment>,
    /// Versions that it declined, and until when it isn't asked again.
    pub(crate) declined: BTreeMap<Digest, Moment>,
    /// Chunks requested from it that haven't arrived.
    pub(crate) pending: usize,
    /// Failures, less one for each success since.
    pub(crate) failures: u32,
    /// Its announcements are ignored and nothing is requested from it before this
    /// moment, since it sent corrupt chunks or was slow.
    pub(crate) ignored_until: Moment,
    /// Nothing is requested from it before this moment, since it was busy.
    pub(crate) paused_until: Moment,
    /// A random number that breaks ties between hosts.
    tie_break: u64,
}

impl Neighbour {
    pub(crate) fn new(peer: Peer, locality: Locality, tie_break: u64) -> Self {
        Self {
            peer,
            locality,
            announced: BTreeMap::new(),
            outbound_subs: BTreeMap::new(),
            inbound_subs: BTreeMap::new(),
            declined: BTreeMap::new(),
            pending: 0,
            failures: 0,
            ignored_until: Moment::START,
            paused_until: Moment::START,
            tie_break,
        }
    }

    /// A rank to break ties, different for each `salt`.
    pub(crate) fn rank(&self, salt: u64) -> u64 {
        (self.tie_break ^ salt).wrapping_mul(HASH_FACTOR) >> 32
    }

    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.ignored_until <= now && self.paused_until <= now
    }

    /// Ignores it for a while, longer with each failure.
    pub(crate) fn record_failure(&mut self, base: Duration, now: Moment) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        self.ignored_until = now + base * (1 << (self.failures - 1));
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }
}

/// The other hosts, by name.
///
/// Most hosts of a large fleet never exchange messages. Those that do are listed
/// separately, so that searches cover only a few.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    slots: Vec<Option<Neighbour>>,
    names: BTreeMap<HostName, usize>,
    active: Vec<usize>,
}

impl Peers {
    pub(crate) fn get(&self, host: &HostName) -> Option<&Neighbour> {
        self.slots[*self.names.get(host)?].as_ref()
    }

    pub(crate) fn get_mut(&mut self, host: &HostName) -> Option<&mut Neighbour> {
        self.slots[*self.names.get(host)?].as_mut()
    }

    /// Adds a host to the active ones and returns it.
    pub(crate) fn activate(&mut self, host: &HostName) -> Option<&mut Neighbour> {
        let slot = *self.names.get(host)?;
        if !self.active.contains(&slot) {
            self.active.push(slot);
        }
        self.slots[slot].as_mut()
    }

    pub(crate) fn insert(&mut self, neighbour: Neighbour) {
        let host = neighbour.peer.host.clone();
        self.remove(&host);
        let slot = self.slots.iter().position(Option::is_none);
        let slot = slot.unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(neighbour);
        self.names.insert(host, slot);
    }

    pub(crate) fn remove(&mut self, host: &HostName) {
        if let Some(slot) = self.names.remove(host) {
            self.slots[slot] = None;
            self.active.retain(|active| *active != slot);
        }
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &HostName> {
        self.names.keys()
    }

    /// All hosts, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Neighbour> {
        let slots = self.names.values();
        slots.filter_map(|slot| self.slots[*slot].as_ref())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Neighbour> {
        self.slots.iter_mut().flatten()
    }

    /// The active hosts, in the order in which they became active.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Neighbour> {
        let slots = self.active.iter();
        slots.filter_map(|slot| self.slots[*slot].as_ref())
    }
}
