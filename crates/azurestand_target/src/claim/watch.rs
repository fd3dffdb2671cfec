//! When a home that doesn't hold a shard may take it over.

use std::time::Duration;

use azurestand_types::Moment;

use super::HomeSettings;
use super::record::{Holder, Record, Version};

/// What was last read of a shard's record, and since when it hasn't changed.
///
/// The holder rewrites its record at least every renewal. Its lease is waited
/// out on this process's clock alone: from the moment when a version was first
/// seen, which is never before the holder wrote it.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    seen: Option<Seen>,
}

#[derive(Debug)]
struct Seen {
    record: Option<(Record, Version)>,
    first: Moment,
}

impl Watch {
    pub(crate) fn note(&mut self, now: Moment, record: Option<(Record, Version)>) {
        let version = |record: &Option<(Record, Version)>| record.as_ref().map(|(_, v)| *v);
        let same = self
            .seen
            .as_ref()
            .is_some_and(|seen| version(&seen.record) == version(&record));
        if !same {
            self.seen = Some(Seen { record, first: now });
        }
    }

    /// Who holds the shard, as far as was read.
    pub(crate) fn holder(&self) -> Option<&Holder> {
        let (record, _) = self.seen.as_ref()?.record.as_ref()?;
        record.holder.as_ref()
    }

    /// Whether the time to take the shard over has come.
    ///
    /// `rank` is the place of `me` in the shard's order of homes.
    pub(crate) fn is_due(
        &self,
        now: Moment,
        me: &Holder,
        rank: u32,
        settings: &HomeSettings,
    ) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let turn = settings.step * rank;
        let wait = match &seen.record {
            None => turn,
            Some((record, _)) => match &record.holder {
                // Handed on: callers wait, so the order matters less than time.
                None => settings.patience * rank,
                // This process's own write, whose answer was lost.
                Some(holder) if holder == me => Duration::ZERO,
                // Every run of an earlier life was proved, so that the version
                // alone fences it. An earlier life that wakes has to wait.
                Some(holder) if record.proved && holder.is_before(me) => Duration::ZERO,
                Some(_) => record.lease + settings.margin + turn,
            },
        };
        now.since(seen.first) >= wait
    }

    /// The record that was read last.
    pub(crate) fn into_record(self) -> Option<(Record, Version)> {
        self.seen.and_then(|seen| seen.record)
    }
}
