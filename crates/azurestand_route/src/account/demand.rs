//! The demands for accounts' shares that entries exchange.

use azurestand_types::AccountName;

const MAX_LEVEL: u8 = 10;

/// How much an entry needs of one account's allowance, as a power of two.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level(u8);

impl Level {
    /// A received level; more than 10 counts as 10.
    pub fn new(raw: u8) -> Self {
        Self(raw.min(MAX_LEVEL))
    }

    /// The level to send.
    pub fn get(self) -> u8 {
        self.0
    }

    pub(super) fn weight(self) -> f64 {
        f64::from(1_u32 << self.0)
    }

    pub(super) fn raise(self) -> Self {
        Self::new(self.0 + 1)
    }

    pub(super) fn lower(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// One account's level at the sending entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountName,
    /// The level.
    pub level: Level,
}

/// The demand of one entry: at most 16 accounts; an account that isn't listed has level
/// 0.
///
/// Each message holds the complete demand, so the next one makes up for one that was
/// lost.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand(pub Vec<AccountDemand>);

impl Demand {
    /// The level of `account`.
    pub fn level(&self, account: &AccountName) -> Level {
        let named = self.0.iter().find(|demand| demand.account == *account);
        named.map_or(Level::default(), |demand| demand.level)
    }
}
