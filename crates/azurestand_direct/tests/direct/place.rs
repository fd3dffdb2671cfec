//! Choosing targets: the prediction, and targets that are slow, failing, leaving, cold,
//! loading or of the wrong version.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    Choice, Directory, Fault, LimitNotice, NoTarget, Placement, RateLimit, Regions, RequestSize,
    SendShare, Service, Target, TargetLoad, TargetRequirements, TargetState,
};
use azurestand_types::Moment;

use crate::common::{engines, held, plain, target};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn placement(now: Moment, targets: Vec<Target>) -> Placement {
    placement_in("north", now, targets)
}

/// The placement of an entry in the data centre `centre`.
fn placement_in(centre: &str, now: Moment, targets: Vec<Target>) -> Placement {
    let mut directory = Directory::default();
    for target in targets {
        directory.put(Moment::START, target);
    }
    let regions: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::from([
        ("north".into(), "one".into()),
        ("south".into(), "two".into()),
    ]);
    let mut placement = Placement::new(centre.into(), regions, 9, fastrand::Rng::with_seed(7));
    placement.set_targets(now, &directory);
    placement
}

fn requirements<'a>(service: &'a Service, regions: &'a Regions) -> TargetRequirements<'a> {
    TargetRequirements {
        service,
        model: service.engine.map(|_| "m"),
        oldest: 0,
        required_version: None,
        size: RequestSize {
            prompt: 964,
            answer: 119,
        },
        avoid: &[],
        regions,
        limit: Duration::from_millis(360),
        spare_slots: None,
    }
}

fn id(choice: Result<Choice, NoTarget>) -> Option<String> {
    choice.ok().map(|choice| choice.target.id.to_string())
}

#[test]
fn an_idle_engine_answers_within_a_pass_and_a_half() {
    let service = engines();
    let mut placement = placement(at(0), vec![target("a", "llm")]);
    let choice = placement
        .choose(at(10), &requirements(&service, &Regions::Any))
        .unwrap();
    let expected = choice.expected.as_millis();
    assert!((60..130).contains(&expected), "{expected} ms");
}

#[test]
fn the_target_with_the_fewest_waiting_prompts_is_chosen() {
    let service = engines();
    let all = vec![target("a", "llm"), target("b", "llm")];
    let mut placement = placement(at(0), all.clone());
    let busy = TargetLoad {
        running: 10,
        waiting: 4,
    };
    placement.record_load(at(5), &all[0], busy);
    placement.record_load(at(5), &all[1], TargetLoad::default());
    for _ in 0..20 {
        let choice = placement.choose(at(10), &requirements(&service, &Regions::Any));
        assert_eq!(id(choice).as_deref(), Some("b"));
    }
}

/// A burst when all engines are full: a request that would be late is not sent.
#[test]
fn full_engines_are_busy() {
    let service = engines();
    let mut placement = placement(at(0), vec![target("a", "llm")]);
    let full = TargetLoad {
        running: 16,
        waiting: 5,
    };
    placement.record_load(at(5), &target("a", "llm"), full);
    let choice = placement.choose(at(10), &requirements(&service, &Regions::Any));
    assert!(matches!(choice, Err(NoTarget::Busy { soonest }) if soonest.as_millis() > 360));
}

/// An engine has just loaded and its reports show nine entries that it is idle. A send of
/// this entry makes it count likely sends of the others as well.
#[test]
fn an_idle_engine_gets_few_requests_until_its_next_report() {
    let service = engines();
    let only = target("a", "llm");
    let mut placement = placement(at(0), vec![only.clone()]);
    placement.record_load(at(5), &only, TargetLoad::default());
    let mut sent = 0;
    while placement
        .choose(at(10), &requirements(&service, &Regions::Any))
        .is_ok()
    {
        placement.record_send(at(10), &only, None);
        sent += 1;
    }
    assert!((1..=3).contains(&sent), "{sent} sends");
}

