//! Evaluates a listing of a semaphore's keys and builds the transaction that acquires a permit.

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

/// What a listing shows to a holder that tries to acquire a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Finding {
    /// The holder's own earlier commit took effect.
    Own { fence: Fence },
    /// The permit of an earlier attempt still exists under another lease.
    Stale,
    /// Others hold `holders` permits.
    Others {
        holders: usize,
        fence: Fence,
        /// The version of the fencing number's last write; `None` before the first permit.
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

    pub(super) fn inspect(&self, listing: &Listing, lease: Option<LeaseId>) -> Finding {
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

    /// Builds the transaction that acquires a permit under the next fencing number,
    /// which is above `floor`.
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

/// Parses a fencing number. Invalid text counts as 0; the condition on the version
/// still protects the write.
fn number(value: &[u8]) -> Fence {
    let text = std::str::from_utf8(value).ok();
    Fence(text.and_then(|text| text.parse().ok()).unwrap_or(0))
}
