//! How late the first byte of a request may be expected.

use std::time::Duration;

use azurestand_direct::{first_byte_limit, max_wait};

const LONG: Duration = Duration::from_millis(400);
const SHORT: Duration = Duration::from_millis(300);

#[test]
fn while_requests_are_queued_all_kinds_have_the_same_limit() {
    let long = first_byte_limit(LONG, Duration::ZERO, Some(SHORT));
    let short = first_byte_limit(SHORT, Duration::ZERO, Some(SHORT));
    assert_eq!(long, short);
    assert!(short < first_byte_limit(SHORT, Duration::ZERO, None));
}

#[test]
fn a_queued_request_with_a_longer_target_doesn_t_raise_the_limit() {
    let alone = first_byte_limit(SHORT, Duration::ZERO, Some(SHORT));
    assert_eq!(first_byte_limit(SHORT, Duration::ZERO, Some(LONG)), alone);
}

#[test]
fn the_wait_and_the_first_byte_fit_into_the_latency_target() {
    for waited in [Duration::ZERO, max_wait(LONG) / 2, max_wait(LONG)] {
        assert!(waited + first_byte_limit(LONG, waited, None) <= LONG);
    }
}
