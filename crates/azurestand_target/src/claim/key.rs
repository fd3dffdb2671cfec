//! Claim keys and their shards.

use azurestand_types::{AccountName, Digest, HostName, RequestKey, ServiceName, rendezvous};

/// The number of shards of a service's keys.
///
/// A key's shard must never change, or two homes could each hold a part of its
/// history. So the number of shards is fixed and doesn't depend on the list of
/// homes.
pub const SHARDS: u8 = 8;

/// One part of a service's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u8);

impl Shard {
    /// All shards, in order.
    pub fn all() -> std::iter::Map<std::ops::Range<u8>, fn(u8) -> Shard> {
        (0..SHARDS).map(Shard)
    }

    /// The homes in the order in which they should hold this shard of
    /// `service`.
    ///
    /// An entry sends a request to the first home that is alive and follows its
    /// redirect.
    pub fn order<'a>(self, service: &ServiceName, homes: &'a [HostName]) -> Vec<&'a HostName> {
        let key = format!("{service}/{}", self.0);
        rendezvous::order(key.as_bytes(), homes)
    }

    /// The key of this shard's record in the store.
    pub fn record_key(self, service: &ServiceName) -> String {
        format!("claims/{service}/{}/record", self.0)
    }

    /// The prefix of the keys of this shard's batches in the store.
    pub fn batch_prefix(self, service: &ServiceName) -> String {
        format!("claims/{service}/{}/batch/", self.0)
    }

    /// The key in the store of the batch written with `write_number`; keys sort by
    /// it.
    pub fn batch_key(self, service: &ServiceName, write_number: u64) -> String {
        format!("{}{write_number:016x}", self.batch_prefix(service))
    }
}

impl From<Shard> for usize {
    fn from(shard: Shard) -> Self {
        Self::from(shard.0)
    }
}

/// The first half of the digest of an account and its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub(crate) u128);

impl ClaimKey {
    /// The claim key of `account`'s idempotency key `key`.
    pub fn of(account: &AccountName, key: &RequestKey) -> Self {
        // A name contains no line feed, so two different pairs never give the
        // same text.
        let text = format!("{account}\n{key}");
        Self(first_half(Digest::of(text.as_bytes())))
    }

    /// The shard of this key.
    #[allow(clippy::cast_possible_truncation, reason = "a remainder below SHARDS")]
    pub fn shard(self) -> Shard {
        Shard((self.0 % u128::from(SHARDS)) as u8)
    }
}

/// The first half of a digest, which is enough to distinguish requests.
pub(crate) fn first_half(digest: Digest) -> u128 {
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest.as_bytes()[..16]);
    u128::from_be_bytes(prefix)
}
