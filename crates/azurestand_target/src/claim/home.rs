//! The state of one shard in one process.

mod answers;
mod steps;

use std::time::Duration;

use azurestand_types::Uncertainty;
use azurestand_types::{HostName, Moment, Outcome, Refusal, RequestId, ServiceName};
use bytes::Bytes;

use super::change_log::{ChangeLog, PendingWrite};
use super::key::{ClaimKey, Shard, first_half};
use super::record::{Claim, ClaimState, Holder, Record, Version};
use super::table::{Entry, EntryState, Table};
use super::watch::Watch;
use super::{HomeAction, HomeSettings, KeyedRequest, Outage};

/// The role of this process for the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Another home or none holds the shard.
    Standby,
    /// The write of the takeover was sent; `proved` is the value in the record
    /// before it.
    Acquiring { proved: bool },
    /// It holds the shard and hasn't read the claims yet.
    Loading { proved: bool },
    /// It holds the shard and has read the claims. Until `refuse_until`,
    /// earlier runs without a claim in the store can't be ruled out, so that
    /// new keys are refused.
    Holding { refuse_until: Option<Moment> },
    /// Its last write, which hands over the shard, was sent.
    Releasing,
}

#[derive(Debug)]
pub(crate) struct Home {
    service: ServiceName,
    shard: Shard,
    me: Holder,
    settings: HomeSettings,
    /// The position in the shard's order of homes; none if not listed.
    rank: Option<u32>,
    role: Role,
    watch: Watch,
    table: Table,
    change_log: ChangeLog,
    /// The latest record written by this process that took effect.
    own_record: Option<(Record, Version)>,
    /// When the lease ends; runs on claims in memory are allowed until then.
    lease_end: Moment,
    pending: Option<PendingWrite>,
    /// Whether the answer to a `Commit` or `Read` is outstanding.
    in_flight: bool,
    next_read: Moment,
    last_read: Moment,
    stopping: bool,
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
            role: Role::Standby,
            watch: Watch::default(),
            table: Table::default(),
            change_log: ChangeLog::default(),
            own_record: None,
            lease_end: Moment::START,
            pending: None,
            in_flight: false,
            next_read: Moment::START,
            last_read: Moment::START,
            stopping: false,
        }
    }

    pub(crate) fn is_holder(&self) -> bool {
        !matches!(self.role, Role::Standby)
    }

    pub(crate) fn claims(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn configure(&mut self, settings: HomeSettings) {
        self.settings = settings;
    }

    pub(crate) fn set_homes(&mut self, now: Moment, homes: &[HostName]) {
        let order = self.shard.order(&self.service, homes);
        let position = order.iter().position(|host| **host == self.me.host);
        self.rank = position.and_then(|position| u32::try_from(position).ok());
        self.next_read = self.next_read.min(now);
    }

    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether this process hands over the shard: it is stopping, or the
    /// document no longer lists it as a home.
    fn must_release(&self) -> bool {
        self.stopping || self.rank.is_none()
    }

    /// The interval at which a home that doesn't hold the shard reads the
    /// record.
    ///
    /// Later homes in the order read less often, so that a service's reads
    /// grow with the logarithm of its homes.
    fn poll_interval(&self) -> Duration {
        self.settings.renew_interval * (1 + self.rank.unwrap_or(0))
    }

    /// How long a claim is stored: as long as a retry may still arrive.
    fn retention(&self) -> Duration {
        self.settings.window + self.settings.max_transit + self.settings.clock_margin
    }

    pub(crate) fn submit(
        &mut self,
        now: Moment,
        request: &KeyedRequest,
        actions: &mut Vec<HomeAction>,
    ) {
        let key = ClaimKey::of(&request.account, &request.key);
        let fingerprint = first_half(request.fingerprint);
        let action = match self.table.get(key) {
            Some(entry) => Some(repeat_action(request.id, fingerprint, entry)),
            None => self.refuse_new(request.id),
        };
        if self.role == Role::Standby {
            // The holder may have failed, so the record is read again soon.
            let soon = self.last_read + self.settings.store_timeout;
            self.next_read = self.next_read.min(soon);
        }
        match action {
            Some(action) => actions.push(action),
            None => self.claim(now, key, request),
        }
    }

    /// The refusal or redirect of a new key that can't be claimed here now;
    /// none if it can be claimed.
    fn refuse_new(&self, id: RequestId) -> Option<HomeAction> {
        let refusal = match self.role {
            Role::Standby => match self.watch.holder() {
                Some(holder) if holder.host != self.me.host => {
                    return Some(HomeAction::Redirect(id, holder.host.clone()));
                }
                _ => Refusal::Unproved,
            },
            Role::Acquiring { .. }
            | Role::Loading { .. }
            | Role::Holding {
                refuse_until: Some(_),
            } => Refusal::Unproved,
            Role::Releasing => Refusal::Draining,
            Role::Holding { refuse_until: None } if self.must_release() => Refusal::Draining,
            Role::Holding { refuse_until: None }
                if self.table.len() >= self.settings.max_claims =>
            {
                Refusal::Busy
            }
            Role::Holding { refuse_until: None } => return None,
        };
        Some(HomeAction::Refuse(id, refusal))
    }

    fn claim(&mut self, now: Moment, key: ClaimKey, request: &KeyedRequest) {
        let fingerprint = first_half(request.fingerprint);
        let seq = self.change_log.push(Claim {
            key,
            fingerprint,
            state: ClaimState::Claimed,
        });
        let deadline = request.deadline;
        let entry = Entry {
            fingerprint,
            first: Some(request.id),
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
        let stored = self.settings.max_stored_bytes;
        if let Some(claim) = self.table.mark_ended(key, outcome, answer.cloned(), stored) {
            self.log_change(claim);
        }
        self.table.trim_bodies(self.settings.max_kept_bytes);
    }

    /// Revokes `id` if it waits; returns false if it was started or is unknown.
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

    /// Releases a key whose request certainly did not run.
    fn release(&mut self, key: ClaimKey) {
        let Some(entry) = self.table.remove(key) else {
            return;
        };
        if !self.change_log.retract(key) {
            self.log_change(Claim {
                key,
                fingerprint: entry.fingerprint,
                state: ClaimState::Released,
            });
        }
    }

    /// Appends a change to the log if this process holds the shard.
    fn log_change(&mut self, claim: Claim) {
        if self.is_holder() {
            self.change_log.push(claim);
        }
    }
}

/// The action for a request whose key is already claimed.
fn repeat_action(id: RequestId, fingerprint: u128, entry: &Entry) -> HomeAction {
    if entry.fingerprint != fingerprint {
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
