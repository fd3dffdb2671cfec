//! How a shard processes the store's answers.

use std::collections::BTreeMap;

use azurestand_types::{Moment, Refusal};

use super::super::change_log::PendingWrite;
use super::super::record::{Claim, ClaimState, CommitResult, Record, ShardContents, Version};
use super::super::table::EntryState;
use super::{Home, HomeAction, Role};

impl Home {
    pub(crate) fn committed(
        &mut self,
        now: Moment,
        write_number: u64,
        result: CommitResult,
        actions: &mut Vec<HomeAction>,
    ) {
        let expected = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.batch.record.write_number == write_number);
        if !expected {
            return;
        }
        self.in_flight = false;
        match result {
            CommitResult::Applied(version) => self.applied(now, version, actions),
            CommitResult::NotApplied => {
                if let Some(pending) = &mut self.pending {
                    pending.rejected = true;
                    self.next_read = now;
                }
            }
            // The same write is sent again; since it expects a version, it
            // takes effect only once.
            CommitResult::Unknown => {}
        }
    }

    pub(crate) fn read_failed(&mut self, now: Moment) {
        self.in_flight = false;
        self.next_read = now + self.settings.store_timeout;
    }

    pub(crate) fn loaded(
        &mut self,
        now: Moment,
        loaded: ShardContents,
        actions: &mut Vec<HomeAction>,
    ) {
        self.in_flight = false;
        if self.pending.is_some() {
            self.resolve(now, loaded.record, actions);
            return;
        }
        let own = self.own_record.as_ref().map(|(_, version)| *version);
        let read = loaded.record.as_ref().map(|(_, version)| *version);
        match self.role {
            Role::Standby => self.watch.observe(now, loaded.record),
            Role::Loading { proved } if read == own => self.load(now, proved, loaded.batches),
            Role::Loading { .. } => self.lose_shard(now, loaded.record, actions),
            Role::Acquiring { .. } | Role::Holding { .. } | Role::Releasing => {}
        }
        self.next_read = now + self.poll_interval();
    }

    /// Resolves a write that the store did not apply: it may have been because
    /// an earlier copy of it took effect.
    fn resolve(
        &mut self,
        now: Moment,
        record: Option<(Record, Version)>,
        actions: &mut Vec<HomeAction>,
    ) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        let version = record.as_ref().map(|(_, version)| *version);
        if version == pending.batch.expected_version {
            pending.rejected = false;
            return;
        }
        match record {
            Some((record, version)) if record == pending.batch.record => {
                self.applied(now, version, actions);
            }
            record => self.lose_shard(now, record, actions),
        }
    }

    fn applied(&mut self, now: Moment, version: Version, actions: &mut Vec<HomeAction>) {
        let Some(PendingWrite {
            batch,
            first_sent,
            last_change,
            ..
        }) = self.pending.take()
        else {
            return;
        };
        if let Some((own_record, _)) = &self.own_record {
            assert!(
                batch.record.write_number > own_record.write_number,
                "the write number of a record decreased"
            );
        }
        self.lease_end = first_sent + batch.record.lease - self.settings.clock_margin;
        self.change_log.remove_batches(&batch.dropped_batches);
        if !batch.claims.is_empty() {
            self.change_log.add_batch(now, batch.record.write_number);
        }
        let handed_over = batch.record.holder.is_none();
        self.own_record = Some((batch.record, version));
        match self.role {
            Role::Acquiring { proved } => {
                self.role = Role::Loading { proved };
                self.next_read = now;
            }
            _ if handed_over => self.reset(now),
            _ => self.run_committed(now, last_change, actions),
        }
    }

    /// Runs the requests whose claims are in the writes that took effect.
    ///
    /// A key that was released and claimed again has a later number than its
    /// first claim, so its request waits for the write that contains its own
    /// claim.
    fn run_committed(&mut self, now: Moment, last_change: u64, actions: &mut Vec<HomeAction>) {
        for key in self.table.claiming() {
            match self.table.get(key).map(|entry| &entry.state) {
                Some(EntryState::Claiming { deadline, seq })
                    if *deadline > now && *seq <= last_change =>
                {
                    actions.extend(self.table.mark_running(key).map(HomeAction::Run));
                }
                _ => {}
            }
        }
    }

    /// Loads the claims that the shard's earlier holders stored.
    fn load(&mut self, now: Moment, proved: bool, batches: Vec<(u64, Vec<Claim>)>) {
        let mut latest = BTreeMap::new();
        for (write_number, claims) in batches {
            self.change_log.add_batch(now, write_number);
            for claim in claims {
                match claim.state {
                    ClaimState::Released => latest.remove(&claim.key),
                    _ => latest.insert(claim.key, claim),
                };
            }
        }
        for claim in self
            .table
            .merge(now, &latest, self.settings.max_stored_bytes)
        {
            self.change_log.push(claim);
        }
        let refuse_until = (!proved).then(|| now + self.retention());
        self.role = Role::Holding { refuse_until };
    }

    /// Handles the takeover of the shard by another home.
    fn lose_shard(
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
        self.reset(now);
        self.watch.observe(now, record);
    }

    fn reset(&mut self, now: Moment) {
        self.role = Role::Standby;
        self.pending = None;
        self.own_record = None;
        self.lease_end = Moment::START;
        self.change_log.clear();
        self.table.remove_orphans();
        self.next_read = now;
    }
}
