//! Admission: the limit, fairness between accounts, ageing and refusals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_target::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, Weights,
};
use azurestand_types::{AccountName, BootId, Digest, Moment, Priority, Refusal, RequestId};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FAR: Moment = Moment::from_millis(3_600_000);

fn weights() -> Weights {
    Weights {
        digest: Some(Digest::of(b"v1")),
        boot: BootId(1),
    }
}

fn limit(limit: u32) -> AdmissionEvent {
    AdmissionEvent::LimitChanged {
        weights: Some(weights()),
        limit,
    }
}

fn arrival(id: u128, account: &str) -> Arrival {
    Arrival {
        id: RequestId(id),
        account: AccountName::try_from(account).unwrap(),
        weight: 1,
        priority: Priority(0),
        deadline: FAR,
        pinned: None,
    }
}

fn started(actions: &[AdmissionAction]) -> Vec<u128> {
    actions
        .iter()
        .filter_map(|action| match action {
            AdmissionAction::Start { id, .. } => Some(id.0),
            _ => None,
        })
        .collect()
}

/// An admission whose target ends each request `service` after its start.
struct Harness {
    admission: Admission,
    now: Moment,
    service: Duration,
    /// Requests with this id or a higher one take ten times as long.
    slow: u128,
    running: Vec<(Moment, u128)>,
    order: Vec<u128>,
}

impl Harness {
    fn new(capacity: u32, service: u64) -> Self {
        let mut admission = Admission::new(AdmissionSettings {
            queue_length: 10_000,
            ageing: Duration::from_secs(2),
        });
        admission.handle(Moment::START, limit(capacity));
        Self {
            admission,
            now: Moment::START,
            service: Duration::from_millis(service),
            slow: u128::MAX,
            running: Vec::new(),
            order: Vec::new(),
        }
    }

    fn send(&mut self, event: AdmissionEvent) {
        for id in started(&self.admission.handle(self.now, event)) {
            let factor = if id >= self.slow { 10 } else { 1 };
            self.running.push((self.now + self.service * factor, id));
            self.order.push(id);
        }
    }

    /// Ends the request that has run the longest.
    fn finish_one(&mut self) {
        let (at, id) = self.running.remove(0);
        self.now = self.now.max(at);
        self.send(AdmissionEvent::Finished(RequestId(id)));
    }

    fn position_of(&self, id: u128) -> Option<usize> {
        self.order.iter().position(|other| *other == id)
    }
}

#[test]
fn a_cold_target_runs_one_request_of_370_entries() {
    let mut harness = Harness::new(1, 100);
    for entry in 0..370 {
        harness.send(AdmissionEvent::Arrived(arrival(entry, "depot")));
    }
    assert_eq!(harness.order.len(), 1);
    harness.finish_one();
    assert_eq!(harness.order.len(), 2);
}

#[test]
fn a_large_account_cannot_starve_a_small_one() {
    let mut harness = Harness::new(4, 100);
    for id in 0..2_000 {
        harness.send(AdmissionEvent::Arrived(arrival(id, "large")));
    }
    for _ in 0..400 {
        harness.finish_one();
    }
    let before = harness.order.len();
    harness.send(AdmissionEvent::Arrived(arrival(9_999, "small")));
    harness.finish_one();
    harness.finish_one();
    let position = harness
        .position_of(9_999)
        .expect("the small account's request started");
    assert!(
        position <= before + 1,
        "started after {} others",
        position - before
    );
}

#[test]
fn accounts_share_a_target_by_weight() {
    let mut harness = Harness::new(1, 100);
    for id in 0..600 {
        let weight = if id % 2 == 0 { 3 } else { 1 };
        let account = if id % 2 == 0 { "heavy" } else { "light" };
        harness.send(AdmissionEvent::Arrived(Arrival {
            weight,
            ..arrival(id, account)
        }));
    }
    for _ in 0..200 {
        harness.finish_one();
    }
    let heavy = harness.order.iter().filter(|id| *id % 2 == 0).count();
    assert!((140..=160).contains(&heavy), "{heavy} of 200");
}

#[test]
fn accounts_share_running_time_rather_than_request_count() {
    let mut harness = Harness::new(1, 100);
    harness.slow = 1_000;
    for id in 0..500 {
        harness.send(AdmissionEvent::Arrived(arrival(id, "short")));
        harness.send(AdmissionEvent::Arrived(arrival(1_000 + id, "long")));
    }
    for _ in 0..220 {
        harness.finish_one();
    }
    let long = harness.order.iter().filter(|id| **id >= 1_000).count();
    assert!((15..=30).contains(&long), "{long} long requests of 220");
}

