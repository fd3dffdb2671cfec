//! Data centres that are out of service, and stores that come back from an older copy.

use std::collections::BTreeSet;

use azurestand_direct::Exclusions;
use azurestand_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn names(exclusions: &Exclusions) -> Vec<String> {
    let centres = exclusions.centres();
    centres.iter().map(ToString::to_string).collect()
}

#[test]
fn a_full_listing_takes_back_what_it_lacks() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("north".into());
    exclusions.exclude("south".into());
    exclusions.replace(BTreeSet::from(["south".into()]));
    assert_eq!(names(&exclusions), ["south"]);
}

#[test]
fn an_older_copy_takes_nothing_back_until_its_writers_had_time() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("north".into());
    exclusions.exclude("south".into());
    exclusions.replace_restarted(at(1_000), BTreeSet::from(["west".into()]));
    exclusions.replace(BTreeSet::from(["west".into()]));
    assert_eq!(names(&exclusions), ["north", "south", "west"]);
    exclusions.exclude("south".into());
    assert!(exclusions.expire(at(5_900)).is_empty());
    let expired = exclusions.expire(at(6_000));
    assert_eq!(expired, BTreeSet::from(["north".into()]));
    assert_eq!(names(&exclusions), ["south", "west"]);
}

#[test]
fn two_returns_from_a_copy_forget_nothing() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("north".into());
    exclusions.replace_restarted(at(1_000), BTreeSet::new());
    exclusions.replace_restarted(at(4_000), BTreeSet::new());
    assert!(exclusions.expire(at(8_000)).is_empty());
    assert_eq!(names(&exclusions), ["north"]);
}

#[test]
fn operators_take_back_a_data_centre_whose_mark_a_copy_lacked() {
    let mut exclusions = Exclusions::default();
    exclusions.exclude("north".into());
    exclusions.replace_restarted(at(1_000), BTreeSet::new());
    exclusions.exclude("north".into());
    exclusions.include("north");
    assert!(names(&exclusions).is_empty());
}
