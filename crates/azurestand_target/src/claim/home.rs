//! One shard, as one process holds or watches it.

mod answers;
mod steps;

use std::time::Duration;

use azurestand_types::Uncertainty;
use azurestand_types::{HostName, Moment, Outcome, Refusal, RequestId, ServiceName};
use bytes::Bytes;

use super::key::{ClaimKey, Shard, short};
use super::log::{Log, Sending};
use super::record::{Claim, ClaimState, Holder, Record, Version};
use super::table::{Entry, EntryState, Table};
use super::watch::Watch;
use super::{Ask, HomeAction, HomeSettings, Outage};

/// What this process has to do with the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// Another home holds it, or nobody.
    Watching,
    /// Its takeover was sent; `proved` is what the record said before.
    Taking { proved: bool },
    /// It holds the shard and doesn't know the claims yet.
    Loading { proved: bool },
    /// It holds the shard and knows the claims. Until `quiet` it can't rule
    /// out runs that left no claim.
    Holding { quiet: Option<Moment> },
    /// Its last write hands the shard on.
    Leaving,
}

#[derive(Debug)]
pub(crate) struct Home {
    service: ServiceName,
    shard: Shard,
    me: Holder,
    settings: HomeSettings,
    /// The place in the shard's order of homes; none when not listed.
    rank: Option<u32>,
    duty: Duty,
    watch: Watch,
    table: Table,
    log: Log,
    /// The newest record of this process that took effect.
    own: Option<(Record, Version)>,
    /// Until when runs on claims in memory are allowed.
    lease_end: Moment,
    sending: Option<Sending>,
    /// A `Commit` or `Read` without an answer so far.
    asked: bool,
    next_read: Moment,
    last_read: Moment,
    leaving: bool,
}

impl Home {
    pub(crate) fn new(
        service: ServiceName,
        shard: Shard,
        me: Holder,
        settings: HomeSettings,
    ) -> Self {
        Self {
            service,
            shard,
            me,
            settings,
            rank: None,
            duty: Duty::Watching,
            watch: Watch::default(),
            table: Table::default(),
            log: Log::default(),
            own: None,
            lease_end: Moment::START,
            sending: None,
            asked: false,
            next_read: Moment::START,
            last_read: Moment::START,
            leaving: false,
        }
    }

    pub(crate) fn is_holder(&self) -> bool {
        !matches!(self.duty, Duty::Watching)
    }

