use std::time::Duration;

use azurestand_types::Moment;

use super::{CHECK_INTERVAL, WITHDRAWAL_MARGIN, time_to_check};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_request_is_withdrawn_shortly_before_the_bound() {
    let until = at(10_000);
    let withdrawn_at = until - WITHDRAWAL_MARGIN;
    let before = withdrawn_at - Duration::from_millis(1);
    assert_eq!(
        time_to_check(before, Some(until)),
        Some(Duration::from_millis(1))
    );
    assert_eq!(time_to_check(withdrawn_at, Some(until)), None);
    assert_eq!(time_to_check(at(12_000), Some(until)), None);
}

/// A timer set for the bound fired as much later as the machine had been suspended.
#[test]
fn the_time_is_checked_again_and_again_long_before_the_bound() {
    assert_eq!(time_to_check(at(0), Some(at(10_000))), Some(CHECK_INTERVAL));
    assert_eq!(time_to_check(at(0), None), Some(CHECK_INTERVAL));
}
