//! The queue of one entry's requests that wait for capacity at a target.
//!
//! Queueing at the entry defers the choice of the target until one has capacity. A
//! request that has waited too long for its answer to be useful is refused at once, with
//! the time until capacity is likely.
//!
//! Of several requests the newest goes first. The time that a request has waited is lost to
//! its latency target, so the oldest one could be sent only to a target that is nearly idle,
//! and would hold back others that can be sent where other entries send theirs. An entry
//! with more callers than others would then get an ever smaller part of the capacity.
//! [docs/OVERLOAD.md](../../../docs/OVERLOAD.md) has the figures.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::Moment;
use derive_more::{Display, From};

/// The identifier of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct Waiter(pub u64);

/// The order among queued requests; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The level of urgency, or the priority that the operators set; 0 goes first.
    pub priority: u8,
    /// Whether no target has had the request yet; those that a target failed go first, since
    /// their callers have waited and part of their answers may be there.
    pub untried: bool,
    /// When the request arrived; the latest goes first.
    pub arrived_at: Reverse<Moment>,
}

/// What a queued request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Its latency target.
    pub latency_target: Duration,
    /// How long it is going to occupy a slot; zero if that isn't known.
    pub slot_time: Duration,
}

impl From<Duration> for Need {
    fn from(latency_target: Duration) -> Self {
        Self {
            latency_target,
            slot_time: Duration::ZERO,
        }
    }
}

/// A request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its place in the order.
    pub rank: Rank,
    /// Its identifier.
    pub waiter: Waiter,
    /// What it needs.
    pub need: Need,
}

/// The queued requests of one service, with their needs.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    order: BTreeMap<(Rank, Waiter), Need>,
    next: u64,
}

impl RequestQueue {
    /// Adds a request with this need, or with this latency target, to the queue.
    pub fn push<N>(&mut self, rank: Rank, need: N) -> Waiter
    where
        N: Into<Need>,
    {
        let waiter = Waiter(self.next);
        self.next += 1;
        self.order.insert((rank, waiter), need.into());
        waiter
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, rank: Rank, waiter: Waiter) {
        self.order.remove(&(rank, waiter));
    }

    /// The request that is next.
    pub fn first(&self) -> Option<Waiter> {
        let ((_, waiter), _) = self.order.first_key_value()?;
        Some(*waiter)
    }

    /// The number of queued requests that precede one of this rank.
    pub fn ahead(&self, rank: Rank) -> usize {
        let queued = self.order.keys();
        queued.take_while(|(queued, _)| *queued < rank).count()
    }

    /// The shortest latency target of the queued requests that are as urgent as one of this
    /// priority, or more so; none if there are none.
    pub fn shortest_target(&self, priority: u8) -> Option<Duration> {
        let queued = self.order.iter();
        let urgent = queued.take_while(|((rank, _), _)| rank.priority <= priority);
        urgent.map(|(_, need)| need.latency_target).min()
    }

    /// The last of the requests that no target has had.
    pub(crate) fn last_untried(&self) -> Option<QueuedRequest> {
        self.untried().next_back()
    }

    /// Of the requests of this priority that no target has had, the one that occupies a slot the
    /// longest.
    pub(crate) fn heaviest_untried(&self, priority: u8) -> Option<QueuedRequest> {
        let same = self.untried().filter(|item| item.rank.priority == priority);
        same.max_by_key(|item| item.need.slot_time)
    }

    fn untried(&self) -> impl DoubleEndedIterator<Item = QueuedRequest> {
        let untried = self.order.iter().filter(|((rank, _), _)| rank.untried);
        untried.map(|((rank, waiter), need)| QueuedRequest {
            rank: *rank,
            waiter: *waiter,
            need: *need,
        })
    }

    /// The mean time for which the queued requests are going to occupy a slot.
    pub(crate) fn mean_slot_time(&self) -> Duration {
        let sum: Duration = self.order.values().map(|need| need.slot_time).sum();
        sum / u32::try_from(self.order.len()).unwrap_or(u32::MAX).max(1)
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// The priorities of the queued requests.
    pub(crate) fn priorities(&self) -> impl Iterator<Item = u8> {
        self.order.keys().map(|(rank, _)| rank.priority)
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
