//! Which waiting request may start on a target, and when.
//!
//! The agent is the only process that talks to its target, so the limit holds
//! however many entries send. See [docs/TARGET.md](../../../docs/TARGET.md).

mod fairness;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{AccountName, Digest, Moment, Priority, Refusal, RequestId};

use self::fairness::Shares;
use self::queue::Queue;
use crate::life::Weights;

/// The bounds of a target's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that may wait.
    pub queue: usize,
    /// Waiting time that lifts a request by one priority.
    pub ageing: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue: 256,
            ageing: Duration::from_secs(2),
        }
    }
}

/// A request that asks to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// Whose request it is; accounts share a target by weight.
    pub account: AccountName,
    /// The account's weight; 0 counts as 1.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// When an answer is of no more use.
    pub deadline: Moment,
    /// The only weights that it may be answered with, or none for any.
    pub pinned: Option<Digest>,
}

/// What admission reacts to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks to be run.
    Arrived(Arrival),
    /// A started request ended, however it ended.
    Finished(RequestId),
    /// The entry takes a request back, and needs to know whether it ran.
    Revoke(RequestId),
    /// The caller left: a waiting request is dropped, a running one is cancelled.
    Cancel(RequestId),
    /// What [`Life::serves`](crate::Life::serves) and
    /// [`Life::limit`](crate::Life::limit) say now.
    LimitChanged {
        /// The weights to start requests with; none starts nothing.
        weights: Option<Weights>,
        /// Requests that may run at once.
        limit: u32,
    },
    /// No new work from now on, for this reason; running requests go on.
    Close(Refusal),
    /// New work again.
    Open,
    /// So many requests may wait from now on; who waits already stays.
    QueueChanged(usize),
    /// Time passed.
    Tick,
}

/// What the agent is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start the request now, with these weights.
    Start {
        /// The request.
        id: RequestId,
        /// The weights that its answer has to come from, from start to end.
        weights: Weights,
    },
    /// The request did not run and never will.
    Refuse(RequestId, Refusal),
    /// The answer to a revoke: the request did not run and never will.
    Revoked(RequestId),
    /// The answer to a revoke: the request has been started, or isn't known.
    ///
    /// Admission forgets ended requests, so it can't call an unknown one not
    /// run; [`Exchanges::revoke`](crate::Exchanges::revoke) knows them.
    Running(RequestId),
    /// Tell the engine to stop a running request; its `Finished` follows.
    Cancel(RequestId),
}

#[derive(Debug, Clone)]
struct Run {
    account: AccountName,
    weight: u32,
    charge: u64,
    started: Moment,
}

/// Admission to one target.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    queue: Queue,
    shares: Shares,
    running: BTreeMap<RequestId, Run>,
    weights: Option<Weights>,
    limit: u32,
    closed: Option<Refusal>,
}

impl Admission {
    /// Begins with a limit of zero.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            queue: Queue::new(settings.ageing),
            settings,
            shares: Shares::default(),
            running: BTreeMap::new(),
            weights: None,
            limit: 0,
            closed: None,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// When the next `Tick` is due: the nearest deadline of a waiting request.
    pub fn next_tick(&self) -> Option<Moment> {
        self.queue.next_deadline()
    }

    /// Takes one event into account and says what to do.
    ///
    /// # Panics
    ///
    /// When more requests would run than the target may bear.
    pub fn handle(&mut self, now: Moment, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(arrival) => self.arrive(now, arrival, &mut actions),
            AdmissionEvent::Finished(id) => self.finish(now, id),
            AdmissionEvent::Revoke(id) => actions.push(self.revoke(id)),
            AdmissionEvent::Cancel(id) => actions.extend(self.cancel(id)),
            AdmissionEvent::LimitChanged { weights, limit } => {
                self.weights = weights;
                self.limit = limit;
            }
            AdmissionEvent::Close(refusal) => self.close(refusal, &mut actions),
            AdmissionEvent::Open => self.closed = None,
            AdmissionEvent::QueueChanged(queue) => self.settings.queue = queue,
            AdmissionEvent::Tick => {}
        }
        self.expire(now, &mut actions);
        self.start(now, &mut actions);
        actions
    }

    fn arrive(&mut self, now: Moment, arrival: Arrival, actions: &mut Vec<AdmissionAction>) {
        if self.running.contains_key(&arrival.id) || self.queue.contains(arrival.id) {
            return;
        }
        if let Some(refusal) = self.closed {
            actions.push(AdmissionAction::Refuse(arrival.id, refusal));
            return;
        }
        self.shares.join(&arrival.account);
        self.queue.push(now, arrival);
        if self.queue.len() > self.settings.queue
            && let Some(id) = self.queue.evict(now)
        {
            actions.push(AdmissionAction::Refuse(id, Refusal::Busy));
        }
    }

    fn finish(&mut self, now: Moment, id: RequestId) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        let took = now.since(run.started);
        self.shares
            .settle(&run.account, run.weight, run.charge, took);
        self.forget_account(&run.account);
    }

    fn revoke(&mut self, id: RequestId) -> AdmissionAction {
        match self.queue.remove(id) {
            Some(_) => AdmissionAction::Revoked(id),
            None => AdmissionAction::Running(id),
        }
    }

    fn cancel(&mut self, id: RequestId) -> Option<AdmissionAction> {
        if self.running.contains_key(&id) {
            return Some(AdmissionAction::Cancel(id));
        }
        self.queue
            .remove(id)
            .map(|_| AdmissionAction::Refuse(id, Refusal::Revoked))
    }

    fn close(&mut self, refusal: Refusal, actions: &mut Vec<AdmissionAction>) {
        self.closed = Some(refusal);
        for id in self.queue.drain() {
            actions.push(AdmissionAction::Refuse(id, refusal));
        }
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        for id in self.queue.expire(now) {
            actions.push(AdmissionAction::Refuse(id, Refusal::Expired));
        }
    }

    fn start(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let Some(weights) = self.weights else {
            return;
        };
        // A request pinned to other weights can't be answered by this target any more.
        for id in self.queue.misfits(weights.digest) {
            actions.push(AdmissionAction::Refuse(id, Refusal::NotServed));
        }
        while self.has_room() {
            let Some(arrival) = self.queue.pop(now, &self.shares) else {
                return;
            };
            let charge = self.shares.charge(&arrival.account, arrival.weight);
            self.queue.note_start(now, &arrival.account);
            let run = Run {
                account: arrival.account,
                weight: arrival.weight,
                charge,
                started: now,
            };
            self.running.insert(arrival.id, run);
            assert!(self.running.len() <= self.limit as usize, "over the limit");
            actions.push(AdmissionAction::Start {
                id: arrival.id,
                weights,
            });
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit as usize
    }

    fn forget_account(&mut self, account: &AccountName) {
        let busy = self.running.values().any(|run| run.account == *account);
        if !busy && !self.queue.has_account(account) {
            self.shares.leave(account);
        }
    }
}
