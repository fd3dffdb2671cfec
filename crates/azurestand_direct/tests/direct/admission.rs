//! Which requests go first when engines have too little capacity, each test under the load
//! that it answers.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    Account, AdmissionControl, Basis, CostModel, FleetSize, LeastShare, Levels, Need, Rank,
    Regions, RequestQueue, RequestSize, Reserve, Route, RouteKind, Rules, RulesParts, Share, Terms,
    Urgency,
};
use azurestand_types::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const URGENT: Urgency = urgency(0, 0);
const MIDDLE: Urgency = urgency(1, 1);
const LOW: Urgency = urgency(2, 2);
const SHORT: Duration = Duration::from_millis(400);
const LONG: Duration = Duration::from_secs(1);
/// Half of the draws are lower, half higher.
const DRAW: f64 = 0.5;
const FLEET: FleetSize = FleetSize {
    entries: 33,
    targets: 58,
    slots: 12,
};
const ENGINE: CostModel = CostModel {
    step_ms: 9.27,
    request_ms: 0.0232,
    context_ms: 0.0322,
    read_rate: 20.7,
    pairs_ms: 1.18,
    chunk: 2_048,
    stride: 5,
    mean_prompt: 954,
    mean_answer: 95,
    load_time: Duration::from_millis(300),
    layers: 16,
};

