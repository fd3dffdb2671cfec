//! The queue of waiting requests and its order.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{AccountName, Digest, Moment, RequestId};

use super::Arrival;
use super::fairness::Shares;

#[derive(Debug, Clone)]
struct Waiting {
    arrival: Arrival,
    since: Moment,
}

/// The waiting requests of one account.
#[derive(Debug, Default)]
struct AccountQueue {
    waiting: BTreeMap<RequestId, Waiting>,
    /// The latest start of a request of the account; its waiting requests age
    /// from then on.
    started: Moment,
}

/// The queue of one target.
///
/// Within an account, requests are ordered by aged priority, then by deadline.
/// Accounts are ordered by the aged priority of their first requests, then by
/// virtual time. Between accounts, a request ages only while no request of its
/// account starts; otherwise the long backlog of a large account would count as
/// urgent.
#[derive(Debug)]
pub(crate) struct Queue {
    ageing: Duration,
    queues: BTreeMap<AccountName, AccountQueue>,
    accounts: BTreeMap<RequestId, AccountName>,
}

/// The sort key within an account; the lowest goes first.
type Rank = (u8, Moment, Moment, RequestId);

impl Queue {
    pub(crate) fn new(ageing: Duration) -> Self {
        Self {
            ageing: ageing.max(Duration::from_micros(1)),
            queues: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.accounts.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.accounts.contains_key(&id)
    }

    pub(crate) fn has_account(&self, account: &AccountName) -> bool {
        self.queues.contains_key(account)
    }

    pub(crate) fn push(&mut self, now: Moment, arrival: Arrival) {
        self.accounts.insert(arrival.id, arrival.account.clone());
        let queue = self.queues.entry(arrival.account.clone()).or_default();
        let waiting = Waiting {
            arrival,
            since: now,
        };
        queue.waiting.insert(waiting.arrival.id, waiting);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Arrival> {
        let account = self.accounts.remove(&id)?;
        let queue = self.queues.get_mut(&account)?;
        let waiting = queue.waiting.remove(&id);
        if queue.waiting.is_empty() {
            self.queues.remove(&account);
        }
        waiting.map(|waiting| waiting.arrival)
    }

    /// Removes and returns the request that goes next.
    pub(crate) fn pop(&mut self, now: Moment, shares: &Shares) -> Option<Arrival> {
        let next = self
            .queues
            .iter()
            .filter_map(|(account, queue)| {
                let rank = self.first_rank(now, queue)?;
                let priority = self.account_priority(now, queue, rank.3);
                Some((priority, shares.used(account), account, rank.3))
            })
            .min();
        let id = next.map(|(_, _, _, id)| id)?;
        self.remove(id)
    }

    /// Records that a request of `account` started, from which its other
    /// requests age anew.
    pub(crate) fn record_start(&mut self, now: Moment, account: &AccountName) {
        if let Some(queue) = self.queues.get_mut(account) {
            queue.started = now;
        }
    }

    /// Removes the request to refuse when the queue is full: the last request
    /// of the account with the most waiting requests relative to its weight.
    pub(crate) fn evict(&mut self, now: Moment) -> Option<RequestId> {
        let queue = self
            .queues
            .values()
            .max_by_key(|queue| queue.relative_length())?;
        let id = queue
            .waiting
            .values()
            .map(|waiting| self.rank(now, waiting))
            .max()
            .map(|rank| rank.3)?;
        self.remove(id);
        Some(id)
    }

    pub(crate) fn drain(&mut self) -> Vec<RequestId> {
        self.queues.clear();
        let accounts = std::mem::take(&mut self.accounts);
        accounts.into_keys().collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<RequestId> {
        self.remove_where(|waiting| waiting.arrival.deadline <= now)
    }

    /// Removes and returns the requests that are pinned to weights other than
    /// `digest`.
    pub(crate) fn remove_mismatched(&mut self, digest: Option<Digest>) -> Vec<RequestId> {
        self.remove_where(|waiting| {
            waiting.arrival.pinned.is_some() && waiting.arrival.pinned != digest
        })
    }

    pub(crate) fn next_deadline(&self) -> Option<Moment> {
        self.requests()
            .map(|waiting| waiting.arrival.deadline)
            .min()
    }

    fn requests(&self) -> impl Iterator<Item = &Waiting> {
        self.queues
            .values()
            .flat_map(|queue| queue.waiting.values())
    }

    fn remove_where<F>(&mut self, predicate: F) -> Vec<RequestId>
    where
        F: Fn(&Waiting) -> bool,
    {
        let ids: Vec<_> = self
            .requests()
            .filter(|waiting| predicate(waiting))
            .map(|waiting| waiting.arrival.id)
            .collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    fn first_rank(&self, now: Moment, queue: &AccountQueue) -> Option<Rank> {
        queue
            .waiting
            .values()
            .map(|waiting| self.rank(now, waiting))
            .min()
    }

    fn rank(&self, now: Moment, waiting: &Waiting) -> Rank {
        let priority = self.aged_priority(waiting, now.since(waiting.since));
        let Arrival { deadline, id, .. } = waiting.arrival;
        (priority, deadline, waiting.since, id)
    }

    fn account_priority(&self, now: Moment, queue: &AccountQueue, id: RequestId) -> u8 {
        queue.waiting.get(&id).map_or(u8::MAX, |waiting| {
            let since = waiting.since.max(queue.started);
            self.aged_priority(waiting, now.since(since))
        })
    }

    /// The priority, raised by one (lowered in number) for each `ageing`
    /// interval waited.
    fn aged_priority(&self, waiting: &Waiting, waited: Duration) -> u8 {
        let steps = waited.as_micros() / self.ageing.as_micros();
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        waiting.arrival.priority.0.saturating_sub(steps)
    }
}

impl AccountQueue {
    /// The number of waiting requests divided by the account's weight, in
    /// thousandths.
    fn relative_length(&self) -> usize {
        let weight = self
            .waiting
            .values()
            .map(|waiting| waiting.arrival.weight.max(1))
            .max()
            .unwrap_or(1);
        self.waiting.len() * 1_000 / weight as usize
    }
}
