//! The requests that an agent has received, by id, and their answers.
//!
//! A lost connection must not truncate an answer or run a request again: the
//! agent buffers the answer, the entry resumes it by offset, and a second send
//! of the same id attaches to the first. See
//! [docs/AT-MOST-ONCE.md](../../../docs/AT-MOST-ONCE.md).

mod buffer;
mod entry;
mod event;

use std::collections::{BTreeMap, BTreeSet};

use azurestand_types::{Incarnation, Moment, Outcome, RequestId, Uncertainty};
use bytes::Bytes;

use self::entry::{Entry, State};
use crate::lifecycle::Weights;

pub use self::entry::{Ending, Read, Retention};
pub use self::event::{ExchangeSettings, RevokeResult, SendResult, Stamp};

/// The requests of one agent and their buffered answers.
#[derive(Debug)]
pub struct Exchanges {
    settings: ExchangeSettings,
    incarnation: Incarnation,
    entries: BTreeMap<RequestId, Entry>,
    /// Requests that run or whose completion isn't confirmed.
    active: BTreeSet<RequestId>,
    /// Ended requests whose answer is still buffered, by the time of their end.
    ended: BTreeSet<(Moment, RequestId)>,
    /// Stored ids by stamp, the oldest first.
    stamps: BTreeSet<(Moment, RequestId)>,
    /// The highest stamp of a removed request; a send with this or an earlier
    /// stamp is stale, since it may be a copy of one that was removed.
    stale_until: Option<Moment>,
    buffered_bytes: usize,
}

impl Exchanges {
    /// Creates the state of an agent that has just started as `incarnation`.
    pub fn new(settings: ExchangeSettings, incarnation: Incarnation) -> Self {
        Self {
            settings,
            incarnation,
            entries: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: BTreeSet::new(),
            stamps: BTreeSet::new(),
            stale_until: None,
            buffered_bytes: 0,
        }
    }

    /// The number of stored requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of buffered answer bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Processes a send of `id`.
    pub fn send(
        &mut self,
        now: Moment,
        id: RequestId,
        stamp: Stamp,
        retention: Retention,
    ) -> SendResult {
        if let Some(entry) = self.entries.get(&id) {
            return match entry.state {
                State::Revoked => SendResult::Revoked,
                _ => SendResult::Attached,
            };
        }
        if self.is_stale(now, stamp) {
            return SendResult::Stale;
        }
        if !self.make_room() {
            return SendResult::Full;
        }
        self.insert(id, Entry::new(stamp.at, retention, State::Waiting));
        SendResult::Fresh
    }

    /// Processes the revoke of `id`, which was or will be sent with `stamp`.
    pub fn revoke(&mut self, now: Moment, id: RequestId, stamp: Stamp) -> RevokeResult {
        if let Some(entry) = self.entries.get(&id) {
            return match entry.state {
                State::Revoked => RevokeResult::NeverRuns,
                State::Waiting => RevokeResult::Waiting,
                State::Ended(Outcome::NotRun(_), _) => RevokeResult::NotRun,
                _ => RevokeResult::Started,
            };
        }
        if self.is_stale(now, stamp) || !self.make_room() {
            return RevokeResult::Stale;
        }
        self.insert(id, Entry::new(stamp.at, Retention::Unread, State::Revoked));
        RevokeResult::NeverRuns
    }

    /// Marks `id` as started now on `weights`.
    ///
    /// # Panics
    ///
    /// If `id` isn't waiting, since it would run a second time.
    pub fn start(&mut self, now: Moment, id: RequestId, weights: Weights) {
        let entry = self.entries.get_mut(&id);
        let waits = entry
            .as_ref()
            .is_some_and(|entry| entry.state == State::Waiting);
        assert!(waits, "request {id} starts twice or after its end");
        if let Some(entry) = entry {
            entry.state = State::Running(weights, now);
            self.active.insert(id);
        }
    }

    /// The number of bytes of the answer to `id` that may be read from the
    /// engine now.
    ///
    /// At 0 the agent stops reading from the engine until a reader has
    /// acknowledged some bytes. When the total is used up, answers of ended
    /// requests are dropped in favour of those still being produced.
    pub fn read_capacity(&mut self, id: RequestId) -> usize {
        while self.buffered_bytes >= self.settings.max_total_bytes {
            let Some((at, oldest)) = self.ended.first().copied() else {
                break;
            };
            self.expire(at, oldest);
        }
        let own = self.entries.get(&id).map_or(0, |entry| entry.buffer.len());
        let left = self
            .settings
            .max_total_bytes
            .saturating_sub(self.buffered_bytes);
        self.settings.max_answer_bytes.saturating_sub(own).min(left)
    }

