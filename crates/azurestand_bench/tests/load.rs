//! Each pattern of load, replayed before emulated engines in virtual time.

use std::time::Duration;

use azurestand_bench::load::{Figures, PATTERNS, Pattern, Plan, Policy, Size, run};

/// The rate of a cold target, half as much again and five more, as the users' rules allow.
const COLD_MOST: u32 = 59;
/// One and a half times the named rate over 4 s, and five more, as the users' rules allow.
const LIMITED_MOST: u32 = 32;
/// A kind of request that is served less than a quarter as often as all is starved.
const STARVED: f64 = 0.25;
/// What is earned at one and a half times the load that engines can answer, as a part of what
/// is earned at that load.
const GOODPUT_SHARE: f64 = 0.9;
/// What the users' marks ask for of a day.
const AIMED_WORTH: f64 = 0.9;

fn figures(policy: Policy, pattern: Pattern, load: f64) -> Figures {
    run(&Plan {
        size: Size::Base,
        policy,
        admits: true,
        pattern,
        load,
        time: Duration::from_secs(12),
        seed: 11,
    })
}

/// The entries' own way is worth more than the plain ones, and starves no class.
fn assert_best(pattern: Pattern) {
    for load in [1.5, 2.0] {
        let own = figures(Policy::Predicted, pattern, load);
        for other in [Policy::LeastOwn, Policy::Random] {
            let other = figures(other, pattern, load);
            assert!(
                own.worth > other.worth,
                "{pattern:?} {load}: {own:?} {other:?}"
            );
        }
        let served = f64::from(own.in_aim + own.late) / f64::from(own.asked);
        assert!(
            own.served.iter().all(|class| *class >= STARVED * served),
            "{pattern:?} {load}: {own:?}"
        );
    }
}

#[test]
fn the_same_plan_has_the_same_figures() {
    let first = figures(Policy::Predicted, Pattern::Burst, 1.5);
    assert_eq!(first, figures(Policy::Predicted, Pattern::Burst, 1.5));
}

#[test]
fn a_load_that_engines_bear_is_answered_in_time() {
    let own = figures(Policy::Predicted, Pattern::Steady, 1.0);
    assert!(own.worth >= AIMED_WORTH, "{own:?}");
    assert_eq!(own.refused + own.failed, 0, "{own:?}");
}

#[test]
fn steady_overload() {
    assert_best(Pattern::Steady);
}

/// 148 entries hear of the same free place at the same time. Each of them that had a request
/// waiting sent it there, so engines refused many and answered most of the others late.
#[test]
fn a_large_deployment_earns_nearly_as_much_at_overload_as_at_its_limit() {
    let earned = |load| {
        let own = run(&Plan {
            size: Size::Large,
            policy: Policy::Predicted,
            admits: true,
            pattern: Pattern::Steady,
            load,
            time: Duration::from_secs(10),
            seed: 11,
        });
        load * own.worth
    };
    let (limit, overload) = (earned(1.0), earned(1.5));
    assert!(overload >= GOODPUT_SHARE * limit, "{overload} of {limit}");
}

#[test]
fn a_burst() {
    assert_best(Pattern::Burst);
}

#[test]
fn a_third_of_the_targets_is_lost() {
    assert_best(Pattern::TargetsLost);
}

#[test]
fn empty_targets_are_added() {
    assert_best(Pattern::ColdAdded);
}

#[test]
fn a_data_centre_is_out() {
    assert_best(Pattern::CentreOut);
}

#[test]
fn a_new_version_during_overload() {
    assert_best(Pattern::NewVersion);
}

#[test]
fn callers_come_back_at_once() {
    assert_best(Pattern::Abuse);
}

#[test]
fn cold_targets_get_no_more_than_all_entries_may_send() {
    let blind = figures(Policy::LeastOwn, Pattern::ColdAdded, 4.0);
    assert!(blind.cold_peak > COLD_MOST, "no rush to bound: {blind:?}");
    let own = figures(Policy::Predicted, Pattern::ColdAdded, 4.0);
    assert!(own.cold_peak <= COLD_MOST, "{own:?}");
}

#[test]
fn targets_that_name_limits_get_no_more_from_all_entries_together() {
    let figures = |policy| {
        run(&Plan {
            size: Size::Base,
            policy,
            admits: true,
            pattern: Pattern::LimitsNamed,
            load: 1.5,
            time: Duration::from_secs(36),
            seed: 11,
        })
    };
    let blind = figures(Policy::LeastOwn);
    assert!(blind.limited_peak > LIMITED_MOST, "{blind:?}");
    let own = figures(Policy::Predicted);
    assert!(own.limited_peak <= LIMITED_MOST, "{own:?}");
    // The rates are used while callers are refused.
    assert!(own.limited_use >= 0.8, "{own:?}");
}

