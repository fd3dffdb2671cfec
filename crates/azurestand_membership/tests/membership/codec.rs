//! Encoding, and decoding of arbitrary and damaged bytes.

use std::time::Duration;

use azurestand_membership::{Action, Event, Gossip, GossipError, MAX_GOSSIP_BYTES, StoreOutcome};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::net::{Net, config};

/// Messages as a small fleet sends them.
fn samples() -> Vec<Gossip> {
    let mut net = Net::fleet(51, &["north", "south"], 2, 2);
    net.write(&config(1, "first"));
    net.run(Duration::from_secs(5));
    net.write(&config(2, "second"));
    let mut samples = Vec::new();
    let mut events: Vec<_> = net
        .processes
        .keys()
        .map(|address| (*address, Event::Tick))
        .collect();
    for round in 0..6 {
        let outcome = Event::Store(StoreOutcome::Config(config(3 + round, "next")));
        events.push((*net.processes.keys().next().unwrap(), outcome));
        let now = net.now + Duration::from_secs(2 * round);
        for (address, event) in std::mem::take(&mut events) {
            let Some(process) = net.processes.get_mut(&address) else {
                continue;
            };
            for action in process.member.handle(now, event) {
                if let Action::Send { to, gossip } = action {
                    samples.push((*gossip).clone());
                    events.push((to, Event::Received(gossip)));
                }
            }
        }
        events.extend(net.processes.keys().map(|address| (*address, Event::Tick)));
    }
    samples
}

#[test]
fn messages_round_trip_through_encoding() {
    let samples = samples();
    assert!(samples.len() > 20);
    for gossip in samples {
        let bytes = gossip.encode();
        assert_eq!(bytes.len(), gossip.encoded_len());
        assert_eq!(Gossip::decode(&bytes).unwrap(), gossip);
    }
}

#[test]
fn oversized_messages_are_refused_before_decoding() {
    let bytes = vec![0; MAX_GOSSIP_BYTES + 1];
    let error = Gossip::decode(&bytes).unwrap_err();
    assert!(matches!(error, GossipError::TooLarge(_)));
}

#[test]
fn small_message_with_many_empty_records_is_refused() {
    let bytes = [0x2a, 0x00].repeat(10_000);
    let error = Gossip::decode(&bytes).unwrap_err();
    assert!(matches!(error, GossipError::TooMany("records")), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(52),
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = Gossip::decode(&bytes);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(53),
        cases: 8,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_messages_never_panic(seed in any::<u64>()) {
        let mut random = fastrand::Rng::with_seed(seed);
        for gossip in samples() {
            let mut bytes = gossip.encode().to_vec();
            for _ in 0..4 {
                let position = random.usize(..bytes.len());
                bytes[position] = random.u8(..);
            }
            bytes.truncate(random.usize(bytes.len() / 2..=bytes.len()));
            if let Ok(gossip) = Gossip::decode(&bytes) {
                let _ = gossip.encode();
            }
        }
    }
}
