//! The claims that a home has in memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use azurestand_types::{Moment, Outcome, RequestId, Uncertainty};
use bytes::Bytes;

use super::key::ClaimKey;
use super::record::{Claim, ClaimState};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The claim isn't safe yet; nothing has run.
    Claiming {
        deadline: Moment,
        /// The number of its claim in the log.
        seq: u64,
    },
    /// Given out to run.
    Running,
    /// The run ended; an answer that is no more kept has no body.
    Ended(Outcome, Option<Bytes>),
    /// An earlier home claimed it, and how it ended isn't known.
    Orphaned,
}

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) print: u128,
    pub(crate) first: Option<RequestId>,
    pub(crate) since: Moment,
    pub(crate) state: EntryState,
}

impl Entry {
    fn body(&self) -> usize {
        match &self.state {
            EntryState::Ended(_, Some(body)) => body.len(),
            _ => 0,
        }
    }

    /// What the store should know of it.
    fn claim(&self, key: ClaimKey, stored: usize) -> Claim {
        let state = match &self.state {
            EntryState::Claiming { .. } | EntryState::Running | EntryState::Orphaned => {
                ClaimState::Claimed
            }
            EntryState::Ended(Outcome::Answered, body) => {
                ClaimState::Answered(body.clone().filter(|body| body.len() <= stored))
            }
            EntryState::Ended(..) => ClaimState::Unknown,
        };
        Claim {
            key,
            print: self.print,
            state,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<ClaimKey, Entry>,
    firsts: BTreeMap<RequestId, ClaimKey>,
    /// Keys whose request waits for its claim to be safe, by deadline.
    claiming: BTreeSet<(Moment, ClaimKey)>,
    /// Keys whose request runs.
    running: usize,
    /// Keys by age, the oldest first.
    ages: VecDeque<(Moment, ClaimKey)>,
    /// Keys with a body, the oldest first.
    bodies: VecDeque<ClaimKey>,
    held: usize,
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, key: ClaimKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn key_of(&self, id: RequestId) -> Option<ClaimKey> {
        self.firsts.get(&id).copied()
    }

    /// Whether a request waits or runs.
    pub(crate) fn has_work(&self) -> bool {
        !self.claiming.is_empty() || self.running > 0
    }

    /// Forgets what only the store told; it is read again with the next takeover.
    pub(crate) fn forget_orphans(&mut self) {
        let orphans: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.first.is_none())
            .map(|(key, _)| *key)
            .collect();
        for key in orphans {
            self.remove(key);
        }
    }

    pub(crate) fn insert(&mut self, key: ClaimKey, entry: Entry) {
        if let Some(id) = entry.first {
            self.firsts.insert(id, key);
        }
        self.ages.push_back((entry.since, key));
        self.hold(key, &entry);
        if let EntryState::Claiming { deadline, .. } = entry.state {
            self.claiming.insert((deadline, key));
        }
        let old = self.entries.insert(key, entry);
        assert!(old.is_none(), "a key is claimed twice");
    }

    pub(crate) fn remove(&mut self, key: ClaimKey) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.held -= entry.body();
        match entry.state {
            EntryState::Claiming { deadline, .. } => {
                self.claiming.remove(&(deadline, key));
            }
            EntryState::Running => self.running -= 1,
            EntryState::Ended(..) | EntryState::Orphaned => {}
        }
        if let Some(id) = entry.first {
            self.firsts.remove(&id);
        }
        Some(entry)
    }

    /// Marks a claimed key as given out to run.
    ///
    /// # Panics
    ///
    /// When it was given out before.
    pub(crate) fn run(&mut self, key: ClaimKey) -> Option<RequestId> {
        let entry = self.entries.get_mut(&key)?;
        let EntryState::Claiming { deadline, .. } = entry.state else {
            panic!("a key would run a second time");
        };
        entry.state = EntryState::Running;
        self.claiming.remove(&(deadline, key));
        self.running += 1;
        entry.first
    }

    /// Notes how a run ended and returns what the store should know of it.
    pub(crate) fn end(
        &mut self,
        key: ClaimKey,
        outcome: Outcome,
        body: Option<Bytes>,
        stored: usize,
    ) -> Option<Claim> {
        let entry = self.entries.get_mut(&key)?;
        assert!(
            entry.state == EntryState::Running,
            "a key ends that doesn't run"
        );
        entry.state = EntryState::Ended(outcome, body);
        self.running -= 1;
        let entry = entry.clone();
        self.hold(key, &entry);
        Some(entry.claim(key, stored))
    }

    /// Keys that wait to be safe.
    pub(crate) fn claiming(&self) -> Vec<ClaimKey> {
        self.claiming.iter().map(|(_, key)| *key).collect()
    }

    /// A key whose request waited until its deadline.
    pub(crate) fn late(&self, now: Moment) -> Option<ClaimKey> {
        let (deadline, key) = self.claiming.first()?;
        (*deadline <= now).then_some(*key)
    }

    /// Drops the oldest bodies until at most `bound` bytes are kept.
    pub(crate) fn trim(&mut self, bound: usize) {
        while self.held > bound {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key)
                && let EntryState::Ended(_, body) = &mut entry.state
                && let Some(body) = body.take()
            {
                self.held -= body.len();
            }
        }
    }

    /// Forgets what is older than `retain`, except what still runs.
    pub(crate) fn expire(&mut self, now: Moment, retain: Duration) {
        while let Some((since, key)) = self.ages.front().copied() {
            if now.since(since) <= retain {
                return;
            }
            self.ages.pop_front();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.since != since {
                continue;
            }
            if matches!(
                entry.state,
                EntryState::Claiming { .. } | EntryState::Running
            ) {
                // Looked at again one retention later.
                entry.since = now;
                self.ages.push_back((now, key));
            } else {
                self.remove(key);
            }
        }
    }

    /// Adds what the store knows, and returns what the store doesn't know.
    ///
    /// What this process saw itself goes before what the store says.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        stored: &BTreeMap<ClaimKey, Claim>,
        bound: usize,
    ) -> Vec<Claim> {
        let missing = self
            .entries
            .iter()
            .filter(|(key, _)| !stored.contains_key(key))
            .map(|(key, entry)| entry.claim(*key, bound))
            .collect();
        for claim in stored.values() {
            if !self.entries.contains_key(&claim.key) {
                self.insert(claim.key, Entry::from_claim(now, claim));
            }
        }
        missing
    }

    fn hold(&mut self, key: ClaimKey, entry: &Entry) {
        let body = entry.body();
        if body > 0 {
            self.held += body;
            self.bodies.push_back(key);
        }
    }
}

impl Entry {
    fn from_claim(now: Moment, claim: &Claim) -> Self {
        let state = match &claim.state {
            ClaimState::Answered(body) => EntryState::Ended(Outcome::Answered, body.clone()),
            ClaimState::Unknown => {
                EntryState::Ended(Outcome::Unknown(Uncertainty::TargetFailed), None)
            }
            ClaimState::Claimed | ClaimState::Released => EntryState::Orphaned,
        };
        Self {
            print: claim.print,
            first: None,
            since: now,
            state,
        }
    }
}
