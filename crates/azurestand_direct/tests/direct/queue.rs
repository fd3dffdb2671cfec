//! The order among queued requests.

use std::cmp::Reverse;
use std::time::Duration;

use azurestand_direct::{Rank, RequestQueue};
use azurestand_types::Moment;

const TARGET: Duration = Duration::from_millis(400);

fn rank(priority: u8, untried: bool, millis: u64) -> Rank {
    Rank {
        priority,
        untried,
        arrived_at: Reverse(Moment::from_millis(millis)),
    }
}

#[test]
fn order_is_by_priority_then_earlier_attempts_then_latest_arrival() {
    let mut queue = RequestQueue::default();
    let late = queue.push(rank(1, true, 20), TARGET);
    let early = queue.push(rank(1, true, 10), TARGET);
    let tried = queue.push(rank(1, false, 30), TARGET);
    let urgent = queue.push(rank(0, true, 40), TARGET);
    let mut order = Vec::new();
    for (rank, waiter) in [
        (rank(0, true, 40), urgent),
        (rank(1, false, 30), tried),
        (rank(1, true, 20), late),
        (rank(1, true, 10), early),
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
    queue.push(rank(1, true, 10), TARGET);
    queue.push(rank(2, true, 5), TARGET);
    assert_eq!(queue.ahead(rank(1, true, 5)), 1);
    assert_eq!(queue.ahead(rank(0, true, 5)), 0);
    assert_eq!(queue.len(), 2);
}

#[test]
fn a_request_that_waits_holds_back_no_newer_one() {
    let mut queue = RequestQueue::default();
    queue.push(rank(1, true, 10), TARGET);
    assert_eq!(queue.ahead(rank(1, true, 20)), 0);
    let newer = queue.push(rank(1, true, 20), TARGET);
    assert_eq!(queue.first(), Some(newer));
}

#[test]
fn the_shortest_target_is_that_of_requests_as_urgent() {
    let mut queue = RequestQueue::default();
    assert_eq!(queue.shortest_target(1), None);
    queue.push(rank(1, true, 10), TARGET);
    queue.push(rank(1, true, 20), TARGET / 2);
    queue.push(rank(2, true, 20), TARGET / 4);
    assert_eq!(queue.shortest_target(0), None);
    assert_eq!(queue.shortest_target(1), Some(TARGET / 2));
    assert_eq!(queue.shortest_target(2), Some(TARGET / 4));
}

/// A broken stream waited behind all newer requests, until its caller gave up.
#[test]
fn a_request_that_a_target_failed_goes_before_newer_ones() {
    let mut queue = RequestQueue::default();
    let tried = rank(1, false, 5);
    assert_eq!(queue.ahead(tried), 0);
    queue.push(rank(1, true, 20), TARGET);
    assert_eq!(queue.ahead(tried), 0);
    let waiter = queue.push(tried, TARGET);
    assert_eq!(queue.first(), Some(waiter));
}
