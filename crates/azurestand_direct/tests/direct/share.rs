//! The rate at which all entries together send to a cold target.

use std::sync::Arc;

use azurestand_direct::{SendBound, SendBucket, SendShare};
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
        let Some(limit) = share.limit("i-1", SendBound::cold(rate)) else {
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
    assert_eq!(share.limit("i-1", SendBound::cold(36.0)), None);
}