#[test]
fn an_account_gains_no_credit_while_idle() {
    let mut harness = Harness::new(1, 100);
    for id in 0..500 {
        harness.send(AdmissionEvent::Arrived(arrival(id, "steady")));
    }
    for _ in 0..200 {
        harness.finish_one();
    }
    for id in 0..100 {
        harness.send(AdmissionEvent::Arrived(arrival(1_000 + id, "late")));
    }
    let before = harness.order.len();
    for _ in 0..20 {
        harness.finish_one();
    }
    let late = harness.order[before..].iter().filter(|id| **id >= 1_000);
    assert!((9..=11).contains(&late.count()));
}

#[test]
fn an_old_request_of_low_priority_is_not_starved_by_urgent_ones() {
    let mut harness = Harness::new(1, 100);
    harness.send(AdmissionEvent::Arrived(arrival(0, "urgent")));
    harness.send(AdmissionEvent::Arrived(Arrival {
        priority: Priority(3),
        ..arrival(9_999, "patient")
    }));
    for id in 1..200 {
        harness.send(AdmissionEvent::Arrived(arrival(id, "urgent")));
        harness.send(AdmissionEvent::Arrived(arrival(1_000 + id, "urgent2")));
        harness.finish_one();
    }
    let position = harness.position_of(9_999).expect("it started");
    // The request ages by three steps of 2 s, at 100 ms a request.
    assert!(
        (59..=63).contains(&position),
        "started as number {position}"
    );
}

#[test]
fn a_long_backlog_does_not_raise_an_accounts_priority() {
    let mut harness = Harness::new(1, 100);
    for id in 0..500 {
        harness.send(AdmissionEvent::Arrived(Arrival {
            priority: Priority(1),
            ..arrival(id, "large")
        }));
    }
    for _ in 0..300 {
        harness.finish_one();
    }
    let before = harness.order.len();
    harness.send(AdmissionEvent::Arrived(arrival(9_999, "small")));
    harness.finish_one();
    assert_eq!(harness.position_of(9_999), Some(before));
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut harness = Harness::new(1, 100);
    for id in 0..10 {
        let deadline = Moment::from_millis(100_000 - 1_000 * u64::try_from(id).unwrap());
        harness.send(AdmissionEvent::Arrived(Arrival {
            deadline,
            ..arrival(id, "depot")
        }));
    }
    harness.finish_one();
    assert_eq!(harness.order, [0, 9]);
}

#[test]
fn a_full_queue_refuses_a_request_of_the_largest_account() {
    let mut admission = Admission::new(AdmissionSettings {
        queue_length: 10,
        ..AdmissionSettings::default()
    });
    for id in 0..10 {
        admission.handle(Moment::START, AdmissionEvent::Arrived(arrival(id, "large")));
    }
    let actions = admission.handle(Moment::START, AdmissionEvent::Arrived(arrival(99, "small")));
    assert_eq!(
        actions,
        [AdmissionAction::Refuse(RequestId(9), Refusal::Busy)]
    );
    assert_eq!(admission.waiting(), 10);
}

#[test]
fn a_request_pinned_to_other_weights_is_refused() {
    let mut harness = Harness::new(1, 100);
    let pinned = Arrival {
        pinned: Some(Digest::of(b"v2")),
        ..arrival(1, "depot")
    };
    let actions = harness
        .admission
        .handle(harness.now, AdmissionEvent::Arrived(pinned));
    assert_eq!(
        actions,
        [AdmissionAction::Refuse(RequestId(1), Refusal::NotServed)]
    );
}

