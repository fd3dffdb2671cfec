//! The age of a proof, counted from when the call that returned it was sent.

use std::time::Duration;

use azurestand_direct::Freshness;
use azurestand_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn nothing_is_fresh_before_the_first_proof() {
    let fresh = Freshness::default();
    assert!(!fresh.is_within(at(0), Duration::from_secs(5)));
}

#[test]
fn a_proof_ages_from_when_its_call_was_sent() {
    let mut fresh = Freshness::default();
    fresh.record_proof(at(1_000));
    assert!(fresh.is_within(at(5_400), Duration::from_millis(4_500)));
    assert!(!fresh.is_within(at(5_500), Duration::from_millis(4_500)));
}

/// Answers may arrive out of order; the older call must not replace the newer proof.
#[test]
fn an_older_call_does_not_replace_a_newer_proof() {
    let mut fresh = Freshness::default();
    fresh.record_proof(at(3_000));
    fresh.record_proof(at(1_000));
    assert_eq!(fresh.age(at(4_000)), Some(Duration::from_secs(1)));
}

/// After a suspension the proof is old, since the clock counts the suspended time.
#[test]
fn a_suspension_ages_the_proof() {
    let mut fresh = Freshness::default();
    fresh.record_proof(at(1_000));
    assert!(!fresh.is_within(at(9_000), Duration::from_millis(4_500)));
}

/// A key was taken away right before the store came back from an older copy, which proves
/// nothing about it until the operators have written it again.
#[test]
fn an_older_copy_of_the_store_is_no_proof_until_its_writers_had_time() {
    let mut freshness = Freshness::default();
    let at = Moment::from_millis;
    freshness.record_proof(at(1_000));
    freshness.record_restart(at(4_000));
    for sent in [4_000, 5_000, 5_899] {
        freshness.record_proof(at(sent));
        assert_eq!(freshness.proved_at(), Some(at(1_000)));
        assert!(freshness.is_in_touch(at(sent + 500), Duration::from_secs(1)));
    }
    freshness.record_proof(at(5_900));
    assert_eq!(freshness.proved_at(), Some(at(5_900)));
}
