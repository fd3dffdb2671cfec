//! What the store's answers mean to a shard.

use std::collections::BTreeMap;

use azurestand_types::{Moment, Refusal};

use super::super::log::Sending;
use super::super::record::{Claim, ClaimState, Committed, Loaded, Record, Version};
use super::super::table::EntryState;
use super::{Duty, Home, HomeAction};

impl Home {
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
}
