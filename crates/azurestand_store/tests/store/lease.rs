//! A holder stops before its lease expires in the store.

use std::time::Duration;

use azurestand_store::{FencedLease, Grant, Lease, LeaseId, LeaseTiming, Renewal};
use azurestand_types::{Fence, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TTL: Duration = Duration::from_secs(10);

fn lease(asked: Moment) -> Lease {
    let grant = Grant {
        lease: LeaseId(1),
        ttl: TTL,
    };
    Lease::granted(LeaseTiming::try_from(TTL).unwrap(), asked, grant)
}

#[test]
fn a_holder_paused_past_its_lease_refuses_to_act() {
    let mut lease = lease(Moment::START);
    let fenced_lease = FencedLease {
        fence: Fence(3),
        until: lease.until(),
    };
    let woken = Moment::from_millis(11_000);
    assert!(!lease.is_held(woken));
    assert!(!lease.start_renewal(woken));
    assert!(!fenced_lease.allows(woken, Duration::ZERO));
}

#[test]
fn an_act_that_would_outlast_the_lease_is_refused() {
    let until = lease(Moment::START).until();
    let fenced_lease = FencedLease {
        fence: Fence(3),
        until,
    };
    let now = Moment::from_millis(8_000);
    assert!(fenced_lease.allows(now, Duration::from_millis(900)));
    assert!(!fenced_lease.allows(now, Duration::from_secs(1)));
}

#[test]
fn a_slow_grant_leaves_only_the_rest_of_its_time() {
    let asked = Moment::from_millis(1_000);
    let lease = lease(asked);
    // However late the answer is read, time counts from the request.
    assert_eq!(lease.until(), asked + Duration::from_secs(9));
}

#[test]
fn an_answer_from_before_a_pause_extends_only_from_its_request() {
    let mut lease = lease(Moment::START);
    let asked = Moment::from_millis(4_000);
    assert!(lease.start_renewal(asked));
    lease.handle_renewal(Renewal::Renewed { ttl: TTL });
    assert!(lease.is_held(Moment::from_millis(12_900)));
    assert!(!lease.is_held(Moment::from_millis(13_000)));
}

#[test]
fn a_lapsed_answer_ends_the_lease_at_once() {
    let mut lease = lease(Moment::START);
    let asked = Moment::from_millis(4_000);
    assert!(lease.start_renewal(asked));
    lease.handle_renewal(Renewal::Expired);
    assert!(!lease.is_held(asked));
}

#[test]
fn a_lease_too_short_for_a_margin_is_refused() {
    let error = LeaseTiming::try_from(Duration::from_secs(1)).unwrap_err();
    assert!(error.to_string().contains("use 2 s or more"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31), cases: 256, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// With any network delays, and with a store's clock that runs 5% fast, the
    /// holder never relies on a lease that has expired in the store.
    #[test]
    fn no_holder_outlives_the_stores_lease(
        steps in prop::collection::vec((0_u64..6_000, 0_u64..6_000, 0_u64..6_000, any::<bool>()), 1..20),
    ) {
        let mut now = Moment::START;
        let mut lease = lease(now);
        let mut lapse = now + TTL.mul_f64(0.95);
        for (idle, there, back, answered) in steps {
            now = now + Duration::from_millis(idle);
            prop_assert!(!lease.is_held(now) || now < lapse);
            if !lease.start_renewal(now) {
                continue;
            }
            now = now + Duration::from_millis(there);
            prop_assert!(!lease.is_held(now) || now < lapse);
            let renewal = if now < lapse {
                lapse = now + TTL.mul_f64(0.95);
                Renewal::Renewed { ttl: TTL }
            } else {
                Renewal::Expired
            };
            now = now + Duration::from_millis(back);
            if answered {
                lease.handle_renewal(renewal);
            } else {
                lease.renewal_failed(now, Duration::from_millis(100));
            }
            prop_assert!(!lease.is_held(now) || now < lapse);
        }
    }
}
