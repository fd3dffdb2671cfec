//! A store client for etcd v3's JSON gateway.

mod call;
mod message;
mod outcome;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::budget::{Rates, Share};
use crate::error::StoreError;
use crate::key::{Key, Scope};
use crate::store::{Grant, LeaseId, Listing, Renewal, Store, Versioned, Versions, Watch};
use crate::transaction::{Commit, Transaction, Version};

use call::{Caller, Kind};
use message::{
    GrantAnswer, KeepAnswer, LeaseCall, RangeAnswer, RangeCall, TxnCall, WatchCall, decode,
};

/// Addresses, timeouts and rate limits of the client.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpOptions {
    /// The store's addresses; the next one is used when one can't be reached.
    pub addresses: Vec<SocketAddr>,
    /// The timeout for an answer.
    pub timeout: Duration,
    /// This process's share of the rates.
    pub share: Share,
    /// The maximum time that a call waits for its slot in the budget.
    pub max_wait: Duration,
    /// Calls that may be made at once; 0 spreads calls that have one cause.
    pub burst: u32,
    /// Seed that spreads the calls of processes that start or become active together.
    pub seed: u64,
}

impl HttpOptions {
    /// Options for a store that nothing else calls, as in tests and the
    /// operators' verbs: 100 calls a second of either kind.
    pub fn single_client(addresses: Vec<SocketAddr>) -> Self {
        let centre = Rates {
            reads: 100.0,
            writes: 100.0,
        };
        Self {
            addresses,
            timeout: Duration::from_secs(5),
            max_wait: Duration::from_secs(5),
            share: Share {
                centre,
                weight: 1,
                total: 1,
            },
            burst: 20,
            seed: 0,
        }
    }
}

/// A client of the store; clones share connections and budget.
#[derive(Debug, Clone)]
pub struct HttpStore {
    caller: Arc<Caller>,
}

impl HttpStore {
    /// Creates a client that connects on its first call.
    ///
    /// A call over budget waits for its slot, up to [`HttpOptions::max_wait`].
    pub fn new(options: HttpOptions) -> Self {
        Self {
            caller: Arc::new(Caller::new(options)),
        }
    }

    /// Changes this process's share of the rates, for example when the number of
    /// processes of its data centre has changed.
    pub fn set_share(&self, share: Share) {
        self.caller.set_rates(share.rates());
    }

    async fn range(&self, call: &RangeCall) -> Result<RangeAnswer, StoreError> {
        let body = self.caller.call(Kind::Read, "/v3/kv/range", call).await?;
        decode(&body)
    }
}

impl Store for HttpStore {
    async fn read(&self, key: &Key) -> Result<Option<Versioned>, StoreError> {
        let call = RangeCall::new(&Scope::One(key.clone()));
        let answer = self.range(&call).await?;
        let entry = answer.listing()?.entries.pop();
        Ok(entry.map(|entry| Versioned {
            value: entry.value,
            version: entry.version,
        }))
    }

    async fn list(&self, scope: &Scope) -> Result<Listing, StoreError> {
        self.range(&RangeCall::new(scope)).await?.listing()
    }

    async fn versions(&self, scope: &Scope) -> Result<Versions, StoreError> {
        let call = RangeCall::new(scope).without_values();
        self.range(&call).await?.versions()
    }

    async fn commit(&self, transaction: &Transaction) -> Commit {
        let call = TxnCall::from(transaction);
        let answer = self.caller.call(Kind::Write, "/v3/kv/txn", &call).await;
        outcome::commit(answer)
    }

    async fn grant(&self, ttl: Duration) -> Result<Grant, StoreError> {
        let call = LeaseCall::grant(ttl);
        let body = self
            .caller
            .call(Kind::Write, "/v3/lease/grant", &call)
            .await?;
        decode::<GrantAnswer>(&body)?.grant()
    }

    async fn renew(&self, lease: LeaseId) -> Result<Renewal, StoreError> {
        let call = LeaseCall::of(lease);
        let body = self
            .caller
            .call(Kind::Write, "/v3/lease/keepalive", &call)
            .await?;
        Ok(decode::<KeepAnswer>(&body)?.renewal())
    }

    async fn release(&self, lease: LeaseId) -> Result<(), StoreError> {
        let call = LeaseCall::of(lease);
        let answer = self
            .caller
            .call(Kind::Write, "/v3/lease/revoke", &call)
            .await;
        match answer {
            Ok(_) => Ok(()),
            Err(failure) if failure.is_missing() => Ok(()),
            Err(failure) => Err(failure.into()),
        }
    }

    async fn watch(&self, scope: &Scope, from: Version) -> Result<Watch, StoreError> {
        let call = WatchCall::new(scope, from);
        let (body, limit) = self.caller.open("/v3/watch", &call).await?;
        watch::open(body, limit).await
    }
}