#[test]
fn targets_turn_requests_away_and_leave() {
    assert_best(Pattern::TurnedAway);
}

#[test]
fn targets_that_want_nothing_get_nothing() {
    let blind = figures(Policy::LeastOwn, Pattern::TurnedAway, 1.5);
    assert!(blind.barred_sends > 0, "none sent to be barred: {blind:?}");
    let own = figures(Policy::Predicted, Pattern::TurnedAway, 1.5);
    assert_eq!(own.barred_sends, 0, "{own:?}");
}

#[test]
fn whoever_is_refused_is_refused_before_giving_up() {
    for pattern in PATTERNS
        .into_iter()
        .filter(|one| *one != Pattern::TargetsLost)
    {
        let own = figures(Policy::Predicted, pattern, 2.0);
        assert_eq!(own.failed, 0, "{pattern:?} {own:?}");
    }
}

/// Callers who get an answer less than half as often as others are starved.
#[test]
fn callers_of_a_busy_data_centre_are_served_at_least_half_as_often_as_others() {
    for seed in 1..=3 {
        let own = run(&Plan {
            size: Size::Base,
            policy: Policy::Predicted,
            admits: true,
            pattern: Pattern::Uneven,
            load: 2.0,
            time: Duration::from_secs(20),
            seed,
        });
        let most = own.served_centres.iter().copied().fold(0.0, f64::max);
        let least = own.served_centres.iter().copied().fold(1.0, f64::min);
        assert!(least >= most / 2.0, "seed {seed}: {own:?}");
    }
}

/// A kind's longest prompts are served at least half as often as all of the kind.
#[test]
fn the_longest_prompts_are_served_at_least_half_as_often_as_others() {
    for load in [1.5, 2.0] {
        let own = figures(Policy::Predicted, Pattern::Steady, load);
        let kinds = own.served.iter().zip(&own.served_longest);
        for (served, longest) in kinds {
            assert!(*longest >= served / 2.0, "{load}: {own:?}");
        }
    }
}

/// Kinds of the deployment whose callers compete, by their place in the list of classes.
const LOW: usize = 0;
const URGENT: usize = 1;

/// The figures of entries that admit by priority, and of those that don't.
fn ranked(pattern: Pattern, load: f64) -> [Figures; 2] {
    [true, false].map(|admits| {
        run(&Plan {
            size: Size::Ranked,
            policy: Policy::Predicted,
            admits,
            pattern,
            load,
            time: Duration::from_secs(15),
            seed: 11,
        })
    })
}

/// The urgent kind earns no smaller part of its worth than the least urgent one, and all
/// callers together earn more than without admission by priority.
fn assert_urgent_first(pattern: Pattern, load: f64) {
    let [own, plain] = ranked(pattern, load);
    assert!(
        plain.earned[URGENT] < plain.earned[LOW],
        "no load to answer: {plain:?}"
    );
    assert!(own.earned[URGENT] >= own.earned[LOW], "{own:?}");
    assert!(own.worth > plain.worth, "{own:?} {plain:?}");
    let served = f64::from(own.in_aim + own.late) / f64::from(own.asked);
    let is_served = |class: &f64| *class >= STARVED * served;
    assert!(own.served.iter().all(is_served), "{own:?}");
}

#[test]
fn a_burst_of_the_least_urgent_kind_on_a_steady_load() {
    assert_urgent_first(Pattern::LeastUrgentBurst, 0.7);
}

#[test]
fn a_burst_of_the_urgent_kind() {
    assert_urgent_first(Pattern::UrgentBurst, 0.7);
}

#[test]
fn a_third_of_the_targets_lost_while_kinds_compete() {
    assert_urgent_first(Pattern::TargetsLost, 0.7);
}

#[test]
fn lasting_overload_of_kinds_that_compete() {
    assert_urgent_first(Pattern::Steady, 1.0);
}

/// A part of the worth that differs by less is the luck of the arrivals.
const LUCK: f64 = 0.02;

#[test]
fn a_load_that_engines_bear_is_served_as_without_priorities() {
    let [own, plain] = ranked(Pattern::Steady, 0.6);
    assert!(own.worth >= plain.worth - LUCK, "{own:?} {plain:?}");
    assert_eq!(own.refused + own.failed, 0, "{own:?}");
}

/// Kinds that share a priority are placed by the same decisions, draw by draw.
#[test]
fn kinds_of_one_priority_are_served_as_without_admission_by_priority() {
    let with = |admits| {
        run(&Plan {
            size: Size::Base,
            policy: Policy::Predicted,
            admits,
            pattern: Pattern::Burst,
            load: 1.5,
            time: Duration::from_secs(6),
            seed: 11,
        })
    };
    assert_eq!(with(true), with(false));
}
