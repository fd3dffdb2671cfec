//! The claims of a shard that a home has in memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use azurestand_types::{Moment, Outcome, RequestId, Uncertainty};
use bytes::Bytes;

use super::key::ClaimKey;
use super::record::{Claim, ClaimState};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EntryState {
    /// The claim isn't in the store yet; the request hasn't run.
    Claiming {
        deadline: Moment,
        /// The number of its claim in the change log.
        seq: u64,
    },
    /// The request was started.
    Running,
    /// The run ended; the body is none if it is no longer kept.
    Ended(Outcome, Option<Bytes>),
    /// An earlier home claimed it; the outcome is unknown.
    Orphaned,
}

#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) fingerprint: u128,
    pub(crate) first: Option<RequestId>,
    pub(crate) since: Moment,
    pub(crate) state: EntryState,
}

impl Entry {
    fn body_len(&self) -> usize {
        match &self.state {
            EntryState::Ended(_, Some(body)) => body.len(),
            _ => 0,
        }
    }

    /// The claim to write to the store for this entry.
    fn to_claim(&self, key: ClaimKey, stored: usize) -> Claim {
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
            fingerprint: self.fingerprint,
            state,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<ClaimKey, Entry>,
    by_request: BTreeMap<RequestId, ClaimKey>,
    /// Keys whose request waits for its claim to be written, by deadline.
    claiming: BTreeSet<(Moment, ClaimKey)>,
    /// The number of keys whose request runs.
    running: usize,
    /// Keys by age, the oldest first.
    by_age: VecDeque<(Moment, ClaimKey)>,
    /// Keys with a body, the oldest first.
    bodies: VecDeque<ClaimKey>,
    body_bytes: usize,
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, key: ClaimKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn key_of(&self, id: RequestId) -> Option<ClaimKey> {
        self.by_request.get(&id).copied()
    }

    /// Whether a request waits or runs.
    pub(crate) fn has_work(&self) -> bool {
        !self.claiming.is_empty() || self.running > 0
    }

    /// Removes the claims that were read from the store; they are read again
    /// after the next takeover.
    pub(crate) fn remove_orphans(&mut self) {
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
            self.by_request.insert(id, key);
        }
        self.by_age.push_back((entry.since, key));
        self.track_body(key, &entry);
        if let EntryState::Claiming { deadline, .. } = entry.state {
            self.claiming.insert((deadline, key));
        }
        let old = self.entries.insert(key, entry);
        assert!(old.is_none(), "a key is claimed twice");
    }

    pub(crate) fn remove(&mut self, key: ClaimKey) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.body_bytes -= entry.body_len();
        match entry.state {
            EntryState::Claiming { deadline, .. } => {
                self.claiming.remove(&(deadline, key));
            }
            EntryState::Running => self.running -= 1,
            EntryState::Ended(..) | EntryState::Orphaned => {}
        }
        if let Some(id) = entry.first {
            self.by_request.remove(&id);
        }
        Some(entry)
    }

    /// Marks a claimed key as running and returns its request.
    ///
    /// # Panics
    ///
    /// If the key was marked as running before.
    pub(crate) fn mark_running(&mut self, key: ClaimKey) -> Option<RequestId> {
        let entry = self.entries.get_mut(&key)?;
        let EntryState::Claiming { deadline, .. } = entry.state else {
            panic!("a request would run a second time for the same key");
        };
        entry.state = EntryState::Running;
        self.claiming.remove(&(deadline, key));
        self.running += 1;
        entry.first
    }

    /// Records how a run ended and returns the claim to write to the store.
    pub(crate) fn mark_ended(
        &mut self,
        key: ClaimKey,
        outcome: Outcome,
        body: Option<Bytes>,
        stored: usize,
    ) -> Option<Claim> {
        let entry = self.entries.get_mut(&key)?;
        assert!(
            entry.state == EntryState::Running,
            "a key ends whose request doesn't run"
        );
        entry.state = EntryState::Ended(outcome, body);
        self.running -= 1;
        let entry = entry.clone();
        self.track_body(key, &entry);
        Some(entry.to_claim(key, stored))
    }

    /// Keys whose claims aren't written yet.
    pub(crate) fn claiming(&self) -> Vec<ClaimKey> {
        self.claiming.iter().map(|(_, key)| *key).collect()
    }

    /// A key whose request still waits at its deadline.
    pub(crate) fn overdue(&self, now: Moment) -> Option<ClaimKey> {
        let (deadline, key) = self.claiming.first()?;
        (*deadline <= now).then_some(*key)
    }

    /// Drops the oldest bodies until at most `bound` bytes are kept.
    pub(crate) fn trim_bodies(&mut self, bound: usize) {
        while self.body_bytes > bound {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key)
                && let EntryState::Ended(_, body) = &mut entry.state
                && let Some(body) = body.take()
            {
                self.body_bytes -= body.len();
            }
        }
    }

    /// Removes entries older than `retention`, except those whose request waits
    /// or runs.
    pub(crate) fn expire(&mut self, now: Moment, retention: Duration) {
        while let Some((since, key)) = self.by_age.front().copied() {
            if now.since(since) <= retention {
                return;
            }
            self.by_age.pop_front();
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
                // Checked again after another retention time.
                entry.since = now;
                self.by_age.push_back((now, key));
            } else {
                self.remove(key);
            }
        }
    }

    /// Adds the claims of the store that are missing here, and returns the
    /// claims that are missing in the store.
    ///
    /// Entries of this process take precedence over the claims of the store.
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
            .map(|(key, entry)| entry.to_claim(*key, bound))
            .collect();
        for claim in stored.values() {
            if !self.entries.contains_key(&claim.key) {
                self.insert(claim.key, Entry::from_claim(now, claim));
            }
        }
        missing
    }

    fn track_body(&mut self, key: ClaimKey, entry: &Entry) {
        let body = entry.body_len();
        if body > 0 {
            self.body_bytes += body;
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
            fingerprint: claim.fingerprint,
            first: None,
            since: now,
            state,
        }
    }
}