#[test]
fn a_request_that_has_begun_no_longer_counts_as_waiting() {
    let service = engines();
    let only = target("a", "llm");
    let mut placement = placement(at(0), vec![only.clone()]);
    for _ in 0..4 {
        placement.record_send(at(0), &only, None);
    }
    let before = placement
        .choose(at(500), &requirements(&service, &Regions::Any))
        .unwrap();
    for _ in 0..4 {
        placement.record_first_byte(&only);
    }
    let after = placement
        .choose(at(500), &requirements(&service, &Regions::Any))
        .unwrap();
    assert!(after.expected + Duration::from_millis(100) < before.expected);
}

#[test]
fn leaving_and_excluded_targets_get_no_requests() {
    let service = plain();
    let mut leaving = target("a", "desk");
    leaving.state = TargetState::Leaving;
    let mut away = target("b", "desk");
    away.centre = "south".into();
    let mut placement = placement(at(0), vec![leaving, away]);
    assert_eq!(
        id(placement.choose(at(1), &requirements(&service, &Regions::Any))).as_deref(),
        Some("b")
    );
    placement.set_excluded(BTreeSet::from(["south".into()]));
    let choice = placement.choose(at(1), &requirements(&service, &Regions::Any));
    assert!(matches!(choice, Err(NoTarget::NoneEligible)));
}

#[test]
fn requests_stay_in_their_regions() {
    let service = plain();
    let mut away = target("b", "desk");
    away.centre = "south".into();
    let mut placement = placement(at(0), vec![target("a", "desk"), away]);
    let home = Regions::from(vec!["two".into()]);
    for _ in 0..20 {
        assert_eq!(
            id(placement.choose(at(1), &requirements(&service, &home))).as_deref(),
            Some("b")
        );
    }
}

#[test]
fn an_old_version_gets_no_requests_after_its_bound() {
    let service = engines();
    let mut newer = target("b", "llm");
    newer.held = vec![held(2)];
    let mut placement = placement(at(0), vec![target("a", "llm"), newer]);
    let mut requirements = requirements(&service, &Regions::Any);
    requirements.oldest = 2;
    for _ in 0..20 {
        assert_eq!(
            id(placement.choose(at(1), &requirements)).as_deref(),
            Some("b")
        );
    }
    requirements.oldest = 0;
    requirements.required_version = Some(1);
    for _ in 0..20 {
        assert_eq!(
            id(placement.choose(at(1), &requirements)).as_deref(),
            Some("a")
        );
    }
}

#[test]
fn an_engine_without_all_layers_gets_no_requests() {
    let service = engines();
    let mut part = target("a", "llm");
    part.held[0].layers = Some(12);
    let mut empty = target("b", "llm");
    empty.held.clear();
    let mut placement = placement(at(0), vec![part, empty]);
    let choice = placement.choose(at(1), &requirements(&service, &Regions::Any));
    assert!(matches!(choice, Err(NoTarget::NoneEligible)));
}

/// Engines load one after the other: long requests go to those that load last, and none
/// to an engine that is about to load.
#[test]
fn an_engine_about_to_load_gets_only_requests_that_end_in_time() {
    let service = engines();
    let all = vec![target("a", "llm"), target("b", "llm")];
    let mut placement = placement(at(0), all.clone());
    for (target, closes) in all.iter().zip([1_000, 9_000]) {
        placement.record_load(at(5), target, TargetLoad::default());
        placement.set_closing(target, Some(at(closes)));
    }
    let mut requirements = requirements(&service, &Regions::Any);
    requirements.size.answer = 300;
    for _ in 0..20 {
        assert_eq!(
            id(placement.choose(at(10), &requirements)).as_deref(),
            Some("b")
        );
    }
    // Without an alternative it is sent there if it delays the load only a little.
    let avoid = [Arc::from("b")];
    requirements.avoid = &avoid;
    assert!(placement.choose(at(10), &requirements).is_err());
    requirements.size.answer = 110;
    assert_eq!(
        id(placement.choose(at(10), &requirements)).as_deref(),
        Some("a")
    );
    requirements.size.answer = 10;
    assert!(placement.choose(at(950), &requirements).is_err());
    assert!(placement.choose(at(1_001), &requirements).is_err());
}

