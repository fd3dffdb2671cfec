//! At most one run per idempotency key, across callers' retries through any entry.
//!
//! A service's keys fall into a fixed number of shards. One home agent holds
//! each shard by a record in the store and writes a claim there before it runs
//! anything. See [docs/AT-MOST-ONCE.md](../../../docs/AT-MOST-ONCE.md) for the
//! argument and for what a store outage does to each case.

mod codec;
mod home;
mod key;
mod log;
mod pace;
mod record;
mod table;
mod watch;

use std::time::Duration;

use azurestand_types::{
    AccountName, Digest, HostName, Moment, Outcome, Refusal, RequestId, RequestKey, ServiceName,
};
use bytes::Bytes;

use self::home::Home;
use self::pace::Pace;

pub use self::codec::CodecError;
pub use self::key::{ClaimKey, SHARDS, Shard};
pub use self::record::{Batch, Claim, ClaimState, Committed, Holder, Loaded, Record, Version};

/// What a home does while the store doesn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Nothing runs before its claim is in the store; requests wait for that
    /// until their deadline. A successor serves at once.
    Wait,
    /// Requests run on claims in memory until the lease ends. A successor
    /// refuses keyed requests for the retry window.
    Memory,
}

/// How a service's keys are kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeSettings {
    /// What happens while the store doesn't answer.
    pub outage: Outage,
    /// How long callers repeat a request with its key, counted from its first send.
    pub window: Duration,
    /// How long a request may still be on its way after it was sent.
    pub transit: Duration,
    /// How long a holder may act after its last write. With
    /// [`Outage::Memory`] it is how long a store outage may last unnoticed.
    pub lease: Duration,
    /// What clocks of two hosts may differ by over one lease.
    pub margin: Duration,
    /// How often a holder renews its record.
    pub renew: Duration,
    /// How long a claim waits for the store before memory must do.
    pub patience: Duration,
    /// By how much longer each next home in the order waits before it takes over.
    pub step: Duration,
    /// Claims that one shard remembers.
    pub claims: usize,
    /// Bytes of answers that one shard keeps.
    pub answers: usize,
    /// Bytes up to which an answer goes into the store with its claim.
    pub stored: usize,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            outage: Outage::Wait,
            window: Duration::from_mins(10),
            transit: Duration::from_secs(30),
            lease: Duration::from_secs(6),
            margin: Duration::from_millis(500),
            renew: Duration::from_secs(2),
            patience: Duration::from_millis(500),
            step: Duration::from_secs(1),
            claims: 5_000,
            answers: 1024 * 1024,
            stored: 2 * 1024,
        }
    }
}

/// A request with an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// This request; a caller's retry has another id.
    pub id: RequestId,
    /// Whose key it is.
    pub account: AccountName,
    /// The caller's key.
    pub key: RequestKey,
    /// The digest of what the request says, without its id.
    pub print: Digest,
    /// When it is of no more use to start it.
    pub deadline: Moment,
}

/// What a service's homes react to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeEvent {
    /// The accepted document lists these homes for the service.
    Listed(Vec<HostName>),
    /// A request with a key came.
    Asked(Ask),
    /// A run that was ordered by `Run` ended.
    Finished {
        /// The request that was run.
        id: RequestId,
        /// How it ended; `NotRun` frees the key.
        outcome: Outcome,
        /// The whole answer, when it is to be kept.
        answer: Option<Bytes>,
    },
    /// The entry takes a request back.
    Revoke(RequestId),
    /// The answer to `Read`.
    Loaded(Shard, Loaded),
    /// A `Read` got no answer.
    ReadFailed(Shard),
    /// The answer to the `Commit` of the batch whose record has this beat. A
    /// late answer to an earlier batch changes nothing.
    Committed(Shard, u64, Committed),
    /// This process stops: hand the shards on once nothing runs.
    Leave,
    /// Time passed.
    Tick,
}