    pub(crate) fn claims(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn configure(&mut self, settings: HomeSettings) {
        self.settings = settings;
    }

    pub(crate) fn list(&mut self, now: Moment, homes: &[HostName]) {
        let order = self.shard.order(&self.service, homes);
        let place = order.iter().position(|host| **host == self.me.host);
        self.rank = place.and_then(|place| u32::try_from(place).ok());
        self.next_read = self.next_read.min(now);
    }

    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// A home that the document doesn't list any more hands the shard on too.
    fn is_leaving(&self) -> bool {
        self.leaving || self.rank.is_none()
    }

    /// How often a home that doesn't hold the shard reads the record.
    ///
    /// Later homes in the order read less often, so that a service's reads
    /// grow with the logarithm of its homes.
    fn poll_gap(&self) -> Duration {
        self.settings.renew * (1 + self.rank.unwrap_or(0))
    }

    /// How long a claim is remembered: as long as a retry may still arrive.
    fn retain(&self) -> Duration {
        self.settings.window + self.settings.transit + self.settings.margin
    }

    pub(crate) fn ask(&mut self, now: Moment, ask: &Ask, actions: &mut Vec<HomeAction>) {
        let key = ClaimKey::of(&ask.account, &ask.key);
        let print = short(ask.print);
        let action = match self.table.get(key) {
            Some(entry) => Some(repeat(ask.id, print, entry)),
            None => self.refuse_new(ask.id),
        };
        if self.duty == Duty::Watching {
            // The holder may be gone; who asks here wants to know soon.
            let soon = self.last_read + self.settings.patience;
            self.next_read = self.next_read.min(soon);
        }
        match action {
            Some(action) => actions.push(action),
            None => self.claim(now, key, ask),
        }
    }

    /// Why a key that isn't known can't be claimed here now.
    fn refuse_new(&self, id: RequestId) -> Option<HomeAction> {
        let refusal = match self.duty {
            Duty::Watching => match self.watch.holder() {
                Some(holder) if holder.host != self.me.host => {
                    return Some(HomeAction::Redirect(id, holder.host.clone()));
                }
                _ => Refusal::Unproved,
            },
            Duty::Taking { .. } | Duty::Loading { .. } | Duty::Holding { quiet: Some(_) } => {
                Refusal::Unproved
            }
            Duty::Leaving => Refusal::Draining,
            Duty::Holding { quiet: None } if self.is_leaving() => Refusal::Draining,
            Duty::Holding { quiet: None } if self.table.len() >= self.settings.claims => {
                Refusal::Busy
            }
            Duty::Holding { quiet: None } => return None,
        };
        Some(HomeAction::Refuse(id, refusal))
    }

    fn claim(&mut self, now: Moment, key: ClaimKey, ask: &Ask) {
        let print = short(ask.print);
        let seq = self.log.push(Claim {
            key,
            print,
            state: ClaimState::Claimed,
        });
        let deadline = ask.deadline;
        let entry = Entry {
            print,
            first: Some(ask.id),
            since: now,
            state: EntryState::Claiming { deadline, seq },
        };
        self.table.insert(key, entry);
    }

    pub(crate) fn finish(
        &mut self,
        _now: Moment,
        id: RequestId,
        outcome: Outcome,
        answer: Option<&Bytes>,
    ) {
        let Some(key) = self.table.key_of(id) else {
            return;
        };
        let running = self.table.get(key).map(|entry| &entry.state) == Some(&EntryState::Running);
        if !running {
            return;
        }
        if let Outcome::NotRun(_) = outcome {
            self.release(key);
            return;
        }
        let stored = self.settings.stored;
        if let Some(claim) = self.table.end(key, outcome, answer.cloned(), stored) {
            self.note(claim);
        }
        self.table.trim(self.settings.answers);
    }

    /// Takes `id` back if it waits; false when it was given out or isn't known.
    pub(crate) fn revoke(&mut self, id: RequestId) -> bool {
        let Some(key) = self.table.key_of(id) else {
            return false;
        };
        let state = self.table.get(key).map(|entry| entry.state.clone());
        let waits = matches!(state, Some(EntryState::Claiming { .. }));
        if waits {
            self.release(key);
        }
        waits
    }

    /// Frees a key whose request certainly didn't run.
    fn release(&mut self, key: ClaimKey) {
        let Some(entry) = self.table.remove(key) else {
            return;
        };
        if !self.log.retract(key) {
            self.note(Claim {
                key,
                print: entry.print,
                state: ClaimState::Released,
            });
        }
    }

    /// Puts a change into the log, if this process may still write.
    fn note(&mut self, claim: Claim) {
        if self.is_holder() {
            self.log.push(claim);
        }
    }
}

/// What a request gets whose key is known.
fn repeat(id: RequestId, print: u128, entry: &Entry) -> HomeAction {
    if entry.print != print {
        return HomeAction::Refuse(id, Refusal::KeyReused);
    }
    match &entry.state {
        EntryState::Claiming { .. } | EntryState::Running => {
            let first = entry.first.unwrap_or(id);
            HomeAction::Attach { id, first }
        }
        EntryState::Ended(outcome, body) => HomeAction::Answer {
            id,
            outcome: *outcome,
            body: body.clone(),
        },
        EntryState::Orphaned => HomeAction::Answer {
            id,
            outcome: Outcome::Unknown(Uncertainty::Unreachable),
            body: None,
        },
    }
}
