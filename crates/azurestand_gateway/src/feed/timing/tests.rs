use std::time::Duration;

use azurestand_store::{Era, Position, Snapshot, Version};
use azurestand_types::Moment;

use super::{ChangeTime, Exchange, LARGE_BYTES, Progress, WAIT_MARGIN};
use crate::feed::FeedUpdate;

const WAIT: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn exchange(sent: u64, received: u64) -> Exchange {
    Exchange {
        sent: at(sent),
        received: at(received),
        wait: WAIT,
        has_stalled: false,
    }
}

fn progress(proof: u64, store_failed: bool) -> Progress {
    Progress {
        proof: Some(at(proof)),
        failing_since: store_failed.then(|| at(proof)),
        ..Progress::default()
    }
}

#[test]
fn after_a_long_wait_a_change_dates_from_the_response() {
    let call = exchange(1_020, 4_000);
    assert_eq!(call.change_time(Some(at(1_000)), 0), Some(at(4_000)));
}

#[test]
fn between_two_close_responses_a_change_dates_from_the_earlier_one() {
    let call = exchange(1_020, 1_030);
    assert_eq!(call.change_time(Some(at(1_000)), 0), Some(at(1_000)));
}

/// Guards against agents that report a version as just named after an outage of the store, so
/// that requests go to an older version beyond its bound.
#[test]
fn after_a_failed_call_the_time_of_changes_is_unknown() {
    assert_eq!(exchange(9_000, 9_020).change_time(None, 0), None);
    assert_eq!(exchange(5_000, 9_020).change_time(None, 0), None);
}

/// Such a gap comes from a long pause after a change or a stalled process.
#[test]
fn after_a_long_gap_the_time_of_an_immediate_response_s_changes_is_unknown() {
    let call = exchange(9_000, 9_020);
    assert_eq!(call.change_time(Some(at(1_000)), 0), None);
}

/// Entries that were suspended while they waited for changes counted a version as named
/// when they ran again, 4 s late, and sent requests to the older one beyond its bound.
#[test]
fn a_response_that_outlasts_the_wait_does_not_date_its_changes() {
    let suspended = exchange(1_020, 6_400);
    assert_eq!(suspended.change_time(Some(at(1_000)), 0), None);
}

/// An entry that ran again read a response without changes that had arrived while it was
/// suspended, and took the changes in the next one for new.
#[test]
fn after_a_response_that_outlasts_the_wait_nothing_is_missing_up_to_its_call() {
    assert_eq!(exchange(1_020, 6_400).complete_at(), at(1_020));
    assert_eq!(exchange(1_020, 6_200).complete_at(), at(6_200));
}

/// The transfer of a configuration of half a megabyte took a second, and a naming of weights
/// followed it; entries must not date the naming from its arrival.
#[test]
fn changes_in_a_large_response_date_from_the_response_before_it() {
    let large = LARGE_BYTES + 1;
    let soon = exchange(1_020, 2_400);
    assert_eq!(soon.change_time(Some(at(1_000)), large), Some(at(1_000)));
    let late = exchange(1_020, 9_000);
    assert_eq!(late.change_time(Some(at(1_000)), large), None);
}

/// An entry through which others follow the store stalled. Those learned of a version
/// 1.3 s late, counted it from then, and sent requests to the older one beyond its bound.
#[test]
fn after_a_gap_in_which_the_store_did_not_fail_changes_count_from_the_last_proof() {
    let gap = progress(1_000, false);
    assert_eq!(gap.change_time(at(4_300)), ChangeTime::NotBefore(at(1_000)));
    assert_eq!(gap.change_time(at(7_900)), ChangeTime::NotBefore(at(1_000)));
}

#[test]
fn after_a_short_failure_of_the_store_changes_count_from_the_last_proof() {
    let failure = progress(9_000, true);
    assert_eq!(
        failure.change_time(at(10_000)),
        ChangeTime::NotBefore(at(9_000))
    );
}

/// After an outage of eight seconds the store returned a naming of weights. Entries that dated
/// it from before the outage served no requests for two seconds.
#[test]
fn after_an_outage_of_the_store_the_time_of_changes_is_unknown() {
    let outage = progress(1_000, true);
    assert_eq!(outage.change_time(at(10_000)), ChangeTime::AfterOutage);
    assert_eq!(
        Progress::default().change_time(at(10_000)),
        ChangeTime::AtStart
    );
}

/// All processes restarted just after a naming. Those whose first call failed counted it
/// from then, and sent to the older version beyond its bound.
#[test]
fn a_failed_call_at_the_start_is_no_outage_of_the_store() {
    let mut progress = Progress::default();
    progress.record_store_failure(at(1_000));
    progress.record_store_failure(at(1_900));
    assert_eq!(progress.change_time(at(2_000)), ChangeTime::AtStart);
    progress.record_store_failure(at(3_400));
    assert_eq!(progress.change_time(at(3_600)), ChangeTime::AfterOutage);
}

/// An entry that stalled for less than the wait read a response that had arrived before a
/// naming of weights, and took itself for up to date.
#[test]
fn a_response_that_is_read_after_a_stall_dates_nothing() {
    let call = Exchange {
        has_stalled: true,
        ..exchange(1_020, 2_200)
    };
    assert_eq!(call.change_time(Some(at(1_000)), 0), None);
    assert_eq!(call.complete_at(), at(1_020));
}

/// Nothing changed while the call waited, so keys were current until the wait ended.
#[test]
fn an_empty_response_after_the_whole_wait_proves_that_nothing_changed_during_it() {
    let waited = exchange(1_000, 6_000);
    assert_eq!(waited.proved_at(true), at(6_000) - WAIT_MARGIN);
    assert_eq!(waited.proved_at(false), at(1_000));
    let early = exchange(1_000, 5_999);
    assert_eq!(early.proved_at(true), at(1_000));
    // It is unknown when the store sent a response that was read late.
    let late = exchange(1_000, 8_000);
    assert_eq!(late.proved_at(true), at(1_000));
}

#[test]
fn calls_are_short_while_writers_of_a_restored_store_may_write_again() {
    let mut progress = progress(0, false);
    let listing = |version, called_at| FeedUpdate::Snapshot {
        snapshot: Snapshot {
            entries: Vec::new(),
            position: Position::new(Era(0), Version(version)),
        },
        called_at: at(called_at),
        changed: ChangeTime::AtStart,
        from_store: true,
        restarted: false,
    };
    progress.record(&listing(9, 1_000), at(1_000));
    assert!(!progress.is_in_doubt(at(1_500)));
    progress.record(&listing(7, 2_000), at(2_000));
    progress.record(&listing(8, 2_500), at(2_500));
    assert!(progress.is_in_doubt(at(4_900)));
    assert!(!progress.is_in_doubt(at(5_000)));
}
