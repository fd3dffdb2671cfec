//! The correction of predictions by the errors of earlier ones.

use std::time::Duration;

use azurestand_direct::Correction;
use azurestand_types::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Entries kept sending although answers began 200 ms later than predicted.
#[test]
fn late_answers_raise_the_correction_within_two_seconds() {
    let mut correction = Correction::default();
    for n in 0..40 {
        correction.observe(at(n * 50), ms(180), ms(380));
    }
    let value = correction.at(at(2_000));
    assert!((100.0..=220.0).contains(&value), "{value}");
}

/// Errors spread evenly from 0 to 200 ms have their median at 100.
#[test]
fn the_correction_settles_at_the_median_error() {
    let mut correction = Correction::default();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut sum = 0.0;
    for n in 0..400 {
        let late = rng.u64(0..200);
        correction.observe(at(n * 20), ms(100), ms(100 + late));
        if n >= 200 {
            sum += correction.at(at(n * 20));
        }
    }
    let mean = sum / 200.0;
    assert!((70.0..=130.0).contains(&mean), "{mean}");
}

#[test]
fn accurate_predictions_are_not_corrected() {
    let mut correction = Correction::default();
    for n in 0..100 {
        correction.observe(at(n * 20), ms(100), ms(90));
    }
    assert!(correction.at(at(2_000)) < 1.0);
}

/// A service that gets no more requests becomes idle.
#[test]
fn the_correction_decays_without_answers() {
    let mut correction = Correction::default();
    for n in 0..100 {
        correction.observe(at(n * 20), ms(100), ms(900));
    }
    let value = correction.at(at(2_000));
    assert!(correction.at(at(5_000)) < value * 0.6);
    assert!(correction.at(at(40_000)) < 1.0);
}
