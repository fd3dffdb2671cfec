use azurestand_types::{BootId, Moment, TargetName};

use super::{CacheChange, CacheEvent, MAX_CACHED_BLOCKS, Prefix, Prefixes};

fn target(n: usize) -> TargetName {
    TargetName::try_from(format!("engine-{n}")).unwrap()
}

fn prompt(n: u8) -> Prefix {
    Prefix::of(&[n; 1_024])
}

fn event(boot: u64, sequence: u64, change: CacheChange) -> CacheEvent {
    CacheEvent {
        target: target(1),
        boot: BootId(boot),
        sequence,
        change,
    }
}

/// Distinct prompts in any number use bounded memory.
#[test]
fn the_number_of_remembered_blocks_is_bounded() {
    let mut prefixes = Prefixes::default();
    for n in 0..MAX_CACHED_BLOCKS as u64 + 5_000 {
        let prefix = Prefix::from_blocks(vec![n]);
        prefixes.record(Moment::from_micros(n), &target(1), &prefix);
    }
    assert!(prefixes.len() <= MAX_CACHED_BLOCKS);
}

/// The events of the engine's earlier process no longer apply.
#[test]
fn a_restarted_engine_has_an_empty_cache() {
    let mut prefixes = Prefixes::default();
    let stored = CacheChange::Stored(prompt(7));
    prefixes.apply(Moment::from_millis(1), &event(1, 1, stored));
    assert_eq!(
        prefixes.holders(Moment::from_millis(2), &prompt(7)).len(),
        1
    );
    let other = CacheChange::Stored(prompt(8));
    prefixes.apply(Moment::from_millis(3), &event(2, 1, other));
    assert!(
        prefixes
            .holders(Moment::from_millis(4), &prompt(7))
            .is_empty()
    );
    assert_eq!(
        prefixes.holders(Moment::from_millis(4), &prompt(8)).len(),
        1
    );
}

/// One of the lost events may have evicted the prefix.
#[test]
fn a_gap_halves_the_score_of_earlier_entries() {
    let mut prefixes = Prefixes::default();
    prefixes.apply(
        Moment::from_millis(1),
        &event(1, 1, CacheChange::Stored(prompt(7))),
    );
    let before = prefixes.holders(Moment::from_millis(2), &prompt(7))[&target(1)];
    prefixes.apply(
        Moment::from_millis(3),
        &event(1, 9, CacheChange::Stored(prompt(8))),
    );
    let after = prefixes.holders(Moment::from_millis(4), &prompt(7))[&target(1)];
    assert!((after * 2.0 - before).abs() < 1e-9, "{before} {after}");
}

/// A late event must not restore a prefix that a later one evicted.
#[test]
fn an_out_of_order_event_is_dropped() {
    let mut prefixes = Prefixes::default();
    prefixes.apply(
        Moment::from_millis(1),
        &event(1, 2, CacheChange::Dropped(prompt(7))),
    );
    prefixes.apply(
        Moment::from_millis(2),
        &event(1, 1, CacheChange::Stored(prompt(7))),
    );
    assert!(
        prefixes
            .holders(Moment::from_millis(3), &prompt(7))
            .is_empty()
    );
}
