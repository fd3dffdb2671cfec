//! Versions that are named in quick succession, and the order in which engines load them.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    LoadTurn, NamedVersion, NamedVersions, VERSION_MARGIN, next_version, useful_until,
};
use azurestand_types::Moment;

const BOUND: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn named(version: u64, millis: u64) -> NamedVersion {
    NamedVersion {
        version,
        since: at(millis),
    }
}

#[test]
fn a_single_version_is_next_until_it_is_held() {
    let list = [named(2, 1_000)];
    assert_eq!(next_version(at(1_500), &list, 1, BOUND), Some(2));
    assert_eq!(next_version(at(1_500), &list, 2, BOUND), None);
}

/// Named at nearly the same time: the newest can be loaded everywhere, over three
/// seconds, before the older one is due.
#[test]
fn a_version_that_is_soon_replaced_is_skipped() {
    let list = [named(2, 1_000), named(3, 1_200)];
    assert_eq!(next_version(at(1_300), &list, 1, BOUND), Some(3));
}

/// Two seconds apart: the newest would be there one second before the older one is due, and
/// nearly all engines would load at the same time.
#[test]
fn a_version_whose_successor_leaves_no_time_to_spread_loads_is_loaded_first() {
    let list = [named(2, 1_000), named(3, 3_000)];
    assert_eq!(next_version(at(3_100), &list, 1, BOUND), Some(2));
    assert_eq!(next_version(at(3_100), &list, 2, BOUND), Some(3));
}

/// Four seconds apart: waiting for the newest would leave requests without a target after
/// the older one's bound.
#[test]
fn a_version_that_is_due_before_the_newest_is_loaded_first() {
    let list = [named(2, 1_000), named(3, 5_000)];
    assert_eq!(next_version(at(5_100), &list, 1, BOUND), Some(2));
    assert_eq!(next_version(at(6_000), &list, 2, BOUND), Some(3));
    // Its bound has passed.
    assert_eq!(next_version(at(9_100), &list, 1, BOUND), Some(3));
}

/// Versions 2 and 3 were named 4 s apart and version 3 was loaded by all. Its turns
/// continued until its own bound, 4 s after that of version 2, after which engines with
/// version 1 may not serve requests.
#[test]
fn all_loads_start_before_the_held_version_is_no_longer_useful() {
    let list = [named(2, 20_000), named(3, 24_000)];
    assert_eq!(useful_until(&list, 1, BOUND), Some(at(28_000)));
    assert_eq!(useful_until(&list, 2, BOUND), Some(at(32_000)));
    assert_eq!(useful_until(&list, 3, BOUND), None);
    let hosts: Vec<Arc<str>> = (0..50).map(|n| format!("10.0.0.{n}").into()).collect();
    let until = useful_until(&list, 1, BOUND).unwrap();
    let turns = hosts
        .iter()
        .map(|own| LoadTurn::new(own, b"3", &hosts).start_time(at(26_000), until));
    assert!(turns.max() < Some(until));
}

#[test]
fn loads_are_spread_until_shortly_before_the_bound() {
    let hosts: Vec<Arc<str>> = (0..15)
        .map(|host| format!("10.0.0.{host}").into())
        .collect();
    let mut turns: Vec<_> = hosts
        .iter()
        .map(|own| LoadTurn::new(own, b"3", &hosts).start_time(at(4_000), at(8_000)))
        .collect();
    turns.sort();
    assert_eq!(turns.first(), Some(&at(4_000)));
    assert_eq!(turns.last(), Some(&at(6_600)));
    let gaps = turns.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(
        gaps.into_iter()
            .all(|gap| gap <= Duration::from_millis(230))
    );
}

#[test]
fn loads_after_the_bound_start_at_once() {
    let hosts: Vec<Arc<str>> = (0..3).map(|host| format!("10.0.0.{host}").into()).collect();
    let turn = LoadTurn::new(&hosts[2], b"3", &hosts);
    assert_eq!(turn.start_time(at(9_000), at(8_000)), at(9_000));
}

const LIMIT: Duration = Duration::from_millis(7_200);

/// The last engines with version 1 were busy: a request that was sent 1.2 s before the
/// bound waited there for 1,294 ms and began after it.
#[test]
fn the_last_request_for_an_older_version_begins_within_the_bound() {
    let mut versions = NamedVersions::default();
    assert!(versions.record_observed(1, at(0)) && versions.record_observed(2, at(10_745)));
    let bound = Duration::from_secs(10);
    let waits = Duration::from_millis(1_294);
    let due = at(10_745) + bound;
    let last_send = due - waits;
    assert_eq!(
        versions.oldest(last_send, bound.saturating_sub(VERSION_MARGIN)),
        2
    );
}

