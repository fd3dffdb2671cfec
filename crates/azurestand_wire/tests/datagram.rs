//! Forged and replayed datagrams are rejected; reordered ones are accepted.

use azurestand_types::{HostName, Incarnation};
use azurestand_wire::{DatagramError, FleetKey, Opener, Sealer};
use bytes::Bytes;
use proptest::prelude::*;

fn key(digit: &str) -> FleetKey {
    FleetKey::try_from(digit.repeat(64).as_str()).unwrap()
}

fn sealer(incarnation: u64) -> Sealer {
    let host = HostName::try_from("a").unwrap();
    Sealer::new(&key("a"), host, Incarnation(incarnation))
}

#[test]
fn an_earlier_incarnation_is_refused() {
    let (old, new) = (sealer(1), sealer(2));
    let mut opener = Opener::new(&key("a"));
    let late = old.seal(Bytes::from_static(b"late"));
    assert!(opener.open(&new.seal(Bytes::new())).is_ok());
    assert_eq!(opener.open(&late), Err(DatagramError::Replayed));
}

#[test]
fn another_fleets_datagram_is_refused() {
    let mut opener = Opener::new(&key("b"));
    let sealed = sealer(1).seal(Bytes::from_static(b"x"));
    assert_eq!(opener.open(&sealed), Err(DatagramError::Code));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order and with any duplicates, each datagram within the window opens exactly once.
    #[test]
    fn each_datagram_opens_once(order in proptest::collection::vec(0_usize..60, 1..200)) {
        let sealer = sealer(1);
        let sealed: Vec<_> = (0..60_u8).map(|n| sealer.seal(vec![n].into())).collect();
        let mut opener = Opener::new(&key("a"));
        let mut seen = std::collections::BTreeSet::new();
        for n in order {
            prop_assert_eq!(opener.open(&sealed[n]).is_ok(), seen.insert(n));
        }
    }

    #[test]
    fn arbitrary_bytes_never_open(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(Opener::new(&key("a")).open(&bytes).is_err());
    }
}
