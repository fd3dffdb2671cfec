//! How late the first byte of a request may be expected.

use std::time::Duration;

use azurestand_direct::{Lateness, longest_gap, max_wait};

const LONG: Duration = Duration::from_millis(400);
const SHORT: Duration = Duration::from_millis(300);

fn limit(latency_target: Duration, waited: Duration, shortest: Option<Duration>) -> Duration {
    let lateness = Lateness {
        latency_target,
        waited,
        excess: Duration::ZERO,
        shortest,
    };
    lateness.limit()
}

#[test]
fn while_requests_are_queued_all_kinds_have_the_same_limit() {
    let long = limit(LONG, Duration::ZERO, Some(SHORT));
    let short = limit(SHORT, Duration::ZERO, Some(SHORT));
    assert_eq!(long, short);
    assert!(short < limit(SHORT, Duration::ZERO, None));
}

#[test]
fn a_queued_request_with_a_longer_target_doesn_t_raise_the_limit() {
    let alone = limit(SHORT, Duration::ZERO, Some(SHORT));
    assert_eq!(limit(SHORT, Duration::ZERO, Some(LONG)), alone);
}

#[test]
fn the_wait_and_the_first_byte_fit_into_the_latency_target() {
    for waited in [Duration::ZERO, max_wait(LONG) / 2, max_wait(LONG)] {
        assert!(waited + limit(LONG, waited, None) <= LONG);
    }
}

#[test]
fn a_long_prompt_gets_its_own_reading_time_in_addition() {
    let excess = Duration::from_millis(50);
    let lateness = Lateness {
        latency_target: LONG,
        waited: Duration::ZERO,
        excess,
        shortest: Some(SHORT),
    };
    let mean = limit(LONG, Duration::ZERO, Some(SHORT));
    assert_eq!(lateness.limit(), mean + excess);
    let longest = Lateness {
        excess: LONG,
        ..lateness
    };
    assert_eq!(longest.limit(), limit(LONG, Duration::ZERO, None));
}

/// Callers leave after the longest of two seconds, four latency targets and eight pauses.
#[test]
fn a_silent_stream_ends_before_its_caller_leaves() {
    let millis = Duration::from_millis;
    for (target, pause, leaves) in [(300, 100, 2_000), (600, 100, 2_400), (300, 400, 3_200)] {
        let gap = longest_gap(millis(target), millis(pause));
        assert!(gap < millis(leaves), "{gap:?}");
        assert!(gap + millis(500) > millis(leaves), "{gap:?}");
    }
}
