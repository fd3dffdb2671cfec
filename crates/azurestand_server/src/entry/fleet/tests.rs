//! Shorter reports are completed from the last one of their link, or dropped.

use azurestand_wire::TargetLoad;

use super::complete;

fn named(limit: u32) -> TargetLoad {
    TargetLoad {
        target: "engine-1".into(),
        subject: "dispatch".into(),
        engine: true,
        limit,
        ..TargetLoad::default()
    }
}

fn short(limit: u32) -> TargetLoad {
    TargetLoad {
        limit,
        ..TargetLoad::default()
    }
}

#[test]
fn a_short_report_keeps_names_and_takes_the_new_work() {
    assert_eq!(complete(&[named(2)], vec![short(5)]), Some(vec![named(5)]));
}

#[test]
fn a_short_report_on_a_fresh_link_is_dropped() {
    assert_eq!(complete(&[], vec![short(5)]), None);
    assert_eq!(complete(&[named(2)], vec![short(1), short(1)]), None);
}

#[test]
fn a_whole_report_needs_nothing() {
    assert_eq!(complete(&[], vec![named(3)]), Some(vec![named(3)]));
}
