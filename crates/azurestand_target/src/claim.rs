//! At most one run per idempotency key, also when callers retry through
//! different entries.
//!
//! A service's keys are divided into a fixed number of shards. Each shard is
//! held by one agent, its home, by means of a record in the store; the home
//! writes a claim to the store before it runs a request. See
//! [docs/AT-MOST-ONCE.md](../../../docs/AT-MOST-ONCE.md) for the proof and for
//! the effects of a store outage.

mod change_log;
mod codec;
mod home;
mod key;
mod record;
mod table;
mod watch;
mod write_limiter;

use std::time::Duration;

use azurestand_types::{
    AccountName, Digest, HostName, Moment, Outcome, Refusal, RequestId, RequestKey, ServiceName,
};
use bytes::Bytes;

use self::home::Home;
use self::write_limiter::WriteLimiter;

pub use self::codec::CodecError;
pub use self::key::{ClaimKey, SHARDS, Shard};
pub use self::record::{
    Batch, Claim, ClaimState, CommitResult, Holder, Record, ShardContents, Version,
};

/// What a home does during a store outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// No request runs before its claim is in the store; requests wait for that
    /// until their deadline. A successor serves at once after its takeover.
    Wait,
    /// Requests run on claims in memory until the lease ends. After a takeover,
    /// the successor refuses keyed requests for the retry window.
    Memory,
}

/// The settings of a service's homes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeSettings {
    /// What happens during a store outage.
    pub outage: Outage,
    /// The retry window: how long callers repeat a request with its key,
    /// counted from its first send.
    pub window: Duration,
    /// The longest time from the send of a request to its arrival.
    pub max_transit: Duration,
    /// How long a holder may act after its last write. With [`Outage::Memory`],
    /// requests continue to run through a store outage of up to this length.
    pub lease: Duration,
    /// The largest difference between the clocks of two hosts over the time of
    /// one lease.
    pub clock_margin: Duration,
    /// The interval at which a holder renews its record.
    pub renew_interval: Duration,
    /// How long a claim waits for the store before, with [`Outage::Memory`],
    /// the request runs on the claim in memory; also how long a write waits for
    /// its answer before it is sent again.
    pub store_timeout: Duration,
    /// The additional time that each home waits before a takeover, compared
    /// with the home before it in the order.
    pub takeover_step: Duration,
    /// The number of claims that one shard may store.
    pub max_claims: usize,
    /// The number of answer bytes that one shard keeps.
    pub max_kept_bytes: usize,
    /// The largest answer, in bytes, that is written to the store with its
    /// claim.
    pub max_stored_bytes: usize,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            outage: Outage::Wait,
            window: Duration::from_mins(10),
            max_transit: Duration::from_secs(30),
            lease: Duration::from_secs(6),
            clock_margin: Duration::from_millis(500),
            renew_interval: Duration::from_secs(2),
            store_timeout: Duration::from_millis(500),
            takeover_step: Duration::from_secs(1),
            max_claims: 5_000,
            max_kept_bytes: 1024 * 1024,
            max_stored_bytes: 2 * 1024,
        }
    }
}

/// A request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// The id of this request; a caller's retry has another id.
    pub id: RequestId,
    /// The account that the key belongs to.
    pub account: AccountName,
    /// The caller's key.
    pub key: RequestKey,
    /// The digest of the request's content, without its id.
    pub fingerprint: Digest,
    /// When the start of the request is of no more use to the caller.
    pub deadline: Moment,
}

/// The input to [`Homes::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeEvent {
    /// The accepted document lists these hosts as the service's homes.
    Listed(Vec<HostName>),
    /// A request with an idempotency key arrived.
    Arrived(KeyedRequest),
    /// A run started by [`HomeAction::Run`] ended.
    Finished {
        /// The request that ran.
        id: RequestId,
        /// Its outcome; `NotRun` releases the key.
        outcome: Outcome,
        /// The complete answer, if it is to be kept.
        answer: Option<Bytes>,
    },
    /// The entry revokes a request.
    Revoke(RequestId),
    /// The answer to `Read`.
    Loaded(Shard, ShardContents),
    /// No answer to a `Read` arrived.
    ReadFailed(Shard),
    /// The answer to the `Commit` of the batch whose record has this write number. A
    /// late answer to an earlier batch is ignored.
    Committed(Shard, u64, CommitResult),
    /// This process is stopping: hand over its shards once no request runs.
    Stop,
    /// Time passed.
    Tick,
}

