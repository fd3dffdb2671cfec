//! Detection of dead hosts, refutation, replacement and leaving.

use std::time::Duration;

use azurestand_membership::{Action, Event, Gossip, Limits, Listing, Member, Note, Role, State};
use azurestand_types::{Incarnation, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::net::{Net, host, identity};

const CENTRES: [&str; 2] = ["north", "south"];

fn settled(seed: u64) -> Net {
    let mut net = Net::fleet(seed, &CENTRES, 3, 5);
    let joined = net.run_until(Duration::from_secs(30), Net::complete);
    assert!(joined.is_some(), "the members did not all find each other");
    net
}

#[test]
fn killed_host_is_dead_everywhere_within_ten_seconds() {
    let mut net = settled(1);
    net.kill("north-a2");
    let span = Duration::from_secs(10);
    let found = net.run_until(span, |net| net.agree("north-a2", State::Dead));
    assert!(found.is_some());
}

#[test]
fn broken_connection_speeds_detection_up() {
    let mut net = settled(2);
    net.kill("north-a2");
    net.send_event("north-e1", Event::Disconnected(host("north-a2")));
    let span = Duration::from_secs(1);
    let suspected = |net: &Net| {
        let view = net.process("north-e1").member.view();
        view.state(&host("north-a2")) == Some(State::Suspect)
    };
    assert!(net.run_until(span, suspected).is_some());
}

#[test]
fn false_suspicion_is_refuted() {
    let mut net = settled(3);
    net.faults.isolated.insert("north-a2".into());
    let span = Duration::from_secs(8);
    let suspected = |net: &Net| {
        let view = net.process("north-e1").member.view();
        view.state(&host("north-a2")) == Some(State::Suspect)
    };
    assert!(net.run_until(span, suspected).is_some());
    net.faults.isolated.clear();
    let healed = net.run_until(span, |net| net.agree("north-a2", State::Alive));
    assert!(healed.is_some());
    let notes = &net.process("north-a2").notes;
    assert!(
        notes
            .iter()
            .any(|note| matches!(note, Note::Refuted { .. }))
    );
    let dead = |change: &azurestand_membership::Change| change.state == State::Dead;
    assert!(!net.process("north-e1").changes.iter().any(dead));
}

#[test]
fn isolated_host_is_declared_dead_and_returns_with_the_same_incarnation() {
    let mut net = settled(4);
    net.faults.isolated.insert("north-a2".into());
    let span = Duration::from_secs(15);
    net.run(span);
    let view = net.process("south-e1").member.view();
    assert_eq!(view.state(&host("north-a2")), Some(State::Dead));
    net.faults.isolated.clear();
    assert!(net.run_until(span, Net::complete).is_some());
}

#[test]
fn partitioned_data_centre_merges_after_healing() {
    let mut net = settled(14);
    for name in ["north-e0", "north-a0", "north-a1"] {
        net.faults.split.insert(name.into());
    }
    net.run(Duration::from_secs(30));
    let state = |net: &Net, by: &str, of: &str| net.process(by).member.view().state(&host(of));
    assert_eq!(state(&net, "north-a0", "north-e1"), Some(State::Dead));
    assert_eq!(state(&net, "north-e1", "north-a0"), Some(State::Dead));
    assert_eq!(state(&net, "north-a0", "north-a1"), Some(State::Alive));
    net.faults.split.clear();
    assert!(
        net.run_until(Duration::from_secs(20), Net::complete)
            .is_some()
    );
}

#[test]
fn resumed_member_declares_nobody_dead() {
    let mut net = settled(5);
    net.pause("north-e1", true);
    net.run(Duration::from_secs(20));
    net.pause("north-e1", false);
    let before = net.process("north-e1").changes.len();
    net.run(Duration::from_secs(5));
    let changes = &net.process("north-e1").changes[before..];
    assert!(
        changes.iter().all(|change| change.state != State::Dead),
        "{changes:?}"
    );
    assert!(
        net.run_until(Duration::from_secs(15), Net::complete)
            .is_some()
    );
}

#[test]
fn probe_pending_during_a_pause_raises_no_suspicion() {
    let mut net = settled(13);
    net.send_event("north-e1", Event::Disconnected(host("north-a2")));
    net.pause("north-e1", true);
    net.run(Duration::from_secs(1));
    net.pause("north-e1", false);
    let before = net.process("north-e1").changes.len();
    net.run(Duration::from_secs(2));
    let changes = &net.process("north-e1").changes[before..];
    assert!(
        changes.iter().all(|change| change.state == State::Alive),
        "{changes:?}"
    );
}

#[test]
fn leaving_is_known_to_the_data_centre_within_a_second() {
    let mut net = settled(6);
    net.send_event("north-a2", Event::Leave);
    let local = |net: &Net| {
        net.processes.values().all(|process| {
            process.member.identity().centre.as_str() != "north"
                || process.member.view().state(&host("north-a2")) == Some(State::Leaving)
        })
    };
    assert!(net.run_until(Duration::from_secs(1), local).is_some());
    let everywhere = |net: &Net| net.agree("north-a2", State::Leaving);
    assert!(net.run_until(Duration::from_secs(10), everywhere).is_some());
    net.send_event("north-a2", Event::Shutdown);
    net.kill("north-a2");
    let gone = |net: &Net| net.agree("north-a2", State::Left);
    assert!(net.run_until(Duration::from_secs(10), gone).is_some());
}

/// The first message that a process of this identity sends.
fn first_message(name: &str, incarnation: u64) -> Gossip {
    let identity = identity(name, "north", Role::Agent, incarnation);
    let seeds = vec![([10, 9, 9, 9], 9).into()];
    let random = fastrand::Rng::with_seed(1);
    let mut member = Member::new(identity, seeds, Limits::default(), random);
    let actions = member.handle(Moment::START, Event::Tick);
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { gossip, .. } => Some(*gossip),
        _ => None,
    });
    sent.unwrap()
}

