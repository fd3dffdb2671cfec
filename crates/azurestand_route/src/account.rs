//! Holds each account's rate and concurrency at one entry.
//!
//! No counter is shared: each entry takes the account's allowance divided by
//! the live entries, so all together never allow more than the account has.

use std::collections::BTreeMap;

use azurestand_types::{AccountName, Moment, Refusal};

/// What one account may do in the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: f64,
    /// Requests in flight at once.
    pub concurrency: u32,
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    tokens: f64,
    filled: Moment,
    flying: u32,
}

/// The present use of all accounts at one entry.
#[derive(Debug, Clone, Default)]
pub struct AccountLimits {
    usage: BTreeMap<AccountName, Usage>,
}

impl AccountLimits {
    /// Takes one request of `account` in, where this entry is one of `entries`.
    ///
    /// # Errors
    ///
    /// [`Refusal::OverLimit`] when the account's share at this entry is used up.
    pub fn admit(
        &mut self,
        now: Moment,
        account: &AccountName,
        allowance: Allowance,
        entries: usize,
    ) -> Result<(), Refusal> {
        let share = share(allowance, entries);
        let usage = self.usage.entry(account.clone()).or_insert(Usage {
            tokens: share.burst,
            filled: now,
            flying: 0,
        });
        let earned = now.since(usage.filled).as_secs_f64() * share.rate;
        usage.tokens = (usage.tokens + earned).min(share.burst);
        usage.filled = now;
        if usage.tokens < 1.0 || usage.flying >= share.concurrency {
            return Err(Refusal::OverLimit);
        }
        usage.tokens -= 1.0;
        usage.flying += 1;
        Ok(())
    }

    /// Counts an admitted request of `account` as ended.
    pub fn release(&mut self, account: &AccountName) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.flying = usage.flying.saturating_sub(1);
        }
    }
}

/// One entry's part. At least one request at a time, since an entry that
/// could never serve an account would look broken to it.
fn share(allowance: Allowance, entries: usize) -> Allowance {
    let count = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    let divisor = f64::from(count);
    Allowance {
        rate: allowance.rate / divisor,
        burst: (allowance.burst / divisor).max(1.0),
        concurrency: (allowance.concurrency / count).max(1),
    }
}
