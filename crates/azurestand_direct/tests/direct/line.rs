//! The order among queued requests.

use azurestand_direct::{Line, Rank};
use azurestand_types::Moment;

fn rank(priority: u8, newcomer: bool, millis: u64) -> Rank {
    Rank {
        priority,
        newcomer,
        since: Moment::from_millis(millis),
    }
}

#[test]
fn order_is_by_priority_then_earlier_refusal_then_arrival() {
    let mut line = Line::default();
    let late = line.join(rank(1, true, 20));
    let early = line.join(rank(1, true, 10));
    let returned = line.join(rank(1, false, 30));
    let urgent = line.join(rank(0, true, 40));
    let mut order = Vec::new();
    for (rank, waiter) in [
        (rank(0, true, 40), urgent),
        (rank(1, false, 30), returned),
        (rank(1, true, 10), early),
        (rank(1, true, 20), late),
    ] {
        assert_eq!(line.first(), Some(waiter));
        line.leave(rank, waiter);
        order.push(waiter);
    }
    assert!(line.is_empty());
}

#[test]
fn only_requests_of_smaller_rank_count_as_ahead() {
    let mut line = Line::default();
    line.join(rank(1, true, 10));
    line.join(rank(2, true, 5));
    assert_eq!(line.ahead(rank(1, true, 20)), 1);
    assert_eq!(line.ahead(rank(0, true, 20)), 0);
    assert_eq!(line.len(), 2);
}
