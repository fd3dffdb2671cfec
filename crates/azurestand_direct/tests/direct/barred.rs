//! Targets that want no requests, by their own word.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_direct::{
    Directory, Incarnation, NoTarget, Placement, RequestSize, Service, Target, TargetRequirements,
    TargetState,
};
use azurestand_types::Moment;
use proptest::prelude::*;

use crate::common::{plain, target};

/// Targets of which incarnations come and go.
const TARGETS: usize = 3;
/// Incarnations of each.
const RUNS: u64 = 3;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn placement() -> Placement {
    let rng = fastrand::Rng::with_seed(7);
    Placement::new("north".into(), BTreeMap::new(), 3, rng)
}

fn requirements(service: &Service) -> TargetRequirements<'_> {
    TargetRequirements {
        service,
        model: None,
        oldest: 0,
        required_version: None,
        size: RequestSize::default(),
        avoid: &[],
        regions: &[],
        limit: Duration::from_millis(360),
    }
}

/// A run of one of the targets, all of which have one address.
fn run(number: usize, started_at: u64) -> Target {
    Target {
        started_at,
        ..target(&format!("i-{number}"), "desk")
    }
}

/// What an entry may learn.
#[derive(Debug, Clone)]
enum Event {
    /// An answer, or another entry's notice, says that a run leaves.
    Leaves(usize, u64),
    /// The list is read with these runs; none for a target that isn't on it.
    Listed(Vec<Option<u64>>),
    /// An entry of the list changes.
    Put(usize, u64, bool),
    /// An entry of the list vanishes.
    Removed(usize),
    /// The list can't be read.
    ReadFailed,
    /// Time passes.
    Waited(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let number = 0..TARGETS;
    let started_at = 1..=RUNS;
    prop_oneof![
        (number.clone(), started_at.clone()).prop_map(|(n, run)| Event::Leaves(n, run)),
        prop::collection::vec(prop::option::of(started_at.clone()), TARGETS)
            .prop_map(Event::Listed),
        (number.clone(), started_at, any::<bool>())
            .prop_map(|(n, run, ready)| Event::Put(n, run, ready)),
        number.prop_map(Event::Removed),
        Just(Event::ReadFailed),
        (0_u64..3_000).prop_map(Event::Waited),
    ]
}

/// Applies an event to the list of targets.
fn apply(directory: &mut Directory, now: Moment, event: &Event) {
    match event {
        Event::Listed(runs) => {
            directory.record_read(now);
            let listed = runs.iter().enumerate();
            let listed = listed.filter_map(|(number, started)| Some(run(number, (*started)?)));
            directory.replace(now, listed.collect());
        }
        Event::Put(number, started_at, ready) => {
            directory.record_read(now);
            let state = if *ready {
                TargetState::Ready
            } else {
                TargetState::Leaving
            };
            directory.put(Target {
                state,
                ..run(*number, *started_at)
            });
        }
        Event::Removed(number) => directory.remove(now, &format!("i-{number}")),
        Event::ReadFailed => directory.record_read_failure(),
        Event::Waited(_) => drop(directory.expire(now)),
        Event::Leaves(..) => {}
    }
}

proptest! {
    /// Whatever the list says, and in whichever order: a run that has said that it leaves gets
    /// nothing, and any other listed one does.
    #[test]
    fn a_run_that_leaves_gets_nothing_and_bars_no_other(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let service = plain();
        let mut placement = placement();
        let mut directory = Directory::default();
        let mut left: BTreeSet<Incarnation> = BTreeSet::new();
        let mut now = Moment::START;
        for event in &events {
            if let Event::Waited(millis) = event {
                now = now + Duration::from_millis(*millis);
            }
            if let Event::Leaves(number, started_at) = event {
                let incarnation = Incarnation::from(&run(*number, *started_at));
                let is_new = placement.record_leaving(now, incarnation.clone());
                prop_assert_eq!(is_new, left.insert(incarnation));
            }
            apply(&mut directory, now, event);
            placement.set_targets(now, &directory);
            let chosen = placement.choose(now, &requirements(&service));
            let mut staying = directory.targets().filter(|target| {
                target.state == TargetState::Ready
                    && !left.contains(&Incarnation::from(target.as_ref()))
            });
            match chosen {
                Ok(choice) => {
                    let incarnation = Incarnation::from(choice.target.as_ref());
                    prop_assert!(!left.contains(&incarnation), "{} was chosen", incarnation);
                    prop_assert!(placement.may_send(&choice.target));
                }
                Err(why) => {
                    prop_assert_eq!(why, NoTarget::NoneEligible);
                    prop_assert!(staying.next().is_none());
                }
            }
        }
    }
}

/// A request is placed, and its target says that it leaves while the connection is opened.
#[test]
fn a_placed_request_may_not_be_sent_to_a_run_that_leaves() {
    let mut placement = placement();
    let old = run(0, 1);
    assert!(placement.may_send(&old));
    assert!(placement.record_leaving(at(10), Incarnation::from(&old)));
    assert!(!placement.may_send(&old));
    assert!(placement.may_send(&run(0, 2)));
}

#[test]
fn a_target_that_leaves_is_told_again_for_a_time_and_whenever_asked() {
    let mut placement = placement();
    let incarnation = Incarnation::from(&run(0, 1));
    assert!(placement.record_leaving(at(100), incarnation.clone()));
    assert!(!placement.record_leaving(at(5_000), incarnation.clone()));
    let age = Duration::from_secs(2);
    assert_eq!(
        placement.recently_leaving(at(2_000), age),
        vec![incarnation.clone()]
    );
    assert!(placement.recently_leaving(at(2_200), age).is_empty());
    assert_eq!(placement.latest_leaving(), [incarnation]);
}

/// A peer that names ever new runs can't fill the memory.
#[test]
fn the_runs_that_leave_are_bounded_and_the_latest_are_kept() {
    let mut placement = placement();
    let runs = 5_000;
    for started_at in 0..runs {
        placement.record_leaving(at(started_at), Incarnation::from(&run(0, started_at)));
    }
    assert!(!placement.may_send(&run(0, runs - 1)));
    assert!(placement.may_send(&run(0, 0)));
    assert!(placement.latest_leaving().len() <= 256);
}
