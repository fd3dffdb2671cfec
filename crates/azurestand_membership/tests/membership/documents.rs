//! A document in force is never reverted, whatever faults the store and the network have.

use std::time::Duration;

use azurestand_membership::{
    Config, ConfigError, Event, MAX_REVISION, Note, Role, Section, SectionName, Source,
    StoreOutcome,
};
use azurestand_types::Revision;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::net::{Net, config, host};

const CENTRES: [&str; 2] = ["north", "south"];

fn settled(seed: u64) -> Net {
    let mut net = Net::fleet(seed, &CENTRES, 3, 4);
    net.write(&config(1, "first"));
    let ready = net.run_until(Duration::from_secs(20), |net| {
        net.complete() && net.in_force(1)
    });
    assert!(ready.is_some(), "the first document did not reach everyone");
    net.run(Duration::from_secs(5));
    net
}

fn restart(net: &mut Net, centre: &str, incarnation: u64) {
    let names: Vec<_> = net
        .processes
        .values()
        .map(|process| process.member.identity().clone())
        .filter(|identity| identity.centre.as_str() == centre)
        .collect();
    for identity in &names {
        net.kill(identity.host.as_str());
    }
    for identity in names {
        net.start(identity.host.as_str(), centre, identity.role, incarnation);
    }
}

#[test]
fn edit_is_in_force_everywhere_within_a_second() {
    let mut net = settled(31);
    net.write(&config(2, "second"));
    assert!(
        net.run_until(Duration::from_secs(1), |net| net.in_force(2))
            .is_some()
    );
}

#[test]
fn data_centre_restarted_with_the_store_down_takes_the_document_from_its_peers() {
    let mut net = settled(32);
    net.write(&config(2, "second"));
    net.run(Duration::from_secs(2));
    net.store.down = true;
    restart(&mut net, "south", 2);
    let back = net.run_until(Duration::from_secs(15), |net| net.in_force(2));
    assert!(back.is_some());
}

#[test]
fn store_restored_to_an_older_state_reverts_nothing() {
    let mut net = settled(33);
    net.write(&config(2, "second"));
    net.write(&config(3, "third"));
    net.run(Duration::from_secs(3));
    net.write(&config(2, "second"));
    net.run(Duration::from_secs(2));
    assert!(net.in_force(3));
    let lower = |note: &Note| {
        matches!(note, Note::LowerRevision { source: Source::Store, offered, .. }
            if offered.revision == Revision(2))
    };
    let noted = net
        .processes
        .values()
        .filter(|p| p.notes.iter().any(lower))
        .count();
    assert_eq!(noted, net.watchers().len());
    restart(&mut net, "south", 2);
    assert!(
        net.run_until(Duration::from_secs(15), |net| net.in_force(3))
            .is_some()
    );
}

#[test]
fn other_content_under_the_same_revision_is_noted_and_refused() {
    let mut net = settled(34);
    net.write(&config(2, "second"));
    net.run(Duration::from_secs(2));
    net.write(&config(1, "first"));
    net.write(&config(2, "a different second"));
    net.run(Duration::from_secs(2));
    let conflict = |note: &Note| matches!(note, Note::Conflict { .. });
    let watcher = net.watchers()[0];
    assert!(net.processes[&watcher].notes.iter().any(conflict));
    let name = SectionName::try_from("centres").unwrap();
    for process in net.processes.values() {
        let text = &process.member.config().unwrap().sections()[&name].text;
        assert_eq!(&**text, "second");
    }
}

#[test]
fn edit_reaches_partitioned_data_centre_after_healing() {
    let mut net = settled(35);
    net.faults.cuts.insert(("north".into(), "south".into()));
    net.store.cut.insert("south".into());
    net.run(Duration::from_secs(20));
    net.write(&config(2, "second"));
    net.run(Duration::from_secs(5));
    let revision = |net: &Net, name: &str| net.process(name).member.revision();
    assert_eq!(revision(&net, "north-a1"), Revision(2));
    assert_eq!(
        revision(&net, "south-a1"),
        Revision(1),
        "a data centre without store access keeps its last document"
    );
    net.faults.cuts.clear();
    let healed = net.run_until(Duration::from_secs(5), |net| net.in_force(2));
    assert!(
        healed.is_some(),
        "the document did not arrive over the links between data centres"
    );
}

#[test]
fn data_centre_cut_from_the_store_gets_edits_from_the_others() {
    let mut net = settled(36);
    net.store.cut.insert("south".into());
    net.run(Duration::from_secs(5));
    net.write(&config(2, "second"));
    assert!(
        net.run_until(Duration::from_secs(1), |net| net.in_force(2))
            .is_some()
    );
}

