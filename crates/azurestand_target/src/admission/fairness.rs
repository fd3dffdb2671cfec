//! Start-time fair queueing between accounts, charged by the time in a place.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::AccountName;

/// What a first request is charged before any has ended, in microseconds.
const FIRST_CHARGE_MICROS: u64 = 1_000_000;
/// A new sample moves the mean by one part in this many.
const MEAN_WEIGHT: u64 = 8;

/// Each account's virtual time: the place time it used, divided by its weight.
///
/// The account with the least goes next. An account that was away starts at
/// the least of those present, so that it can neither save up nor be punished.
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
    /// Begins to count for an account that has work.
    pub(crate) fn join(&mut self, account: &AccountName) {
        if !self.used.contains_key(account) {
            let floor = self.used.values().min().copied().unwrap_or(0);
            self.floor = self.floor.max(floor);
            self.used.insert(account.clone(), self.floor);
        }
    }

    /// Stops counting for an account without work.
    ///
    /// What it used stays as the floor's lower bound only through the others:
    /// forgetting it can't be turned to gain, since it joins at their least.
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

    /// Charges a start with what a request takes on average, and returns the charge.
    pub(crate) fn charge(&mut self, account: &AccountName, weight: u32) -> u64 {
        let charge = (self.mean / u64::from(weight.max(1))).max(1);
        if let Some(used) = self.used.get_mut(account) {
            *used = used.saturating_add(charge);
        }
        charge
    }

    /// Replaces the charge by the time that the request took.
    pub(crate) fn settle(
        &mut self,
        account: &AccountName,
        weight: u32,
        charge: u64,
        took: Duration,
    ) {
        let took = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        if let Some(used) = self.used.get_mut(account) {
            let cost = took / u64::from(weight.max(1));
            *used = used.saturating_sub(charge).saturating_add(cost);
        }
        self.mean = (self.mean - self.mean / MEAN_WEIGHT)
            .saturating_add(took / MEAN_WEIGHT)
            .max(1);
    }
}
