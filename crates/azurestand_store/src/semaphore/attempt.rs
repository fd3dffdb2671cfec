//! What one look at a semaphore's keys tells, and the transaction that takes a permit.

use azurestand_types::Fence;

use crate::key::{Key, KeyError, Scope};
use crate::store::{LeaseId, Listing};
use crate::transaction::{Transaction, Version};

#[derive(Debug)]
pub(super) struct Keys {
    root: Key,
    fence: Key,
    holders: Key,
    own: Key,
}

/// What a listing tells a taker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Finding {
    /// The taker's own earlier commit did take effect.
    Own { fence: Fence },
    /// An earlier attempt's permit still stands under another lease.
    Stale,
    /// Others hold `holders` permits.
    Others {
        holders: usize,
        fence: Fence,
        /// The version of the count's last write; none before the first permit.
        version: Option<Version>,
    },
}

impl Finding {
    pub(super) fn has_room(&self, limit: u32) -> bool {
        match self {
            Self::Own { .. } => true,
            Self::Stale => false,
            Self::Others { holders, .. } => *holders < limit as usize,
        }
    }
}

impl Keys {
    pub(super) fn new(root: Key, holder: &str) -> Result<Self, KeyError> {
        let fence = root.join("fence")?;
        let holders = root.join("holders")?;
        let own = holders.join(holder)?;
        Ok(Self {
            root,
            fence,
            holders,
            own,
        })
    }

    pub(super) fn scope(&self) -> Scope {
        Scope::Below(self.root.clone())
    }

    pub(super) fn find(&self, listing: &Listing, lease: Option<LeaseId>) -> Finding {
        let own = listing.entries.iter().find(|entry| entry.key == self.own);
        if let Some(entry) = own {
            return match entry.lease {
                Some(found) if Some(found) == lease => Finding::Own {
                    fence: number(&entry.value),
                },
                _ => Finding::Stale,
            };
        }
        let all = Scope::Below(self.holders.clone());
        let held = listing
            .entries
            .iter()
            .filter(|entry| all.covers(&entry.key));
        let count = listing.entries.iter().find(|entry| entry.key == self.fence);
        Finding::Others {
            holders: held.count(),
            fence: count.map_or(Fence(0), |entry| number(&entry.value)),
            version: count.map(|entry| entry.version),
        }
    }

    /// Takes a permit under the next fencing number, which is above `floor`.
    pub(super) fn transaction(
        &self,
        finding: &Finding,
        lease: LeaseId,
        floor: Fence,
    ) -> (Transaction, Fence) {
        let (last, version) = match finding {
            Finding::Others { fence, version, .. } => (*fence, *version),
            Finding::Own { .. } | Finding::Stale => (Fence(0), None),
        };
        let fence = last.max(floor).next();
        let guarded = match version {
            Some(version) => Transaction::new().when_unchanged(self.fence.clone(), version),
            None => Transaction::new().when_absent(self.fence.clone()),
        };
        let transaction = guarded
            .when_absent(self.own.clone())
            .put(self.fence.clone(), fence.to_string())
            .put_leased(self.own.clone(), fence.to_string(), lease);
        (transaction, fence)
    }
}

/// Reads a count; text that is none counts as 0, and the version guards it all the same.
fn number(value: &[u8]) -> Fence {
    let text = std::str::from_utf8(value).ok();
    Fence(text.and_then(|text| text.parse().ok()).unwrap_or(0))
}
