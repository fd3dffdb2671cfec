use super::{Faults, Setup, run};

#[test]
fn ten_hosts_stay_under_the_targets() {
    let outcome = run(&Setup {
        hosts: 10,
        ..Setup::default()
    });
    assert_eq!(outcome.live, 10);
    assert!(
        outcome.ratio() <= 1.25,
        "{:.3} of the bound",
        outcome.ratio()
    );
    assert!(outcome.origin <= 1.5, "{:.2} origin copies", outcome.origin);
}

#[test]
fn ten_hosts_with_all_faults_stay_under_the_target() {
    let faults = Faults {
        corrupt: 0.05,
        dying: 5,
        change: true,
    };
    let outcome = run(&Setup {
        hosts: 10,
        faults,
        ..Setup::default()
    });
    assert_eq!((outcome.live, outcome.alive), (9, 9));
    assert!(
        outcome.ratio() <= 1.6,
        "{:.3} of the bound",
        outcome.ratio()
    );
}
