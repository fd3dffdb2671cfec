//! The choice of another data centre, and the limit on the traffic sent there.

use std::time::Duration;

use azurestand_route::{MAX_HOPS, Spill, SpillSettings};
use azurestand_types::{DataCentre, Moment};
use fastrand::Rng;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).unwrap()
}

/// A fifth of 20 Mbit/s for five entries: 100 kB/s each.
fn spill() -> Spill {
    Spill::new(SpillSettings::new(2_500_000.0, 0.2, 5))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x_5b_11),
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Over any period a link carries at most its share, one burst and one request.
    #[test]
    fn passed_on_bytes_stay_within_the_links_share(
        steps in vec((0..50_u64, 0..200_000_u64), 1..200),
    ) {
        let mut spill = spill();
        let mut rng = Rng::with_seed(1);
        let mut now = Moment::START;
        let mut sent = Vec::new();
        for (pause, bytes) in steps {
            now = now + Duration::from_millis(pause);
            if spill.choose(now, 0, bytes, &[centre("tov")], &mut rng).is_some() {
                sent.push((now, bytes));
            }
        }
        for (first, (start, _)) in sent.iter().enumerate() {
            let mut bytes = 0.0;
            for (at, more) in &sent[first..] {
                bytes += Duration::from_micros(*more).as_secs_f64() * 1e6;
                let span = at.since(*start).as_secs_f64();
                let bound = 100_000.0 * span + 100_000.0 + 200_000.0;
                prop_assert!(bytes <= bound + 1.0, "{bytes} in {span} s");
            }
        }
    }
}

#[test]
fn a_request_that_crossed_once_does_not_cross_again() {
    let mut rng = Rng::with_seed(1);
    let chosen = spill().choose(Moment::START, MAX_HOPS, 1, &[centre("tov")], &mut rng);
    assert_eq!(chosen, None);
}

/// Two full data centres must not pass requests back and forth.
#[test]
fn a_data_centre_that_passes_requests_here_gets_none_back() {
    let mut spill = spill();
    let mut rng = Rng::with_seed(1);
    let now = Moment::from_millis(10);
    spill.record_received(now, &centre("tov"));
    let centres = [centre("tov"), centre("khentii")];
    for _ in 0..20 {
        let chosen = spill.choose(now, 0, 1, &centres, &mut rng);
        assert_eq!(chosen, Some(centre("khentii")));
    }
    let later = now + Duration::from_secs(1);
    assert!(
        (0..50).any(|_| { spill.choose(later, 0, 1, &centres, &mut rng) == Some(centre("tov")) })
    );
}

/// The pause grows with each refusal, so that few requests are spent on a data centre
/// that is down.
#[test]
fn a_data_centre_that_refuses_is_tried_ever_less_often() {
    let mut spill = spill();
    let mut rng = Rng::with_seed(1);
    let mut tries = 0;
    for n in 0..1_000 {
        let now = Moment::from_millis(n * 10);
        if spill
            .choose(now, 0, 1, &[centre("tov")], &mut rng)
            .is_some()
        {
            tries += 1;
            spill.record_refusal(now, &centre("tov"));
        }
    }
    assert!((4..=7).contains(&tries), "{tries} tries in 10 s");
}
