//! What a shard does once its time has come.

use azurestand_types::{Epoch, Moment, Refusal};

use super::super::log::Sending;
use super::super::record::{Batch, Record};
use super::{Duty, Home, HomeAction, Outage};

impl Home {
    /// Does what time or the last event made due, and says whether it writes.
    ///
    /// At most one call of the store is outstanding, so that answers come in
    /// the order of the calls.
    pub(crate) fn drive(
        &mut self,
        now: Moment,
        may_write: bool,
        actions: &mut Vec<HomeAction>,
    ) -> bool {
        self.end_quiet(now);
        self.expire(now, actions);
        self.run_on_memory(now, actions);
        if self.asked {
            return false;
        }
        let write = if may_write { self.write(now) } else { None };
        let Some(action) = write.or_else(|| self.read(now)) else {
            return false;
        };
        self.asked = true;
        let writes = matches!(action, HomeAction::Commit(..));
        if !writes {
            self.last_read = now;
        }
        actions.push(action);
        writes
    }

    fn write(&mut self, now: Moment) -> Option<HomeAction> {
        if self.sending.is_some() {
            return self.repeat_write(now);
        }
        match self.duty {
            Duty::Watching => self.take_over(now),
            Duty::Holding { .. } => self.keep(now),
            Duty::Taking { .. } | Duty::Loading { .. } | Duty::Leaving => None,
        }
    }

    fn read(&self, now: Moment) -> Option<HomeAction> {
        let claims = match (&self.sending, self.duty) {
            // Did an earlier copy of the refused write take effect?
            (Some(sending), _) if sending.refused => false,
            (None, Duty::Loading { .. }) => true,
            (None, Duty::Watching) if !self.is_leaving() => false,
            _ => return None,
        };
        let shard = self.shard;
        (now >= self.next_read).then_some(HomeAction::Read { shard, claims })
    }

    fn end_quiet(&mut self, now: Moment) {
        if let Duty::Holding { quiet: Some(end) } = self.duty
            && now >= end
        {
            self.duty = Duty::Holding { quiet: None };
        }
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        while let Some(key) = self.table.late(now) {
            let first = self.table.get(key).and_then(|entry| entry.first);
            self.release(key);
            actions.extend(first.map(|id| HomeAction::Refuse(id, Refusal::Expired)));
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

    /// Sends a write again whose answer didn't come.
    fn repeat_write(&mut self, now: Moment) -> Option<HomeAction> {
        let sending = self.sending.as_ref().filter(|sending| !sending.refused)?;
        if self.log.since_send(now) < self.settings.patience {
            return None;
        }
        let batch = sending.batch.clone();
        self.log.note_send(now);
        Some(HomeAction::Commit(self.shard, batch))
    }

    fn take_over(&mut self, now: Moment) -> Option<HomeAction> {
        let rank = self.rank.filter(|_| !self.leaving)?;
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
    fn keep(&mut self, now: Moment) -> Option<HomeAction> {
        let (own, version) = self.own.clone()?;
        let leaves = self.is_leaving() && self.log.is_empty() && !self.table.has_work();
        let quiet = !matches!(self.duty, Duty::Holding { quiet: None });
        let renew = self.log.since_send(now) >= self.settings.renew;
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