const fn urgency(account: u8, route: u8) -> Urgency {
    Urgency { account, route }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn control() -> AdmissionControl {
    let levels = [(LOW, LONG), (URGENT, SHORT), (MIDDLE, SHORT)];
    let mut control = AdmissionControl::default();
    control.configure(levels.into_iter().collect(), Some(LeastShare::default()));
    control
}

/// Lets `count` requests arrive in a second from `from`, of which each `delayed_every`th isn't
/// placed when it arrives.
fn load(
    control: &mut AdmissionControl,
    from: u64,
    urgency: Urgency,
    count: u64,
    delayed_every: u64,
) {
    for n in 0..count {
        let now = at(from + n * 1_000 / count);
        let terms = control.arrive(now, urgency, DRAW);
        if n % delayed_every == 0 {
            control.record_delayed(now, terms);
        } else {
            control.record_placed(now, terms);
        }
    }
}

fn reserve(control: &AdmissionControl, now: u64, level: u8) -> Option<Reserve> {
    control.reserve(at(now), level, &ENGINE, FLEET)
}

fn rank(level: u8, millis: u64) -> Rank {
    Rank {
        priority: level,
        untried: true,
        arrived_at: Reverse(at(millis)),
    }
}

fn need(latency_target: Duration, slot_ms: u64) -> Need {
    Need {
        latency_target,
        slot_time: Duration::from_millis(slot_ms),
    }
}

/// Guards against less urgent requests filling engines up to their own long latency target,
/// where urgent ones with a short target then find no place.
#[test]
fn under_urgent_load_that_has_to_wait_less_urgent_requests_get_free_slots_only() {
    let mut control = control();
    load(&mut control, 0, URGENT, 20, 2);
    let kept = reserve(&control, 1_000, 2).unwrap();
    assert!(kept.slots > 0, "{kept:?}");
    assert!(kept.ceiling < SHORT, "{kept:?}");
    assert_eq!(reserve(&control, 1_000, 0), None);
}

/// Guards against calm days losing slots to urgent requests that are placed anyway.
#[test]
fn while_urgent_requests_are_placed_at_once_nothing_is_kept() {
    let mut control = control();
    load(&mut control, 0, URGENT, 20, 40);
    // The first of the twenty waited; it counts for less than the threshold a second later.
    load(&mut control, 1_000, URGENT, 20, u64::MAX);
    assert_eq!(reserve(&control, 2_000, 2), None);
}

#[test]
fn what_is_kept_ends_after_the_urgent_load() {
    let mut control = control();
    load(&mut control, 0, URGENT, 20, 1);
    assert!(reserve(&control, 1_000, 2).is_some());
    assert_eq!(reserve(&control, 60_000, 2), None);
}

/// Guards against a single urgent route with much load that keeps whole engines free.
#[test]
fn no_more_than_a_quarter_of_an_engine_is_kept() {
    let mut control = control();
    load(&mut control, 0, URGENT, 1_000, 1);
    let kept = reserve(&control, 1_000, 2).unwrap();
    assert!(kept.slots <= FLEET.slots / 4, "{kept:?}");
    let mean = RequestSize {
        prompt: ENGINE.mean_prompt,
        answer: ENGINE.mean_answer,
    };
    let idle = ENGINE.first_token(mean, 0, 0, FLEET.slots);
    assert!(kept.ceiling.as_secs_f64() * 1_000.0 >= idle, "{kept:?}");
}

/// Lets an urgent request arrive and be placed each 10 ms, and a less urgent one that isn't.
fn starve(control: &mut AdmissionControl, count: u64, draw: f64) -> Vec<Terms> {
    let step = |n: u64| {
        let now = at(n * 10);
        let urgent = control.arrive(now, URGENT, draw);
        control.record_placed(now, urgent);
        control.arrive(now, LOW, draw)
    };
    (0..count).map(step).collect()
}

/// Guards against kinds that get nothing while more urgent ones need all engines.
#[test]
fn a_level_that_got_less_than_its_least_share_competes_with_the_most_urgent() {
    let mut control = control();
    let terms = starve(&mut control, 40, DRAW);
    let raised = terms.iter().find(|terms| terms.basis == Basis::LeastShare);
    assert_eq!(raised.map(|terms| (terms.own, terms.level)), Some((2, 0)));
    let low = terms[0];
    (0..20).for_each(|n| control.record_placed(at(400 + n), low));
    assert_eq!(control.arrive(at(420), LOW, DRAW).basis, Basis::Own);
}

/// Guards against a rare kind, of which an entry sees one request at a time, getting nothing.
#[test]
fn a_rare_kind_gets_its_least_share_by_chance() {
    let raised = |draw| starve(&mut control(), 1, draw)[0].basis == Basis::LeastShare;
    assert!(raised(0.1));
    assert!(!raised(0.9));
}

/// Guards against a deep overload in which the least shares of less urgent kinds take most of
/// the places: they are parts of how often all are served.
#[test]
fn the_deeper_the_overload_the_less_a_least_share_takes() {
    let raised = |placed_every: u64| {
        let mut control = control();
        let mut raised = 0;
        for n in 0..400 {
            let now = at(n * 10);
            let urgent = control.arrive(now, URGENT, DRAW);
            if n % placed_every == 0 {
                control.record_placed(now, urgent);
            }
            let low = control.arrive(now, LOW, DRAW);
            if low.basis == Basis::LeastShare {
                raised += 1;
                control.record_placed(now, low);
            }
        }
        raised
    };
    let (slight, deep) = (raised(1), raised(5));
    assert!(deep > 0 && deep * 3 < slight, "{slight} {deep}");
}

#[test]
fn a_queue_that_can_be_placed_in_time_displaces_nothing() {
    let mut control = control();
    load(&mut control, 0, URGENT, 20, u64::MAX);
    let mut queue = RequestQueue::default();
    queue.push(rank(0, 1_000), need(SHORT, 1_000));
    assert_eq!(control.displaced(at(1_000), &queue), None);
}

/// Guards against requests that wait until they are of no use behind more urgent ones.
#[test]
fn the_oldest_of_the_least_urgent_is_displaced_from_a_queue_that_is_too_long() {
    let control = control();
    let mut queue = RequestQueue::default();
    queue.push(rank(0, 900), need(SHORT, 1_000));
    let oldest = queue.push(rank(1, 100), need(SHORT, 1_000));
    queue.push(rank(1, 500), need(SHORT, 1_000));
    let displaced = control.displaced(at(1_000), &queue).unwrap();
    assert_eq!(displaced.waiter, oldest);
}

#[test]
fn of_the_least_urgent_one_that_takes_far_more_work_is_displaced_first() {
    let control = control();
    let mut queue = RequestQueue::default();
    queue.push(rank(1, 100), need(SHORT, 400));
    let heavy = queue.push(rank(1, 500), need(SHORT, 4_000));
    queue.push(rank(0, 600), need(SHORT, 400));
    let displaced = control.displaced(at(1_000), &queue).unwrap();
    assert_eq!(displaced.waiter, heavy);
}

/// A target may have run a request that it has had.
#[test]
fn a_request_that_a_target_has_had_is_not_displaced() {
    let control = control();
    let mut queue = RequestQueue::default();
    let tried = Rank {
        untried: false,
        ..rank(2, 100)
    };
    queue.push(tried, need(LONG, 4_000));
    queue.push(tried, need(LONG, 4_000));
    assert_eq!(control.displaced(at(1_000), &queue), None);
}

#[test]
fn less_urgent_callers_return_later_and_within_twice_the_time() {
    let mut control = control();
    let time = Duration::from_millis(300);
    let mut returns = |urgency| {
        let terms = control.arrive(at(0), urgency, DRAW);
        control.return_time(terms, time)
    };
    let times = [returns(URGENT), returns(MIDDLE), returns(LOW)];
    assert!(times.is_sorted(), "{times:?}");
    assert_eq!(times[0], time);
    assert_eq!(times[2], time * 2);
}

#[test]
fn a_least_share_is_from_zero_to_one() {
    for share in [0.0, 0.25, 1.0] {
        assert!(LeastShare::try_from(share).is_ok(), "{share}");
    }
    for share in [-0.1, 1.01, f64::NAN, f64::INFINITY] {
        let error = LeastShare::try_from(share).unwrap_err();
        assert!(error.to_string().contains("0 to 1"), "{share}");
    }
}

fn route(priority: u8, latency_target: Duration) -> Route {
    Route {
        name: format!("r{priority}").into(),
        host: "a.example".into(),
        prefix: format!("/{priority}/").into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(6),
        latency_target,
        priority,
        shares: vec![Share {
            service: "llm".into(),
            weight: 1,
        }],
        attempts: 2,
        keyless: false,
        regions: Regions::Any,
    }
}

fn levels(routes: Vec<Route>, account_priorities: &[Option<u8>]) -> Levels {
    let accounts = account_priorities.iter().enumerate().map(|(n, priority)| {
        let account = Account {
            name: format!("a{n}").into(),
            priority: *priority,
            regions: Regions::Any,
        };
        (account, vec![Arc::from(format!("key{n}"))])
    });
    let rules = Rules::from(RulesParts {
        version: 1,
        routes,
        services: Vec::new(),
        origin: None,
        limits: crate::common::limits(),
        needs_keys: true,
        accounts: accounts.collect(),
    });
    rules.levels("llm")
}

fn configured(levels: Levels, least_share: Option<LeastShare>) -> AdmissionControl {
    let mut control = AdmissionControl::default();
    control.configure(levels, least_share);
    control
}

/// Guards against deployments whose kinds share a priority being served otherwise than before,
/// whatever priorities their accounts have.
#[test]
fn routes_of_one_priority_do_not_compete() {
    let same = || levels(vec![route(1, SHORT), route(1, LONG)], &[Some(0), None]);
    let mut control = configured(same(), Some(LeastShare::default()));
    assert!(!control.is_active());
    load(&mut control, 0, URGENT, 20, 1);
    assert_eq!(reserve(&control, 1_000, 1), None);
    let mut queue = RequestQueue::default();
    for millis in 0..20 {
        queue.push(rank(1, millis), need(SHORT, 1_000));
    }
    assert_eq!(control.displaced(at(1_000), &queue), None);
    assert_eq!(control.unheld(at(1_000), &queue), 20);
    // The account's priority alone orders requests there.
    let terms = control.arrive(at(1_000), urgency(0, 1), DRAW);
    assert_eq!((terms.own, terms.level), (0, 0));
}

#[test]
fn the_settings_switch_competition_off() {
    let differ = levels(vec![route(0, SHORT), route(2, LONG)], &[]);
    assert!(configured(differ.clone(), Some(LeastShare::default())).is_active());
    assert!(!configured(differ, None).is_active());
}

/// Guards against an account's priority that makes all kinds of its requests equal.
#[test]
fn an_account_s_priority_goes_before_its_route_s() {
    let both = levels(vec![route(0, SHORT), route(2, LONG)], &[Some(0), Some(1)]);
    let mut control = configured(both, Some(LeastShare::default()));
    let order = [urgency(0, 0), urgency(0, 2), urgency(1, 0), urgency(1, 2)];
    let own: Vec<u8> = order
        .into_iter()
        .map(|urgency| control.arrive(at(0), urgency, 0.9).own)
        .collect();
    assert_eq!(own, [0, 1, 2, 3]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A more urgent request is never held back more than a less urgent one.
    #[test]
    fn a_less_urgent_level_leaves_at_least_as_much(
        arrivals in proptest::collection::vec((0_u8..3, 0_u64..3_000, any::<bool>()), 1..200),
    ) {
        let mut control = control();
        let mut arrivals = arrivals;
        arrivals.sort_by_key(|(_, millis, _)| *millis);
        for (level, millis, is_delayed) in arrivals {
            let terms = control.arrive(at(millis), urgency(level, level), DRAW);
            if is_delayed {
                control.record_delayed(at(millis), terms);
            }
        }
        prop_assert_eq!(reserve(&control, 3_000, 0), None);
        let middle = reserve(&control, 3_000, 1);
        let low = reserve(&control, 3_000, 2);
        if let (Some(middle), Some(low)) = (middle, low) {
            prop_assert!(low.ceiling <= middle.ceiling);
        }
    }

    /// Displacing ends, leaves at least one request, and never takes one while a less urgent one
    /// that no target has had stays.
    #[test]
    fn displacing_takes_the_least_urgent_and_leaves_one(
        requests in proptest::collection::vec((0_u8..3, 0_u64..1_000, 100_u64..5_000), 1..40),
        placed in 0_u64..40,
    ) {
        let mut control = control();
        load(&mut control, 0, URGENT, placed.max(1), u64::MAX);
        let mut queue = RequestQueue::default();
        for (level, millis, slot_ms) in &requests {
            queue.push(rank(*level, *millis), need(SHORT, *slot_ms));
        }
        let mut last = u8::MAX;
        while let Some(displaced) = control.displaced(at(1_000), &queue) {
            prop_assert!(displaced.rank.priority <= last);
            last = displaced.rank.priority;
            queue.remove(displaced.rank, displaced.waiter);
        }
        prop_assert!(!queue.is_empty());
    }

    /// While all more urgent requests are placed, a level is served its part as often as all,
    /// whatever the draws.
    #[test]
    fn the_least_share_holds(draws in proptest::collection::vec(0.0_f64..1.0, 200)) {
        let mut control = control();
        let mut raised = 0.0;
        for (n, draw) in (0_u64..).zip(&draws) {
            let now = at(n);
            let urgent = control.arrive(now, URGENT, *draw);
            control.record_placed(now, urgent);
            let low = control.arrive(now, LOW, *draw);
            if low.basis == Basis::LeastShare {
                raised += 1.0;
                control.record_placed(now, low);
            }
        }
        let count = f64::from(u32::try_from(draws.len()).unwrap());
        let placed_share = (count + raised) / (2.0 * count);
        let least = LeastShare::default().get() * placed_share * count;
        prop_assert!(raised >= least - 2.0, "{raised} of {least}");
    }
}
