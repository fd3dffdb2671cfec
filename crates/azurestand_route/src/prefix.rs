//! Remembers which targets probably have which prompt prefixes in their caches. This is
//! a hint for the choice and may be wrong.
//!
//! Engines answer a prompt faster when its prefix is in their cache. Their cache events
//! arrive late and with gaps, so the index also records what this entry sent to each
//! target, expires entries by age, and counts an entry from before a gap half.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use azurestand_types::{BootId, Moment, TargetName};

/// Bytes of a prompt that one block covers.
const BLOCK_BYTES: usize = 256;
/// The most blocks of a prompt that are hashed.
pub const MAX_BLOCKS: usize = 32;
/// The most blocks remembered over all targets.
pub const MAX_CACHED_BLOCKS: usize = 65_536;
/// The most targets remembered for one block.
const MAX_HOLDERS: usize = 4;
/// Index of the block whose hash stands for the whole prefix when ties are broken.
const KEY_BLOCK: usize = 3;
const ENTRY_TTL: Duration = Duration::from_mins(10);

/// The prefix of a prompt, as one hash for each of its first blocks.
///
/// Each hash covers all bytes up to the end of its block, so two prompts share a hash
/// only if everything up to there is equal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Vec<u64>);

impl Prefix {
    /// Hashes the whole blocks at the start of `prompt`, at most 32.
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

    /// Takes block hashes that an engine reported, at most 32.
    pub fn from_blocks(mut blocks: Vec<u64>) -> Self {
        blocks.truncate(MAX_BLOCKS);
        Self(blocks)
    }

    /// A hash shared by all prompts with the same first blocks.
    pub(crate) fn key(&self) -> Option<u64> {
        self.0.get(KEY_BLOCK).or(self.0.last()).copied()
    }

    /// The hashes of its blocks in order.
    pub fn blocks(&self) -> &[u64] {
        &self.0
    }
}

/// What changed in an engine's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks are cached now.
    Stored(Prefix),
    /// These blocks were evicted.
    Dropped(Prefix),
    /// The whole cache was cleared.
    Cleared,
}

/// A change of an engine's cache, as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine.
    pub target: TargetName,
    /// The start of its process; a restarted engine has an empty cache.
    pub boot: BootId,
    /// Counts the events since that start, from 1 on; a jump means that events were
    /// lost.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

#[derive(Debug, Clone, Default)]
struct EventState {
    boot: Option<BootId>,
    sequence: u64,
    /// Entries recorded before this moment are invalid.
    cleared_at: Moment,
    /// Entries recorded before this moment may be invalid.
    gap_at: Moment,
}

/// Maps block hashes to the targets that probably have them cached.
#[derive(Debug, Clone, Default)]
pub(crate) struct Prefixes {
    entries: BTreeMap<u64, Vec<(TargetName, Moment)>>,
    states: BTreeMap<TargetName, EventState>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Applies a cache event; events that arrive out of order are dropped.
    pub(crate) fn apply(&mut self, now: Moment, event: &CacheEvent) {
        let state = self.states.entry(event.target.clone()).or_default();
        if state.boot != Some(event.boot) {
            // The first event of a target says nothing about what was sent to it
            // before.
            if state.boot.is_some() {
                state.cleared_at = now;
            }
            state.boot = Some(event.boot);
            state.sequence = 0;
        }
        if event.sequence <= state.sequence {
            return;
        }
        if event.sequence > state.sequence + 1 {
            state.gap_at = now;
        }
        state.sequence = event.sequence;
        match &event.change {
            CacheChange::Stored(prefix) => self.record(now, &event.target, prefix),
            CacheChange::Dropped(prefix) => self.remove(&event.target, prefix),
            CacheChange::Cleared => state.cleared_at = now,
        }
    }

    /// Records that `target` has `prefix` in its cache or will have it soon.
    pub(crate) fn record(&mut self, now: Moment, target: &TargetName, prefix: &Prefix) {
        for block in prefix.blocks() {
            if !self.entries.contains_key(block) {
                self.evict_oldest();
                self.order.push_back(*block);
            }
            let holders = self.entries.entry(*block).or_default();
            holders.retain(|(holder, _)| holder != target);
            if holders.len() >= MAX_HOLDERS {
                holders.remove(0);
            }
            holders.push((target.clone(), now));
        }
    }

    /// Evicts the blocks that were recorded first; one that is still in use is recorded
    /// again.
    fn evict_oldest(&mut self) {
        while self.order.len() >= MAX_CACHED_BLOCKS {
            if let Some(block) = self.order.pop_front() {
                self.entries.remove(&block);
            }
        }
    }

    fn remove(&mut self, target: &TargetName, prefix: &Prefix) {
        for block in prefix.blocks() {
            if let Some(holders) = self.entries.get_mut(block) {
                holders.retain(|(holder, _)| holder != target);
            }
        }
    }

    /// Removes the event state of a target that no longer exists.
    pub(crate) fn remove_target(&mut self, target: &TargetName) {
        self.states.remove(target);
    }

    /// Scores the targets by how many leading blocks of `prefix` they probably have
    /// cached.
    pub(crate) fn holders(&self, now: Moment, prefix: &Prefix) -> BTreeMap<TargetName, f64> {
        let mut scores = BTreeMap::new();
        for (index, block) in prefix.blocks().iter().enumerate() {
            let Some(holders) = self.entries.get(block) else {
                break;
            };
            for (target, recorded) in holders {
                let confidence = self.confidence(now, target, *recorded);
                let score = scores.entry(target.clone()).or_insert((0, 0.0));
                // An engine can reuse only an unbroken run of blocks from the start.
                if score.0 == index && confidence > 0.0 {
                    *score = (index + 1, score.1 + confidence);
                }
            }
        }
        let scores = scores.into_iter().filter(|(_, (_, score))| *score > 0.0);
        scores.map(|(target, (_, score))| (target, score)).collect()
    }

    fn confidence(&self, now: Moment, target: &TargetName, recorded: Moment) -> f64 {
        let state = self.states.get(target);
        if now.since(recorded) > ENTRY_TTL || state.is_some_and(|state| recorded < state.cleared_at)
        {
            0.0
        } else if state.is_some_and(|state| recorded < state.gap_at) {
            0.5
        } else {
            1.0
        }
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
mod tests;