#[test]
fn an_unreachable_target_is_paused_longer_each_time() {
    let service = plain();
    let only = target("a", "desk");
    let mut placement = placement(at(0), vec![only.clone()]);
    placement.record_fault(at(0), &only, Fault::Unreachable);
    assert!(
        placement
            .choose(at(300), &requirements(&service, &Regions::Any))
            .is_err()
    );
    assert!(
        placement
            .choose(at(450), &requirements(&service, &Regions::Any))
            .is_ok()
    );
    placement.record_fault(at(450), &only, Fault::Unreachable);
    assert!(
        placement
            .choose(at(950), &requirements(&service, &Regions::Any))
            .is_err()
    );
    placement.record_success(&only);
    placement.record_fault(at(2_000), &only, Fault::Unreachable);
    assert!(
        placement
            .choose(at(2_450), &requirements(&service, &Regions::Any))
            .is_ok()
    );
}

/// Errors of a target count when it is compared with others, but don't make its predicted
/// time exceed the limit: a service whose own errors are common stays in use.
#[test]
fn failures_rank_targets_but_do_not_exclude_the_last_one() {
    let service = plain();
    let all = vec![target("a", "desk"), target("b", "desk")];
    let mut placement = placement(at(0), all.clone());
    let mut requirements = requirements(&service, &Regions::Any);
    requirements.limit = Duration::from_millis(135);
    for _ in 0..10 {
        placement.record_fault(at(0), &all[0], Fault::Failed);
    }
    for _ in 0..20 {
        assert_eq!(
            id(placement.choose(at(1), &requirements)).as_deref(),
            Some("b")
        );
    }
    let avoid = [Arc::from("b")];
    requirements.avoid = &avoid;
    assert_eq!(
        id(placement.choose(at(1), &requirements)).as_deref(),
        Some("a")
    );
}

#[test]
fn a_cold_target_gets_this_entrys_share() {
    let service = engines();
    let mut cold = target("a", "llm");
    cold.cold = Duration::from_secs(3);
    let mut placement = placement(at(0), vec![cold.clone()]);
    let entries: Vec<Arc<str>> = (0..9).map(|entry| format!("e{entry}").into()).collect();
    placement.set_send_share(SendShare::new("e3".into(), entries));
    let mut sent = 0;
    for millis in 0..1_000 {
        if placement
            .choose(at(millis), &requirements(&service, &Regions::Any))
            .is_ok()
        {
            placement.record_send(at(millis), &cold, service.cold_rate);
            placement.record_first_byte(&cold);
            placement.record_end(&cold, true);
            sent += 1;
        }
    }
    // Nine entries together may send 36 per second.
    assert!((3..=6).contains(&sent), "{sent} sends");
}

#[test]
fn a_restart_under_the_same_name_is_another_target() {
    let service = plain();
    let old = target("a", "desk");
    let mut placement = placement(at(0), vec![old.clone()]);
    placement.record_fault(at(0), &old, Fault::Unreachable);
    let mut again = old.clone();
    again.started_at = 2;
    let mut directory = Directory::default();
    directory.put(Moment::START, again);
    placement.set_targets(at(10), &directory);
    assert!(
        placement
            .choose(at(20), &requirements(&service, &Regions::Any))
            .is_ok()
    );
    // Faults of the old incarnation don't count for the new one.
    placement.record_fault(at(30), &old, Fault::Unreachable);
    assert!(
        placement
            .choose(at(40), &requirements(&service, &Regions::Any))
            .is_ok()
    );
}

