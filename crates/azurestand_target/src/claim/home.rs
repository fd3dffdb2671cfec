//! One shard, as one process holds or watches it.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::Uncertainty;
use azurestand_types::{Epoch, HostName, Moment, Outcome, Refusal, RequestId, ServiceName};
use bytes::Bytes;

use super::key::{ClaimKey, Shard, short};
use super::log::{Log, Sending};
use super::record::{Batch, Claim, ClaimState, Committed, Holder, Loaded, Record, Version};
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

    pub(crate) fn committed(
        &mut self,
        now: Moment,
        beat: u64,
        result: Committed,
        actions: &mut Vec<HomeAction>,
    ) {
        let awaited = self
            .sending
            .as_ref()
            .is_some_and(|sending| sending.batch.record.beat == beat);
        if !awaited {
            return;
        }
        self.asked = false;
        match result {
            Committed::Applied(version) => self.applied(now, version, actions),
            Committed::NotApplied => {
                if let Some(sending) = &mut self.sending {
                    sending.refused = true;
                    self.next_read = now;
                }
            }
            // The same write is sent again: its version lets it take effect once.
            Committed::Unknown => {}
        }
    }

    pub(crate) fn read_failed(&mut self, now: Moment) {
        self.asked = false;
        self.next_read = now + self.settings.patience;
    }

    pub(crate) fn loaded(&mut self, now: Moment, loaded: Loaded, actions: &mut Vec<HomeAction>) {
        self.asked = false;
        if self.sending.is_some() {
            self.resolve(now, loaded.record, actions);
            return;
        }
        let mine = self.own.as_ref().map(|(_, version)| *version);
        let read = loaded.record.as_ref().map(|(_, version)| *version);
        match self.duty {
            Duty::Watching => self.watch.note(now, loaded.record),
            Duty::Loading { proved } if read == mine => self.learn(now, proved, loaded.batches),
            Duty::Loading { .. } => self.lose(now, loaded.record, actions),
            Duty::Taking { .. } | Duty::Holding { .. } | Duty::Leaving => {}
        }
        self.next_read = now + self.poll_gap();
    }

    /// Settles a write that the store refused: was it an earlier copy's effect?
    fn resolve(
        &mut self,
        now: Moment,
        record: Option<(Record, Version)>,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(sending) = &mut self.sending else {
            return;
        };
        let version = record.as_ref().map(|(_, version)| *version);
        if version == sending.batch.expect {
            sending.refused = false;
            return;
        }
        match record {
            Some((record, version)) if record == sending.batch.record => {
                self.applied(now, version, actions);
            }
            record => self.lose(now, record, actions),
        }
    }

    fn applied(&mut self, now: Moment, version: Version, actions: &mut Vec<HomeAction>) {
        let Some(Sending {
            batch, first, upto, ..
        }) = self.sending.take()
        else {
            return;
        };
        if let Some((own, _)) = &self.own {
            assert!(batch.record.beat > own.beat, "a record's beat went back");
        }
        self.lease_end = first + batch.record.lease - self.settings.margin;
        self.log.note_dropped(&batch.drop);
        if !batch.claims.is_empty() {
            self.log.note_beat(now, batch.record.beat);
        }
        let handed_on = batch.record.holder.is_none();
        self.own = Some((batch.record, version));
        match self.duty {
            Duty::Taking { proved } => {
                self.duty = Duty::Loading { proved };
                self.next_read = now;
            }
            _ if handed_on => self.stop(now),
            _ => self.run_durable(now, upto, actions),
        }
    }

    /// Runs what was claimed in the writes that took effect.
    ///
    /// A key that was freed and claimed again has a later number than its
    /// first claim, so it waits for the write that holds its own claim.
    fn run_durable(&mut self, now: Moment, upto: u64, actions: &mut Vec<HomeAction>) {
        for key in self.table.claiming() {
            match self.table.get(key).map(|entry| &entry.state) {
                Some(EntryState::Claiming { deadline, seq }) if *deadline > now && *seq <= upto => {
                    actions.extend(self.table.run(key).map(HomeAction::Run));
                }
                _ => {}
            }
        }
    }

    /// Takes in the claims of the shard's earlier holders.
    fn learn(&mut self, now: Moment, proved: bool, batches: Vec<(u64, Vec<Claim>)>) {
        let mut known = BTreeMap::new();
        for (beat, claims) in batches {
            self.log.note_beat(now, beat);
            for claim in claims {
                match claim.state {
                    ClaimState::Released => known.remove(&claim.key),
                    _ => known.insert(claim.key, claim),
                };
            }
        }
        for claim in self.table.merge(now, &known, self.settings.stored) {
            self.log.push(claim);
        }
        let quiet = (!proved).then(|| now + self.retain());
        self.duty = Duty::Holding { quiet };
    }

    /// Another home has taken the shard over.
    fn lose(
        &mut self,
        now: Moment,
        record: Option<(Record, Version)>,
        actions: &mut Vec<HomeAction>,
    ) {
        for key in self.table.claiming() {
            let entry = self.table.remove(key);
            let id = entry.and_then(|entry| entry.first);
            actions.extend(id.map(|id| HomeAction::Refuse(id, Refusal::Unproved)));
        }
        self.stop(now);
        self.watch.note(now, record);
    }

    fn stop(&mut self, now: Moment) {
        self.duty = Duty::Watching;
        self.sending = None;
        self.own = None;
        self.lease_end = Moment::START;
        self.log.clear();
        self.table.forget_orphans();
        self.next_read = now;
    }

    /// Does what time or the last event made due; at most one call of the
    /// store is outstanding, so that answers come in the order of the calls.
    pub(crate) fn drive(&mut self, now: Moment, gap: Duration, actions: &mut Vec<HomeAction>) {
        self.end_quiet(now);
        self.expire(now, actions);
        self.run_on_memory(now, actions);
        if self.asked {
            return;
        }
        let action = if self.sending.is_some() {
            self.settle(now, gap)
        } else {
            match self.duty {
                Duty::Watching => self.take_over(now, gap).or_else(|| self.read(now, false)),
                Duty::Loading { .. } => self.read(now, true),
                Duty::Holding { .. } => self.write(now, gap),
                Duty::Taking { .. } | Duty::Leaving => None,
            }
        };
        if let Some(action) = action {
            self.asked = true;
            actions.push(action);
        }
    }

    fn end_quiet(&mut self, now: Moment) {
        if let Duty::Holding { quiet: Some(end) } = self.duty
            && now >= end
        {
            self.duty = Duty::Holding { quiet: None };
        }
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        for key in self.table.claiming() {
            let Some(entry) = self.table.get(key) else {
                continue;
            };
            if let (EntryState::Claiming { deadline, .. }, Some(id)) = (&entry.state, entry.first)
                && *deadline <= now
            {
                self.release(key);
                actions.push(HomeAction::Refuse(id, Refusal::Expired));
            }
        }
        let retain = self.retain();
        self.table.expire(now, retain);
    }

    /// Runs what has waited for a silent store, while no successor can serve.
    fn run_on_memory(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        if !self.may_use_memory(now) {
            return;
        }
        for key in self.table.claiming() {
            let waited = self
                .table
                .get(key)
                .is_some_and(|entry| now.since(entry.since) >= self.settings.patience);
            if waited {
                actions.extend(self.table.run(key).map(HomeAction::Run));
            }
        }
    }

    /// Whether a run that left no claim in the store is safe now.
    ///
    /// The record in force must say that runs may leave no claim, and so must
    /// any write that may take effect; then a successor waits out this lease
    /// and refuses everything for the retry window.
    fn may_use_memory(&self, now: Moment) -> bool {
        let holding = matches!(self.duty, Duty::Holding { quiet: None });
        let open = self.own.as_ref().is_some_and(|(own, _)| !own.proved);
        let sent = self.sending.as_ref();
        let stays_open = sent.is_none_or(|sending| !sending.batch.record.proved);
        let wanted = self.settings.outage == Outage::Memory;
        holding && open && stays_open && wanted && now < self.lease_end
    }

    /// Sends an unsettled write again, or reads what became of it.
    fn settle(&mut self, now: Moment, gap: Duration) -> Option<HomeAction> {
        let sending = self.sending.as_ref()?;
        if sending.refused {
            let shard = self.shard;
            return (now >= self.next_read).then_some(HomeAction::Read {
                shard,
                claims: false,
            });
        }
        if !self.log.may_send(now, gap.max(self.settings.patience)) {
            return None;
        }
        let batch = sending.batch.clone();
        self.log.note_send(now);
        Some(HomeAction::Commit(self.shard, batch))
    }

    fn read(&mut self, now: Moment, claims: bool) -> Option<HomeAction> {
        if now < self.next_read || (self.is_leaving() && !claims) {
            return None;
        }
        let shard = self.shard;
        Some(HomeAction::Read { shard, claims })
    }

    /// How often a home that doesn't hold the shard reads the record.
    ///
    /// Later homes in the order read less often, so that a service's reads
    /// grow with the logarithm of its homes.
    fn poll_gap(&self) -> Duration {
        self.settings.renew * (1 + self.rank.unwrap_or(0))
    }

    fn take_over(&mut self, now: Moment, gap: Duration) -> Option<HomeAction> {
        let rank = self.rank.filter(|_| !self.leaving)?;
        if !self.log.may_send(now, gap) {
            return None;
        }
        if !self.watch.is_due(now, &self.me, rank, &self.settings) {
            return None;
        }
        let before = std::mem::take(&mut self.watch).into_record();
        let expect = before.as_ref().map(|(_, version)| *version);
        let proved = before.as_ref().is_none_or(|(record, _)| record.proved);
        let (epoch, beat) = before.map_or((Epoch(0), 0), |(record, _)| (record.epoch, record.beat));
        let record = Record {
            epoch: epoch.next(),
            holder: Some(self.me.clone()),
            beat: beat + 1,
            proved: proved && self.settings.outage == Outage::Wait,
            lease: self.settings.lease,
        };
        self.duty = Duty::Taking { proved };
        Some(self.send(now, Batch::of(expect, record)))
    }

    /// The holder's next write, if one is due.
    fn write(&mut self, now: Moment, gap: Duration) -> Option<HomeAction> {
        if !self.log.may_send(now, gap) {
            return None;
        }
        let (own, version) = self.own.clone()?;
        let leaves = self.is_leaving() && self.log.is_empty() && !self.table.has_work();
        let quiet = !matches!(self.duty, Duty::Holding { quiet: None });
        let renew = self
            .log
            .last_send()
            .is_none_or(|last| now.since(last) >= self.settings.renew);
        let claims = self.log.take();
        // A record that called all runs proved goes on doing so; one that didn't
        // may begin to only with the last claim in the store.
        let complete = own.proved || (self.log.is_empty() && !quiet);
        let proved = complete && (leaves || self.settings.outage == Outage::Wait);
        if !(leaves || renew || proved != own.proved || !claims.is_empty()) {
            return None;
        }
        let record = Record {
            epoch: own.epoch,
            holder: (!leaves).then(|| self.me.clone()),
            beat: own.beat + 1,
            proved,
            lease: self.settings.lease,
        };
        if leaves {
            self.duty = Duty::Leaving;
        }
        let drop = self.log.old_beats(now, self.retain());
        let batch = Batch {
            claims,
            drop,
            ..Batch::of(Some(version), record)
        };
        Some(self.send(now, batch))
    }

    fn send(&mut self, now: Moment, batch: Batch) -> HomeAction {
        self.log.note_send(now);
        // The write may take effect unnoticed, so that a shorter lease binds at once.
        let lease_end = now + batch.record.lease - self.settings.margin;
        self.lease_end = self.lease_end.min(lease_end);
        self.sending = Some(Sending {
            batch: batch.clone(),
            first: now,
            upto: self.log.taken(),
            refused: false,
        });
        HomeAction::Commit(self.shard, batch)
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
