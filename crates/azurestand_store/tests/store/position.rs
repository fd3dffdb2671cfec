//! Positions in the history of a store that may come back from an older copy.

use azurestand_store::{Era, Position, Version};

fn at(era: u64, version: u64) -> Position {
    Position::new(Era(era), Version(version))
}

#[test]
fn a_later_era_is_later_at_any_version() {
    assert!(at(1, 25) < at(2, 3));
    assert!(at(2, 3) < at(2, 4));
}

#[test]
fn a_position_continues_only_in_its_era_and_from_no_lower_version() {
    assert!(at(1, 25).continues_to(at(1, 25)));
    assert!(at(1, 25).continues_to(at(1, 26)));
    assert!(!at(1, 25).continues_to(at(2, 25)));
    assert!(!at(1, 25).continues_to(at(2, 99)));
    // A store that names no eras.
    assert!(!at(0, 25).continues_to(at(0, 24)));
}

#[test]
fn fencing_numbers_grow_with_positions_and_are_exact_as_floating_point() {
    let positions = [at(0, 7), at(0, 8), at(1, 1), at(1, 9), at(8_191, 1 << 39)];
    let numbers = positions.map(Position::fencing_number);
    assert!(numbers.is_sorted());
    assert_eq!(numbers[0], 7);
    assert!(numbers.iter().all(|number| *number < 1 << 53));
}