/// A data centre is disconnected: reports on its engines stop, and there are never any on
/// plain services, which have to be avoided as well.
#[test]
fn a_data_centre_whose_reports_stop_is_used_last() {
    let desk = plain();
    let mut far_engine = target("e", "llm");
    far_engine.centre = "south".into();
    let mut far = target("b", "desk");
    far.centre = "south".into();
    let all = vec![target("a", "desk"), far, far_engine.clone()];
    // The entry is in neither data centre, so that it prefers none.
    let mut placement = placement_in("west", at(0), all);
    placement.record_agent_report(at(0), &far_engine);
    let chosen = |placement: &mut Placement, now| {
        let choices =
            (0..20).map(|_| id(placement.choose(at(now), &requirements(&desk, &Regions::Any))));
        choices.flatten().collect::<BTreeSet<_>>()
    };
    assert_eq!(chosen(&mut placement, 100).len(), 2);
    let near = BTreeSet::from(["a".to_owned()]);
    assert_eq!(chosen(&mut placement, 600), near);
    let avoid = [Arc::from("a")];
    let mut last = requirements(&desk, &Regions::Any);
    last.avoid = &avoid;
    assert_eq!(id(placement.choose(at(600), &last)).as_deref(), Some("b"));
}

/// An engine restarts empty under its name; the list still shows the old incarnation.
#[test]
fn an_engine_that_was_replaced_is_paused() {
    let service = engines();
    let only = target("a", "llm");
    let mut placement = placement(at(0), vec![only.clone()]);
    placement.record_incarnation_change(at(0), &only);
    assert!(
        placement
            .choose(at(300), &requirements(&service, &Regions::Any))
            .is_err()
    );
}

fn in_south(id: &str) -> Target {
    Target {
        centre: "south".into(),
        ..target(id, "llm")
    }
}

/// How many of a hundred requests each data centre gets, by the load its targets report.
fn shares(north: TargetLoad, south: TargetLoad) -> (usize, usize) {
    let service = engines();
    let near = ["a", "b", "c"].map(|id| target(id, "llm"));
    let away = ["d", "e", "f"].map(in_south);
    let targets: Vec<_> = near.into_iter().chain(away).collect();
    let mut placement = placement(at(0), targets.clone());
    for target in &targets {
        let report = if target.centre.as_ref() == "north" {
            north
        } else {
            south
        };
        placement.record_load(at(10), target, report);
    }
    let choices =
        (0..100).map(|_| placement.choose(at(20), &requirements(&service, &Regions::Any)));
    let choices: Vec<_> = choices.map(Result::unwrap).collect();
    let home = choices.iter();
    let home = home.filter(|choice| choice.target.centre.as_ref() == "north");
    let home = home.count();
    (home, 100 - home)
}

const LOW_LOAD: TargetLoad = TargetLoad {
    running: 4,
    waiting: 0,
};

#[test]
fn evenly_loaded_data_centres_serve_their_own_callers() {
    assert_eq!(shares(LOW_LOAD, LOW_LOAD), (100, 0));
}

#[test]
fn an_overloaded_data_centre_sends_to_others() {
    let overloaded = TargetLoad {
        running: 14,
        waiting: 3,
    };
    assert_eq!(shares(overloaded, LOW_LOAD), (0, 100));
}

#[test]
fn requests_stay_when_other_data_centres_are_overloaded() {
    let overloaded = TargetLoad {
        running: 14,
        waiting: 3,
    };
    assert_eq!(shares(LOW_LOAD, overloaded), (100, 0));
}

/// With many entries and many targets, one entry sends a small part of all requests, so
/// one send of its own hardly implies sends of others to the same target.
#[test]
fn in_a_large_deployment_a_send_leaves_room_for_the_next() {
    let service = engines();
    let targets: Vec<_> = (0..50).map(|n| target(&format!("t{n}"), "llm")).collect();
    let mut placement = placement(at(0), targets.clone());
    placement.set_entries(40);
    for target in &targets {
        placement.record_send(at(10), target, None);
        placement.record_first_byte(target);
    }
    assert!(
        placement
            .choose(at(20), &requirements(&service, &Regions::Any))
            .is_ok()
    );
}

fn rate_limit(per_second: f64) -> RateLimit {
    RateLimit::try_from(per_second).unwrap()
}

/// An entry alone before these targets, which may use all of their rates.
fn lone_placement(targets: Vec<Target>) -> Placement {
    let mut placement = placement(at(0), targets);
    placement.set_send_share(SendShare::new("e".into(), vec!["e".into()]));
    placement
}

