//! Start-time fair queueing between accounts, charged by running time.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::AccountName;

/// The charge for a request before any has ended, in microseconds.
const FIRST_CHARGE_MICROS: u64 = 1_000_000;
/// The weight of a new sample in the running mean is one divided by this.
const MEAN_WEIGHT: u64 = 8;

/// Each account's virtual time: the running time of its requests, divided by
/// its weight.
///
/// The account with the least virtual time goes next. An account that had no
/// requests starts at the least virtual time of the accounts present, so that
/// an idle period gives it neither an advantage nor a disadvantage.
#[derive(Debug)]
pub(crate) struct Shares {
    used: BTreeMap<AccountName, u64>,
    floor: u64,
    mean: u64,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            used: BTreeMap::new(),
            floor: 0,
            mean: FIRST_CHARGE_MICROS,
        }
    }
}

impl Shares {
    /// Adds an account that has requests.
    pub(crate) fn join(&mut self, account: &AccountName) {
        if !self.used.contains_key(account) {
            let floor = self.used.values().min().copied().unwrap_or(0);
            self.floor = self.floor.max(floor);
            self.used.insert(account.clone(), self.floor);
        }
    }

    /// Removes an account without requests.
    ///
    /// Its virtual time isn't kept: when the account returns, it starts at the
    /// least virtual time of the others, so that it gains nothing by leaving.
    /// Only when it is the last account does its virtual time become the floor.
    pub(crate) fn leave(&mut self, account: &AccountName) {
        if let Some(used) = self.used.remove(account)
            && self.used.is_empty()
        {
            self.floor = used;
        }
    }

    pub(crate) fn used(&self, account: &AccountName) -> u64 {
        self.used.get(account).copied().unwrap_or(self.floor)
    }

    /// Charges the start of a request with the mean running time, and returns
    /// the charge.
    pub(crate) fn charge(&mut self, account: &AccountName, weight: u32) -> u64 {
        let charge = (self.mean / u64::from(weight.max(1))).max(1);
        if let Some(used) = self.used.get_mut(account) {
            *used = used.saturating_add(charge);
        }
        charge
    }

    /// Replaces the charge with the actual running time.
    pub(crate) fn settle(
        &mut self,
        account: &AccountName,
        weight: u32,
        charge: u64,
        elapsed: Duration,
    ) {
        let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        if let Some(used) = self.used.get_mut(account) {
            let cost = elapsed / u64::from(weight.max(1));
            *used = used.saturating_sub(charge).saturating_add(cost);
        }
        self.mean = (self.mean - self.mean / MEAN_WEIGHT)
            .saturating_add(elapsed / MEAN_WEIGHT)
            .max(1);
    }
}
