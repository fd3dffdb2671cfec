//! The drawing of faults.

use std::time::Duration;

use azurestand_standin::{Fault, FaultPlan, Plan};

const LENGTH: Duration = Duration::from_secs(10);

#[test]
fn one_seed_gives_the_same_faults_every_time() {
    let plan = Plan::winter_roads();
    let drawn = FaultPlan::draw(7, &plan, LENGTH);
    assert_eq!(drawn, FaultPlan::draw(7, &plan, LENGTH));
    assert_ne!(drawn.events, FaultPlan::draw(8, &plan, LENGTH).events);
}

#[test]
fn every_fault_is_mended_within_the_plan() {
    for seed in 0..200 {
        let drawn = FaultPlan::draw(seed, &Plan::small(1), LENGTH);
        let mut dead = 0_i32;
        let mut broken = 0_i32;
        for event in &drawn.events {
            assert!(event.at <= LENGTH, "{event:?}");
            match event.fault {
                Fault::RunnerDies(_) | Fault::BoothDies(_) | Fault::EntryDies(_) => dead += 1,
                Fault::RunnerReturns(_) | Fault::BoothReturns(_) | Fault::EntryReturns(_) => {
                    dead -= 1;
                }
                Fault::StoreDown(on)
                | Fault::StoreSlow(on)
                | Fault::OriginStalls(on)
                | Fault::Corruption(on) => broken += if on { 1 } else { -1 },
                Fault::CentreOut => broken += 1,
                Fault::CentreIn => broken -= 1,
                _ => {}
            }
        }
        assert_eq!((dead, broken), (0, 0), "seed {seed}");
    }
}
