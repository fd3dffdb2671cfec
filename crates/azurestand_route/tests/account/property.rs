use std::time::Duration;

use azurestand_route::{Allowance, RAISE_DELAY};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::World;

const MAX_ENTRIES: usize = 6;

/// The largest number of requests admitted beyond rate × time, over all periods.
fn worst_excess(world: &World, rate: f64) -> f64 {
    let mut worst = 0.0_f64;
    let mut low = f64::INFINITY;
    let mut count = 0.0;
    for moment in &world.admitted {
        let line = rate * Duration::from_micros(moment.as_micros()).as_secs_f64();
        low = low.min(count - line);
        count += 1.0;
        worst = worst.max(count - line - low);
    }
    worst
}

fn harmonic(n: usize) -> f64 {
    (1..=n)
        .map(|n| 1.0 / f64::from(u32::try_from(n).unwrap()))
        .sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x_ac_c0),
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// While demands arrive within `RAISE_DELAY`, the shares add up to at most 1. Any period
    /// therefore has at most rate × time + burst + one request per entry.
    #[test]
    fn all_entries_together_stay_within_the_allowance(
        entries in 2..=MAX_ENTRIES,
        rate in 1.0..60.0_f64,
        burst in 1.0..30.0_f64,
        concurrency in 1..60_u32,
        duration_ms in 1..4_000_u64,
        seed in any::<u64>(),
        bursts in vec((0..MAX_ENTRIES, 0..30_usize, 1..60_usize), 1..12),
    ) {
        let allowance = Allowance { rate, burst, concurrency };
        let mut world = World::new(entries, allowance, RAISE_DELAY, seed);
        for (entry, tries, steps) in bursts {
            let mut load = vec![0; entries];
            load[entry % entries] = tries;
            load[(entry + 1) % entries] = tries / 8;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(duration_ms)));
        }
        prop_assert!(world.max_total <= 1.0 + 1e-9, "shares {}", world.max_total);
        let count = f64::from(u32::try_from(entries).unwrap());
        let excess = worst_excess(&world, rate);
        prop_assert!(excess <= burst + count + 1e-6, "{excess} over the rate, burst {burst}");
        let bound = f64::from(concurrency) * harmonic(entries) + count;
        let in_flight = f64::from(u32::try_from(world.max_in_flight).unwrap());
        prop_assert!(in_flight <= bound, "{in_flight} in flight of {concurrency}");
    }

    /// Demands that are late by up to another `RAISE_DELAY` at most double the total.
    #[test]
    fn late_demands_at_most_double_the_allowance(
        entries in 2..=MAX_ENTRIES,
        seed in any::<u64>(),
        bursts in vec((0..MAX_ENTRIES, 0..30_usize, 1..60_usize), 1..12),
    ) {
        let allowance = Allowance { rate: 20.0, burst: 5.0, concurrency: 20 };
        let mut world = World::new(entries, allowance, 2 * RAISE_DELAY, seed);
        for (entry, tries, steps) in bursts {
            let mut load = vec![0; entries];
            load[entry % entries] = tries;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(300)));
        }
        prop_assert!(world.max_total <= 2.0 + 1e-9, "shares {}", world.max_total);
    }

    /// Each entry that joined or left without the others knowing adds at most one equal
    /// share.
    #[test]
    fn each_join_or_leave_adds_at_most_one_share(
        entries in 3..=MAX_ENTRIES,
        seed in any::<u64>(),
        changes in vec((0..MAX_ENTRIES, any::<bool>(), 40..80_usize), 1..6),
    ) {
        let allowance = Allowance { rate: 20.0, burst: 5.0, concurrency: 20 };
        let mut world = World::new(entries, allowance, RAISE_DELAY, seed);
        for (entry, live, steps) in changes {
            world.set_live(entry % entries, live);
            let load = vec![3; entries];
            let least = world.live();
            world.max_total = 0.0;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(300)));
            let bound = 1.0 + 1.0 / f64::from(u32::try_from(least.max(1)).unwrap());
            prop_assert!(world.max_total <= bound + 1e-9, "{} > {bound}", world.max_total);
        }
    }
}
