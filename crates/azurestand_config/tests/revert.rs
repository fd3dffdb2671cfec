//! Reverting a change keeps the changes after it.

use azurestand_config::{Patch, RevertError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn patch(old: &str, new: &str) -> Patch {
    Patch::between(old, new).unwrap()
}

#[test]
fn reverting_an_earlier_change_keeps_later_ones() {
    let one = "a = 1\nb = 1\nc = 1\nd = 1\n";
    let two = "a = 1\nb = 2\nc = 1\nd = 1\n";
    let three = "# new\na = 1\nb = 2\nc = 1\nd = 3\n";
    let back = patch(one, two)
        .revert(three, &[&patch(two, three)])
        .unwrap();
    assert_eq!(back, "# new\na = 1\nb = 1\nc = 1\nd = 3\n");
}

#[test]
fn reverting_a_change_whose_lines_changed_again_is_refused() {
    let one = "a = 1\n";
    let two = "a = 2\n";
    let three = "a = 3\n";
    let refused = patch(one, two).revert(three, &[&patch(two, three)]);
    assert_eq!(refused, Err(RevertError::Overlap(1)));
}

#[test]
fn undo_of_a_text_that_the_change_did_not_produce_is_refused() {
    assert_eq!(
        patch("a\n", "b\n").undo("c\n"),
        Err(RevertError::Overlap(1))
    );
}

#[test]
fn a_change_too_large_to_keep_has_no_patch() {
    let long = "x = 1 # comment\n".repeat(20_000);
    assert_eq!(Patch::between("", &long), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        cases: 256,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn undoing_a_patch_gives_the_old_text(
        old in "([abc]{1,2}(\n|\r\n)){0,12}",
        new in "([abc]{1,2}\n){0,12}",
    ) {
        let patch = patch(&old, &new);
        prop_assert_eq!(patch.undo(&new).unwrap(), old.clone());
        prop_assert_eq!(patch.revert(&new, &[]).unwrap(), old);
    }
}