/// A fresh entry assumed that a version was named long ago, and refused all
/// requests until the first engines had loaded it.
#[test]
fn a_new_process_takes_the_naming_time_from_other_processes() {
    let mut versions = NamedVersions::default();
    assert!(versions.record_assumed(3, at(5_000)));
    assert_eq!(versions.oldest(at(13_000), LIMIT), 3);
    versions.record_reported(3, Some(at(9_000)), at(0));
    assert_eq!(versions.oldest(at(13_000), LIMIT), 0);
    assert_eq!(versions.oldest(at(16_200), LIMIT), 3);
}

/// The store holds only the newest version. An entry that started after two versions were
/// named 3 s apart sent to the oldest after the bound of the middle one.
#[test]
fn a_new_process_takes_unobserved_versions_from_other_processes() {
    let mut versions = NamedVersions::default();
    versions.record_assumed(3, at(17_600));
    versions.record_reported(3, Some(at(21_000)), at(17_600));
    versions.record_reported(2, Some(at(18_000)), at(17_600));
    versions.record_reported(1, None, at(17_600));
    assert_eq!(versions.oldest(at(25_100), LIMIT), 1);
    assert_eq!(versions.oldest(at(25_200), LIMIT), 2);
    assert_eq!(versions.oldest(at(28_200), LIMIT), 3);
}

/// All agents started between two namings, so none knows the time of the first.
#[test]
fn a_version_with_an_unknown_naming_time_counts_as_old() {
    let mut versions = NamedVersions::default();
    versions.record_assumed(3, at(5_000));
    versions.record_reported(3, Some(at(9_000)), at(5_000));
    versions.record_reported(2, None, at(5_000));
    assert_eq!(versions.oldest(at(12_200), LIMIT), 2);
    // Another agent did observe it, and yet another one did not.
    versions.record_reported(2, Some(at(7_000)), at(5_000));
    versions.record_reported(2, None, at(5_000));
    assert_eq!(versions.oldest(at(12_200), LIMIT), 0);
    assert_eq!(versions.oldest(at(14_200), LIMIT), 2);
}

/// An agent that was disconnected observed the naming late.
#[test]
fn the_earliest_reported_naming_time_counts() {
    for order in [[9_000, 6_000, 8_000], [6_000, 9_000, 8_000]] {
        let mut versions = NamedVersions::default();
        versions.record_assumed(3, at(5_000));
        for since in order {
            versions.record_reported(3, Some(at(since)), at(0));
        }
        assert_eq!(versions.oldest(at(13_100), LIMIT), 0);
        assert_eq!(versions.oldest(at(13_200), LIMIT), 3);
    }
}

#[test]
fn a_later_report_does_not_move_an_observed_naming_time() {
    let mut versions = NamedVersions::default();
    assert!(versions.record_observed(2, at(1_000)));
    assert!(versions.record_observed(3, at(5_000)));
    assert!(!versions.record_observed(2, at(6_000)));
    versions.record_reported(2, Some(at(7_000)), at(0));
    versions.record_reported(9, Some(at(7_000)), at(0));
    assert_eq!(versions.oldest(at(8_199), LIMIT), 0);
    assert_eq!(versions.oldest(at(8_200), LIMIT), 2);
    assert_eq!(versions.oldest(at(12_200), LIMIT), 3);
    assert_eq!(versions.newest(), 3);
    assert!(versions.contains(2) && !versions.contains(9));
}

/// An entry that was disconnected or suspended counted a version from when it learned of
/// it, and sent requests to the older one for seconds beyond its bound.
#[test]
fn an_earlier_observation_corrects_a_naming_time_that_counts_from_too_late() {
    let learned_late = [
        NamedVersions::record_observed,
        NamedVersions::record_recovered,
        NamedVersions::record_assumed,
    ];
    for record in learned_late {
        let mut versions = NamedVersions::default();
        assert!(record(&mut versions, 2, at(17_000)));
        versions.record_reported(2, None, at(0));
        versions.record_reported(2, Some(at(13_100)), at(0));
        versions.record_reported(2, Some(at(14_300)), at(0));
        assert_eq!(versions.oldest(at(13_100) + LIMIT, LIMIT), 2);
    }
}

#[test]
fn a_later_report_does_not_move_the_bound_of_a_recovered_naming() {
    let mut versions = NamedVersions::default();
    assert!(versions.record_recovered(2, at(13_000)));
    versions.record_reported(2, Some(at(14_000)), at(0));
    assert_eq!(versions.oldest(at(13_000) + LIMIT, LIMIT), 2);
}

/// Two versions were named before and during an outage of the store. Entries that learned
/// of the second one after it, and of the first one only through reports, refused engines
/// with the version before both at once.
#[test]
fn a_version_that_an_outage_hid_counts_from_the_recovery() {
    let mut versions = NamedVersions::default();
    let process_start = at(0);
    assert!(versions.record_observed(1, at(1_000)));
    assert!(versions.record_recovered(3, at(26_300)));
    versions.record_reported(2, None, process_start);
    assert_eq!(versions.oldest(at(27_000), LIMIT), 1);
}
