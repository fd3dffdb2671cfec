//! Single faults.

use std::time::Duration;

use azurestand_target::{Claim, HomeSettings, Outage, Record};
use azurestand_types::{Epoch, Outcome, Refusal, RequestId, Uncertainty};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::simulation::{Flow, HOSTS, Reply, RunEnd, Simulation, settings};

const KEY: u32 = 7;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A simulation in which every shard has a holder, and the holder of the shard
/// of `KEY`.
fn settled(outage: Outage) -> (Simulation, usize) {
    let mut sim = Simulation::new(outage);
    sim.settle(seconds(4));
    let holder = sim.holder(KEY).expect("a holder");
    (sim, holder)
}

/// Advances time until a write with the claim of `KEY` is on its way to the
/// store.
fn until_committing(sim: &mut Simulation) {
    for _ in 0..40 {
        if sim.is_committing(KEY) {
            return;
        }
        sim.deliver_calls_of(KEY, true);
        sim.advance(millis(50));
    }
    panic!("the claim isn't sent to the store");
}

fn key_held_by(sim: &Simulation, index: usize) -> u32 {
    let mut keys = 0..1_000;
    keys.find(|key| sim.holder(*key) == Some(index)).unwrap()
}

fn outcome_of(sim: &Simulation, id: RequestId) -> Option<Outcome> {
    match sim.replies.get(&id) {
        Some(Reply::Ended(outcome)) => Some(*outcome),
        _ => None,
    }
}

fn not_run(refusal: Refusal) -> Outcome {
    Outcome::NotRun(refusal)
}

#[test]
fn a_repeated_key_gets_the_first_runs_answer() {
    let (mut sim, holder) = settled(Outage::Wait);
    let first = sim.submit(KEY, holder).unwrap();
    sim.settle(millis(500));
    assert_eq!(outcome_of(&sim, first), Some(Outcome::Answered));
    let again = sim.submit(KEY, holder).unwrap();
    sim.settle(millis(500));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
    assert_eq!(sim.runs[&KEY], 1);
}

#[test]
fn a_repeat_attaches_while_the_first_waits_or_runs() {
    let (mut sim, holder) = settled(Outage::Wait);
    let first = sim.submit(KEY, holder).unwrap();
    let second = sim.submit(KEY, holder).unwrap();
    sim.flow(millis(300), Flow::Stuck);
    let third = sim.submit(KEY, holder).unwrap();
    sim.flow(millis(300), Flow::Stuck);
    assert!(sim.is_started(first));
    for id in [second, third] {
        assert_eq!(sim.replies.get(&id), Some(&Reply::Attached(first)));
    }
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.submit(KEY, holder).unwrap();
    sim.settle(millis(500));
    let other = sim.ask_for(KEY, 8, holder).unwrap();
    sim.settle(millis(500));
    assert_eq!(outcome_of(&sim, other), Some(not_run(Refusal::KeyReused)));
}

#[test]
fn a_home_that_does_not_hold_the_shard_redirects_to_the_holder() {
    let (mut sim, holder) = settled(Outage::Wait);
    let id = sim.submit(KEY, (holder + 1) % HOSTS).unwrap();
    sim.settle(millis(300));
    assert_eq!(sim.replies.get(&id), Some(&Reply::Redirected));
}

#[test]
fn a_run_refused_by_admission_releases_the_key() {
    let (mut sim, holder) = settled(Outage::Wait);
    let first = sim.submit(KEY, holder).unwrap();
    sim.flow(millis(500), Flow::Refusing);
    assert_eq!(outcome_of(&sim, first), Some(not_run(Refusal::Busy)));
    let again = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
}

#[test]
fn a_home_that_fails_between_claim_and_run_leaves_the_outcome_unknown() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.submit(KEY, holder).unwrap();
    sim.flow(millis(300), Flow::Stuck);
    sim.kill(holder);
    sim.flow(seconds(8), Flow::Stuck);
    let successor = sim.holder(KEY).unwrap();
    assert_ne!(successor, holder);
    let again = sim.submit(KEY, successor).unwrap();
    sim.flow(seconds(1), Flow::Stuck);
    let unknown = Outcome::Unknown(Uncertainty::Unreachable);
    assert_eq!(outcome_of(&sim, again), Some(unknown));
}

#[test]
fn a_stored_answer_survives_the_failure_of_its_home() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(2));
    sim.kill(holder);
    sim.settle(seconds(8));
    let successor = sim.holder(KEY).unwrap();
    let again = sim.submit(KEY, successor).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
    assert_eq!(sim.runs[&KEY], 1);
}

