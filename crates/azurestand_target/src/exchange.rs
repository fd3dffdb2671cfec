//! Requests that an agent knows by their id, and their answers.
//!
//! A connection's death must not cut an answer or run a request again: the
//! agent keeps the answer, the entry resumes it by offset, and a second send
//! of the same id attaches to the first. See
//! [docs/AT-MOST-ONCE.md](../../../docs/AT-MOST-ONCE.md).

mod buffer;
mod entry;
mod event;

use std::collections::{BTreeMap, BTreeSet};

use azurestand_types::{Incarnation, Moment, Outcome, RequestId, Uncertainty};
use bytes::Bytes;

use self::entry::{Entry, State};
use crate::life::Weights;

pub use self::entry::{Ending, Keep, Read};
pub use self::event::{ExchangeSettings, RevokeAnswer, Sent, Stamp};

/// All requests that one agent knows.
#[derive(Debug)]
pub struct Exchanges {
    settings: ExchangeSettings,
    life: Incarnation,
    entries: BTreeMap<RequestId, Entry>,
    /// Requests that run or whose end isn't confirmed.
    active: BTreeSet<RequestId>,
    /// Ended requests whose answer is kept, by the time of their end.
    ended: BTreeSet<(Moment, RequestId)>,
    /// Remembered ids by stamp, the first to be forgotten first.
    stamps: BTreeSet<(Moment, RequestId)>,
    /// A send stamped up to here may have been forgotten.
    floor: Option<Moment>,
    held: usize,
}

