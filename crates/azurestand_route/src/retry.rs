//! Bounds the extra load that retries add, so that a fault never feeds itself.
//!
//! The bound needs no clock: over any stretch of time, long or short, an entry
//! sends at most `share × first sends + 3` retries. A calm hour can't be saved
//! up for a burst, since at most three retries are ever kept.
//! [docs/ROUTING.md](../../../docs/ROUTING.md) weighs other ways.

/// Retries that an entry may keep; so many entries together can't make a storm.
const MAX_SAVED: f64 = 3.0;
/// What an entry starts with, so that its first request isn't without a second try.
const FIRST_SAVED: f64 = 1.0;
/// The largest share that any setting may allow.
const MAX_SHARE: f64 = 0.1;

/// Earns a fraction of a retry with each first send.
///
/// A request that another entry passed on must not earn here: it earned where
/// its caller sent it, and shares of shares would add up over the hops.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first send, at most 0.1.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, MAX_SHARE),
            balance: if share > 0.0 { FIRST_SAVED } else { 0.0 },
        }
    }

    /// Changes the share; what is saved stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, MAX_SHARE);
    }

    /// Counts a first send.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