#[test]
fn store_outage_shorter_than_the_deadline_delays_a_request() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.store_up = false;
    let id = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(2));
    assert_eq!(outcome_of(&sim, id), None);
    sim.store_up = true;
    sim.settle(millis(900));
    assert_eq!(outcome_of(&sim, id), Some(Outcome::Answered));
}

#[test]
fn store_outage_past_the_deadline_ends_as_not_run() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.store_up = false;
    let id = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(4));
    assert_eq!(outcome_of(&sim, id), Some(not_run(Refusal::Expired)));
    sim.store_up = true;
    sim.settle(seconds(2));
    assert!(!sim.runs.contains_key(&KEY));
    let again = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(2));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
}

#[test]
fn memory_claims_are_served_in_a_store_outage_until_the_lease_ends() {
    let (mut sim, holder) = settled(Outage::Memory);
    sim.store_up = false;
    let first = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, first), Some(Outcome::Answered));
    sim.settle(seconds(4));
    let again = sim.submit(KEY, holder).unwrap();
    let late = sim.submit(KEY + 100, holder).unwrap();
    sim.settle(seconds(4));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
    assert_ne!(outcome_of(&sim, late), Some(Outcome::Answered));
    assert_eq!(sim.runs[&KEY], 1);
}

#[test]
fn the_successor_of_a_failed_home_with_memory_claims_refuses_for_the_window() {
    let (mut sim, holder) = settled(Outage::Memory);
    sim.processes[holder].partitioned = true;
    let first = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, first), Some(Outcome::Answered));
    sim.kill(holder);
    sim.settle(seconds(9));
    let successor = sim.holder(KEY).unwrap();
    assert_ne!(successor, holder);
    let again = sim.submit(KEY, successor).unwrap();
    sim.settle(seconds(20));
    assert_eq!(outcome_of(&sim, again), Some(not_run(Refusal::Unproved)));
    let fresh = sim.submit(KEY + 8, successor).unwrap();
    sim.settle(seconds(3));
    // The window is over, so keys are claimed again. This key may be in the
    // same shard or in another; in both cases its holder answers, or the
    // request is redirected to the holder.
    assert_ne!(outcome_of(&sim, fresh), Some(not_run(Refusal::Unproved)));
}

#[test]
fn a_partitioned_home_runs_nothing_in_memory_after_its_lease() {
    let (mut sim, holder) = settled(Outage::Memory);
    sim.processes[holder].partitioned = true;
    sim.settle(seconds(12));
    let successor = sim.holder(KEY).unwrap();
    assert_ne!(successor, holder);
    let first = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(18));
    assert_eq!(outcome_of(&sim, first), Some(not_run(Refusal::Expired)));
    // The window since the takeover is over, but the caller's own retry window
    // isn't.
    let again = sim.submit(KEY, successor).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
    assert_eq!(sim.runs[&KEY], 1);
}

#[test]
fn a_home_that_resumes_after_a_takeover_runs_nothing() {
    let (mut sim, holder) = settled(Outage::Wait);
    let first = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    sim.pause(holder, true);
    // Its commit is lost.
    sim.processes[holder].partitioned = true;
    sim.settle(seconds(10));
    let successor = sim.holder(KEY).unwrap();
    assert_ne!(successor, holder);
    let again = sim.submit(KEY, successor).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
    sim.processes[holder].partitioned = false;
    sim.pause(holder, false);
    sim.settle(seconds(3));
    assert!(matches!(outcome_of(&sim, first), Some(Outcome::NotRun(_))));
    assert_eq!(sim.runs[&KEY], 1);
}

#[test]
fn a_lost_answer_to_an_applied_commit_only_delays_the_run() {
    let (mut sim, holder) = settled(Outage::Wait);
    let id = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    until_committing(&mut sim);
    sim.deliver_calls_of(KEY, false);
    assert!(!sim.is_started(id));
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, id), Some(Outcome::Answered));
}

#[test]
fn late_answer_to_an_earlier_commit_starts_nothing() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.advance(seconds(1));
    sim.deliver_calls_of(KEY, false);
    sim.settle(seconds(1));
    let id = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    until_committing(&mut sim);
    sim.deliver_late(0);
    assert!(!sim.is_started(id));
}

