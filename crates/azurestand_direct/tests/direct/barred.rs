//! Targets that want no requests, by their own word.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_direct::{
    Bar, Directory, Fault, Incarnation, NoTarget, Placement, Regions, RequestSize, RetryAfter,
    Service, Target, TargetRequirements, TargetState,
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
        regions: &Regions::Any,
        limit: Duration::from_millis(360),
        spare_slots: None,
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
    /// A refusal of a run, which names so many milliseconds.
    Refuses(usize, u64, u64),
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
        (number.clone(), started_at.clone(), 0_u64..3_000)
            .prop_map(|(n, run, millis)| Event::Refuses(n, run, millis)),
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
            directory.put(
                now,
                Target {
                    state,
                    ..run(*number, *started_at)
                },
            );
        }
        Event::Removed(number) => directory.remove(now, &format!("i-{number}")),
        Event::ReadFailed => directory.record_read_failure(),
        Event::Waited(_) => drop(directory.expire(now)),
        Event::Leaves(..) | Event::Refuses(..) => {}
    }
}

/// What runs have said of themselves.
#[derive(Debug, Default)]
struct Said {
    left: BTreeSet<Incarnation>,
    /// When the time ends that a run has named.
    refuses_until: BTreeMap<Incarnation, Moment>,
}

impl Said {
    /// Whether a run wants nothing now.
    fn is_barred(&self, now: Moment, target: &Target) -> bool {
        let incarnation = Incarnation::from(target);
        let until = self.refuses_until.get(&incarnation);
        self.left.contains(&incarnation) || until.is_some_and(|until| now < *until)
    }

    /// Whether a run has ever refused a request.
    fn has_refused(&self, target: &Target) -> bool {
        self.refuses_until.contains_key(&Incarnation::from(target))
    }

    fn record(&mut self, now: Moment, placement: &mut Placement, event: &Event) {
        match event {
            Event::Leaves(number, started_at) => {
                let incarnation = Incarnation::from(&run(*number, *started_at));
                let is_new = placement.record_leaving(now, incarnation.clone());
                assert_eq!(is_new, self.left.insert(incarnation));
            }
            Event::Refuses(number, started_at, millis) => {
                let target = run(*number, *started_at);
                placement.record_retry_after(now, &target, seconds(*millis));
                placement.record_fault(now, &target, Fault::Refused);
                let ends = now + Duration::from_millis(*millis);
                let until = self.refuses_until.entry(Incarnation::from(&target));
                let until = until.or_insert(ends);
                *until = (*until).max(ends);
            }
            _ => {}
        }
    }
}

fn seconds(millis: u64) -> RetryAfter {
    RetryAfter::try_from(Duration::from_millis(millis).as_secs_f64()).unwrap()
}

proptest! {
    /// Whatever the list says, and in whichever order: a run that has said that it leaves, or
    /// for how long it wants nothing, gets nothing, and any other listed one does.
    #[test]
    fn a_barred_run_gets_nothing_and_bars_no_other(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let service = plain();
        let mut placement = placement();
        let mut directory = Directory::default();
        let mut said = Said::default();
        let mut now = Moment::START;
        for event in &events {
            if let Event::Waited(millis) = event {
                now = now + Duration::from_millis(*millis);
            }
            said.record(now, &mut placement, event);
            apply(&mut directory, now, event);
            placement.set_targets(now, &directory);
            let mut staying = directory.targets().filter(|target| {
                target.state == TargetState::Ready
                    && !said.left.contains(&Incarnation::from(target.as_ref()))
            });
            match placement.choose(now, &requirements(&service)) {
                Ok(choice) => {
                    prop_assert!(!said.is_barred(now, &choice.target), "{:?}", choice.target);
                    prop_assert!(placement.may_send(now, &choice.target));
                    placement.record_send(now, &choice.target, None);
                    placement.record_end(&choice.target, false);
                }
                Err(NoTarget::NoneEligible) => prop_assert!(staying.next().is_none()),
                Err(NoTarget::TurnedAway { soonest }) => {
                    prop_assert!(!soonest.is_zero());
                    prop_assert!(staying.all(|target| said.has_refused(target)));
                }
                // Some come back, with few requests at first.
                Err(NoTarget::Busy { .. }) => {
                    prop_assert!(staying.any(|target| said.has_refused(target)));
                }
            }
        }
    }
}

