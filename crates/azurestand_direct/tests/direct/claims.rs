//! Many entries that hear of the same free place at the same time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    Directory, Placement, Regions, RequestSize, Service, TargetLoad, TargetRequirements,
};
use azurestand_types::Moment;

use crate::common::{engines, target};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// The placement of one of `entries` entries with one engine, which has room for one more
/// request and reports that at 100 ms.
fn placement(entries: u32, seed: u64) -> Placement {
    let mut directory = Directory::default();
    directory.put(Moment::START, target("a", "llm"));
    let regions: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::from([("north".into(), "one".into())]);
    let rng = fastrand::Rng::with_seed(seed);
    let mut placement = Placement::new("north".into(), regions, entries, rng);
    placement.set_targets(at(0), &directory);
    report(&mut placement, 100);
    placement
}

fn report(placement: &mut Placement, millis: u64) {
    let load = TargetLoad {
        running: 16,
        waiting: 0,
    };
    placement.record_load(at(millis), &target("a", "llm"), load);
}

fn may_send(placement: &mut Placement, millis: u64) -> bool {
    let service: Service = engines();
    let requirements = TargetRequirements {
        service: &service,
        model: Some("m"),
        oldest: 0,
        required_version: None,
        size: RequestSize {
            prompt: 964,
            answer: 119,
        },
        avoid: &[],
        regions: &Regions::Any,
        limit: Duration::from_millis(360),
        spare_slots: None,
    };
    placement.choose(at(millis), &requirements).is_ok()
}

#[test]
fn a_single_entry_claims_every_place() {
    for seed in 0..50 {
        let mut placement = placement(1, seed);
        placement.record_waiting(at(100), &"llm".into(), 1);
        assert!(may_send(&mut placement, 101));
    }
}

/// Each of 100 entries with two requests waiting sent one to every free place.
#[test]
fn all_entries_together_claim_a_place_a_few_times() {
    let claims = |seed| {
        let mut placement = placement(100, seed);
        placement.record_waiting(at(100), &"llm".into(), 2);
        report(&mut placement, 5_000);
        may_send(&mut placement, 5_001)
    };
    let claimed = (0..100).filter(|seed| claims(*seed)).count();
    assert!((1..=10).contains(&claimed), "{claimed} of 100");
}

#[test]
fn a_place_that_was_left_to_others_is_claimed_after_a_later_report_only() {
    for seed in 0..100 {
        let mut placement = placement(200, seed);
        placement.record_waiting(at(100), &"llm".into(), 2);
        report(&mut placement, 5_000);
        if may_send(&mut placement, 5_001) {
            continue;
        }
        for millis in 5_002..5_060 {
            assert!(!may_send(&mut placement, millis), "seed {seed}");
        }
        let claims_later = (1..=2_000).any(|number| {
            let millis = 5_000 + 60 * number;
            report(&mut placement, millis);
            may_send(&mut placement, millis + 1)
        });
        assert!(claims_later, "seed {seed}");
    }
}

/// Entries of small deployments refused calm requests, since each waited for chance.
#[test]
fn places_that_suffice_for_all_are_left_to_nobody() {
    for seed in 0..50 {
        let mut placement = placement(4, seed);
        placement.record_waiting(at(100), &"llm".into(), 40);
        report(&mut placement, 5_000);
        assert!(may_send(&mut placement, 5_001), "seed {seed}");
    }
}

/// Where no one is known to wait, each request is sent to a target that has room.
#[test]
fn an_entry_that_does_not_know_of_waiting_requests_claims_every_place() {
    for seed in 0..50 {
        assert!(may_send(&mut placement(100, seed), 101));
    }
}
