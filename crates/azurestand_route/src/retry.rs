//! Bounds the extra load that retries add, so that a fault never feeds itself.

const BURST_RETRIES: f64 = 10.0;

/// Earns a fraction of a retry with each first send.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first send, such as 0.1.
    pub fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            balance: BURST_RETRIES,
        }
    }

    /// Changes the share; what is saved stays.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts a first send.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(BURST_RETRIES);
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
