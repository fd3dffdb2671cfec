//! Which of the requests that seek a place at a target at the same time may claim it.
//!
//! Entries learn of a free place by the same report, within milliseconds of each other, and
//! of each other's sends only by the next one. With few entries the place gets a request or
//! two. With a hundred entries that all have requests waiting it gets a hundred: the target
//! refuses most of them and answers the others late, while the next place that becomes free
//! meets the same rush. So an entry claims a place only with the probability at which all
//! entries together claim it a few times. It assumes that the others have as many requests in search
//! of a place as it has itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

/// The time over which the number of requests in search of a place is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// How long a request that finds a place at once counts as having searched, which is the
/// interval of reports.
const SEARCH_TIME: Duration = Duration::from_millis(60);
/// How many claims each place gets on average, as not every entry that may claim it then has a
/// request that fits, and a target that gets one too many queues it.
const CLAIMS_PER_PLACE: f64 = 2.0;

/// The mean number of requests of one service at this entry that search for a place.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    mean: f64,
    waiting: f64,
    updated: Option<Moment>,
}

impl Demand {
    /// Records the number of waiting requests from now on.
    pub(super) fn record_waiting(&mut self, now: Moment, waiting: usize) {
        self.mean = self.mean_at(now);
        self.updated = Some(now);
        self.waiting = f64::from(u32::try_from(waiting).unwrap_or(u32::MAX));
    }

    /// Records a request that has found a place.
    pub(super) fn record_send(&mut self, now: Moment) {
        self.mean = self.mean_at(now) + SEARCH_TIME.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.updated = Some(now);
    }

    /// The mean number of requests in search of a place.
    pub(super) fn mean_at(&self, now: Moment) -> f64 {
        let Some(updated) = self.updated else {
            return self.waiting;
        };
        let times = now.since(updated).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.waiting + (self.mean - self.waiting) * (-times).exp()
    }
}

/// The reports whose free places this entry leaves to others.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    /// By target, when the report arrived.
    left: BTreeMap<Arc<str>, Moment>,
}

impl Claims {
    /// Whether this entry may claim one of the `places` at the target `id` that the report
    /// received at `report` tells of, for which `seekers` requests search at all entries.
    /// Once it has left them to others, it does so until the next report.
    pub(super) fn admit(
        &mut self,
        rng: &mut fastrand::Rng,
        id: &Arc<str>,
        report: Moment,
        places: f64,
        seekers: f64,
    ) -> bool {
        if self.left.get(id) == Some(&report) {
            return false;
        }
        let is_admitted = rng.f64() * seekers < places + CLAIMS_PER_PLACE;
        if !is_admitted {
            self.left.insert(id.clone(), report);
        }
        is_admitted
    }

    /// Forgets the targets for which `is_listed` returns false.
    pub(super) fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&Arc<str>) -> bool,
    {
        self.left.retain(|id, _| is_listed(id));
    }
}
