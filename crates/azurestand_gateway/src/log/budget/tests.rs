use azurestand_types::Moment;

use super::{Class, LineBudget};

/// How many lines are written in ten seconds with `per_s` events of this class per second.
fn written(budget: &mut LineBudget, class: Class, per_s: u64) -> u64 {
    let mut written = 0;
    for n in 0..per_s * 10 {
        let now = Moment::from_millis(n * 1_000 / per_s);
        written += u64::from(budget.take(now, class));
    }
    written
}

#[test]
fn doubled_load_adds_at_most_two_percent_of_lines() {
    for class in [Class::Failure, Class::Routine] {
        let once = written(&mut LineBudget::new(), class, 400);
        let twice = written(&mut LineBudget::new(), class, 800);
        assert!(once < 4_000, "{class}: {once}");
        assert!(twice <= once + once / 50, "{class}: {once} {twice}");
    }
}

#[test]
fn all_lines_below_the_rate_limit_are_written() {
    let mut budget = LineBudget::new();
    assert_eq!(written(&mut budget, Class::Routine, 90), 900);
    assert_eq!(written(&mut LineBudget::new(), Class::Failure, 190), 1_900);
}

#[test]
fn each_class_has_its_own_limit_and_state_has_none() {
    let mut budget = LineBudget::new();
    let now = Moment::from_millis(5);
    while budget.take(now, Class::Routine) {}
    assert!(budget.take(now, Class::Failure));
    while budget.take(now, Class::Failure) {}
    assert!(budget.take(now, Class::State));
}