/// What the agent has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Run this request; `Finished` must follow.
    Run(RequestId),
    /// The key's first request waits or runs: answer `id` with the first one's
    /// answer.
    Attach {
        /// The repeated request.
        id: RequestId,
        /// The request that runs or waits to run.
        first: RequestId,
    },
    /// The key's first request has ended: answer `id` with this.
    Answer {
        /// The repeated request.
        id: RequestId,
        /// The outcome of the first run. `Answered` without a body means that
        /// it ran and that its answer is no longer kept.
        outcome: Outcome,
        /// The first run's complete answer, if it is still kept.
        body: Option<Bytes>,
    },
    /// The request did not run here and never will run.
    Refuse(RequestId, Refusal),
    /// Another home holds the key's shard; the request did not run here.
    Redirect(RequestId, HostName),
    /// The answer to a revoke: the request did not run and never will run.
    Revoked(RequestId),
    /// The answer to a revoke: the request was started, or is unknown here.
    Running(RequestId),
    /// Write this batch to the store; `Committed` must follow.
    Commit(Shard, Batch),
    /// Read the shard's record and, if `claims` is set, its batches of claims;
    /// `Loaded` or `ReadFailed` must follow. The record must be read before the
    /// batches, or both at one revision of the store.
    Read {
        /// The shard.
        shard: Shard,
        /// Whether to read the batches too.
        claims: bool,
    },
}

/// All shards of one service in one process, which holds some and is on standby
/// for the others.
#[derive(Debug)]
pub struct Homes {
    shards: Vec<Home>,
    limiter: WriteLimiter,
    /// The shard whose turn it is to write first, so that no shard is delayed
    /// indefinitely by the others.
    first_shard: usize,
}

impl Homes {
    /// Creates the state of all shards of `service` in the process `me`,
    /// holding none.
    pub fn new(service: &ServiceName, me: &Holder, settings: &HomeSettings) -> Self {
        let shards = Shard::all()
            .map(|shard| Home::new(service.clone(), shard, me.clone(), settings.clone()))
            .collect();
        Self {
            shards,
            limiter: WriteLimiter::default(),
            first_shard: 0,
        }
    }

    /// The number of shards that this process holds.
    pub fn held(&self) -> usize {
        self.shards.iter().filter(|home| home.is_holder()).count()
    }

    /// The number of claims stored in all shards.
    pub fn claims(&self) -> usize {
        self.shards.iter().map(Home::claims).sum()
    }

    /// Replaces the settings after a change of the document.
    pub fn configure(&mut self, settings: &HomeSettings) {
        for home in &mut self.shards {
            home.configure(settings.clone());
        }
    }

    /// Processes one event and returns the actions to take.
    ///
    /// # Panics
    ///
    /// If a request would run a second time for the same key.
    pub fn handle(&mut self, now: Moment, event: HomeEvent) -> Vec<HomeAction> {
        let mut actions = Vec::new();
        match event {
            HomeEvent::Arrived(request) => {
                let shard = ClaimKey::of(&request.account, &request.key).shard();
                self.shard(shard).submit(now, &request, &mut actions);
            }
            HomeEvent::Loaded(shard, loaded) => {
                self.shard(shard).loaded(now, loaded, &mut actions);
            }
            HomeEvent::ReadFailed(shard) => self.shard(shard).read_failed(now),
            HomeEvent::Committed(shard, write_number, result) => {
                self.shard(shard)
                    .committed(now, write_number, result, &mut actions);
            }
            HomeEvent::Revoke(id) => actions.push(self.revoke(id)),
            HomeEvent::Listed(homes) => self.for_each_shard(|home| home.set_homes(now, &homes)),
            HomeEvent::Finished {
                id,
                outcome,
                answer,
            } => self.for_each_shard(|home| home.finish(now, id, outcome, answer.as_ref())),
            HomeEvent::Stop => self.for_each_shard(Home::stop),
            HomeEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn shard(&mut self, shard: Shard) -> &mut Home {
        &mut self.shards[usize::from(shard)]
    }

    fn for_each_shard<F>(&mut self, f: F)
    where
        F: FnMut(&mut Home),
    {
        self.shards.iter_mut().for_each(f);
    }

    fn revoke(&mut self, id: RequestId) -> HomeAction {
        let revoked = self.shards.iter_mut().any(|home| home.revoke(id));
        if revoked {
            HomeAction::Revoked(id)
        } else {
            HomeAction::Running(id)
        }
    }

    /// Advances every shard. The shard whose turn it is goes first; each may
    /// write only as the rate limit of the process allows.
    fn advance(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        let count = self.shards.len();
        for index in (self.first_shard..count).chain(0..self.first_shard) {
            let may_write = self.limiter.allows(now);
            if self.shards[index].advance(now, may_write, actions) {
                self.limiter.record_write(now);
                self.first_shard = (index + 1) % count;
            }
        }
    }
}
