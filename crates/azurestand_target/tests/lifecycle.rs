//! A target's lifecycle: what makes it cold again, and which weights it serves.

use std::time::Duration;

use azurestand_target::{
    Kind, Lifecycle, LifecycleEvent, LifecycleSettings, Phase, Report, Weights,
};
use azurestand_types::{BootId, Digest, Moment};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings() -> LifecycleSettings {
    LifecycleSettings {
        cold_limit: 2,
        warm_limit: 16,
        ..LifecycleSettings::default()
    }
}

fn digest(version: u8) -> Digest {
    Digest::of(&[version])
}

fn report(boot: u64, version: Option<u8>) -> LifecycleEvent {
    LifecycleEvent::Report(Report {
        boot: BootId(boot),
        digest: version.map(digest),
        ready: true,
        waiting: 0,
    })
}

fn token(millis: u64, running: u32) -> LifecycleEvent {
    LifecycleEvent::FirstToken {
        latency: Duration::from_millis(millis),
        running,
    }
}

/// A lifecycle and its current time.
struct Harness {
    lifecycle: Lifecycle,
    now: Moment,
}

impl Harness {
    fn new() -> Self {
        Self {
            lifecycle: Lifecycle::new(settings()),
            now: Moment::START,
        }
    }

    fn cold() -> Self {
        let mut harness = Self::new();
        harness.send(LifecycleEvent::Staging(digest(1)));
        harness.send(LifecycleEvent::WeightsComplete(digest(1)));
        harness.send(LifecycleEvent::LoadOrdered(digest(1)));
        harness.send(LifecycleEvent::LoadAccepted);
        harness.send(report(1, None));
        assert_eq!(harness.lifecycle.phase(), Phase::Loading);
        harness.send(report(1, Some(1)));
        assert_eq!(harness.lifecycle.phase(), Phase::Cold);
        harness
    }

    fn warm() -> Self {
        let mut harness = Self::cold();
        for _ in 0..200 {
            let running = harness.lifecycle.limit();
            harness.send(token(100, running));
        }
        assert_eq!(
            (harness.lifecycle.phase(), harness.lifecycle.limit()),
            (Phase::Warm, 16)
        );
        harness
    }

    fn send(&mut self, event: LifecycleEvent) {
        self.now = self.now + Duration::from_millis(10);
        self.lifecycle.handle(self.now, event);
    }

    fn state(&self) -> (Phase, u32) {
        (self.lifecycle.phase(), self.lifecycle.limit())
    }
}

#[test]
fn the_limit_grows_only_with_good_answers_under_load() {
    let mut harness = Harness::cold();
    for _ in 0..100 {
        harness.send(report(1, Some(1)));
        harness.send(LifecycleEvent::Tick);
        harness.send(token(100, 0));
    }
    assert_eq!(
        harness.state(),
        (Phase::Cold, 2),
        "neither time nor answers of an idle target raise the limit"
    );
    harness.send(token(100, 2));
    harness.send(token(100, 2));
    assert_eq!(harness.state(), (Phase::Warming, 3));
    for _ in 0..100 {
        harness.send(token(1_000, 3));
    }
    assert_eq!(
        harness.state(),
        (Phase::Warming, 3),
        "slower answers don't raise the limit"
    );
}

