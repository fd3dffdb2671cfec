//! Admission: the queue of a target, and the order in which its requests start.
//!
//! The agent is the only process that sends requests to its target, so the
//! limit holds for any number of entries. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod fairness;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{AccountName, Digest, Moment, Priority, Refusal, RequestId};

use self::fairness::Shares;
use self::queue::Queue;
use crate::lifecycle::Weights;

/// The settings of a target's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The number of requests that may wait.
    pub queue_length: usize,
    /// The waiting time after which a request's priority rises by one.
    pub ageing: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_length: 256,
            ageing: Duration::from_secs(2),
        }
    }
}

/// A request that is to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub id: RequestId,
    /// The account that sent it; accounts share a target in proportion to their
    /// weights.
    pub account: AccountName,
    /// The account's weight; 0 counts as 1.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// When an answer is of no more use to the caller.
    pub deadline: Moment,
    /// The only weights that may answer it; none if any may.
    pub pinned: Option<Digest>,
}

/// The input to [`Admission::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived(Arrival),
    /// A started request ended, with any outcome.
    Finished(RequestId),
    /// The entry revokes a request and needs to know whether it was started.
    Revoke(RequestId),
    /// The caller disconnected: a waiting request is dropped, a running one is
    /// cancelled.
    Cancel(RequestId),
    /// [`Lifecycle::serves`](crate::Lifecycle::serves) or
    /// [`Lifecycle::limit`](crate::Lifecycle::limit) returns new values.
    LimitChanged {
        /// The weights to start requests with; if none, no request is started.
        weights: Option<Weights>,
        /// The number of requests that may run at once.
        limit: u32,
    },
    /// Refuse waiting and new requests from now on, for this reason; running
    /// requests continue.
    Close(Refusal),
    /// Admit new requests again.
    Open,
    /// The number of requests that may wait from now on; requests that wait
    /// already stay in the queue.
    QueueChanged(usize),
    /// Time passed.
    Tick,
}

/// What the agent has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start the request now, with these weights.
    Start {
        /// The request.
        id: RequestId,
        /// The weights that must produce the whole of its answer.
        weights: Weights,
    },
    /// The request did not run and never will run.
    Refuse(RequestId, Refusal),
    /// The answer to a revoke: the request did not run and never will.
    Revoked(RequestId),
    /// The answer to a revoke: the request has been started, or is unknown.
    ///
    /// Admission doesn't store ended requests, so it can't report an unknown
    /// one as not run; [`Exchanges::revoke`](crate::Exchanges::revoke) can.
    Running(RequestId),
    /// Cancel a running request in the engine; its `Finished` must follow.
    Cancel(RequestId),
}

#[derive(Debug, Clone)]
struct Run {
    account: AccountName,
    weight: u32,
    charge: u64,
    started: Moment,
}

/// The admission of requests to one target.
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
    /// Creates an empty queue and a limit of zero.
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

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// When the next `Tick` is due: the earliest deadline of a waiting request.
    pub fn next_tick(&self) -> Option<Moment> {
        self.queue.next_deadline()
    }

    /// Processes one event and returns the actions to take.
    ///
    /// # Panics
    ///
    /// If more requests would run than the limit allows.
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
            AdmissionEvent::QueueChanged(queue) => self.settings.queue_length = queue,
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
        if self.queue.len() > self.settings.queue_length
            && let Some(id) = self.queue.evict(now)
        {
            actions.push(AdmissionAction::Refuse(id, Refusal::Busy));
        }
    }

    fn finish(&mut self, now: Moment, id: RequestId) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        let elapsed = now.since(run.started);
        self.shares
            .settle(&run.account, run.weight, run.charge, elapsed);
        self.remove_idle_account(&run.account);
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
        // This target can't answer requests that are pinned to other weights.
        for id in self.queue.remove_mismatched(weights.digest) {
            actions.push(AdmissionAction::Refuse(id, Refusal::NotServed));
        }
        while self.has_room() {
            let Some(arrival) = self.queue.pop(now, &self.shares) else {
                return;
            };
            let charge = self.shares.charge(&arrival.account, arrival.weight);
            self.queue.record_start(now, &arrival.account);
            let run = Run {
                account: arrival.account,
                weight: arrival.weight,
                charge,
                started: now,
            };
            self.running.insert(arrival.id, run);
            assert!(
                self.running.len() <= self.limit as usize,
                "more requests run than the limit allows"
            );
            actions.push(AdmissionAction::Start {
                id: arrival.id,
                weights,
            });
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit as usize
    }

    fn remove_idle_account(&mut self, account: &AccountName) {
        let has_running = self.running.values().any(|run| run.account == *account);
        if !has_running && !self.queue.has_account(account) {
            self.shares.leave(account);
        }
    }
}