#[test]
fn targets_without_a_rate_limit_are_filled_first() {
    let service = engines();
    let all = vec![target("a", "llm"), target("b", "llm")];
    let mut placement = lone_placement(all.clone());
    placement.record_limit(at(0), &all[0], Some(rate_limit(4.0)));
    let busy = TargetLoad {
        running: 8,
        waiting: 2,
    };
    placement.record_load(at(1), &all[1], busy);
    for _ in 0..20 {
        let choice = placement.choose(at(10), &requirements(&service, &Regions::Any));
        assert_eq!(id(choice).as_deref(), Some("b"));
    }
    let full = TargetLoad {
        running: 16,
        waiting: 8,
    };
    placement.record_load(at(11), &all[1], full);
    let choice = placement.choose(at(12), &requirements(&service, &Regions::Any));
    assert_eq!(id(choice).as_deref(), Some("a"));
}

/// The targets were idle, so entries took them for free and callers came back at once.
#[test]
fn a_target_whose_rate_is_used_up_is_busy_until_the_next_send_is_due() {
    let service = engines();
    let only = target("a", "llm");
    let mut placement = lone_placement(vec![only.clone()]);
    placement.record_limit(at(0), &only, Some(rate_limit(0.5)));
    assert!(
        placement
            .choose(at(0), &requirements(&service, &Regions::Any))
            .is_ok()
    );
    placement.record_send(at(0), &only, None);
    placement.record_end(&only, false);
    let choice = placement.choose(at(400), &requirements(&service, &Regions::Any));
    assert!(
        matches!(choice, Err(NoTarget::Busy { soonest }) if (1_600..1_900).contains(&soonest.as_millis())),
        "{choice:?}"
    );
    assert!(
        placement
            .choose(at(2_001), &requirements(&service, &Regions::Any))
            .is_ok()
    );
}

#[test]
fn a_rate_limit_lasts_until_a_later_answer_of_the_same_incarnation_names_none() {
    let only = target("a", "llm");
    let mut placement = lone_placement(vec![only.clone()]);
    let notice = |started_at, observed_at, limit| LimitNotice {
        target: "a".into(),
        started_at,
        limit,
        observed_at: at(observed_at),
    };
    assert!(placement.merge_limit(at(110), &notice(1, 100, Some(rate_limit(4.0)))));
    assert_eq!(placement.limited_targets(), 1);
    // An earlier answer, one of another incarnation, and the same once more.
    assert!(!placement.merge_limit(at(120), &notice(1, 90, None)));
    assert!(!placement.merge_limit(at(120), &notice(2, 115, None)));
    assert!(!placement.merge_limit(at(130), &notice(1, 100, Some(rate_limit(4.0)))));
    assert_eq!(placement.limited_targets(), 1);
    assert!(placement.record_limit(at(60_000), &only, None));
    assert_eq!(placement.limited_targets(), 0);
    assert!(!placement.merge_limit(at(60_010), &notice(1, 59_990, Some(rate_limit(4.0)))));
}

/// An entry that missed the datagram of a change has to hear of it again, and one that starts
/// of all that is in force.
#[test]
fn a_changed_rate_limit_is_told_for_a_time_and_one_in_force_whenever_asked() {
    let only = target("a", "llm");
    let mut placement = lone_placement(vec![only.clone()]);
    let repeat = Duration::from_secs(2);
    assert!(placement.limits_in_force().is_empty());
    placement.record_limit(at(100), &only, Some(rate_limit(4.0)));
    placement.record_limit(at(5_000), &only, Some(rate_limit(4.0)));
    assert_eq!(placement.changed_limits(at(2_000), repeat).len(), 1);
    assert!(placement.changed_limits(at(5_000), repeat).is_empty());
    let told = placement.limits_in_force();
    assert_eq!(told[0].limit, Some(rate_limit(4.0)));
    assert_eq!(told[0].observed_at, at(5_000));
    placement.record_limit(at(9_000), &only, None);
    assert!(placement.limits_in_force().is_empty());
    assert_eq!(placement.changed_limits(at(9_100), repeat)[0].limit, None);
}
