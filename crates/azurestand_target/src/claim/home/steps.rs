//! The time-driven steps of a shard.

use azurestand_types::{Epoch, Moment, Refusal};

use super::super::change_log::PendingWrite;
use super::super::record::{Batch, Record};
use super::{Home, HomeAction, Outage, Role};

impl Home {
    /// Takes the steps that are due now and returns whether one of them is a
    /// write.
    ///
    /// At most one call to the store is outstanding, so that answers arrive in
    /// the order of the calls.
    pub(crate) fn advance(
        &mut self,
        now: Moment,
        may_write: bool,
        actions: &mut Vec<HomeAction>,
    ) -> bool {
        self.end_refusal(now);
        self.expire(now, actions);
        self.run_in_memory(now, actions);
        if self.in_flight {
            return false;
        }
        let write = if may_write { self.write(now) } else { None };
        let Some(action) = write.or_else(|| self.read(now)) else {
            return false;
        };
        self.in_flight = true;
        let writes = matches!(action, HomeAction::Commit(..));
        if !writes {
            self.last_read = now;
        }
        actions.push(action);
        writes
    }

    fn write(&mut self, now: Moment) -> Option<HomeAction> {
        if self.pending.is_some() {
            return self.repeat_write(now);
        }
        match self.role {
            Role::Standby => self.take_over(now),
            Role::Holding { .. } => self.next_write(now),
            Role::Acquiring { .. } | Role::Loading { .. } | Role::Releasing => None,
        }
    }

    fn read(&self, now: Moment) -> Option<HomeAction> {
        let claims = match (&self.pending, self.role) {
            // The record shows whether an earlier copy of the rejected write
            // took effect.
            (Some(pending), _) if pending.rejected => false,
            (None, Role::Loading { .. }) => true,
            (None, Role::Standby) if !self.must_release() => false,
            _ => return None,
        };
        let shard = self.shard;
        (now >= self.next_read).then_some(HomeAction::Read { shard, claims })
    }

    fn end_refusal(&mut self, now: Moment) {
        if let Role::Holding {
            refuse_until: Some(end),
        } = self.role
            && now >= end
        {
            self.role = Role::Holding { refuse_until: None };
        }
    }

    fn expire(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        while let Some(key) = self.table.overdue(now) {
            let first = self.table.get(key).and_then(|entry| entry.first);
            self.release(key);
            actions.extend(first.map(|id| HomeAction::Refuse(id, Refusal::Expired)));
        }
        let retention = self.retention();
        self.table.expire(now, retention);
    }

    /// Runs requests that have waited too long for the store, as long as no
    /// successor can serve.
    fn run_in_memory(&mut self, now: Moment, actions: &mut Vec<HomeAction>) {
        if !self.may_run_in_memory(now) {
            return;
        }
        for key in self.table.claiming() {
            let waited = self
                .table
                .get(key)
                .is_some_and(|entry| now.since(entry.since) >= self.settings.store_timeout);
            if waited {
                actions.extend(self.table.mark_running(key).map(HomeAction::Run));
            }
        }
    }

    /// Whether a request may run now without a claim in the store.
    ///
    /// Both the current record and any pending write must be marked as not
    /// proved: then a successor waits until this lease has ended and refuses
    /// all new keys for the retry window.
    fn may_run_in_memory(&self, now: Moment) -> bool {
        let holding = matches!(self.role, Role::Holding { refuse_until: None });
        let unproved = self
            .own_record
            .as_ref()
            .is_some_and(|(own_record, _)| !own_record.proved);
        let sent = self.pending.as_ref();
        let stays_unproved = sent.is_none_or(|pending| !pending.batch.record.proved);
        let allowed = self.settings.outage == Outage::Memory;
        holding && unproved && stays_unproved && allowed && now < self.lease_end
    }

    /// Sends a write again whose answer is overdue.
    fn repeat_write(&mut self, now: Moment) -> Option<HomeAction> {
        let pending = self.pending.as_ref().filter(|pending| !pending.rejected)?;
        if self.change_log.since_send(now) < self.settings.store_timeout {
            return None;
        }
        let batch = pending.batch.clone();
        self.change_log.record_send(now);
        Some(HomeAction::Commit(self.shard, batch))
    }

    fn take_over(&mut self, now: Moment) -> Option<HomeAction> {
        let rank = self.rank.filter(|_| !self.stopping)?;
        if !self
            .watch
            .may_take_over(now, &self.me, rank, &self.settings)
        {
            return None;
        }
        let previous = std::mem::take(&mut self.watch).into_record();
        let expected_version = previous.as_ref().map(|(_, version)| *version);
        let proved = previous.as_ref().is_none_or(|(record, _)| record.proved);
        let (epoch, number) =
            previous.map_or((Epoch(0), 0), |(last, _)| (last.epoch, last.write_number));
        let record = Record {
            epoch: epoch.next(),
            holder: Some(self.me.clone()),
            write_number: number + 1,
            proved: proved && self.settings.outage == Outage::Wait,
            lease: self.settings.lease,
        };
        self.role = Role::Acquiring { proved };
        Some(self.send(now, Batch::of(expected_version, record)))
    }

    /// The holder's next write, if one is due.
    fn next_write(&mut self, now: Moment) -> Option<HomeAction> {
        let (own_record, version) = self.own_record.clone()?;
        let releases = self.must_release() && self.change_log.is_empty() && !self.table.has_work();
        let refuses = !matches!(self.role, Role::Holding { refuse_until: None });
        let renew = self.change_log.since_send(now) >= self.settings.renew_interval;
        let claims = self.change_log.next_batch();
        // A record that is marked as proved stays so; one that isn't may be
        // marked only once the last claim is in the store.
        let all_claimed = own_record.proved || (self.change_log.is_empty() && !refuses);
        let proved = all_claimed && (releases || self.settings.outage == Outage::Wait);
        if !(releases || renew || proved != own_record.proved || !claims.is_empty()) {
            return None;
        }
        let record = Record {
            epoch: own_record.epoch,
            holder: (!releases).then(|| self.me.clone()),
            write_number: own_record.write_number + 1,
            proved,
            lease: self.settings.lease,
        };
        if releases {
            self.role = Role::Releasing;
        }
        let dropped_batches = self.change_log.expired_batches(now, self.retention());
        let batch = Batch {
            claims,
            dropped_batches,
            ..Batch::of(Some(version), record)
        };
        Some(self.send(now, batch))
    }

    fn send(&mut self, now: Moment, batch: Batch) -> HomeAction {
        self.change_log.record_send(now);
        // The write may take effect even if its answer is lost, so a shorter
        // lease applies at once.
        let lease_end = now + batch.record.lease - self.settings.clock_margin;
        self.lease_end = self.lease_end.min(lease_end);
        self.pending = Some(PendingWrite {
            batch: batch.clone(),
            first_sent: now,
            last_change: self.change_log.last_taken(),
            rejected: false,
        });
        HomeAction::Commit(self.shard, batch)
    }
}
