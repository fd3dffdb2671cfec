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
    /// The priority that the operators set; 0 goes first.
    pub priority: u8,
    /// Whether no target has had the request yet; those that a target failed go first, since
    /// their callers have waited and part of their answers may be there.
    pub untried: bool,
    /// When the request arrived; the latest goes first.
    pub arrived_at: Reverse<Moment>,
}

/// The queued requests of one service, with their latency targets.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    order: BTreeMap<(Rank, Waiter), Duration>,
    next: u64,
}

impl RequestQueue {
    /// Adds a request with this latency target to the queue.
    pub fn push(&mut self, rank: Rank, latency_target: Duration) -> Waiter {
        let waiter = Waiter(self.next);
        self.next += 1;
        self.order.insert((rank, waiter), latency_target);
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
        urgent.map(|(_, target)| *target).min()
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
