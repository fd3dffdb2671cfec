//! When a home that doesn't hold a shard may take it over.

use std::time::Duration;

use azurestand_types::Moment;

use super::HomeSettings;
use super::record::{Holder, Record, Version};

/// The record of a shard as last read, and since when it hasn't changed.
///
/// The holder rewrites its record at least once in each renewal interval. A
/// takeover waits for the end of its lease on this process's clock alone, from
/// the moment when the version was first read, which is never before the holder
/// wrote it.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    observed: Option<Observed>,
}

#[derive(Debug)]
struct Observed {
    record: Option<(Record, Version)>,
    first_read: Moment,
}

impl Watch {
    pub(crate) fn observe(&mut self, now: Moment, record: Option<(Record, Version)>) {
        let version = |record: &Option<(Record, Version)>| record.as_ref().map(|(_, v)| *v);
        let same = self
            .observed
            .as_ref()
            .is_some_and(|observed| version(&observed.record) == version(&record));
        if !same {
            self.observed = Some(Observed {
                record,
                first_read: now,
            });
        }
    }

    /// The holder of the shard in the record last read.
    pub(crate) fn holder(&self) -> Option<&Holder> {
        let (record, _) = self.observed.as_ref()?.record.as_ref()?;
        record.holder.as_ref()
    }

    /// Whether this process may take over the shard now.
    ///
    /// `rank` is the position of `me` in the shard's order of homes.
    pub(crate) fn may_take_over(
        &self,
        now: Moment,
        me: &Holder,
        rank: u32,
        settings: &HomeSettings,
    ) -> bool {
        let Some(observed) = &self.observed else {
            return false;
        };
        let rank_delay = settings.takeover_step * rank;
        let wait = match &observed.record {
            None => rank_delay,
            Some((record, _)) => match &record.holder {
                // The shard was handed over and callers wait, so a quick
                // takeover matters more than the order of homes.
                None => settings.store_timeout * rank,
                // This process wrote the record itself, and the answer was
                // lost.
                Some(holder) if holder == me => Duration::ZERO,
                // All runs of the earlier incarnation have claims in the store,
                // so the version check alone fences it off. An earlier
                // incarnation that resumes after a pause must wait for the
                // lease of the later one.
                Some(holder) if record.proved && holder.is_earlier(me) => Duration::ZERO,
                Some(_) => record.lease + settings.clock_margin + rank_delay,
            },
        };
        now.since(observed.first_read) >= wait
    }

    /// The record as last read.
    pub(crate) fn into_record(self) -> Option<(Record, Version)> {
        self.observed.and_then(|observed| observed.record)
    }
}