#[test]
fn a_paused_home_does_not_start_requests_that_expired_meanwhile() {
    let (mut sim, holder) = settled(Outage::Wait);
    let id = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    until_committing(&mut sim);
    sim.pause(holder, true);
    sim.deliver_calls_of(KEY, true);
    sim.advance(seconds(5));
    sim.pause(holder, false);
    assert!(!sim.is_started(id));
    assert_eq!(outcome_of(&sim, id), Some(not_run(Refusal::Expired)));
}

#[test]
fn lease_counts_from_the_send_of_a_write_and_not_from_its_answer() {
    let (mut sim, holder) = settled(Outage::Memory);
    // A renewal is sent within a second; its lease less the margin is 3.5
    // seconds.
    for _ in 0..45 {
        sim.advance(millis(100));
    }
    sim.deliver_calls_of(KEY, true);
    sim.processes[holder].partitioned = true;
    let id = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(2));
    assert_eq!(outcome_of(&sim, id), None);
}

#[test]
fn the_successor_of_one_that_fails_in_its_window_refuses_for_a_window_too() {
    let (mut sim, holder) = settled(Outage::Memory);
    sim.processes[holder].partitioned = true;
    let first = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, first), Some(Outcome::Answered));
    sim.configure(Outage::Wait);
    sim.settle(seconds(7));
    let second = sim.holder(KEY).unwrap();
    assert_ne!(second, holder);
    sim.kill(second);
    sim.settle(seconds(9));
    let third = sim.holder(KEY).unwrap();
    assert!(third != holder && third != second);
    let again = sim.submit(KEY, third).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, again), Some(not_run(Refusal::Unproved)));
}

#[test]
fn a_key_released_and_claimed_again_waits_for_its_own_claim() {
    let (mut sim, holder) = settled(Outage::Wait);
    let first = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    until_committing(&mut sim);
    sim.revoke(first, holder);
    assert_eq!(outcome_of(&sim, first), Some(not_run(Refusal::Revoked)));
    let second = sim.submit(KEY, holder).unwrap();
    sim.deliver_request(0);
    sim.deliver_calls_of(KEY, true);
    assert!(!sim.is_started(second), "the first claim was released");
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, second), Some(Outcome::Answered));
}

#[test]
fn a_pending_record_marked_proved_forbids_runs_in_memory() {
    let (mut sim, holder) = settled(Outage::Memory);
    sim.configure(Outage::Wait);
    sim.advance(seconds(1));
    sim.deliver_calls_of(KEY, false);
    sim.configure(Outage::Memory);
    sim.processes[holder].partitioned = true;
    let id = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, id), None);
}

#[test]
fn a_record_marked_proved_forbids_runs_in_memory() {
    let (mut sim, holder) = settled(Outage::Wait);
    sim.processes[holder].partitioned = true;
    sim.configure(Outage::Memory);
    let id = sim.submit(KEY, holder).unwrap();
    sim.settle(seconds(1));
    assert_eq!(outcome_of(&sim, id), None);
}

#[test]
fn a_second_incarnation_waits_while_the_first_may_run_in_memory() {
    let (mut sim, _) = settled(Outage::Memory);
    let key = key_held_by(&sim, 0);
    sim.processes[0].partitioned = true;
    sim.restart(HOSTS);
    sim.settle(seconds(2));
    assert_eq!(sim.holder(key), Some(0));
}

#[test]
fn a_second_incarnation_takes_over_proved_claims_at_once() {
    let (mut sim, _) = settled(Outage::Wait);
    let key = key_held_by(&sim, 0);
    sim.kill(0);
    sim.restart(HOSTS);
    sim.settle(seconds(1));
    assert_eq!(sim.holder(key), Some(HOSTS));
}

#[test]
fn an_earlier_incarnation_that_resumes_leaves_its_shards_to_the_later_one() {
    let (mut sim, _) = settled(Outage::Wait);
    let key = key_held_by(&sim, 0);
    sim.pause(0, true);
    sim.restart(HOSTS);
    sim.settle(seconds(1));
    sim.pause(0, false);
    for _ in 0..20 {
        sim.settle(millis(100));
        assert_eq!(sim.holder(key), Some(HOSTS));
    }
}

