//! Where the beginnings of prompts were seen last: a hint for the choice, never a truth.
//!
//! Engines answer a prompt faster when its beginning is in their cache. What
//! they say of their caches comes late and with gaps, so the table also notes
//! what this entry sent where, forgets by age, and counts what it learned
//! before a gap only half.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use azurestand_types::{BootId, Moment, TargetName};

/// Bytes of a prompt that one block covers.
const BLOCK_BYTES: usize = 256;
/// Blocks of one prompt that are looked at.
pub const MAX_BLOCKS: usize = 32;
/// Blocks remembered over all targets.
pub const MAX_PLACES: usize = 65_536;
/// Targets remembered for one block.
const MAX_HOLDERS: usize = 4;
/// The block that tells beginnings apart where nothing is known of caches.
const KEY_BLOCK: usize = 3;
const PLACE_LIFE: Duration = Duration::from_mins(10);

/// The beginning of a prompt, as one hash for each of its first blocks.
///
/// Each hash covers all bytes up to its block's end, so two prompts share a
/// hash only where they share everything before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Vec<u64>);

impl Prefix {
    /// The whole blocks at the beginning of `prompt`, at most 32.
    pub fn of(prompt: &[u8]) -> Self {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        Self(
            blocks
                .map(|block| {
                    for byte in block {
                        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
                    }
                    hash
                })
                .collect(),
        )
    }

    /// Blocks that an engine named itself, at most 32.
    pub fn from_blocks(mut blocks: Vec<u64>) -> Self {
        blocks.truncate(MAX_BLOCKS);
        Self(blocks)
    }

    /// What all prompts that share their first blocks have in common.
    pub(crate) fn key(&self) -> Option<u64> {
        self.0.get(KEY_BLOCK).or(self.0.last()).copied()
    }

    /// The hashes of its blocks, the first one first.
    pub fn blocks(&self) -> &[u64] {
        &self.0
    }
}

/// What changed in an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks are held now.
    Stored(Prefix),
    /// These blocks are held no longer.
    Dropped(Prefix),
    /// Nothing is held.
    Cleared,
}

/// An engine's word about its cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetName,
    /// The life of its process; a new one begins with an empty cache.
    pub boot: BootId,
    /// Counts the life's events, from 1 on; a jump is a gap.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

#[derive(Debug, Clone, Default)]
struct Feed {
    boot: Option<BootId>,
    sequence: u64,
    /// What was learned before is gone.
    cleared: Moment,
    /// What was learned before may be gone.
    gap: Moment,
}

/// The beginnings of prompts by where they were seen.
#[derive(Debug, Clone, Default)]
pub(crate) struct Prefixes {
    places: BTreeMap<u64, Vec<(TargetName, Moment)>>,
    feeds: BTreeMap<TargetName, Feed>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Takes an engine's word in; an event of an earlier life or number is dropped.
    pub(crate) fn hear(&mut self, now: Moment, event: &CacheEvent) {
        let feed = self.feeds.entry(event.target.clone()).or_default();
        if feed.boot != Some(event.boot) {
            // The first word about a target says nothing about what was sent to it before.
            if feed.boot.is_some() {
                feed.cleared = now;
            }
            feed.boot = Some(event.boot);
            feed.sequence = 0;
        }
        if event.sequence <= feed.sequence {
            return;
        }
        if event.sequence > feed.sequence + 1 {
            feed.gap = now;
        }
        feed.sequence = event.sequence;
        match &event.change {
            CacheChange::Stored(prefix) => self.note(now, &event.target, prefix),
            CacheChange::Dropped(prefix) => self.drop(&event.target, prefix),
            CacheChange::Cleared => feed.cleared = now,
        }
    }

    /// Notes that `target` has or will soon have `prefix`.
    pub(crate) fn note(&mut self, now: Moment, target: &TargetName, prefix: &Prefix) {
        for block in prefix.blocks() {
            if !self.places.contains_key(block) {
                self.make_room();
                self.order.push_back(*block);
            }
            let holders = self.places.entry(*block).or_default();
            holders.retain(|(holder, _)| holder != target);
            if holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push((target.clone(), now));
        }
    }

    /// The block that was first seen longest ago goes; if it matters it comes again.
    fn make_room(&mut self) {
        while self.order.len() >= MAX_PLACES {
            if let Some(block) = self.order.pop_front() {
                self.places.remove(&block);
            }
        }
    }

    fn drop(&mut self, target: &TargetName, prefix: &Prefix) {
        for block in prefix.blocks() {
            if let Some(holders) = self.places.get_mut(block) {
                holders.retain(|(holder, _)| holder != target);
            }
        }
    }

    /// Forgets targets that are no more.
    pub(crate) fn forget(&mut self, target: &TargetName) {
        self.feeds.remove(target);
    }

    /// The targets that likely have the most of `prefix`, with the blocks that count.
    pub(crate) fn holders(&self, now: Moment, prefix: &Prefix) -> BTreeMap<TargetName, f64> {
        let mut scores = BTreeMap::new();
        for (place, block) in prefix.blocks().iter().enumerate() {
            let Some(holders) = self.places.get(block) else {
                break;
            };
            for (target, seen) in holders {
                let worth = self.worth(now, target, *seen);
                let score = scores.entry(target.clone()).or_insert((0, 0.0));
                // Only an unbroken beginning is of use to an engine.
                if score.0 == place && worth > 0.0 {
                    *score = (place + 1, score.1 + worth);
                }
            }
        }
        let scores = scores.into_iter().filter(|(_, (_, score))| *score > 0.0);
        scores.map(|(target, (_, score))| (target, score)).collect()
    }

    fn worth(&self, now: Moment, target: &TargetName, seen: Moment) -> f64 {
        let feed = self.feeds.get(target);
        if now.since(seen) > PLACE_LIFE || feed.is_some_and(|feed| seen < feed.cleared) {
            0.0
        } else if feed.is_some_and(|feed| seen < feed.gap) {
            0.5
        } else {
            1.0
        }
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }
}

#[cfg(test)]
mod tests;