#[test]
fn late_messages_of_a_replaced_host_are_refused() {
    let mut net = settled(7);
    net.kill("north-a2");
    net.start("north-a2", "north", Role::Agent, 2);
    let replaced = |net: &Net| {
        net.processes.values().all(|process| {
            let view = process.member.view();
            let known = view.get(&host("north-a2"));
            known.is_some_and(|record| record.identity.incarnation == Incarnation(2))
        })
    };
    assert!(net.run_until(Duration::from_secs(10), replaced).is_some());
    for receiver in ["north-e0", "north-e1", "south-e0"] {
        net.inject(receiver, &first_message("north-a2", 1));
    }
    net.run(Duration::from_secs(2));
    assert!(replaced(&net));
    assert!(net.agree("north-a2", State::Alive));
    let stale = |note: &Note| matches!(note, Note::StaleSender { .. });
    assert!(net.process("south-e0").notes.iter().any(stale));
}

#[test]
fn late_messages_of_a_forgotten_incarnation_are_refused() {
    let mut net = Net::new(12);
    net.limits.forget_after = Duration::from_secs(20);
    for name in ["north-e0", "north-e1", "north-e2"] {
        net.start(name, "north", Role::Entry, 1);
    }
    net.start("north-a2", "north", Role::Agent, 2);
    assert!(
        net.run_until(Duration::from_secs(10), Net::complete)
            .is_some()
    );
    net.kill("north-a2");
    net.run(Duration::from_mins(3));
    let known = |net: &Net| {
        net.process("north-e1")
            .member
            .view()
            .get(&host("north-a2"))
            .is_some()
    };
    assert!(!known(&net), "the dead member was not forgotten");
    net.inject("north-e1", &first_message("north-a2", 1));
    net.run(Duration::from_secs(1));
    assert!(!known(&net));
    net.start("north-a2", "north", Role::Agent, 3);
    assert!(net.run_until(Duration::from_secs(10), known).is_some());
}

