//! Targets that disappear from the list, in normal operation and after an outage of the list.

use crate::common::target;
use azurestand_direct::Directory;
use azurestand_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn names(directory: &Directory) -> Vec<String> {
    let targets = directory.targets();
    targets.map(|target| target.id.to_string()).collect()
}

#[test]
fn a_target_that_disappears_without_an_outage_is_removed_at_once() {
    let mut directory = Directory::default();
    directory.record_read(at(0));
    directory.put(target("a", "llm"));
    directory.remove(at(1_000), "a");
    assert!(names(&directory).is_empty());
}

#[test]
fn a_target_that_lapsed_during_an_outage_has_time_to_reappear() {
    let mut directory = Directory::default();
    directory.put(target("a", "llm"));
    directory.record_read_failure();
    directory.record_read(at(6_000));
    directory.remove(at(6_000), "a");
    assert_eq!(names(&directory), ["a"]);
    assert!(directory.expire(at(7_500)).is_empty());
    assert_eq!(directory.expire(at(8_000)).len(), 1);
    assert!(names(&directory).is_empty());
}

#[test]
fn a_target_that_reappears_in_time_is_kept() {
    let mut directory = Directory::default();
    directory.put(target("a", "llm"));
    directory.record_read_failure();
    directory.record_read(at(6_000));
    directory.remove(at(6_000), "a");
    directory.put(target("a", "llm"));
    assert!(directory.expire(at(9_000)).is_empty());
    assert_eq!(names(&directory), ["a"]);
}

/// After a partial outage, a target that left 3.5 s after the list was back was kept as if
/// its entry had expired, and got a request too late.
#[test]
fn a_target_that_leaves_after_the_grace_period_is_removed_at_once() {
    let mut directory = Directory::default();
    directory.put(target("a", "llm"));
    directory.record_read_failure();
    directory.record_read(at(6_000));
    directory.remove(at(9_500), "a");
    assert!(names(&directory).is_empty());
}

/// The grace period counts from the end of the outage, not from the removal of the entry.
#[test]
fn the_grace_period_counts_from_the_end_of_the_outage() {
    let mut directory = Directory::default();
    directory.put(target("a", "llm"));
    directory.record_read_failure();
    directory.record_read(at(6_000));
    directory.remove(at(7_000), "a");
    assert_eq!(directory.expire(at(7_950)).len(), 1);
}

#[test]
fn a_full_listing_removes_targets_that_it_lacks() {
    let mut directory = Directory::default();
    directory.put(target("a", "llm"));
    directory.put(target("b", "llm"));
    directory.replace(at(100), vec![target("b", "llm")]);
    assert_eq!(names(&directory), ["b"]);
}
