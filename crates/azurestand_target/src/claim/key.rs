//! Keys as the claims know them.

use azurestand_types::{AccountName, Digest, HostName, RequestKey, ServiceName, rendezvous};

/// Shards of a service's keys.
///
/// A key's shard must never change, or two homes could each hold half of its
/// history. So the number is fixed and doesn't depend on the list of homes.
pub const SHARDS: u8 = 8;

/// One part of a service's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// All shards, in order.
    pub fn all() -> std::iter::Map<std::ops::Range<u8>, fn(u8) -> Shard> {
        (0..SHARDS).map(Shard)
    }

    /// The homes in the order in which they hold this shard of `service`.
    ///
    /// An entry asks the first that lives and follows its redirect.
    pub fn order<'a>(self, service: &ServiceName, homes: &'a [HostName]) -> Vec<&'a HostName> {
        let key = format!("{service}/{}", self.0);
        rendezvous::order(key.as_bytes(), homes)
    }

    /// The store's key of this shard's record.
    pub fn record_key(self, service: &ServiceName) -> String {
        format!("claims/{service}/{}/record", self.0)
    }

    /// The prefix of the store's keys of this shard's batches.
    pub fn batch_prefix(self, service: &ServiceName) -> String {
        format!("claims/{service}/{}/batch/", self.0)
    }

    /// The store's key of the batch written with `beat`; keys sort by beat.
    pub fn batch_key(self, service: &ServiceName, beat: u64) -> String {
        format!("{}{beat:016x}", self.batch_prefix(service))
    }
}

impl From<Shard> for usize {
    fn from(shard: Shard) -> Self {
        Self::from(shard.0)
    }
}

/// The digest of an account and its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub(crate) u128);

impl ClaimKey {
    /// The claim key of `key` as `account` used it.
    pub fn of(account: &AccountName, key: &RequestKey) -> Self {
        // A name holds no line feed, so two pairs never give the same text.
        let text = format!("{account}\n{key}");
        Self(short(Digest::of(text.as_bytes())))
    }

    /// The shard that the key falls into.
    #[allow(clippy::cast_possible_truncation, reason = "a remainder below SHARDS")]
    pub fn shard(self) -> Shard {
        Shard((self.0 % u128::from(SHARDS)) as u8)
    }
}

/// The first half of a digest, enough to tell requests apart.
pub(crate) fn short(digest: Digest) -> u128 {
    let mut head = [0; 16];
    head.copy_from_slice(&digest.as_bytes()[..16]);
    u128::from_be_bytes(head)
}