#[test]
fn process_replaced_while_paused_notes_its_replacement() {
    let mut net = settled(8);
    net.pause("north-a2", true);
    net.run(Duration::from_secs(2));
    net.start("north-a2", "north", Role::Agent, 2);
    net.run(Duration::from_secs(10));
    let old = identity("north-a2", "north", Role::Agent, 1).address;
    net.processes.get_mut(&old).unwrap().paused = false;
    net.run(Duration::from_secs(5));
    let replaced = |note: &Note| matches!(note, Note::Replaced { .. });
    assert!(net.processes[&old].notes.iter().any(replaced));
}

#[test]
fn listed_departure_applies_only_to_the_incarnation_known_then() {
    let mut net = settled(9);
    net.run(Duration::from_secs(20));
    let listing = Listing {
        live: Vec::new(),
        leaving: vec![host("north-a2")],
    };
    net.send_event("north-e1", Event::Listed(listing.clone()));
    let state = |net: &Net| {
        net.process("north-e1")
            .member
            .view()
            .state(&host("north-a2"))
    };
    assert_eq!(state(&net), Some(State::Leaving));
    net.kill("north-a2");
    net.start("north-a2", "north", Role::Agent, 2);
    net.run(Duration::from_secs(5));
    net.send_event("north-e1", Event::Listed(listing));
    assert_eq!(
        state(&net),
        Some(State::Alive),
        "the lagging list marked the replacement as leaving"
    );
}

#[test]
fn partitioned_data_centres_keep_each_others_members() {
    let mut net = settled(10);
    net.faults.cuts.insert(("north".into(), "south".into()));
    net.run(Duration::from_mins(1));
    assert!(
        net.complete(),
        "the state of members of an unreachable data centre changed"
    );
    let silent = |note: &Note| matches!(note, Note::CentreSilent(_));
    assert!(net.process("north-a1").notes.iter().any(silent));
    net.kill("south-a1");
    net.run(Duration::from_secs(10));
    net.faults.cuts.clear();
    let healed = |net: &Net| net.agree("south-a1", State::Dead);
    assert!(net.run_until(Duration::from_secs(30), healed).is_some());
    // Members check for silent data centres once a second.
    net.run(Duration::from_millis(1_100));
    let back = |note: &Note| matches!(note, Note::CentreBack(_));
    assert!(net.process("north-a1").notes.iter().any(back));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        cases: 12,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_after_loss_repetition_and_reordering(seed in 0_u64..1_000_000) {
        let mut net = settled(seed);
        net.faults.loss = 0.1;
        net.faults.repeat = 0.2;
        net.faults.delay = Duration::from_millis(200);
        net.kill("north-a0");
        net.send_event("south-a1", Event::Leave);
        net.run(Duration::from_secs(5));
        net.start("north-a0", "north", Role::Agent, 2);
        net.run(Duration::from_secs(5));
        net.faults.loss = 0.0;
        let agreed = net.run_until(Duration::from_secs(30), |net| {
            net.agree("south-a1", State::Leaving) && net.agree("north-a0", State::Alive)
        });
        prop_assert!(agreed.is_some());
    }

    #[test]
    fn leaving_is_never_undone_by_a_delayed_message(seed in 0_u64..1_000_000) {
        let mut net = settled(seed);
        net.faults.delay = Duration::from_secs(4);
        net.faults.repeat = 0.5;
        net.run(Duration::from_secs(2));
        net.send_event("north-a1", Event::Leave);
        net.run(Duration::from_secs(20));
        for process in net.processes.values() {
            let of = |change: &&azurestand_membership::Change| change.host == host("north-a1");
            let states: Vec<_> = process.changes.iter().filter(of).map(|c| c.state).collect();
            let first = states.iter().position(|state| *state == State::Leaving);
            let after = &states[first.unwrap_or(states.len())..];
            prop_assert!(!after.contains(&State::Alive), "{states:?}");
        }
    }
}
