//! Exchanges: one run per id, complete answers, bounded memory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_target::{
    Ending, ExchangeSettings, Exchanges, Read, Retention, RevokeResult, SendResult, Stamp, Weights,
};
use azurestand_types::{
    BootId, Digest, Incarnation, Moment, Outcome, Refusal, RequestId, Uncertainty,
};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ID: RequestId = RequestId(1);

fn weights(version: u8, boot: u64) -> Weights {
    Weights {
        digest: Some(Digest::of(&[version])),
        boot: BootId(boot),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn complete(weights: Weights) -> Ending {
    Ending::Complete {
        weights: Some(weights),
    }
}

fn settings() -> ExchangeSettings {
    ExchangeSettings {
        max_answer_bytes: 10,
        max_total_bytes: 15,
        retention_time: Duration::from_secs(5),
        window: Duration::from_secs(10),
        max_requests: 20,
    }
}

fn exchanges() -> Exchanges {
    Exchanges::new(settings(), Incarnation(1))
}

fn stamp(millis: u64) -> Stamp {
    Stamp {
        incarnation: Incarnation(1),
        at: at(millis),
    }
}

fn running(retention: Retention) -> Exchanges {
    let mut exchanges = exchanges();
    assert_eq!(
        exchanges.send(at(0), ID, stamp(0), retention),
        SendResult::Fresh
    );
    exchanges.start(at(0), ID, weights(1, 1));
    exchanges
}

fn end(outcome: Outcome, length: u64) -> Read {
    Read::End { outcome, length }
}

#[test]
fn a_second_send_attaches_and_reads_the_same_answer() {
    let mut exchanges = running(Retention::Unread);
    exchanges.append(ID, Bytes::from_static(b"hello"));
    assert_eq!(
        exchanges.send(at(1), ID, stamp(0), Retention::Unread),
        SendResult::Attached
    );
    assert_eq!(
        exchanges.read(ID, 0),
        Read::Bytes(Bytes::from_static(b"hello"))
    );
    assert_eq!(
        exchanges.read(ID, 3),
        Read::Bytes(Bytes::from_static(b"lo"))
    );
    assert_eq!(exchanges.read(ID, 5), Read::Pending);
    exchanges.end(at(2), ID, complete(weights(1, 1)));
    assert_eq!(exchanges.read(ID, 5), end(Outcome::Answered, 5));
    assert_eq!(
        exchanges.read(ID, 6),
        Read::Gap {
            outcome: Some(Outcome::Answered)
        }
    );
}

#[test]
fn acknowledged_bytes_are_released_and_make_room() {
    let mut exchanges = running(Retention::Unread);
    exchanges.append(ID, Bytes::from_static(b"0123456789"));
    assert_eq!(exchanges.read_capacity(ID), 0);
    exchanges.ack(ID, 4);
    assert_eq!(
        (exchanges.read_capacity(ID), exchanges.buffered_bytes()),
        (4, 6)
    );
    assert_eq!(exchanges.read(ID, 3), Read::Gap { outcome: None });
    assert_eq!(
        exchanges.read(ID, 4),
        Read::Bytes(Bytes::from_static(b"456789"))
    );
}

#[test]
fn unfetched_answers_are_dropped_in_favour_of_running_ones() {
    let mut exchanges = exchanges();
    for id in 0..3 {
        exchanges.send(at(0), RequestId(id), stamp(0), Retention::All);
        exchanges.start(at(0), RequestId(id), weights(1, 1));
    }
    exchanges.append(RequestId(0), Bytes::from_static(b"01234567"));
    exchanges.append(RequestId(1), Bytes::from_static(b"0123456"));
    assert_eq!(exchanges.read_capacity(RequestId(2)), 0);
    exchanges.end(at(1), RequestId(0), complete(weights(1, 1)));
    assert_eq!(exchanges.read_capacity(RequestId(2)), 8);
    let gap = Read::Gap {
        outcome: Some(Outcome::Answered),
    };
    assert_eq!(exchanges.read(RequestId(0), 0), gap);
}

#[test]
fn an_answer_too_large_for_the_buffer_is_released_when_acknowledged() {
    let mut exchanges = running(Retention::All);
    exchanges.append(ID, Bytes::from_static(b"01234"));
    exchanges.ack(ID, 5);
    assert_eq!(
        exchanges.read(ID, 0),
        Read::Bytes(Bytes::from_static(b"01234"))
    );
    exchanges.append(ID, Bytes::from_static(b"56789"));
    exchanges.ack(ID, 10);
    assert_eq!(exchanges.read_capacity(ID), 10);
    exchanges.end(at(1), ID, complete(weights(1, 1)));
    assert_eq!(exchanges.complete_answer(ID), None);
}

#[test]
fn an_answer_is_never_complete_if_the_weights_changed_during_it() {
    for changed in [weights(2, 1), weights(1, 2)] {
        let mut exchanges = running(Retention::All);
        exchanges.append(ID, Bytes::from_static(b"half"));
        assert_eq!(exchanges.report(at(5), at(4), changed), [ID]);
        exchanges.append(ID, Bytes::from_static(b"rest"));
        exchanges.end(at(6), ID, complete(weights(1, 1)));
        let unknown = Outcome::Unknown(Uncertainty::WeightsChanged);
        assert!(matches!(exchanges.read(ID, 0), Read::End { outcome, .. } if outcome == unknown));
        assert_eq!(exchanges.complete_answer(ID), None);
    }
}

#[test]
fn an_answer_that_gives_other_weights_is_never_complete() {
    let mut exchanges = running(Retention::All);
    exchanges.end(at(6), ID, complete(weights(2, 1)));
    let unknown = Outcome::Unknown(Uncertainty::WeightsChanged);
    assert_eq!(exchanges.outcome(ID), Some(unknown));
}

#[test]
fn an_answer_without_weights_waits_for_a_report_taken_after_its_end() {
    let mut exchanges = running(Retention::All);
    exchanges.end(at(6), ID, Ending::Complete { weights: None });
    exchanges.report(at(7), at(5), weights(1, 1));
    assert_eq!(
        exchanges.outcome(ID),
        None,
        "the report is older than the end"
    );
    exchanges.report(at(9), at(8), weights(1, 1));
    assert_eq!(exchanges.outcome(ID), Some(Outcome::Answered));
}

#[test]
fn a_late_report_from_before_an_engine_restart_ends_no_request() {
    let mut exchanges = exchanges();
    exchanges.send(at(10), ID, stamp(10), Retention::All);
    exchanges.start(at(10), ID, weights(1, 2));
    assert!(exchanges.report(at(12), at(9), weights(1, 1)).is_empty());
    assert_eq!(exchanges.outcome(ID), None);
}

#[test]
fn a_send_that_arrives_after_its_revoke_is_refused() {
    let mut exchanges = exchanges();
    assert_eq!(
        exchanges.revoke(at(1), ID, stamp(0)),
        RevokeResult::NeverRuns
    );
    assert_eq!(
        exchanges.send(at(2), ID, stamp(0), Retention::All),
        SendResult::Revoked
    );
}

#[test]
fn a_revoke_of_a_started_request_returns_started() {
    let mut exchanges = running(Retention::All);
    assert_eq!(exchanges.revoke(at(1), ID, stamp(0)), RevokeResult::Started);
    exchanges.end(at(2), ID, Ending::NotRun(Refusal::Busy));
    let unknown = Outcome::Unknown(Uncertainty::TargetFailed);
    assert_eq!(
        exchanges.outcome(ID),
        Some(unknown),
        "a started request can't be reported as not run"
    );
}

#[test]
fn a_request_that_the_engine_declined_did_not_run() {
    let mut exchanges = running(Retention::All);
    exchanges.end(at(2), ID, Ending::Declined(Refusal::Busy));
    assert_eq!(exchanges.outcome(ID), Some(Outcome::NotRun(Refusal::Busy)));

    let mut exchanges = running(Retention::All);
    exchanges.append(ID, Bytes::from_static(b"x"));
    exchanges.end(at(2), ID, Ending::Declined(Refusal::Busy));
    let unknown = Outcome::Unknown(Uncertainty::TargetFailed);
    assert_eq!(exchanges.outcome(ID), Some(unknown), "the answer had begun");
}

#[test]
fn a_request_answered_from_another_one_is_removed_after_its_window() {
    let mut exchanges = exchanges();
    exchanges.send(at(0), ID, stamp(0), Retention::All);
    exchanges.end(at(1), ID, Ending::Unknown(Uncertainty::Unreachable));
    exchanges.tick(at(10_001));
    assert!(exchanges.is_empty());
}

#[test]
fn a_send_of_a_removed_request_is_stale_and_not_run_again() {
    let mut exchanges = running(Retention::Unread);
    exchanges.end(at(1), ID, complete(weights(1, 1)));
    exchanges.tick(at(5_001));
    assert_eq!(
        exchanges.send(at(5_001), ID, stamp(0), Retention::All),
        SendResult::Attached
    );
    exchanges.tick(at(10_001));
    assert!(exchanges.is_empty());
    assert_eq!(
        exchanges.send(at(10_001), ID, stamp(0), Retention::All),
        SendResult::Stale
    );
    assert_eq!(
        exchanges.revoke(at(10_001), ID, stamp(0)),
        RevokeResult::Stale
    );
}

#[test]
fn a_send_for_another_incarnation_of_the_agent_is_stale() {
    let mut exchanges = exchanges();
    let earlier = Stamp {
        incarnation: Incarnation(0),
        at: at(4),
    };
    assert_eq!(
        exchanges.send(at(5), ID, earlier, Retention::All),
        SendResult::Stale
    );
    assert_eq!(exchanges.revoke(at(5), ID, earlier), RevokeResult::Stale);
    assert_eq!(
        exchanges.send(at(5), ID, stamp(6), Retention::All),
        SendResult::Stale
    );
}

#[test]
fn a_send_delayed_beyond_the_window_is_stale() {
    let mut exchanges = exchanges();
    assert_eq!(
        exchanges.send(at(10_001), ID, stamp(0), Retention::All),
        SendResult::Stale
    );
    assert_eq!(
        exchanges.send(at(10_001), ID, stamp(1), Retention::All),
        SendResult::Fresh
    );
}

#[test]
fn sends_are_refused_while_no_more_ids_can_be_stored() {
    let mut exchanges = exchanges();
    for id in 0..20 {
        let sent = exchanges.send(at(1), RequestId(id), stamp(1), Retention::Unread);
        assert_eq!(sent, SendResult::Fresh);
    }
    assert_eq!(
        exchanges.send(at(2), RequestId(99), stamp(2), Retention::Unread),
        SendResult::Full
    );
    exchanges.end(at(2), RequestId(3), Ending::NotRun(Refusal::Busy));
    exchanges.tick(at(7_002));
    assert_eq!(
        exchanges.send(at(7_002), RequestId(99), stamp(2), Retention::Unread),
        SendResult::Fresh
    );
    assert_eq!(
        exchanges.send(at(7_003), RequestId(3), stamp(1), Retention::Unread),
        SendResult::Stale
    );
}

#[derive(Debug, Clone)]
enum Step {
    Send(u128),
    Revoke(u128),
    Start(usize),
    Append(usize, usize),
    End(usize, u8),
    Ack(u128, u64),
    Report(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u128..40).prop_map(Step::Send),
        1 => (0_u128..40).prop_map(Step::Revoke),
        6 => any::<usize>().prop_map(Step::Start),
        6 => (any::<usize>(), 1_usize..12).prop_map(|(n, len)| Step::Append(n, len)),
        4 => (any::<usize>(), 0_u8..4).prop_map(|(n, how)| Step::End(n, how)),
        3 => (0_u128..40, 0_u64..20).prop_map(|(id, offset)| Step::Ack(id, offset)),
        1 => (1_u8..3).prop_map(Step::Report),
        4 => (1_u64..6_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_id_is_fresh_twice_and_memory_is_bounded(steps in vec(step(), 1..300)) {
        let mut exchanges = exchanges();
        let mut now = at(0);
        let mut stamps = BTreeMap::new();
        let mut fresh = BTreeSet::new();
        let mut revoked = BTreeSet::new();
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        let mut bytes = BTreeMap::<u128, u64>::new();
        for step in steps {
            match step {
                Step::Send(id) => {
                    // All sends and revokes of an id carry the stamp of the
                    // first one.
                    let at = *stamps.entry(id).or_insert(now);
                    let stamp = Stamp { incarnation: Incarnation(1), at };
                    if exchanges.send(now, RequestId(id), stamp, Retention::Unread) == SendResult::Fresh {
                        prop_assert!(fresh.insert(id), "{id} runs twice");
                        prop_assert!(!revoked.contains(&id), "{id} runs after its revoke");
                        waiting.push(id);
                    }
                }
                Step::Revoke(id) => {
                    let at = *stamps.entry(id).or_insert(now);
                    let stamp = Stamp { incarnation: Incarnation(1), at };
                    if exchanges.revoke(now, RequestId(id), stamp) == RevokeResult::NeverRuns {
                        prop_assert!(!fresh.contains(&id), "{id} may run");
                        revoked.insert(id);
                    }
                }
                Step::Start(n) if !waiting.is_empty() => {
                    let id = waiting.remove(n % waiting.len());
                    exchanges.start(now, RequestId(id), weights(1, 1));
                    running.push(id);
                }
                Step::Append(n, len) if !running.is_empty() => {
                    let id = running[n % running.len()];
                    let len = len.min(exchanges.read_capacity(RequestId(id)));
                    exchanges.append(RequestId(id), Bytes::from(vec![0; len]));
                    *bytes.entry(id).or_default() += len as u64;
                }
                Step::End(n, how) if !running.is_empty() => {
                    let id = running.remove(n % running.len());
                    let ending = match how {
                        0 => Ending::Unknown(Uncertainty::TargetFailed),
                        1 => Ending::Complete { weights: None },
                        _ => complete(weights(1, 1)),
                    };
                    exchanges.end(now, RequestId(id), ending);
                }
                Step::Ack(id, offset) => exchanges.ack(RequestId(id), offset),
                Step::Report(version) => {
                    for id in exchanges.report(now, now, weights(version, 1)) {
                        running.retain(|other| *other != id.0);
                    }
                }
                Step::Pass(millis) => {
                    now = now + Duration::from_millis(millis);
                    exchanges.tick(now);
                }
                Step::Start(_) | Step::Append(..) | Step::End(..) => {}
            }
            prop_assert!(exchanges.len() <= 20 && exchanges.buffered_bytes() <= 15);
            for (id, sent) in &bytes {
                if let Read::End { outcome: Outcome::Answered, length } =
                    exchanges.read(RequestId(*id), *sent)
                {
                    prop_assert_eq!(length, *sent, "an answer is truncated");
                }
            }
        }
    }
}
