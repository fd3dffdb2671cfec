//! Requests that wait, and which of them goes first.

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
struct Lane {
    waiting: BTreeMap<RequestId, Waiting>,
    /// The account's newest start; its waiting requests age from there.
    started: Moment,
}

/// The queue of one target.
///
/// Inside an account the aged priority decides, then the deadline. Between
/// accounts the aged priority of their foremost requests decides, then the
/// share used. An account ages only while nothing of it starts; otherwise the
/// long backlog of a large account would count as urgent.
#[derive(Debug)]
pub(crate) struct Queue {
    ageing: Duration,
    lanes: BTreeMap<AccountName, Lane>,
    accounts: BTreeMap<RequestId, AccountName>,
}

/// Less goes first.
type Rank = (u8, Moment, Moment, RequestId);

impl Queue {
    pub(crate) fn new(ageing: Duration) -> Self {
        Self {
            ageing: ageing.max(Duration::from_micros(1)),
            lanes: BTreeMap::new(),
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
        self.lanes.contains_key(account)
    }

    pub(crate) fn push(&mut self, now: Moment, arrival: Arrival) {
        self.accounts.insert(arrival.id, arrival.account.clone());
        let lane = self.lanes.entry(arrival.account.clone()).or_default();
        let waiting = Waiting {
            arrival,
            since: now,
        };
        lane.waiting.insert(waiting.arrival.id, waiting);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Arrival> {
        let account = self.accounts.remove(&id)?;
        let lane = self.lanes.get_mut(&account)?;
        let waiting = lane.waiting.remove(&id);
        if lane.waiting.is_empty() {
            self.lanes.remove(&account);
        }
        waiting.map(|waiting| waiting.arrival)
    }

    /// Takes out the request that goes next.
    pub(crate) fn pop(&mut self, now: Moment, shares: &Shares) -> Option<Arrival> {
        let next = self
            .lanes
            .iter()
            .filter_map(|(account, lane)| {
                let rank = self.foremost(now, lane)?;
                let urgency = self.lane_urgency(now, lane, rank.3);
                Some((urgency, shares.used(account), account, rank.3))
            })
            .min();
        let id = next.map(|(_, _, _, id)| id)?;
        self.remove(id)
    }

    /// Notes that a request of `account` started, which ends its ageing.
    pub(crate) fn note_start(&mut self, now: Moment, account: &AccountName) {
        if let Some(lane) = self.lanes.get_mut(account) {
            lane.started = now;
        }
    }

    /// Takes out the request that can best be refused: the hindmost of the
    /// account with the most waiting requests for its weight.
    pub(crate) fn evict(&mut self, now: Moment) -> Option<RequestId> {
        let lane = self.lanes.values().max_by_key(|lane| lane.load())?;
        let id = lane
            .waiting
            .values()
            .map(|waiting| self.rank(now, waiting))
            .max()
            .map(|rank| rank.3)?;
        self.remove(id);
        Some(id)
    }

    pub(crate) fn drain(&mut self) -> Vec<RequestId> {
        self.lanes.clear();
        let accounts = std::mem::take(&mut self.accounts);
        accounts.into_keys().collect()
    }

    /// Takes out what has passed its deadline.
    pub(crate) fn expire(&mut self, now: Moment) -> Vec<RequestId> {
        self.take_out(|waiting| waiting.arrival.deadline <= now)
    }

    /// Takes out what is pinned to other weights than `digest`.
    pub(crate) fn misfits(&mut self, digest: Option<Digest>) -> Vec<RequestId> {
        self.take_out(|waiting| {
            waiting.arrival.pinned.is_some() && waiting.arrival.pinned != digest
        })
    }

    pub(crate) fn next_deadline(&self) -> Option<Moment> {
        self.all().map(|waiting| waiting.arrival.deadline).min()
    }

    fn all(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|lane| lane.waiting.values())
    }

    fn take_out<F>(&mut self, wanted: F) -> Vec<RequestId>
    where
        F: Fn(&Waiting) -> bool,
    {
        let ids: Vec<_> = self
            .all()
            .filter(|waiting| wanted(waiting))
            .map(|waiting| waiting.arrival.id)
            .collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    fn foremost(&self, now: Moment, lane: &Lane) -> Option<Rank> {
        lane.waiting
            .values()
            .map(|waiting| self.rank(now, waiting))
            .min()
    }

    fn rank(&self, now: Moment, waiting: &Waiting) -> Rank {
        let urgency = self.aged(waiting, now.since(waiting.since));
        let Arrival { deadline, id, .. } = waiting.arrival;
        (urgency, deadline, waiting.since, id)
    }

    fn lane_urgency(&self, now: Moment, lane: &Lane, id: RequestId) -> u8 {
        lane.waiting.get(&id).map_or(u8::MAX, |waiting| {
            let since = waiting.since.max(lane.started);
            self.aged(waiting, now.since(since))
        })
    }

    /// The priority less one step for each ageing time waited.
    fn aged(&self, waiting: &Waiting, waited: Duration) -> u8 {
        let steps = waited.as_micros() / self.ageing.as_micros();
        let steps = u8::try_from(steps).unwrap_or(u8::MAX);
        waiting.arrival.priority.0.saturating_sub(steps)
    }
}

impl Lane {
    /// Waiting requests for the account's weight, in thousandths.
    fn load(&self) -> usize {
        let weight = self
            .waiting
            .values()
            .map(|waiting| waiting.arrival.weight.max(1))
            .max()
            .unwrap_or(1);
        self.waiting.len() * 1_000 / weight as usize
    }
}
