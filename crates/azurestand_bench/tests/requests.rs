//! The promises that the policy's figures must keep, whatever else they are.

use azurestand_bench::requests::{Policy, burst, centre, overload, prefix, retries};

/// However many entries choose the same cold target, it starts no request too many.
#[test]
fn a_burst_of_370_entries_starts_nothing_over_the_limit() {
    let row = burst(Policy::Weighed);
    assert_eq!(row.over_limit, 0, "{row:?}");
}

#[test]
fn twice_the_load_leaves_the_goodput_and_the_small_accounts() {
    let row = overload(Policy::Weighed, 10);
    assert!(row.goodput >= 0.95, "{row:?}");
    assert!(row.small_answered >= 0.99, "{row:?}");
    assert!(row.small_p95_ms <= 2.0 * row.unloaded_p95_ms, "{row:?}");
}

#[test]
fn a_third_of_targets_refusing_adds_at_most_a_tenth() {
    let row = retries(Policy::Weighed, 5);
    assert!(row.amplification <= 1.1, "{row:?}");
    assert!(row.answered >= 0.99, "{row:?}");
}

/// Cache events are a hint: without any the choice is nearly as good.
#[test]
fn lost_cache_events_cost_little() {
    let with = prefix(Policy::Weighed, 0.0, 5);
    let without = prefix(Policy::Weighed, 1.0, 5);
    assert!(without.hits >= 0.95 * with.hits, "{with:?} {without:?}");
}

#[test]
fn a_data_centre_out_costs_no_request_that_the_rest_can_carry() {
    let row = centre(Policy::Weighed);
    assert!(row.answered >= 0.999, "{row:?}");
    assert!(row.gap_ms <= 2_000.0, "{row:?}");
}