#[test]
fn a_stopping_home_hands_over_its_shards_without_a_window() {
    for outage in [Outage::Wait, Outage::Memory] {
        let (mut sim, holder) = settled(outage);
        let first = sim.submit(KEY, holder).unwrap();
        sim.flow(millis(500), Flow::Stuck);
        sim.leave(holder);
        sim.flow(millis(500), Flow::Stuck);
        assert_eq!(sim.holder(KEY), Some(holder), "its request still runs");
        sim.run(0);
        sim.end(0, RunEnd::Answered);
        assert_eq!(outcome_of(&sim, first), Some(Outcome::Answered));
        sim.settle(seconds(6));
        let successor = sim.holder(KEY).unwrap();
        assert_ne!(successor, holder);
        let again = sim.submit(KEY, successor).unwrap();
        let fresh = sim.submit(KEY + 1_000, successor).unwrap();
        sim.settle(seconds(1));
        assert_eq!(outcome_of(&sim, again), Some(Outcome::Answered));
        assert_ne!(outcome_of(&sim, fresh), Some(not_run(Refusal::Unproved)));
    }
}

#[test]
fn a_requested_shard_is_taken_over_soon_after_it_was_handed_over() {
    let (mut sim, holder) = settled(Outage::Wait);
    let others: Vec<_> = (0..HOSTS).filter(|index| *index != holder).collect();
    sim.leave(holder);
    for _ in 0..10 {
        for other in &others {
            sim.submit(KEY, *other);
        }
        sim.settle(millis(100));
    }
    assert_eq!(sim.runs.get(&KEY), Some(&1), "not served within a second");
}

#[test]
fn a_home_that_is_no_longer_listed_hands_over_its_shards() {
    let (mut sim, holder) = settled(Outage::Wait);
    let others: Vec<_> = (0..HOSTS).filter(|index| *index != holder).collect();
    sim.list(&others);
    sim.settle(seconds(6));
    let successor = sim.holder(KEY).unwrap();
    assert!(others.contains(&successor));
}

#[test]
fn homes_write_at_most_ten_times_a_second() {
    let (mut sim, _) = settled(Outage::Wait);
    for round in 0_u32..100 {
        for key in 0..20 {
            let key = 10_000 + round * 20 + key;
            let holder = sim.holder(key).unwrap();
            sim.submit(key, holder);
        }
        sim.settle(millis(100));
    }
    sim.settle(seconds(2));
    assert_eq!(sim.runs.len(), 2_000);
    for writes in sim.writes.values() {
        let mut runs = writes.windows(11);
        let over = runs.find(|eleven| eleven[10].since(eleven[0]) < Duration::from_secs(1));
        assert_eq!(over, None, "eleven writes in a second");
    }
}

#[test]
fn an_idle_service_causes_few_store_calls() {
    let (mut sim, _) = settled(Outage::Wait);
    let writes = |sim: &Simulation| sim.writes.values().map(Vec::len).sum::<usize>();
    let before = (writes(&sim), sim.reads);
    sim.settle(seconds(60));
    // Eight renewals a second, and the reads of the two other homes every two
    // and three seconds.
    let spent = (writes(&sim) - before.0, sim.reads - before.1);
    assert!(spent.0 <= 60 * 8, "{} writes", spent.0);
    assert!(spent.1 <= 60 * 7, "{} reads", spent.1);
}

#[test]
fn a_full_shard_refuses_new_keys_and_keeps_its_claims() {
    let (mut sim, _) = settled(Outage::Wait);
    let small = HomeSettings {
        max_claims: 2,
        max_kept_bytes: 12,
        ..settings(Outage::Wait)
    };
    sim.configure_with(&small);
    let mut refused = 0;
    for key in 0..40 {
        let holder = sim.holder(key).unwrap();
        let id = sim.submit(key, holder).unwrap();
        sim.settle(millis(300));
        refused += u32::from(outcome_of(&sim, id) == Some(not_run(Refusal::Busy)));
    }
    assert_eq!(refused, 40 - 2 * 8);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_malformed_store_values_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = Record::decode(&bytes);
        let _ = Claim::decode(Bytes::from(bytes));
    }
}

/// The home of a shard counted on from the record of another writer, past the largest number.
#[test]
fn a_record_whose_numbers_leave_none_to_count_on_is_refused() {
    let record = |epoch, write_number| Record {
        epoch: Epoch(epoch),
        holder: None,
        write_number,
        proved: true,
        lease: seconds(6),
    };
    let sound = record(1 << 40, 1 << 40);
    assert_eq!(Record::decode(&sound.encode()), Ok(sound));
    for odd in [record(u64::MAX, 1), record(1, u64::MAX)] {
        assert!(Record::decode(&odd.encode()).is_err(), "{odd:?}");
    }
}
