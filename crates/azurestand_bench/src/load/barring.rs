//! Targets that name a time for which they want nothing, or that leave, and what is sent to
//! them all the same.

use azurestand_direct::RetryAfter;

/// The time that a refusal names, in seconds.
const NAMED_S: f64 = 2.0;
/// How long a target refuses all requests, in milliseconds.
const REFUSING_MS: f64 = 2_000.0;
/// How long after a refusal requests may still be on their way, in milliseconds.
const IN_FLIGHT_MS: f64 = 500.0;
/// How long a target that leaves still takes requests, in milliseconds.
const DRAIN_MS: f64 = 2_000.0;

/// What one target says of itself.
#[derive(Debug, Clone, Default)]
pub(super) struct Barring {
    /// From when it refuses all requests for a time, in milliseconds.
    refuses_at: Option<f64>,
    /// Since when it leaves, in milliseconds.
    leaves_at: Option<f64>,
    /// For each entry and answer, from when to when nothing should arrive.
    barred: Vec<(usize, f64, f64)>,
    /// The requests that arrived then.
    sends: u32,
}

impl Barring {
    pub(super) fn refuse(&mut self, from: f64) {
        self.refuses_at = Some(from);
    }

    pub(super) fn leave(&mut self, now: f64) {
        self.leaves_at = Some(now);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaves_at.is_some()
    }

    /// Whether it has left.
    pub(super) fn has_left(&self, now: f64) -> bool {
        self.leaves_at.is_some_and(|at| now >= at + DRAIN_MS)
    }

    /// The time that a refusal names at this moment; none if it refuses none.
    pub(super) fn pause(&self, now: f64) -> Option<RetryAfter> {
        let from = self.refuses_at?;
        let refuses = (from..from + REFUSING_MS).contains(&now);
        RetryAfter::try_from(NAMED_S).ok().filter(|_| refuses)
    }

    /// Counts a request of an entry if the target wants none of it.
    pub(super) fn record_send(&mut self, now: f64, entry: usize) {
        let mut barred = self.barred.iter();
        let is_barred =
            barred.any(|(told, from, until)| *told == entry && (*from..*until).contains(&now));
        self.sends += u32::from(is_barred);
    }

    /// Records what an answer tells an entry; `named` is the time that it names.
    pub(super) fn record_answer(&mut self, now: f64, entry: usize, named: Option<RetryAfter>) {
        if named.is_some() {
            let until = now + NAMED_S * 1_000.0;
            self.barred.push((entry, now + IN_FLIGHT_MS, until));
        }
        if self.is_leaving() {
            self.barred.push((entry, now + DRAIN_MS, f64::INFINITY));
        }
    }

    /// The requests that arrived although the target wanted none.
    pub(super) fn sends(&self) -> u32 {
        self.sends
    }
}
