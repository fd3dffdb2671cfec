//! Holds each account's rate and concurrency over all entries, without a shared counter.
//!
//! Every entry has a level for each account, from 0 to 10, and a weight of two
//! to the power of it. Its share is its weight over the weights of all live
//! entries, so shares follow demand: an entry that uses up its share raises
//! its level, one that doesn't lowers it. Entries tell each other their levels
//! in a [`Demand`].
//!
//! What keeps the shares from adding up to more than the whole: a raised level
//! is told first and used only [`HOLD`] later, a lowered one is used at once.
//! So while messages take no longer than that, everyone counts everyone else
//! at least as high as they count themselves. Until demands are carried all
//! levels stay 0 and the split is equal. The bound, and what delay, joins and
//! partitions add to it, stand in [docs/ROUTING.md](../../../docs/ROUTING.md).

mod demand;
mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{AccountName, HostName, Moment, Refusal};

pub use demand::{AccountDemand, Demand, Level};
use usage::Usage;

/// How long a raised level is told before it is used, and so how late a demand may come.
pub const HOLD: Duration = Duration::from_secs(3);
/// How often an entry should tell its demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Accounts that one entry keeps a raised level for.
pub const MAX_DEMANDS: usize = 16;

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

/// How an account stands beside the others of an entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has at most its fair part of the flights, and may fill whole queues.
    #[default]
    Modest,
    /// It has more, and may fill half of each queue.
    Large,
}

/// The present use of all accounts at one entry.
#[derive(Debug, Clone, Default)]
pub struct AccountLimits {
    usage: BTreeMap<AccountName, Usage>,
    peers: BTreeMap<HostName, Demand>,
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
        let others = others(&self.peers, account, entries);
        let usage = self
            .usage
            .entry(account.clone())
            .or_insert_with(|| Usage::new(now, allowance, others));
        usage.share(now, allowance, others);
        if usage.take() {
            Ok(())
        } else {
            Err(Refusal::OverLimit)
        }
    }

    /// Counts an admitted request of `account` as ended.
    pub fn release(&mut self, account: &AccountName) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.release();
        }
    }

    /// How much of the targets' queues `account` may fill from here.
    ///
    /// An account with more than its fair part of this entry's flights stands
    /// in half queues only, so that there is always room for the others. The
    /// fair part leaves one for an account that isn't there yet.
    pub fn standing(&self, account: &AccountName) -> Standing {
        let flights = |usage: &Usage| u64::from(usage.flying());
        let active = self
            .usage
            .values()
            .map(flights)
            .filter(|flying| *flying > 0);
        let (count, total) =
            active.fold((0, 0), |(count, total), flying| (count + 1, total + flying));
        let own = self.usage.get(account).map_or(0, flights);
        if own * (count + 1) > total {
            Standing::Large
        } else {
            Standing::Modest
        }
    }

    /// Adapts the levels to what was used, and says what to tell all other entries.
    ///
    /// Called every [`DEMAND_INTERVAL`], and only where what it returns is
    /// carried to the other entries: a level that nobody hears of is a theft.
    pub fn demand(&mut self, now: Moment) -> Demand {
        let mut raised = self
            .usage
            .values()
            .filter(|usage| usage.is_raised())
            .count();
        for usage in self.usage.values_mut() {
            let may_rise = usage.is_raised() || raised < MAX_DEMANDS;
            let was = usage.is_raised();
            usage.adapt(now, may_rise);
            raised += usize::from(usage.is_raised());
            raised -= usize::from(was);
        }
        // A full bucket without flights says no more than a fresh one.
        self.usage.retain(|_, usage| !usage.is_idle());
        let raised = self.usage.iter().filter(|(_, usage)| usage.is_raised());
        Demand(
            raised
                .map(|(account, usage)| AccountDemand {
                    account: account.clone(),
                    level: usage.told(),
                })
                .collect(),
        )
    }

    /// Takes in what another entry told last; messages of one entry must come in order.
    ///
    /// `entries` counts the live entries, this one included.
    pub fn hear(&mut self, now: Moment, from: &HostName, mut demand: Demand, entries: usize) {
        demand.0.truncate(MAX_DEMANDS);
        let before = self.peers.insert(from.clone(), demand.clone());
        let named = before.unwrap_or_default().0.into_iter().chain(demand.0);
        // What was earned until now was earned at the old shares.
        for AccountDemand { account, .. } in named {
            let others = others(&self.peers, &account, entries);
            if let Some(usage) = self.usage.get_mut(&account) {
                usage.share(now, usage.allowance(), others);
            }
        }
    }

    /// Forgets the demands of entries that are gone.
    pub fn keep<F>(&mut self, is_live: F)
    where
        F: Fn(&HostName) -> bool,
    {
        self.peers.retain(|host, _| is_live(host));
    }

    /// The part of `account`'s allowance that this entry has now, from 0 to 1.
    pub fn part(&self, account: &AccountName, entries: usize) -> f64 {
        let others = others(&self.peers, account, entries);
        let used = self
            .usage
            .get(account)
            .map_or(Level::default(), Usage::used);
        used.weight() / (used.weight() + others)
    }
}

/// The weights of all other entries; one that was never heard of counts as level 0.
fn others(peers: &BTreeMap<HostName, Demand>, account: &AccountName, entries: usize) -> f64 {
    let levels = peers.values().map(|demand| demand.level(account));
    let heard: f64 = levels.map(Level::weight).sum();
    let silent = entries.saturating_sub(1).saturating_sub(peers.len());
    heard + f64::from(u32::try_from(silent).unwrap_or(u32::MAX))
}
