//! Small fleets hold the targets of the control plane; all but processor time is virtual.

use azurestand_bench::control;

const SEED: u64 = 9;

#[test]
fn store_calls_stay_flat_and_edits_take_effect_within_a_second() {
    let (small, large) = (control::measure(16, SEED), control::measure(48, SEED));
    for row in [&small, &large] {
        assert!(row.max_ms <= 1_000.0, "{row}");
        assert!(row.node_bytes <= 10_000.0, "{row}");
        assert!(row.peak_bytes <= 10_000.0, "{row}");
        assert!(row.join_s.is_some(), "{row}");
    }
    assert!(
        (small.steady_calls - large.steady_calls).abs() < 0.5,
        "{small}\n{large}"
    );
}