#[test]
fn isolated_process_reads_the_store_itself() {
    let mut net = settled(37);
    net.faults.isolated.insert("north-a1".into());
    net.run(Duration::from_secs(5));
    net.write(&config(2, "second"));
    let read = |net: &Net| net.process("north-a1").member.revision() == Revision(2);
    assert!(net.run_until(Duration::from_secs(90), read).is_some());
}

#[test]
fn revision_whose_only_holder_died_does_not_block_lower_ones() {
    let mut net = settled(38);
    net.store.down = true;
    net.send_event(
        "north-e0",
        Event::Store(StoreOutcome::Config(config(9, "ninth"))),
    );
    net.kill("north-e0");
    net.store.down = false;
    net.write(&config(5, "fifth"));
    let newest = |net: &Net| {
        let revisions = net.processes.values().map(|p| p.member.revision());
        revisions.min() >= Some(Revision(5))
    };
    assert!(net.run_until(Duration::from_secs(5), newest).is_some());
}

#[test]
fn delta_that_does_not_match_its_digest_causes_full_fetch() {
    let mut net = settled(39);
    let name = |name: &str| SectionName::try_from(name).unwrap();
    let section = |revision, text: &str| Section {
        revision: Revision(revision),
        text: text.into(),
    };
    // The same section revision with different text: applying the delta would mix two documents.
    let sections = [
        (name("centres"), section(1, "of another history")),
        (name("limits"), section(2, "second")),
    ];
    let other = Config::new(Revision(2), sections.into()).unwrap();
    net.write(&std::sync::Arc::new(other));
    assert!(
        net.run_until(Duration::from_secs(2), |net| net.in_force(2))
            .is_some()
    );
    for process in net.processes.values() {
        let sections = process.member.config().unwrap().sections();
        assert_eq!(&*sections[&name("centres")].text, "of another history");
    }
    let bad = |note: &Note| matches!(note, Note::BadDelta(_));
    assert!(net.processes.values().any(|p| p.notes.iter().any(bad)));
}

#[test]
fn out_of_range_revision_is_refused() {
    let damaged = Config::new(Revision(u64::MAX), [].into());
    assert!(matches!(damaged, Err(ConfigError::Revision(_))));
    assert!(Config::new(MAX_REVISION, [].into()).is_ok());
}

#[test]
fn only_watchers_call_the_store_after_an_outage() {
    let mut net = settled(40);
    net.store.down = true;
    net.run(Duration::from_mins(2));
    net.store.down = false;
    net.run(Duration::from_secs(20));
    let before = net.store.calls;
    net.run(Duration::from_mins(1));
    let progress = 60 * u64::try_from(net.watchers().len()).unwrap();
    assert!(net.store.calls - before <= progress);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        cases: 12,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Odd revisions exclude a data centre, even ones include it again; the simulated
    /// network panics when an adopted revision isn't higher than the last.
    #[test]
    fn delayed_inclusion_never_reverts_a_newer_exclusion(
        seed in 0_u64..1_000_000,
        pauses in prop::collection::vec(0_u64..900, 6),
    ) {
        let mut net = settled(seed);
        net.faults.delay = Duration::from_secs(3);
        net.faults.repeat = 0.5;
        net.faults.loss = 0.05;
        for (revision, pause) in (2..).zip(&pauses) {
            let text = if revision % 2 == 1 { "out" } else { "in" };
            net.write(&config(revision, text));
            net.run(Duration::from_millis(*pause));
            if revision == 4 {
                net.kill("south-a1");
                net.start("south-a1", "south", Role::Agent, 2);
            }
        }
        net.faults.loss = 0.0;
        let done = net.run_until(Duration::from_secs(40), |net| net.in_force(7));
        prop_assert!(done.is_some());
        net.run(Duration::from_secs(5));
        prop_assert!(net.in_force(7));
    }

    /// The store returns revisions in any order, as if it were restored repeatedly.
    #[test]
    fn revisions_only_increase_for_any_order_of_store_reads(
        seed in 0_u64..1_000_000,
        offers in prop::collection::vec((1_u64..20, 0_usize..14), 1..12),
    ) {
        let mut net = settled(seed);
        let names: Vec<_> = net.processes.values()
            .map(|process| process.member.identity().host.clone())
            .collect();
        for (revision, receiver) in &offers {
            let name = names[receiver % names.len()].clone();
            let text = format!("text of {revision}");
            let outcome = StoreOutcome::Config(config(*revision, &text));
            net.send_event(name.as_str(), Event::Store(outcome));
            net.run(Duration::from_millis(100));
        }
        let highest = offers.iter().map(|(revision, _)| *revision).max().unwrap();
        let done = net.run_until(Duration::from_secs(10), |net| net.in_force(highest));
        prop_assert!(done.is_some(), "{:?}", net.process("north-e0").member.revision());
        prop_assert!(net.process("north-e0").member.view().get(&host("north-e0")).is_some());
    }
}
