//! The limit on retries, for random load and faults.

use azurestand_route::RetryBudget;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x_4e_11),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In each step `firsts` requests are sent and then `tries` retries are attempted.
    #[test]
    fn retries_stay_under_a_tenth_in_every_window(
        share in 0.0..0.5_f64,
        steps in vec((0..60_u32, 0..60_u32), 1..60),
    ) {
        let mut budget = RetryBudget::new(share);
        let mut history = Vec::new();
        for (firsts, tries) in steps {
            (0..firsts).for_each(|_| budget.earn());
            let spent = (0..tries).filter(|_| budget.spend()).count();
            history.push((f64::from(firsts), u32::try_from(spent).map_or(0.0, f64::from)));
        }
        for start in 0..history.len() {
            let (mut sent, mut spent) = (0.0, 0.0);
            for (firsts, retries) in &history[start..] {
                sent += firsts;
                spent += retries;
                prop_assert!(spent <= 0.1 * sent + 3.0 + 1e-6, "{spent} retries of {sent}");
            }
        }
    }
}

/// Entries that start during a fault have no saved retries to amplify it with.
#[test]
fn entries_that_start_during_a_fault_send_few_retries() {
    let retries = (0..370)
        .map(|_| {
            let mut budget = RetryBudget::new(0.1);
            (0..10)
                .filter(|_| {
                    budget.earn();
                    budget.spend()
                })
                .count()
        })
        .sum::<usize>();
    assert!(retries <= 370 * 2, "{retries} retries of 3700 sends");
}

/// This includes the initial balance.
#[test]
fn a_share_of_zero_allows_no_retry() {
    let mut budget = RetryBudget::new(0.0);
    budget.earn();
    assert!(!budget.spend());
}

/// Requests at a silent target reserved other targets in vain, ten times a second each.
#[test]
fn whether_there_is_a_retry_is_told_without_taking_it() {
    let mut budget = RetryBudget::new(0.1);
    assert!(budget.has_one());
    assert!(budget.has_one());
    assert!(budget.spend());
    assert!(!budget.has_one());
    assert!(!budget.spend());
    assert!(!RetryBudget::new(0.0).has_one());
}
