use azurestand_types::Moment;

use super::{LARGE_BYTES, change_time, named_since};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn after_a_long_wait_a_change_dates_from_the_response() {
    assert_eq!(
        change_time(Some(at(1_000)), at(1_020), at(4_000), 0),
        Some(at(4_000))
    );
}

#[test]
fn between_two_close_responses_a_change_dates_from_the_earlier_one() {
    assert_eq!(
        change_time(Some(at(1_000)), at(1_020), at(1_030), 0),
        Some(at(1_000))
    );
}

/// Guards against agents that report a version as just named after an outage of the store, so
/// that requests go to an older version beyond its bound.
#[test]
fn after_a_failed_call_the_time_of_changes_is_unknown() {
    assert_eq!(change_time(None, at(9_000), at(9_020), 0), None);
    assert_eq!(change_time(None, at(5_000), at(9_020), 0), None);
}

/// Such a gap comes from a long pause after a change or a stalled process.
#[test]
fn after_a_long_gap_the_time_of_an_immediate_response_s_changes_is_unknown() {
    assert_eq!(change_time(Some(at(1_000)), at(9_000), at(9_020), 0), None);
}

/// The transfer of a configuration of half a megabyte took a second, and a naming of weights
/// followed it; entries must not date the naming from its arrival.
#[test]
fn changes_in_a_large_response_date_from_the_response_before_it() {
    let large = LARGE_BYTES + 1;
    let large_changed_at = change_time(Some(at(1_000)), at(1_020), at(2_400), large);
    assert_eq!(large_changed_at, Some(at(1_000)));
    assert_eq!(
        change_time(Some(at(1_000)), at(1_020), at(9_000), large),
        None
    );
}

#[test]
fn a_naming_of_unknown_time_dates_from_the_last_proof() {
    let now = at(10_000);
    assert_eq!(
        named_since(now, Some(at(9_900)), Some(at(9_000))),
        at(9_900)
    );
    assert_eq!(named_since(now, None, Some(at(9_000))), at(9_000));
}

/// After an outage of eight seconds the store returned a naming of weights. Entries that dated
/// it from before the outage served no requests for two seconds.
#[test]
fn after_an_outage_a_naming_of_unknown_time_dates_from_now() {
    let now = at(10_000);
    assert_eq!(named_since(now, None, Some(at(1_000))), now);
    assert_eq!(named_since(now, None, None), now);
}
