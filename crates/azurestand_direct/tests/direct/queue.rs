//! The order among queued requests.

use azurestand_direct::{Rank, RequestQueue};
use azurestand_types::Moment;

fn rank(priority: u8, new_caller: bool, millis: u64) -> Rank {
    Rank {
        priority,
        new_caller,
        arrived_at: Moment::from_millis(millis),
    }
}

#[test]
fn order_is_by_priority_then_earlier_refusal_then_arrival() {
    let mut queue = RequestQueue::default();
    let late = queue.push(rank(1, true, 20));
    let early = queue.push(rank(1, true, 10));
    let returned = queue.push(rank(1, false, 30));
    let urgent = queue.push(rank(0, true, 40));
    let mut order = Vec::new();
    for (rank, waiter) in [
        (rank(0, true, 40), urgent),
        (rank(1, false, 30), returned),
        (rank(1, true, 10), early),
        (rank(1, true, 20), late),
    ] {
        assert_eq!(queue.first(), Some(waiter));
        queue.remove(rank, waiter);
        order.push(waiter);
    }
    assert!(queue.is_empty());
}

#[test]
fn only_requests_of_smaller_rank_count_as_ahead() {
    let mut queue = RequestQueue::default();
    queue.push(rank(1, true, 10));
    queue.push(rank(2, true, 5));
    assert_eq!(queue.ahead(rank(1, true, 20)), 1);
    assert_eq!(queue.ahead(rank(0, true, 20)), 0);
    assert_eq!(queue.len(), 2);
}
