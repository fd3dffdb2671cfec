//! Ten seeds of faults in short form: the promises hold, by the stand-ins' own records.
//!
//! Nothing here is a speed; the limits are far above what a loaded machine needs.

mod plan;

use std::time::Duration;

use azurestand_standin::{Deployment, FaultPlan, Limits, Plan, Traffic, drive};

const LENGTH: Duration = Duration::from_secs(5);
const LIMITS: Limits = Limits {
    quiet: Duration::from_secs(3),
    settle: Duration::from_mins(3),
};
const WEIGHT_BYTES: usize = 300_000;
const CALLERS: usize = 10;
const PAUSE: Duration = Duration::from_millis(60);

async fn hold_promises(seed: u64) {
    let plan = Plan::small(1);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut weights = vec![0; WEIGHT_BYTES];
    rng.fill(&mut weights);
    let mut deployment = Deployment::start(plan.clone(), &weights).await.unwrap();
    let live = deployment.wait_live("v1", plan.engines(), LIMITS.settle);
    assert!(live.await.time.is_some(), "the first version is live");
    let doors = deployment.doors().into_iter().map(|(_, door)| door);
    let traffic = Traffic::start(&plan, doors.collect(), CALLERS, PAUSE);
    let faults = FaultPlan::draw(seed, &plan, LENGTH);
    let driven = drive(&mut deployment, &traffic, &faults, &weights, LIMITS)
        .await
        .unwrap();
    let tally = traffic.stop().await;
    let record = deployment.record();
    let whole = deployment.stop().await;

    assert!(tally.answered > 0, "{tally:?}");
    assert_eq!(tally.lost, 0, "every caller of a living entry gets a word");
    assert_eq!(tally.mixed + u64::from(record.mixed), 0, "mixed weights");
    assert_eq!(record.partial, 0, "weights that were never published");
    assert_eq!(tally.foreign, 0, "answers to somebody else's request");
    assert_eq!(record.overloads, 0, "more than a cold engine bears");
    let doubled: Vec<_> = record.runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(doubled.is_empty(), "ran twice: {doubled:?}");
    let unrun = |key: &&String| !record.runs.contains_key(*key);
    assert_eq!(tally.booked.iter().find(unrun), None, "answered, never run");
    let ran = |key: &&String| record.runs.contains_key(*key);
    assert_eq!(
        tally.unbooked.iter().find(ran),
        None,
        "told not run, but ran"
    );
    assert_eq!(driven.late_work, 0, "new work in a data centre that is out");
    assert_eq!(driven.reverts, 0, "an entry's revision went down");
    assert!(driven.live.time.is_some(), "{driven:?}");
    assert!(driven.current.time.is_some(), "{driven:?}");
    assert!(whole, "a planned stop cut something off");
}

macro_rules! seeds {
    ($($name:ident = $seed:literal),* $(,)?) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            hold_promises($seed).await;
        }
    )*};
}

seeds! {
    seed_1 = 1,
    seed_2 = 2,
    seed_3 = 3,
    seed_4 = 4,
    seed_5 = 5,
    seed_6 = 6,
    seed_7 = 7,
    seed_8 = 8,
    seed_9 = 9,
    seed_10 = 10,
}
