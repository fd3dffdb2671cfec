//! Parsing of the checked types, and the rendezvous order.

use azurestand_types::{Digest, HostName, Moment, RequestId, RequestKey, rendezvous};
use proptest::prelude::*;

#[test]
fn invalid_names_are_rejected() {
    assert!(HostName::try_from("tov-entry.1").is_ok());
    for raw in ["", "Tov", "a b", &"x".repeat(64)] {
        assert!(HostName::try_from(raw).is_err(), "{raw:?}");
    }
}

#[test]
fn digests_round_trip_as_text() {
    let digest = Digest::of(b"weights");
    assert_eq!(Digest::try_from(digest.to_string()), Ok(digest));
    assert!(Digest::try_from(digest.to_string().to_uppercase()).is_err());
    assert!(Digest::try_from(&[0_u8; 31][..]).is_err());
}

#[test]
fn request_ids_round_trip_as_text() {
    let id = RequestId(7);
    assert_eq!(RequestId::try_from(id.to_string().as_str()), Ok(id));
    assert!(RequestId::try_from("+0000000000000000000000000000007").is_err());
    assert!(RequestKey::try_from("line\nbreak").is_err());
}

#[test]
fn time_since_a_later_moment_is_zero() {
    let early = Moment::from_millis(1);
    assert!(Moment::START.since(early).is_zero());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Removing a name leaves the order of the others unchanged.
    #[test]
    fn removing_a_name_keeps_the_order_of_the_rest(count in 2_usize..30, removed in 0_usize..30, key in any::<u64>()) {
        let names: Vec<_> = (0..count).map(|n| HostName::try_from(format!("h{n}")).unwrap()).collect();
        let key = key.to_le_bytes();
        let before: Vec<_> = rendezvous::order(&key, &names).into_iter().cloned().collect();
        let removed = &names[removed % count];
        let rest: Vec<_> = names.iter().filter(|name| *name != removed).cloned().collect();
        let after: Vec<_> = rendezvous::order(&key, &rest).into_iter().cloned().collect();
        let expected: Vec<_> = before.iter().filter(|name| *name != removed).cloned().collect();
        prop_assert_eq!(&after, &expected);
        prop_assert_eq!(rendezvous::first(&key, &names), Some(&before[0]));
    }
}
