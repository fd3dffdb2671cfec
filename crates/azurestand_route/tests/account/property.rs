use std::time::Duration;

use azurestand_route::{Allowance, HOLD};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::World;

const MOST: usize = 6;

/// The most in any window beyond rate × time, over all windows.
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

    /// While demands come within `HOLD`, parts never add up to more than one;
    /// so any window holds rate × time + burst + one request an entry.
    #[test]
    fn all_entries_together_keep_the_allowance(
        entries in 2..=MOST,
        rate in 1.0..60.0_f64,
        burst in 1.0..30.0_f64,
        concurrency in 1..60_u32,
        lasting in 1..4_000_u64,
        seed in any::<u64>(),
        bursts in vec((0..MOST, 0..30_usize, 1..60_usize), 1..12),
    ) {
        let allowance = Allowance { rate, burst, concurrency };
        let mut world = World::new(entries, allowance, HOLD, seed);
        for (place, tries, steps) in bursts {
            let mut load = vec![0; entries];
            load[place % entries] = tries;
            load[(place + 1) % entries] = tries / 8;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(lasting)));
        }
        prop_assert!(world.most_parts <= 1.0 + 1e-9, "parts {}", world.most_parts);
        let count = f64::from(u32::try_from(entries).unwrap());
        let excess = worst_excess(&world, rate);
        prop_assert!(excess <= burst + count + 1e-6, "{excess} over the rate, burst {burst}");
        let bound = f64::from(concurrency) * harmonic(entries) + count;
        let flying = f64::from(u32::try_from(world.most_flying).unwrap());
        prop_assert!(flying <= bound, "{flying} in flight of {concurrency}");
    }

    /// A demand that is late by up to another `HOLD` can at most double the whole.
    #[test]
    fn late_demands_at_most_double_the_allowance(
        entries in 2..=MOST,
        seed in any::<u64>(),
        bursts in vec((0..MOST, 0..30_usize, 1..60_usize), 1..12),
    ) {
        let allowance = Allowance { rate: 20.0, burst: 5.0, concurrency: 20 };
        let mut world = World::new(entries, allowance, 2 * HOLD, seed);
        for (place, tries, steps) in bursts {
            let mut load = vec![0; entries];
            load[place % entries] = tries;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(300)));
        }
        prop_assert!(world.most_parts <= 2.0 + 1e-9, "parts {}", world.most_parts);
    }

    /// Each entry that joined or left while others did not know it adds at most its equal part.
    #[test]
    fn joins_and_leaves_add_at_most_one_part_each(
        entries in 3..=MOST,
        seed in any::<u64>(),
        turns in vec((0..MOST, any::<bool>(), 40..80_usize), 1..6),
    ) {
        let allowance = Allowance { rate: 20.0, burst: 5.0, concurrency: 20 };
        let mut world = World::new(entries, allowance, HOLD, seed);
        for (place, live, steps) in turns {
            world.turn(place % entries, live);
            let load = vec![3; entries];
            let least = world.live();
            world.most_parts = 0.0;
            (0..steps).for_each(|_| world.step(&load, Duration::from_millis(300)));
            let bound = 1.0 + 1.0 / f64::from(u32::try_from(least.max(1)).unwrap());
            prop_assert!(world.most_parts <= bound + 1e-9, "{} > {bound}", world.most_parts);
        }
    }
}
