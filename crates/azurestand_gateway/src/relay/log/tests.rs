use azurestand_store::{Change, Entry, Era, Key, Position, Scope, Snapshot, Version};
use bytes::Bytes;

use super::{ChangeLog, MAX_CHANGES};
use crate::relay::message::LARGE_BYTES;

fn key(name: &str) -> Key {
    Key::try_from(name).unwrap()
}

fn entry(name: &str, version: u64, bytes: usize) -> Entry {
    Entry {
        key: key(name),
        value: Bytes::from(vec![b'x'; bytes]),
        version: Version(version),
        lease: None,
    }
}

fn at(version: u64) -> Position {
    Position::new(Era(1), Version(version))
}

fn put(name: &str, version: u64, bytes: usize) -> Change {
    Change::Put(entry(name, version, bytes))
}

fn log() -> ChangeLog {
    let mut log = ChangeLog::default();
    log.replace(&Snapshot {
        entries: vec![entry("a/one", 3, 1), entry("b/one", 5, 1)],
        position: at(10),
    });
    log
}

fn versions(log: &ChangeLog, after: u64) -> Option<Vec<u64>> {
    let changes = log.since(&Scope::All, at(after))?;
    Some(changes.iter().map(|entry| entry.change.version).collect())
}

#[test]
fn changes_after_the_caller_s_version_are_returned() {
    let mut log = log();
    log.extend(&[put("a/one", 11, 1), put("b/two", 12, 1)], at(14), None);
    assert_eq!(versions(&log, 10), Some(vec![11, 12]));
    assert_eq!(versions(&log, 11), Some(vec![12]));
    assert_eq!(versions(&log, 14), Some(vec![]));
    assert_eq!(log.position(), at(14));
    let below = Scope::Below(key("b"));
    assert_eq!(log.since(&below, at(10)).unwrap().len(), 1);
    assert_eq!(log.all(&below).len(), 2);
}

#[test]
fn a_caller_with_a_version_before_the_listing_gets_all_values() {
    assert_eq!(versions(&log(), 9), None);
    assert_eq!(log().all(&Scope::All).len(), 2);
}

#[test]
fn a_removal_is_a_change_and_leaves_no_value() {
    let mut log = log();
    let removal = Change::Deleted {
        key: key("a/one"),
        version: Version(11),
    };
    log.extend(&[removal], at(11), None);
    assert_eq!(versions(&log, 10), Some(vec![11]));
    assert_eq!(log.all(&Scope::All).len(), 1);
}

/// The configuration changes several times a second; a caller gets only the last version.
#[test]
fn of_a_large_value_only_the_last_change_is_passed_on() {
    let mut log = log();
    for version in 11..20 {
        let changes = [put("a/one", version, LARGE_BYTES + 1)];
        log.extend(&changes, at(version), None);
    }
    assert_eq!(versions(&log, 10), Some(vec![19]));
}

#[test]
fn small_changes_of_one_key_are_all_passed_on() {
    let mut log = log();
    log.extend(&[put("a/one", 11, 9), put("a/one", 12, 9)], at(12), None);
    assert_eq!(versions(&log, 10), Some(vec![11, 12]));
}

#[test]
fn the_oldest_changes_beyond_the_limit_are_dropped() {
    let mut log = log();
    let most = u64::try_from(MAX_CHANGES).unwrap();
    for version in 11..=11 + most {
        log.extend(&[put("a/one", version, 1)], at(version), None);
    }
    assert_eq!(versions(&log, 10), None);
    let retained = versions(&log, 11).unwrap();
    assert_eq!(retained.len(), MAX_CHANGES);
}

#[test]
fn large_values_are_compressed_and_decompressed_without_loss() {
    let entry = entry("a/one", 11, 100 * LARGE_BYTES);
    let mut log = log();
    log.extend(&[Change::Put(entry.clone())], at(11), None);
    let mut changes = log.since(&Scope::All, at(10)).unwrap();
    let sent = changes.remove(0).change;
    assert!(prost::Message::encoded_len(&sent) < 2 * LARGE_BYTES);
    assert_eq!(Change::try_from(sent).unwrap(), Change::Put(entry));
}
