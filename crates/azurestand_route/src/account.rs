//! Enforces each account's rate and concurrency over all entries, without a shared
//! counter.
//!
//! Every entry has a level for each account, from 0 to 10, and a weight of two to the
//! power of the level. Its share is its weight divided by the weights of all live
//! entries, so shares follow demand: an entry that uses up its share raises its level,
//! one that doesn't lowers it. Entries send each other their levels in a [`Demand`].
//!
//! The shares add up to at most 1 because a raised level is announced first and takes
//! effect only [`RAISE_DELAY`] later, while a lowered one takes effect at once. As long as
//! messages take no longer than that, every entry counts each other entry with at least
//! the level that is in effect there. While demands aren't exchanged, all levels stay 0
//! and the split is equal. [docs/ROUTING.md](../../../docs/ROUTING.md) derives the
//! bound, and what delays, joins and partitions add to it.

mod demand;
mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{AccountName, HostName, Moment, Refusal};

pub use demand::{AccountDemand, Demand, Level};
use usage::Usage;

/// How long a raised level is announced before it takes effect, and so the longest
/// delay a demand may have.
pub const RAISE_DELAY: Duration = Duration::from_secs(3);
/// How often an entry should send its demand.
pub const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// The most accounts for which one entry keeps a raised level.
pub const MAX_DEMANDS: usize = 16;

/// The limits of one account over the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub rate: f64,
    /// Requests admitted at once after an idle time.
    pub burst: f64,
    /// Requests in flight at once.
    pub concurrency: u32,
}

/// How much of the targets' queues an account may fill.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueAccess {
    /// The account has at most its fair share of the requests in flight and may fill
    /// whole queues.
    #[default]
    Full,
    /// The account has more than that and may fill half of each queue.
    Half,
}

/// The current usage of all accounts at one entry.
#[derive(Debug, Clone, Default)]
pub struct AccountLimits {
    usage: BTreeMap<AccountName, Usage>,
    peers: BTreeMap<HostName, Demand>,
}

impl AccountLimits {
    /// Admits one request of `account`, where this entry is one of `entries` live ones.
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
        let other_weight = other_weight(&self.peers, account, entries);
        let usage = self
            .usage
            .entry(account.clone())
            .or_insert_with(|| Usage::new(now, allowance, other_weight));
        usage.set_share(now, allowance, other_weight);
        if usage.try_admit() {
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

    /// How much of the targets' queues requests of `account` from this entry may fill.
    ///
    /// An account with more than its fair share of this entry's requests in flight may
    /// fill only half of each queue, so that the others always find room. The fair
    /// share counts one account more than are active, for one that sends its first
    /// request.
    pub fn queue_access(&self, account: &AccountName) -> QueueAccess {
        let requests = |usage: &Usage| u64::from(usage.in_flight());
        let active = self.usage.values().map(requests).filter(|n| *n > 0);
        let (count, total) = active.fold((0, 0), |(count, total), n| (count + 1, total + n));
        let own = self.usage.get(account).map_or(0, requests);
        if own * (count + 1) > total {
            QueueAccess::Half
        } else {
            QueueAccess::Full
        }
    }

    /// Adapts the levels to the usage and returns the demand to send to all other
    /// entries.
    ///
    /// Call it every [`DEMAND_INTERVAL`], and only where the result is sent to the
    /// other entries: a raised level that the others don't know of makes the shares add
    /// up to more than 1.
    pub fn update_demand(&mut self, now: Moment) -> Demand {
        let mut raised = self
            .usage
            .values()
            .filter(|usage| usage.is_raised())
            .count();
        for usage in self.usage.values_mut() {
            let may_raise = usage.is_raised() || raised < MAX_DEMANDS;
            let was_raised = usage.is_raised();
            usage.adapt(now, may_raise);
            raised += usize::from(usage.is_raised());
            raised -= usize::from(was_raised);
        }
        // A full bucket with nothing in flight is the same as a new one.
        self.usage.retain(|_, usage| !usage.is_idle());
        let raised = self.usage.iter().filter(|(_, usage)| usage.is_raised());
        Demand(
            raised
                .map(|(account, usage)| AccountDemand {
                    account: account.clone(),
                    level: usage.announced(),
                })
                .collect(),
        )
    }

    /// Applies the newest demand of another entry; the demands of one entry must arrive
    /// in order.
    ///
    /// `entries` counts the live entries, this one included.
    pub fn apply_demand(
        &mut self,
        now: Moment,
        from: &HostName,
        mut demand: Demand,
        entries: usize,
    ) {
        demand.0.truncate(MAX_DEMANDS);
        let before = self.peers.insert(from.clone(), demand.clone());
        let named = before.unwrap_or_default().0.into_iter().chain(demand.0);
        // Tokens earned until now are counted at the old shares.
        for AccountDemand { account, .. } in named {
            let other_weight = other_weight(&self.peers, &account, entries);
            if let Some(usage) = self.usage.get_mut(&account) {
                usage.set_share(now, usage.allowance(), other_weight);
            }
        }
    }

    /// Removes the demands of entries that are no longer live.
    pub fn retain_peers<F>(&mut self, is_live: F)
    where
        F: Fn(&HostName) -> bool,
    {
        self.peers.retain(|host, _| is_live(host));
    }

    /// The share of `account`'s allowance that this entry has now, from 0 to 1.
    pub fn share(&self, account: &AccountName, entries: usize) -> f64 {
        let other_weight = other_weight(&self.peers, account, entries);
        let effective = self
            .usage
            .get(account)
            .map_or(Level::default(), Usage::effective);
        effective.weight() / (effective.weight() + other_weight)
    }
}

/// The sum of the weights of all other entries; one without a known demand counts as
/// level 0.
fn other_weight(peers: &BTreeMap<HostName, Demand>, account: &AccountName, entries: usize) -> f64 {
    let levels = peers.values().map(|demand| demand.level(account));
    let known: f64 = levels.map(Level::weight).sum();
    let unknown = entries.saturating_sub(1).saturating_sub(peers.len());
    known + f64::from(u32::try_from(unknown).unwrap_or(u32::MAX))
}