impl Exchanges {
    /// Begins to remember for an agent that has just started its `life`.
    pub fn new(settings: ExchangeSettings, life: Incarnation) -> Self {
        Self {
            settings,
            life,
            entries: BTreeMap::new(),
            active: BTreeSet::new(),
            ended: BTreeSet::new(),
            stamps: BTreeSet::new(),
            floor: None,
            held: 0,
        }
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answers held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Takes a send of `id` into account.
    pub fn send(&mut self, now: Moment, id: RequestId, stamp: Stamp, keep: Keep) -> Sent {
        if let Some(entry) = self.entries.get(&id) {
            return match entry.state {
                State::Barred => Sent::Revoked,
                _ => Sent::Attached,
            };
        }
        if self.is_stale(now, stamp) {
            return Sent::Stale;
        }
        if !self.make_room() {
            return Sent::Full;
        }
        self.remember(id, Entry::new(stamp.at, keep, State::Waiting));
        Sent::Fresh
    }

    /// Takes the revoke of `id`, which was or will be sent with `stamp`, into account.
    pub fn revoke(&mut self, now: Moment, id: RequestId, stamp: Stamp) -> RevokeAnswer {
        if let Some(entry) = self.entries.get(&id) {
            return match entry.state {
                State::Barred => RevokeAnswer::NeverRuns,
                State::Waiting => RevokeAnswer::Waiting,
                State::Ended(Outcome::NotRun(_), _) => RevokeAnswer::NotRun,
                _ => RevokeAnswer::Started,
            };
        }
        if self.is_stale(now, stamp) || !self.make_room() {
            return RevokeAnswer::Stale;
        }
        self.remember(id, Entry::new(stamp.at, Keep::Unread, State::Barred));
        RevokeAnswer::NeverRuns
    }

    /// Notes that `id` starts now on `weights`.
    ///
    /// # Panics
    ///
    /// When `id` isn't waiting, since it would run a second time.
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

    /// How many bytes of the answer to `id` may be read from the engine now.
    ///
    /// At 0 the agent stops reading from the engine until a reader has
    /// acknowledged. Answers at work go before ended ones that nobody fetched.
    pub fn room(&mut self, id: RequestId) -> usize {
        while self.held >= self.settings.total {
            let Some((at, oldest)) = self.ended.first().copied() else {
                break;
            };
            self.expire(at, oldest);
        }
        let own = self.entries.get(&id).map_or(0, |entry| entry.buffer.held());
        let left = self.settings.total.saturating_sub(self.held);
        self.settings.buffer.saturating_sub(own).min(left)
    }

    /// Adds bytes of the engine's answer; bytes after the end are dropped.
    pub fn append(&mut self, id: RequestId, bytes: Bytes) {
        if let Some(entry) = self.entries.get_mut(&id)
            && matches!(entry.state, State::Running(..))
        {
            self.held += bytes.len();
            entry.buffer.push(bytes);
        }
    }

    /// Notes how the engine's work on `id` ended, or that it will never begin.
    pub fn end(&mut self, now: Moment, id: RequestId, ending: Ending) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.end(now, ending);
        }
        self.note_end(id);
    }

    /// Takes a report of the engine, asked for at `taken`, into account.
    ///
    /// Returns the running requests that ended by it; the agent cancels them.
    pub fn report(&mut self, now: Moment, taken: Moment, weights: Weights) -> Vec<RequestId> {
        let mut ended = Vec::new();
        let active: Vec<_> = self.active.iter().copied().collect();
        for id in active {
            let entry = self.entries.get_mut(&id);
            if entry.is_some_and(|entry| entry.report(now, taken, weights)) {
                ended.push(id);
            }
            self.note_end(id);
        }
        ended
    }

    /// Ends every running request, since the engine can't be reached.
    pub fn fail(&mut self, now: Moment, uncertainty: Uncertainty) -> Vec<RequestId> {
        let active: Vec<_> = self.active.iter().copied().collect();
        for id in &active {
            self.end(now, *id, Ending::Unknown(uncertainty));
        }
        active
    }

    /// What a reader of `id` that has everything before `offset` gets next.
    pub fn read(&self, id: RequestId, offset: u64) -> Read {
        match self.entries.get(&id) {
            Some(entry) => entry.read(offset),
            None => Read::Missing,
        }
    }

    /// The whole answer to `id`, when it ended as answered and is all held.
    pub fn whole(&self, id: RequestId) -> Option<Bytes> {
        self.entries.get(&id)?.whole()
    }

    /// How `id` ended, if it did.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        match self.entries.get(&id)?.state {
            State::Ended(outcome, _) => Some(outcome),
            _ => None,
        }
    }

    /// Notes that the reader of `id` has everything before `offset`.
    pub fn ack(&mut self, id: RequestId, offset: u64) {
        let bound = self.settings.buffer;
        if let Some(entry) = self.entries.get_mut(&id) {
            self.held -= entry.ack(offset, bound);
        }
    }

    /// Drops answers that were kept long enough and ids out of the window.
    pub fn tick(&mut self, now: Moment) {
        while let Some((at, id)) = self.ended.first().copied() {
            if now.since(at) < self.settings.keep {
                break;
            }
            self.expire(at, id);
        }
        let old: Vec<_> = self
            .stamps
            .iter()
            .take_while(|(stamp, _)| *stamp + self.settings.window < now)
            .filter(|(_, id)| self.is_forgettable(*id))
            .copied()
            .collect();
        for (stamp, id) in old {
            self.forget(id, stamp);
        }
    }

    /// Moves a request that has ended out of the active ones.
    fn note_end(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(at) = entry.ended_at() {
            self.held -= entry.drop_useless();
            self.active.remove(&id);
            self.ended.insert((at, id));
        }
    }

    /// Drops the answer to a request that ended at `at`.
    fn expire(&mut self, at: Moment, id: RequestId) {
        self.ended.remove(&(at, id));
        if let Some(entry) = self.entries.get_mut(&id) {
            self.held -= entry.expire();
        }
    }

    fn is_stale(&self, now: Moment, stamp: Stamp) -> bool {
        let forgotten = self.floor.is_some_and(|floor| stamp.at <= floor);
        let old = stamp.at + self.settings.window < now;
        stamp.life != self.life || stamp.at > now || forgotten || old
    }

    fn remember(&mut self, id: RequestId, entry: Entry) {
        self.stamps.insert((entry.stamp, id));
        self.entries.insert(id, entry);
    }

    fn is_forgettable(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_none_or(Entry::is_forgettable)
    }

    fn forget(&mut self, id: RequestId, stamp: Moment) {
        self.stamps.remove(&(stamp, id));
        if let Some(entry) = self.entries.remove(&id) {
            assert!(
                entry.is_forgettable(),
                "request {id} is forgotten too early"
            );
        }
        self.floor = self.floor.max(Some(stamp));
    }

    /// Makes room for one id more by forgetting the oldest that has ended.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < self.settings.ids {
            return true;
        }
        let oldest = self
            .stamps
            .iter()
            .find(|(_, id)| self.is_forgettable(*id))
            .copied();
        match oldest {
            Some((stamp, id)) => {
                self.forget(id, stamp);
                true
            }
            None => false,
        }
    }
}
