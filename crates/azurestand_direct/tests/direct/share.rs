//! The rate at which all entries together send to a target.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{RateLimit, SendBound, SendBucket, SendShare};
use azurestand_types::Moment;
use proptest::prelude::*;

/// Sends of all entries in the busiest second, if each sends whenever it may.
fn busiest_second(count: usize, rate: f64, step_micros: u64) -> usize {
    let names: Vec<Arc<str>> = (0..count)
        .map(|number| format!("10.0.0.{number}").into())
        .collect();
    let mut sends = Vec::new();
    for own in &names {
        let share = SendShare::new(own.clone(), names.clone());
        let place = share.place("i-1");
        let Some(limit) = place.and_then(|place| place.limit(SendBound::cold(rate))) else {
            continue;
        };
        let mut cold = SendBucket::new(Moment::START);
        let mut now = 0;
        while now < 4_000_000 {
            let moment = Moment::from_micros(now);
            if cold.allows(moment, limit) {
                cold.spend(moment, limit);
                sends.push(now);
            }
            now += step_micros;
        }
    }
    let in_second = |from: &u64| {
        let within = sends
            .iter()
            .filter(|at| **at >= *from && **at < from + 1_000_000);
        within.count()
    };
    sends.iter().map(in_second).max().unwrap_or_default()
}

proptest! {
    /// However many entries send as much as they may, they stay under one and a
    /// half times the rate plus five, and use at least a part of the rate.
    #[test]
    fn all_entries_together_keep_to_the_bound(
        count in 1_usize..60,
        rate in 6.0_f64..40.0,
        step in 1_000_u64..20_000,
    ) {
        let all = busiest_second(count, rate, step);
        let all = f64::from(u32::try_from(all).unwrap());
        prop_assert!(all <= rate * 1.5 + 5.0, "{all} sends in a second");
        prop_assert!(all >= rate * 0.5, "{all} sends in a second");
    }
}

/// Each of 38 entries had one token: 38 sends in a second, where 26 are allowed.
#[test]
fn of_many_entries_only_some_send_to_a_cold_target() {
    let all = busiest_second(38, 14.0, 1_000);
    assert!(all <= 26, "{all} sends in a second");
}

#[test]
fn an_entry_that_knows_no_others_sends_nothing_to_cold_targets() {
    let share = SendShare::new("10.0.0.1".into(), Vec::new());
    assert_eq!(share.place("i-1"), None);
}

/// The window over which a named limit binds, in microseconds.
const NAMED_WINDOW: u64 = 4_000_000;
/// How long the entries are observed.
const RUN_TIME: u64 = 16_000_000;
/// When one entry stops, and when it is back, with a new bucket.
const STOPS_AT: u64 = 5_000_000;
const RETURNS_AT: u64 = 9_000_000;

/// Sends of all entries to a target that names `rate`, if each sends whenever it may. One entry
/// restarts, and each other one learns of its end and its return after a time of its own.
fn sends_around_a_restart(count: usize, rate: f64, step: u64, seed: u64) -> Vec<u64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let bound = SendBound::named(RateLimit::try_from(rate).unwrap());
    let names: Vec<Arc<str>> = (0..count)
        .map(|number| format!("10.0.0.{number}").into())
        .collect();
    let restarted = names[rng.usize(0..count)].clone();
    let others: Vec<Arc<str>> = names
        .iter()
        .filter(|name| **name != restarted)
        .cloned()
        .collect();
    let mut sends = Vec::new();
    for own in &names {
        let limit = |entries: &Vec<Arc<str>>| {
            let share = SendShare::new(own.clone(), entries.clone());
            share.place("i-1").and_then(|place| place.limit(bound))
        };
        let (all, without) = (limit(&names), limit(&others));
        let missed_from = STOPS_AT + rng.u64(0..3_500_000);
        let missed_until = RETURNS_AT + rng.u64(0..1_500_000);
        let mut bucket = SendBucket::new(Moment::START);
        let mut now = 0;
        while now < RUN_TIME {
            now += step;
            let moment = Moment::from_micros(now);
            if *own == restarted && (STOPS_AT..RETURNS_AT).contains(&now) {
                bucket = SendBucket::new(moment);
                continue;
            }
            let is_missed = *own != restarted && (missed_from..missed_until).contains(&now);
            let Some(limit) = (if is_missed { without } else { all }) else {
                continue;
            };
            if bucket.wait(moment, limit) == Duration::ZERO {
                bucket.spend(moment, limit);
                sends.push(now);
            }
        }
    }
    sends
}

fn in_window(sends: &[u64], from: u64) -> f64 {
    let within = sends.iter();
    let within = within.filter(|at| **at >= from && **at < from + NAMED_WINDOW);
    f64::from(u32::try_from(within.count()).unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::with_cases(64)
    })]

    /// However many entries there are and whenever they learn of a restart, in no 4 s do they
    /// send more than one and a half times what the target named, plus five.
    #[test]
    fn all_entries_together_keep_to_a_named_limit_while_one_restarts(
        count in 2_usize..60,
        rate in 0.3_f64..60.0,
        step in 1_000_u64..20_000,
        seed in any::<u64>(),
    ) {
        let sends = sends_around_a_restart(count, rate, step, seed);
        for from in sends.iter().copied() {
            let sent = in_window(&sends, from);
            prop_assert!(sent <= 1.5 * rate * 4.0 + 5.0, "{sent} sends in 4 s");
        }
        // Before the restart, nearly all that the target takes is used.
        let used = in_window(&sends, 1_000_000);
        prop_assert!(used >= (rate * 4.0 * 0.8).floor() - 1.0, "{used} sends in 4 s");
    }
}

/// Only an answer tells that a limit has ended, so there has to be one now and then.
#[test]
fn a_target_that_names_a_limit_of_zero_still_gets_a_request_now_and_then() {
    let sends = sends_around_a_restart(7, 0.0, 10_000, 1);
    assert!(sends.iter().any(|at| *at > NAMED_WINDOW));
    for from in sends.iter().copied() {
        assert!(in_window(&sends, from) <= 5.0);
    }
}
