use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::World;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x_a2_4e),
        cases: 4_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A request reported as not run did not run, one that isn't idempotent is sent
    /// again only after a definitive refusal, the caller gets exactly the answer's
    /// bytes, and there is one outcome.
    #[test]
    fn every_order_of_events_ends_in_a_correct_outcome(
        idempotent in any::<bool>(),
        steps in vec(any::<(u8, u8)>(), 0..300),
    ) {
        let mut world = World::new(idempotent);
        for (what, which) in steps {
            world.step(what, which);
        }
        world.settle();
    }
}

/// Checks the model itself: if it rarely got far, the property above would prove
/// nothing.
#[test]
fn the_model_reaches_every_outcome_and_second_targets() {
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut answered, mut not_run, mut unknown, mut moved) = (0, 0, 0, 0);
    for round in 0..3_000 {
        let mut world = World::new(round % 2 == 0);
        for _ in 0..rng.usize(..80) {
            world.step(rng.u8(..), rng.u8(..));
        }
        world.settle();
        moved += usize::from(world.sends.len() > 1);
        match world.outcomes[0] {
            azurestand_types::Outcome::Answered => answered += 1,
            azurestand_types::Outcome::NotRun(_) => not_run += 1,
            azurestand_types::Outcome::Unknown(_) => unknown += 1,
        }
    }
    for count in [answered, not_run, unknown, moved] {
        assert!(count > 100, "{answered} {not_run} {unknown} {moved}");
    }
}