#[test]
fn a_queue_inside_the_engine_stops_the_growth() {
    let mut harness = Harness::cold();
    harness.send(LifecycleEvent::Report(Report {
        boot: BootId(1),
        digest: Some(digest(1)),
        ready: true,
        waiting: 1,
    }));
    for _ in 0..100 {
        harness.send(token(100, 2));
    }
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn a_changed_boot_id_makes_a_warm_target_cold_at_once() {
    let mut harness = Harness::warm();
    harness.send(report(2, Some(1)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
    let weights = Weights {
        digest: Some(digest(1)),
        boot: BootId(2),
    };
    assert_eq!(harness.lifecycle.serves(), Some(weights));
}

#[test]
fn a_slow_first_token_makes_a_warm_target_cold_at_once() {
    let mut harness = Harness::warm();
    harness.send(token(2_000, 16));
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn an_overload_answer_makes_a_warm_target_cold_at_once() {
    let mut harness = Harness::warm();
    harness.send(LifecycleEvent::Overloaded);
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn failures_in_a_row_make_a_warm_target_cold() {
    let mut harness = Harness::warm();
    for _ in 0..2 {
        harness.send(LifecycleEvent::Failed);
    }
    assert_eq!(harness.state(), (Phase::Warm, 16));
    harness.send(LifecycleEvent::Failed);
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn an_engine_without_recent_reports_gets_no_requests() {
    let mut harness = Harness::warm();
    harness.now = harness.now + Duration::from_secs(4);
    harness.send(LifecycleEvent::Tick);
    assert_eq!(harness.state(), (Phase::Staging, 0));
    harness.send(report(1, Some(1)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn weights_that_were_not_ordered_are_not_served() {
    let mut harness = Harness::cold();
    harness.send(report(1, Some(9)));
    assert_eq!(
        (harness.lifecycle.serves(), harness.lifecycle.limit()),
        (None, 0)
    );
}

#[test]
fn an_engine_that_crashes_in_a_load_falls_back_to_staging() {
    let mut harness = Harness::cold();
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    harness.send(LifecycleEvent::LoadAccepted);
    harness.send(report(2, None));
    assert_eq!(harness.state(), (Phase::Staging, 0));
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    harness.send(report(2, Some(2)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn a_refused_load_leaves_the_old_weights_in_service() {
    let mut harness = Harness::cold();
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    assert_eq!(harness.lifecycle.serves(), None);
    harness.send(LifecycleEvent::LoadRefused);
    assert_eq!(
        harness
            .lifecycle
            .serves()
            .and_then(|weights| weights.digest),
        Some(digest(1))
    );
}

#[test]
fn a_refused_load_that_took_effect_is_served() {
    let mut harness = Harness::cold();
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    harness.send(LifecycleEvent::LoadRefused);
    harness.send(LifecycleEvent::LoadRefused);
    harness.send(report(1, None));
    harness.send(report(1, Some(2)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
    assert_eq!(harness.lifecycle.ordered(), Some(digest(2)));
}

#[test]
fn an_order_refused_after_a_crash_leaves_its_weights_ordered() {
    let mut harness = Harness::cold();
    harness.send(report(2, None));
    harness.send(LifecycleEvent::LoadOrdered(digest(1)));
    harness.send(LifecycleEvent::LoadRefused);
    harness.send(report(2, Some(1)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn the_old_weights_are_served_after_a_load_ended_in_a_crash() {
    let mut harness = Harness::cold();
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    harness.send(LifecycleEvent::LoadAccepted);
    harness.send(report(2, None));
    harness.send(LifecycleEvent::LoadRefused);
    harness.send(report(2, Some(1)));
    assert_eq!(harness.state(), (Phase::Cold, 2));
}

#[test]
fn a_data_centre_out_of_service_gets_no_requests_until_it_returns() {
    let mut harness = Harness::warm();
    harness.send(LifecycleEvent::CentreOut);
    assert_eq!(
        (harness.lifecycle.serves(), harness.lifecycle.limit()),
        (None, 0)
    );
    harness.send(LifecycleEvent::CentreIn);
    assert_eq!(harness.state(), (Phase::Warm, 16));
}

#[test]
fn a_leaving_target_drains_and_stays_out_of_service() {
    let mut harness = Harness::warm();
    harness.send(LifecycleEvent::Leave);
    assert_eq!(harness.state(), (Phase::Draining, 0));
    harness.send(report(1, Some(1)));
    harness.send(LifecycleEvent::LoadOrdered(digest(2)));
    harness.send(LifecycleEvent::Idle);
    harness.send(LifecycleEvent::CentreIn);
    assert_eq!(harness.state(), (Phase::Left, 0));
}

fn event() -> impl Strategy<Value = LifecycleEvent> {
    let version = 0_u8..3;
    prop_oneof![
        2 => version.clone().prop_map(|v| LifecycleEvent::Staging(digest(v))),
        2 => version.clone().prop_map(|v| LifecycleEvent::WeightsComplete(digest(v))),
        4 => version.clone().prop_map(|v| LifecycleEvent::LoadOrdered(digest(v))),
        2 => Just(LifecycleEvent::LoadAccepted),
        1 => Just(LifecycleEvent::LoadRefused),
        12 => (1_u64..3, prop::option::weighted(0.8, version), any::<bool>(), 0_u32..2).prop_map(
            |(boot, version, ready, waiting)| LifecycleEvent::Report(Report {
                boot: BootId(boot),
                digest: version.map(digest),
                ready,
                waiting,
            })
        ),
        8 => (0_u64..3_000, 0_u32..20).prop_map(|(millis, running)| token(millis, running)),
        1 => Just(LifecycleEvent::Overloaded),
        1 => Just(LifecycleEvent::Failed),
        1 => Just(LifecycleEvent::CentreOut),
        1 => Just(LifecycleEvent::CentreIn),
        4 => Just(LifecycleEvent::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(21),
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_ordered_weights_of_the_newest_report_are_served(
        kind in prop_oneof![Just(Kind::Engine), Just(Kind::Service)],
        events in vec((event(), 0_u64..2_000), 1..200),
    ) {
        let mut lifecycle = Lifecycle::new(LifecycleSettings { kind, ..settings() });
        let mut now = Moment::START;
        let mut ordered = Vec::new();
        let mut newest = None;
        for (event, millis) in events {
            now = now + Duration::from_millis(millis);
            match event {
                LifecycleEvent::LoadOrdered(digest) => ordered.push(digest),
                LifecycleEvent::Report(report) => newest = Some((now, report)),
                _ => {}
            }
            lifecycle.handle(now, event);
            let Some(weights) = lifecycle.serves() else {
                prop_assert_eq!(lifecycle.limit(), 0);
                continue;
            };
            let (at, report) = newest.expect("a report came");
            prop_assert!(report.ready && weights.boot == report.boot);
            prop_assert_eq!(weights.digest, report.digest);
            if event == LifecycleEvent::Tick {
                prop_assert!(now.since(at) <= settings().stale_after);
            }
            if kind == Kind::Engine {
                prop_assert!(weights.digest.is_some_and(|digest| ordered.contains(&digest)));
            }
            prop_assert!((1..=settings().warm_limit).contains(&lifecycle.limit()));
        }
    }
}

#[test]
fn changed_limits_apply_at_once_and_keep_the_phase() {
    let settings = LifecycleSettings {
        kind: Kind::Service,
        cold_limit: 2,
        warm_limit: 8,
        ..LifecycleSettings::default()
    };
    let mut lifecycle = Lifecycle::new(settings);
    let report = Report {
        boot: BootId(1),
        digest: None,
        ready: true,
        waiting: 0,
    };
    lifecycle.handle(Moment::from_millis(1), LifecycleEvent::Report(report));
    assert_eq!(lifecycle.limit(), 2);
    let raised = LifecycleSettings {
        cold_limit: 3,
        ..settings
    };
    lifecycle.handle(Moment::from_millis(2), LifecycleEvent::Configured(raised));
    assert_eq!((lifecycle.phase(), lifecycle.limit()), (Phase::Cold, 3));
    let lowered = LifecycleSettings {
        cold_limit: 1,
        warm_limit: 1,
        ..settings
    };
    lifecycle.handle(Moment::from_millis(3), LifecycleEvent::Configured(lowered));
    assert_eq!(lifecycle.limit(), 1);
}
