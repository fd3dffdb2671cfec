//! Corrects predictions of the time to the first byte by the errors of recent ones.
//!
//! A prediction is based on the engine's figures and on reports of some age. It doesn't
//! include the requests that other entries have sent since then, nor how far these
//! differ from the mean request. So the predictions of one service are raised by the
//! running median of their recent errors, which covers an overload to which many
//! entries contribute at once.

use std::time::Duration;

use azurestand_types::Moment;

/// The quantile of the errors that the correction follows: the share of the answers that
/// begin within the corrected prediction. A higher one rejects callers while some engines
/// load, although nearly all answers are on time then.
const ERROR_QUANTILE: f64 = 0.5;
/// The step by which one answer moves the correction, in milliseconds.
const STEP_MS: f64 = 30.0;
/// The maximum correction, in milliseconds.
const MAX_MS: f64 = 220.0;
/// The half-life of the correction while there are no answers, since targets that get no
/// requests become idle.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The correction of the predictions of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Correction {
    value: f64,
    updated: Option<Moment>,
}

impl Correction {
    /// The amount to add to a prediction now, in milliseconds.
    pub fn at(&self, now: Moment) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let half_lives = now.since(updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(half_lives)
    }

    /// Records an answer that began after `took` where `expected` was predicted.
    pub fn observe(&mut self, now: Moment, expected: Duration, took: Duration) {
        let error = (took.as_secs_f64() - expected.as_secs_f64()) * 1_000.0;
        let value = self.at(now);
        let adjusted = if error > value {
            value + STEP_MS * ERROR_QUANTILE
        } else {
            value - STEP_MS * (1.0 - ERROR_QUANTILE)
        };
        self.value = adjusted.clamp(0.0, MAX_MS);
        self.updated = Some(now);
    }
}
