//! Targets that name a rate limit, and what is sent to them.

use azurestand_direct::RateLimit;

/// The rate that targets name, in requests per second.
const LIMIT: f64 = 4.5;
/// How long after its first naming a limit binds, in milliseconds.
const BINDING_AFTER_MS: f64 = 3_000.0;
/// The window in which sends are counted, in milliseconds.
const WINDOW_MS: f64 = 4_000.0;

/// The limit of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct Limited {
    /// From when to when the target names its limit, in milliseconds.
    named: Option<(f64, f64)>,
    /// When requests were sent to it.
    sends: Vec<f64>,
}

impl Limited {
    pub(super) fn begin(&mut self, now: f64) {
        self.named = Some((now, f64::INFINITY));
    }

    pub(super) fn end(&mut self, now: f64) {
        if let Some((_, until)) = self.named.as_mut() {
            *until = now;
        }
    }

    pub(super) fn record_send(&mut self, now: f64) {
        self.sends.push(now);
    }

    /// What an answer names at this moment.
    pub(super) fn limit(&self, now: f64) -> Option<RateLimit> {
        let (from, until) = self.named?;
        let limit = RateLimit::try_from(LIMIT).ok();
        limit.filter(|_| (from..until).contains(&now))
    }

    /// The sends while the limit binds.
    fn bound_sends(&self) -> impl Iterator<Item = f64> + Clone {
        let (from, until) = self.named.unwrap_or((0.0, 0.0));
        let bound = from + BINDING_AFTER_MS..until;
        let sends = self.sends.iter().copied();
        sends.filter(move |at| bound.contains(at))
    }

    /// The most sends in a window while the limit binds.
    pub(super) fn peak(&self) -> usize {
        let within = |from: f64| {
            let sends = self.bound_sends();
            sends
                .filter(|at| (from..from + WINDOW_MS).contains(at))
                .count()
        };
        self.bound_sends().map(within).max().unwrap_or_default()
    }

    /// The sends while the limit binds, and how many it allows; none without a limit.
    pub(super) fn uses(&self) -> Option<(f64, f64)> {
        let (from, until) = self.named?;
        let sent = u32::try_from(self.bound_sends().count()).unwrap_or(u32::MAX);
        let allowed = LIMIT * (until - from - BINDING_AFTER_MS) / 1_000.0;
        Some((f64::from(sent), allowed))
    }
}