    /// Appends bytes of the engine's answer; bytes after the end are dropped.
    pub fn append(&mut self, id: RequestId, bytes: Bytes) {
        if let Some(entry) = self.entries.get_mut(&id)
            && matches!(entry.state, State::Running(..))
        {
            self.buffered_bytes += bytes.len();
            entry.buffer.push(bytes);
        }
    }

    /// Records how the engine's work on `id` ended, or that it will never
    /// begin.
    pub fn end(&mut self, now: Moment, id: RequestId, ending: Ending) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.end(now, ending);
        }
        self.record_end(id);
    }

    /// Processes a report of the engine that was requested at `taken`.
    ///
    /// Returns the running requests that it ended; the agent must cancel them.
    pub fn report(&mut self, now: Moment, taken: Moment, weights: Weights) -> Vec<RequestId> {
        let mut ended = Vec::new();
        let active: Vec<_> = self.active.iter().copied().collect();
        for id in active {
            let entry = self.entries.get_mut(&id);
            if entry.is_some_and(|entry| entry.report(now, taken, weights)) {
                ended.push(id);
            }
            self.record_end(id);
        }
        ended
    }

    /// Ends every running request, because the engine is unreachable.
    pub fn fail(&mut self, now: Moment, uncertainty: Uncertainty) -> Vec<RequestId> {
        let active: Vec<_> = self.active.iter().copied().collect();
        for id in &active {
            self.end(now, *id, Ending::Unknown(uncertainty));
        }
        active
    }

    /// Returns what a reader of `id` gets next that has received everything
    /// before `offset`.
    pub fn read(&self, id: RequestId, offset: u64) -> Read {
        match self.entries.get(&id) {
            Some(entry) => entry.read(offset),
            None => Read::Missing,
        }
    }

    /// The complete answer to `id`, if it ended as answered and is still
    /// buffered from its first byte.
    pub fn complete_answer(&self, id: RequestId) -> Option<Bytes> {
        self.entries.get(&id)?.complete_answer()
    }

    /// The outcome of `id`, if it has ended.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        match self.entries.get(&id)?.state {
            State::Ended(outcome, _) => Some(outcome),
            _ => None,
        }
    }

    /// Records that the reader of `id` has received everything before `offset`.
    pub fn ack(&mut self, id: RequestId, offset: u64) {
        let bound = self.settings.max_answer_bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            self.buffered_bytes -= entry.ack(offset, bound);
        }
    }

    /// Drops answers whose retention time is over and ids whose stamp is out of
    /// the window.
    pub fn tick(&mut self, now: Moment) {
        while let Some((at, id)) = self.ended.first().copied() {
            if now.since(at) < self.settings.retention_time {
                break;
            }
            self.expire(at, id);
        }
        let expired: Vec<_> = self
            .stamps
            .iter()
            .take_while(|(stamp, _)| *stamp + self.settings.window < now)
            .filter(|(_, id)| self.is_removable(*id))
            .copied()
            .collect();
        for (stamp, id) in expired {
            self.remove(id, stamp);
        }
    }

    /// Moves a request that has ended from the active to the ended ones.
    fn record_end(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(at) = entry.ended_at() {
            self.buffered_bytes -= entry.drop_partial();
            self.active.remove(&id);
            self.ended.insert((at, id));
        }
    }

    /// Drops the answer to a request that ended at `at`.
    fn expire(&mut self, at: Moment, id: RequestId) {
        self.ended.remove(&(at, id));
        if let Some(entry) = self.entries.get_mut(&id) {
            self.buffered_bytes -= entry.expire();
        }
    }

    fn is_stale(&self, now: Moment, stamp: Stamp) -> bool {
        let removed = self
            .stale_until
            .is_some_and(|stale_until| stamp.at <= stale_until);
        let expired = stamp.at + self.settings.window < now;
        stamp.incarnation != self.incarnation || stamp.at > now || removed || expired
    }

    fn insert(&mut self, id: RequestId, entry: Entry) {
        self.stamps.insert((entry.stamp, id));
        self.entries.insert(id, entry);
    }

    fn is_removable(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_none_or(Entry::is_removable)
    }

    fn remove(&mut self, id: RequestId, stamp: Moment) {
        self.stamps.remove(&(stamp, id));
        if let Some(entry) = self.entries.remove(&id) {
            assert!(
                entry.is_removable(),
                "request {id} is removed before it has ended and its answer has expired"
            );
        }
        self.stale_until = self.stale_until.max(Some(stamp));
    }

    /// Makes room for one more id by removing the oldest that no longer needs
    /// to be stored; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < self.settings.max_requests {
            return true;
        }
        let oldest = self
            .stamps
            .iter()
            .find(|(_, id)| self.is_removable(*id))
            .copied();
        match oldest {
            Some((stamp, id)) => {
                self.remove(id, stamp);
                true
            }
            None => false,
        }
    }
}