/// What the agent is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Run this request; `Finished` has to follow.
    Run(RequestId),
    /// The key's first request is at work: give `id` that one's answer.
    Attach {
        /// The repeated request.
        id: RequestId,
        /// The request that runs or waits to run.
        first: RequestId,
    },
    /// The key's request ended before: give `id` this.
    Answer {
        /// The repeated request.
        id: RequestId,
        /// How the first run ended. `Answered` without a body means that it
        /// ran once and that its answer isn't kept any more.
        outcome: Outcome,
        /// The first run's whole answer, if it is kept.
        body: Option<Bytes>,
    },
    /// The request did not run here and never will.
    Refuse(RequestId, Refusal),
    /// Another home holds the key's shard; this one ran nothing.
    Redirect(RequestId, HostName),
    /// The answer to a revoke: it did not run and never will.
    Revoked(RequestId),
    /// The answer to a revoke: it was given out to run, or isn't known here.
    Running(RequestId),
    /// Write this to the store; `Committed` has to follow.
    Commit(Shard, Batch),
    /// Read the shard's record, and its batches of claims if `claims` says so;
    /// `Loaded` or `ReadFailed` has to follow. The record is read before the
    /// batches, or both at one revision of the store.
    Read {
        /// The shard.
        shard: Shard,
        /// Whether the batches are needed too.
        claims: bool,
    },
}

/// The shards of one service, as one process holds or watches them.
#[derive(Debug)]
pub struct Homes {
    shards: Vec<Home>,
    pace: Pace,
    /// The shard that may write first, so that none waits for long.
    turn: usize,
}

impl Homes {
    /// Begins to watch all shards of `service` in the process `me`.
    pub fn new(service: &ServiceName, me: &Holder, settings: &HomeSettings) -> Self {
        let shards = Shard::all()
            .map(|shard| Home::new(service.clone(), shard, me.clone(), settings.clone()))
            .collect();
        Self {
            shards,
            pace: Pace::default(),
            turn: 0,
        }
    }

    /// Shards that this process holds.
    pub fn held(&self) -> usize {
        self.shards.iter().filter(|home| home.is_holder()).count()
    }

    /// Claims remembered in all shards.
    pub fn claims(&self) -> usize {
        self.shards.iter().map(Home::claims).sum()
    }

    /// Replaces the settings after a change of the document.
    pub fn configure(&mut self, settings: &HomeSettings) {
        for home in &mut self.shards {
            home.configure(settings.clone());
        }
    }

    /// Takes one event into account and says what to do.
    ///
    /// # Panics
    ///
    /// When a key would run a second time.
    pub fn handle(&mut self, now: Moment, event: HomeEvent) -> Vec<HomeAction> {
        let mut actions = Vec::new();
        match event {
            HomeEvent::Asked(ask) => {
                let shard = ClaimKey::of(&ask.account, &ask.key).shard();
                self.shard(shard).ask(now, &ask, &mut actions);
            }
            HomeEvent::Loaded(shard, loaded) => {
                self.shard(shard).loaded(now, loaded, &mut actions);
            }
            HomeEvent::ReadFailed(shard) => self.shard(shard).read_failed(now),
            HomeEvent::Committed(shard, beat, result) => {
                self.shard(shard).committed(now, beat, result, &mut actions);
            }
            HomeEvent::Revoke(id) => actions.push(self.revoke(id)),
            HomeEvent::Listed(homes) => self.each(|home| home.list(now, &homes)),
            HomeEvent::Finished {
                id,
                outcome,
                answer,
            } => self.each(|home| home.finish(now, id, outcome, answer.as_ref())),
            HomeEvent::Leave => self.each(Home::leave),
            HomeEvent::Tick => {}
        }
        self.drive(now, &mut actions);
        actions
    }

    fn shard(&mut self, shard: Shard) -> &mut Home {
        &mut self.shards[usize::from(shard)]
    }

    fn each<F>(&mut self, f: F)
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

    /// Lets each shard do what is due, in turn while the process may write.
    fn drive(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        let count = self.shards.len();
        for index in (self.turn..count).chain(0..self.turn) {
            let may_write = self.pace.allows(now);
            if self.shards[index].drive(now, may_write, actions) {
                self.pace.note(now);
                self.turn = (index + 1) % count;
            }
        }
    }
}
