//! Requests that come while an entry stops.

use std::time::Duration;

use azurestand_direct::StopPlan;
use azurestand_types::Moment;

const GRACE: Duration = Duration::from_secs(8);
/// Requests that are sent later than this after the signal are owed their whole answers.
const OWED_AFTER: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);

fn signal() -> Moment {
    Moment::from_micros(1_000_000_000)
}

/// Streams with 6 s left were taken 3.1 s after the signal and cut at 7.6 s.
#[test]
fn a_request_that_is_owed_its_answer_is_taken_only_if_it_ends_in_time() {
    let plan = StopPlan::new(signal(), GRACE);
    let mut at = signal();
    while at < signal() + GRACE {
        for left in [100, 600, 2_500, 6_000].map(Duration::from_millis) {
            let is_owed = at > signal() + OWED_AFTER;
            let ends_in_time = at + left <= plan.ends_at;
            let is_taken = plan.takes(at, at + left);
            assert!(!is_taken || !is_owed || ends_in_time, "{at:?} {left:?}");
            // Nothing is refused without need.
            assert!(is_taken || !ends_in_time, "{at:?} {left:?}");
        }
        at = at + STEP;
    }
}

#[test]
fn all_requests_are_taken_until_the_balancer_has_noticed_the_stop() {
    let plan = StopPlan::new(signal(), GRACE);
    let at = signal() + Duration::from_millis(2_500);
    assert!(plan.takes(at, at + Duration::from_mins(1)));
    assert!(plan.closes_at > at && plan.closes_at < plan.ends_at);
}

#[test]
fn a_stop_ends_before_its_grace_time_however_short_that_is() {
    for grace in [0, 100, 1_000, 3_000, 8_000].map(Duration::from_millis) {
        let plan = StopPlan::new(signal(), grace);
        assert!(plan.closes_at <= plan.ends_at, "{grace:?}");
        assert!(plan.ends_at <= signal() + grace, "{grace:?}");
        let late = plan.ends_at;
        assert!(!plan.takes(late, late + STEP), "{grace:?}");
    }
}
