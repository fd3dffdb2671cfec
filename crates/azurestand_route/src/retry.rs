//! Limits the load that retries add, so that a fault can't amplify itself.
//!
//! The bound needs no clock: over any period, short or long, an entry sends at most
//! `share × first sends + 3` retries. A long time without faults can't be saved up for
//! a burst, since the balance never exceeds three retries.
//! [docs/ROUTING.md](../../../docs/ROUTING.md) compares the alternatives.

/// The most retries that an entry may save up; small enough that many entries together
/// cause no retry storm.
const MAX_BALANCE: f64 = 3.0;
/// The initial balance, so that an entry's first request may be retried.
const INITIAL_BALANCE: f64 = 1.0;
/// The largest share that a setting may allow.
const MAX_SHARE: f64 = 0.1;

/// A retry budget that each first send credits with a fraction of a retry.
///
/// A request that another entry passed on must not be credited here: it was credited at
/// that entry, and the shares would add up over the hops.
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
            balance: if share > 0.0 { INITIAL_BALANCE } else { 0.0 },
        }
    }

    /// Changes the share; the balance stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, MAX_SHARE);
    }

    /// Credits a first send.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Whether there is a retry in the budget.
    pub fn has_one(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if !self.has_one() {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