/// A hostile target names a year, or nonsense.
#[test]
fn a_named_time_is_bounded_and_has_to_be_one() {
    let time = |seconds: f64| RetryAfter::try_from(seconds).map(RetryAfter::get).ok();
    assert_eq!(time(0.5), Some(Duration::from_millis(500)));
    assert_eq!(time(0.0), Some(Duration::ZERO));
    assert_eq!(time(3e7), Some(Duration::from_mins(1)));
    assert_eq!(time(f64::MAX), Some(Duration::from_mins(1)));
    for seconds in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(time(seconds), None, "{seconds}");
    }
}

/// The requests that an entry sends to a target in the first `millis` after its time has
/// ended, if it sends whenever it may.
fn sends_after_return(mut placement: Placement, target: &Target, millis: u64) -> usize {
    let service = plain();
    placement.record_retry_after(at(0), target, seconds(2_000));
    let mut sends = 0;
    for now in 0..2_000 + millis {
        while placement.choose(at(now), &requirements(&service)).is_ok() {
            assert!(now >= 2_000, "sent at {now} ms");
            placement.record_send(at(now), target, None);
            placement.record_end(target, false);
            sends += 1;
            if sends > 100 {
                return sends;
            }
        }
    }
    sends
}

fn placement_of(target: &Target) -> Placement {
    let mut directory = Directory::default();
    directory.put(at(0), target.clone());
    let mut placement = placement();
    placement.set_targets(at(0), &directory);
    placement
}

/// Many entries were refused at one moment and have requests waiting.
#[test]
fn a_target_comes_back_gently() {
    let target = run(0, 1);
    assert!(sends_after_return(placement_of(&target), &target, 250) <= 1);
    assert!(sends_after_return(placement_of(&target), &target, 500) <= 3);
    let later = sends_after_return(placement_of(&target), &target, 1_500);
    assert!(later > 15, "it is an ordinary target again: {later}");
}

/// Refusals of requests that were on their way doubled the pause beyond the named time.
#[test]
fn ordinary_refusals_neither_lengthen_nor_shorten_the_named_time() {
    let target = run(0, 1);
    let service = plain();
    let mut placement = placement_of(&target);
    placement.record_retry_after(at(0), &target, seconds(2_000));
    for now in 1..10 {
        placement.record_fault(at(now), &target, Fault::Refused);
        placement.record_retry_after(at(now), &target, seconds(10));
    }
    placement.record_success(&target);
    let early = placement.choose(at(1_999), &requirements(&service));
    assert!(
        matches!(early, Err(NoTarget::TurnedAway { .. })),
        "{early:?}"
    );
    assert!(placement.choose(at(2_400), &requirements(&service)).is_ok());
}

/// Half of the targets want nothing: those that others have filled are busy, not turned away.
#[test]
fn one_target_that_wants_nothing_is_capacity_that_is_not_there() {
    let (one, other) = (run(0, 1), run(1, 1));
    let service = plain();
    let mut directory = Directory::default();
    directory.put(at(0), one.clone());
    directory.put(at(0), other.clone());
    let mut placement = placement();
    placement.set_targets(at(0), &directory);
    placement.record_retry_after(at(0), &one, seconds(2_000));
    for _ in 0..20 {
        let choice = placement.choose(at(10), &requirements(&service)).unwrap();
        assert_eq!(choice.target.id, other.id);
    }
    assert_eq!(placement.turned_away(at(10), "desk"), None);
    placement.record_retry_after(at(10), &other, seconds(1_000));
    let soonest = placement.turned_away(at(10), "desk").unwrap();
    assert!(
        (1_000..=1_250).contains(&soonest.as_millis()),
        "{soonest:?}"
    );
    let barred = placement.barred_targets(at(10));
    assert_eq!(barred.len(), 2);
    assert!(
        barred
            .iter()
            .all(|one| matches!(one.bar, Bar::RetryAfter(_)))
    );
}

/// A request is placed, and its target says that it leaves while the connection is opened.
#[test]
fn a_placed_request_may_not_be_sent_to_a_run_that_leaves() {
    let mut placement = placement();
    let old = run(0, 1);
    assert!(placement.may_send(at(6_000), &old));
    assert!(placement.record_leaving(at(10), Incarnation::from(&old)));
    assert!(!placement.may_send(at(6_000), &old));
    assert!(placement.may_send(at(6_000), &run(0, 2)));
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
    assert!(!placement.may_send(at(6_000), &run(0, runs - 1)));
    assert!(placement.may_send(at(6_000), &run(0, 0)));
    assert!(placement.latest_leaving().len() <= 256);
}
