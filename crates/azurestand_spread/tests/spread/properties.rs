//! Properties that hold for any order of messages, losses, duplicates, restarts and
//! changes.

use std::collections::BTreeSet;
use std::sync::Arc;

use azurestand_spread::{
    Action, Envelope, Event, Failure, Message, Peer, Site, Source, Transfer, Verified,
};
use azurestand_types::{DataCentre, Digest, Incarnation, ModelName, Moment, Region};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::net::{Faults, Net, Version, host, limits, version};

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A change to the network or its hosts.
#[derive(Debug, Clone)]
enum Step {
    Run(u64),
    Restart(usize),
    Want(usize),
    WantAt(usize, usize),
    Isolate(usize),
    Heal,
    Stall(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (50_u64..3_000).prop_map(Step::Run),
        2 => (0_usize..9).prop_map(Step::Restart),
        1 => (0_usize..3).prop_map(Step::Want),
        1 => (0_usize..9, 0_usize..3).prop_map(|(host, version)| Step::WantAt(host, version)),
        1 => (0_usize..3).prop_map(Step::Isolate),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::Stall),
    ]
}

fn apply(net: &mut Net, step: &Step, versions: &[Version; 3], incarnations: &mut [u64; 9]) {
    match step {
        Step::Run(millis) => net.run(*millis),
        Step::Restart(index) => {
            incarnations[*index] += 1;
            let name = net.join(*index, incarnations[*index]);
            net.refresh();
            net.want_at(&name, &[&versions[0]]);
        }
        Step::Want(version) => net.want(&[&versions[*version]]),
        Step::WantAt(index, version) => {
            net.want_at(&host(&format!("host-{index}")), &[&versions[*version]]);
        }
        Step::Isolate(region) => {
            let region = Region::try_from(format!("region-{region}")).unwrap();
            net.isolated.insert(region);
        }
        Step::Heal => net.isolated.clear(),
        Step::Stall(stalled) => net.stalled = *stalled,
    }
}

proptest! {
    #![proptest_config(config(51, 96))]

    /// The net checks each reported version byte for byte.
    #[test]
    fn every_live_host_completes_the_newest_version(
        seed in any::<u64>(),
        loss in 0.0..0.3_f64,
        duplication in 0.0..0.3_f64,
        corrupt in 0.0..0.1_f64,
        steps in proptest::collection::vec(step(), 1..14),
    ) {
        let names = ["v1", "v2", "v3"];
        let versions = names.map(|name| version("draft", name, 24, 12));
        let mut net = Net::new(9, seed);
        net.faults = Faults { loss, duplication, corrupt };
        let mut incarnations = [1; 9];
        net.want(&[&versions[0]]);
        for step in &steps {
            apply(&mut net, step, &versions, &mut incarnations);
        }
        net.isolated.clear();
        net.stalled = false;
        for node in net.nodes.values_mut() {
            node.completed.clear();
        }
        let newest = version("draft", "v4", 24, 12);
        net.want(&[&newest]);
        net.run_until_live(&newest);
    }
}

/// An input to one host, true or false.
#[derive(Debug, Clone)]
enum Input {
    Tick(u64),
    Want(BTreeSet<usize>),
    Fetched(usize, usize, u8),
    Announce(usize, usize, u64, Vec<u8>),
    Request(usize, usize),
    Peers(BTreeSet<usize>, u64),
}

fn input() -> impl Strategy<Value = Input> {
    let chunk = 0_usize..16;
    prop_oneof![
        2 => (1_u64..5_000).prop_map(Input::Tick),
        1 => proptest::collection::btree_set(0_usize..2, 0..3).prop_map(Input::Want),
        12 => (chunk.clone(), 0_usize..5, 0_u8..6).prop_map(|(c, s, o)| Input::Fetched(c, s, o)),
        2 => (0_usize..2, 0_usize..4, 0_u64..9, proptest::collection::vec(any::<u8>(), 0..4))
            .prop_map(|(v, p, s, bits)| Input::Announce(v, p, s, bits)),
        1 => (chunk, 0_usize..4).prop_map(|(c, p)| Input::Request(c, p)),
        1 => (proptest::collection::btree_set(0_usize..4, 0..4), 1_u64..3)
            .prop_map(|(peers, incarnation)| Input::Peers(peers, incarnation)),
    ]
}

