//! The queue of one entry's requests that wait for capacity at a target.
//!
//! Queueing at the entry defers the choice of the target until one has capacity. A
//! request that has waited too long for its answer to be useful is refused at once, with
//! the time until capacity is likely.

use std::collections::BTreeSet;

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
    /// Whether the caller was not refused before; callers that return after a refusal go
    /// first.
    pub new_caller: bool,
    /// When the request arrived; the earliest goes first.
    pub arrived_at: Moment,
}

/// The queued requests of one service.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    order: BTreeSet<(Rank, Waiter)>,
    next: u64,
}

impl RequestQueue {
    /// Adds a request to the queue.
    pub fn push(&mut self, rank: Rank) -> Waiter {
        let waiter = Waiter(self.next);
        self.next += 1;
        self.order.insert((rank, waiter));
        waiter
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, rank: Rank, waiter: Waiter) {
        self.order.remove(&(rank, waiter));
    }

    /// The request that is next.
    pub fn first(&self) -> Option<Waiter> {
        self.order.first().map(|(_, waiter)| *waiter)
    }

    /// The number of queued requests that precede one of this rank.
    pub fn ahead(&self, rank: Rank) -> usize {
        self.order
            .iter()
            .take_while(|(queued, _)| *queued < rank)
            .count()
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
