//! What this host knows of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};

use crate::bitmap::Bitmap;
use crate::event::{Peer, Site};

const MAX_STRIKES: u32 = 6;

/// An odd factor that spreads small differences over the upper bits.
const SPREAD_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where another host stands, seen from this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    Centre,
    Region,
    Cross,
}

impl Place {
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

/// What a host said it holds of one version.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) bits: Bitmap,
    pub(crate) sequence: u64,
}

#[derive(Debug)]
pub(crate) struct Neighbour {
    pub(crate) peer: Peer,
    pub(crate) place: Place,
    pub(crate) heard: BTreeMap<Digest, Heard>,
    /// Versions that this host subscribed to there, and when last.
    pub(crate) subscribed: BTreeMap<Digest, Moment>,
    /// Versions that it subscribed to here, and until when.
    pub(crate) listens: BTreeMap<Digest, Moment>,
    /// Versions that it said it doesn't take, and until when that is believed.
    pub(crate) declined: BTreeMap<Digest, Moment>,
    /// Chunks asked of it and not yet here.
    pub(crate) asked: usize,
    /// Failures not yet made up for by successes.
    pub(crate) strikes: u32,
    /// Not asked, nor believed, before this moment, since it lied or was slow.
    pub(crate) muted: Moment,
    /// Not asked before this moment, since it was busy.
    pub(crate) resting: Moment,
    /// A random number that breaks ties between hosts.
    mix: u64,
}

impl Neighbour {
    pub(crate) fn new(peer: Peer, place: Place, mix: u64) -> Self {
        Self {
            peer,
            place,
            heard: BTreeMap::new(),
            subscribed: BTreeMap::new(),
            listens: BTreeMap::new(),
            declined: BTreeMap::new(),
            asked: 0,
            strikes: 0,
            muted: Moment::START,
            resting: Moment::START,
            mix,
        }
    }

    /// A rank among equals that differs with each `salt`.
    pub(crate) fn rank(&self, salt: u64) -> u64 {
        (self.mix ^ salt).wrapping_mul(SPREAD_FACTOR) >> 32
    }

    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.muted <= now && self.resting <= now
    }

    /// Puts it at the back of the order, for longer with each failure.
    pub(crate) fn strike(&mut self, base: Duration, now: Moment) {
        self.strikes = (self.strikes + 1).min(MAX_STRIKES);
        self.muted = now + base * (1 << (self.strikes - 1));
    }

    pub(crate) fn succeed(&mut self) {
        self.strikes = self.strikes.saturating_sub(1);
    }
}

/// The other hosts, by name.
///
/// Most hosts of a large fleet are only names to each other; those with which
/// there is any dealing are listed apart, so that searches pass over few.
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

    /// A host that is dealt with from now on.
    pub(crate) fn engage(&mut self, host: &HostName) -> Option<&mut Neighbour> {
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

    /// All hosts in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Neighbour> {
        let slots = self.names.values();
        slots.filter_map(|slot| self.slots[*slot].as_ref())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Neighbour> {
        self.slots.iter_mut().flatten()
    }

    /// The hosts that were engaged, in the order in which that happened.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Neighbour> {
        let slots = self.active.iter();
        slots.filter_map(|slot| self.slots[*slot].as_ref())
    }
}