fn peer(index: usize, incarnation: u64) -> Peer {
    Peer {
        host: host(&format!("peer-{index}")),
        incarnation: Incarnation(incarnation),
        centre: DataCentre::try_from(format!("centre-{}", index % 3)).unwrap(),
        region: Region::try_from(format!("region-{}", index % 2)).unwrap(),
        models: vec![ModelName::try_from("draft").unwrap()],
    }
}

fn envelope(from: usize, message: Message) -> Event {
    Event::Received(Envelope {
        from: host(&format!("peer-{from}")),
        sender: Incarnation(1),
        receiver: Incarnation(1),
        message,
    })
}

fn event(input: &Input, versions: &[Version], now: &mut Moment) -> Event {
    let chunk_content = |index: &usize| &versions[index / 8].chunks[index % 8];
    match input {
        Input::Tick(millis) => {
            *now = *now + std::time::Duration::from_millis(*millis);
            Event::Tick
        }
        Input::Want(wanted) => {
            let wanted = wanted.iter().map(|index| versions[*index].manifest.clone());
            Event::Wanted(wanted.collect())
        }
        Input::Fetched(chunk, source, outcome) => {
            let content = chunk_content(chunk);
            let source = match source {
                4 => Source::Origin,
                index => Source::Peer(host(&format!("peer-{index}"))),
            };
            let outcome = match outcome {
                0 => Verified::check(content.digest, b"corrupted"),
                1 => Err(Failure::Unreachable),
                _ => Verified::check(content.digest, &content.content),
            };
            let digest = content.digest;
            Event::Fetched {
                digest,
                source,
                outcome,
            }
        }
        Input::Announce(version, from, sequence, bits) => {
            let message = Message::Announce {
                manifest: versions[*version].manifest.digest(),
                sequence: *sequence,
                bits: bits.clone().into(),
            };
            envelope(*from, message)
        }
        Input::Request(chunk, from) => {
            let digest = chunk_content(chunk).digest;
            envelope(*from, Message::Request { digest })
        }
        Input::Peers(peers, incarnation) => Event::Peers(
            peers
                .iter()
                .map(|index| peer(*index, *incarnation))
                .collect(),
        ),
    }
}

/// Tracks the chunks that the daemon holds, from proofs and drops alone.
fn track(held: &mut BTreeSet<Digest>, actions: &[Action]) -> Result<(), TestCaseError> {
    for action in actions {
        match action {
            Action::Drop { digest } => {
                held.remove(digest);
            }
            Action::Complete { manifest } => {
                let mut chunks = manifest.chunks().iter();
                prop_assert!(chunks.all(|chunk| held.contains(&chunk.digest)));
            }
            Action::Upload { digest, .. } => prop_assert!(held.contains(digest)),
            _ => {}
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(52, 1_024))]

    #[test]
    fn no_order_of_events_completes_an_unverified_or_mixed_version(
        seed in any::<u64>(),
        inputs in proptest::collection::vec(input(), 1..120),
    ) {
        let versions = ["v1", "v2"].map(|name| version("draft", name, 8, 4));
        let site = Site {
            host: host("self"),
            incarnation: Incarnation(1),
            centre: DataCentre::try_from("centre-0").unwrap(),
            region: Region::try_from("region-0").unwrap(),
        };
        let mut transfer = Transfer::new(site, limits(), fastrand::Rng::with_seed(seed));
        let (mut now, mut held) = (Moment::START, BTreeSet::new());
        let wanted: Vec<Arc<_>> = versions.iter().map(|v| v.manifest.clone()).collect();
        let actions = transfer.handle(now, Event::Wanted(wanted));
        track(&mut held, &actions)?;
        for input in &inputs {
            let event = event(input, &versions, &mut now);
            if let Event::Fetched { digest, outcome: Ok(_), .. } = &event {
                held.insert(*digest);
            }
            let actions = transfer.handle(now, event);
            track(&mut held, &actions)?;
        }
    }
}