#[test]
fn closing_refuses_waiting_requests_and_keeps_running_ones() {
    let mut harness = Harness::new(2, 100);
    for id in 0..5 {
        harness.send(AdmissionEvent::Arrived(arrival(id, "depot")));
    }
    let close = AdmissionEvent::Close(Refusal::Draining);
    let refused = harness.admission.handle(harness.now, close);
    let waiting = (2..5).map(|id| AdmissionAction::Refuse(RequestId(id), Refusal::Draining));
    assert_eq!(refused, waiting.collect::<Vec<_>>());
    assert_eq!(harness.admission.running(), 2);
    harness.finish_one();
    harness.finish_one();
    assert_eq!(harness.order, [0, 1]);
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(u8, u8, u64),
    Finish(usize),
    Revoke(u128),
    Cancel(u128),
    Limit(u32, bool),
    Close,
    Open,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0_u8..6, 0_u8..4, 10_u64..20_000)
            .prop_map(|(account, priority, left)| Step::Arrive(account, priority, left)),
        6 => any::<usize>().prop_map(Step::Finish),
        1 => (0_u128..300).prop_map(Step::Revoke),
        1 => (0_u128..300).prop_map(Step::Cancel),
        2 => (0_u32..8, prop::bool::weighted(0.8)).prop_map(|(n, on)| Step::Limit(n, on)),
        1 => Just(Step::Close),
        2 => Just(Step::Open),
        3 => (1_u64..5_000).prop_map(Step::Pass),
    ]
}

/// An independent model of the state, against which each action is checked.
#[derive(Default)]
struct Model {
    limit: usize,
    closed: bool,
    running: BTreeSet<u128>,
    ended: BTreeMap<u128, &'static str>,
    waiting: BTreeMap<u128, Moment>,
}

impl Model {
    fn check(&mut self, now: Moment, actions: &[AdmissionAction]) {
        for action in actions {
            match action {
                AdmissionAction::Start { id, .. } => {
                    let deadline = self.waiting.remove(&id.0).expect("it waited");
                    assert!(deadline > now, "started after its deadline");
                    assert!(!self.closed, "started although closed");
                    self.running.insert(id.0);
                    assert!(
                        self.running.len() <= self.limit,
                        "more requests run than the limit allows"
                    );
                }
                AdmissionAction::Refuse(id, _) | AdmissionAction::Revoked(id) => {
                    assert!(self.waiting.remove(&id.0).is_some(), "{id} didn't wait");
                    assert!(
                        !self.running.contains(&id.0),
                        "a running request was reported as not run"
                    );
                    self.ended.insert(id.0, "not run");
                }
                AdmissionAction::Running(id) => {
                    assert!(!self.waiting.contains_key(&id.0), "{id} waits");
                }
                AdmissionAction::Cancel(id) => assert!(self.running.contains(&id.0)),
            }
        }
        let room = self.running.len() < self.limit && !self.closed;
        assert!(
            !room || self.waiting.is_empty(),
            "a request waits although there is room"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_limit_holds_and_no_request_reported_as_not_run_runs(steps in vec(step(), 1..300)) {
        let mut admission = Admission::new(AdmissionSettings {
            queue_length: 20,
            ageing: Duration::from_secs(1),
        });
        let mut model = Model::default();
        let mut now = Moment::START;
        let mut next = 0;
        for step in steps {
            let event = match step {
                Step::Arrive(account, priority, left) => {
                    let deadline = now + Duration::from_millis(left);
                    model.waiting.insert(next, deadline);
                    next += 1;
                    AdmissionEvent::Arrived(Arrival {
                        priority: Priority(priority),
                        deadline,
                        ..arrival(next - 1, &format!("account-{account}"))
                    })
                }
                Step::Finish(n) => {
                    let Some(id) = model.running.iter().nth(n % 8).copied() else {
                        continue;
                    };
                    model.running.remove(&id);
                    model.ended.insert(id, "run");
                    AdmissionEvent::Finished(RequestId(id))
                }
                Step::Revoke(id) => AdmissionEvent::Revoke(RequestId(id)),
                Step::Cancel(id) => AdmissionEvent::Cancel(RequestId(id)),
                Step::Limit(n, on) => {
                    model.limit = if on { n as usize } else { 0 };
                    AdmissionEvent::LimitChanged { weights: on.then(weights), limit: n }
                }
                Step::Close => {
                    model.closed = true;
                    AdmissionEvent::Close(Refusal::OutOfService)
                }
                Step::Open => {
                    model.closed = false;
                    AdmissionEvent::Open
                }
                Step::Pass(millis) => {
                    now = now + Duration::from_millis(millis);
                    AdmissionEvent::Tick
                }
            };
            let before = model.running.len();
            let actions = admission.handle(now, event);
            model.check(now, &actions);
            prop_assert!(model.running.len() >= before, "a running request was ended by admission");
            prop_assert_eq!(admission.running(), model.running.len());
            prop_assert_eq!(admission.waiting(), model.waiting.len());
        }
    }
}
