//! Which of the requests that seek a place at a target at the same time may claim it.
//!
//! Entries learn of a free place by the same report, within milliseconds of each other, and
//! of each other's sends only by the next one. With few entries the place gets a request or
//! two. With a hundred entries that all have requests waiting it gets a hundred: the target
//! refuses most of them and answers the others late, while the next place that becomes free
//! meets the same rush. So an entry claims a place only with the probability at which all
//! entries together claim it a few times. It assumes that the others have requests in search
//! of a place as often as it has itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

/// The time over which the number of requests in search of a place is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// How long a request that finds a place at once counts as having searched, which is the
/// interval of reports.
const SEARCH_TIME: Duration = Duration::from_millis(60);
/// How many more entries may claim the places of a target than there are, as not every one of
/// them then has a request that fits, and a target queues what comes in excess.
const EXCESS_CLAIMS: f64 = 2.0;

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

/// How many entries search for a place at the same time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Seekers {
    /// Those of one data centre, which get all reports of its targets.
    pub(super) near: f64,
    /// Those of all data centres.
    pub(super) all: f64,
}

/// The free places at one target.
#[derive(Debug, Clone)]
pub(super) struct Offer {
    /// The target.
    pub(super) id: Arc<str>,
    /// When the report that tells of them arrived; none if there was none.
    pub(super) report: Option<Moment>,
    /// Whether the target is in the data centre of this entry.
    pub(super) is_near: bool,
    /// How many there are.
    pub(super) places: f64,
}

impl Offer {
    /// How many entries may claim them.
    fn claims(&self) -> f64 {
        self.places + EXCESS_CLAIMS
    }
}

/// The reports whose free places this entry leaves to others.
#[derive(Debug, Clone, Default)]
pub(super) struct Claims {
    /// By target, when the report arrived.
    left: BTreeMap<Arc<str>, Moment>,
}

impl Claims {
    /// The targets among `offers` at which this entry may claim a place now. If there are
    /// places enough for all seekers, these are all; else what this entry has left to others
    /// remains so until the target's next report.
    pub(super) fn claim(
        &mut self,
        rng: &mut fastrand::Rng,
        offers: &[Offer],
        seekers: Seekers,
    ) -> BTreeSet<Arc<str>> {
        let near = offers.iter().filter(|offer| offer.is_near);
        let near: f64 = near.map(Offer::claims).sum();
        let all: f64 = offers.iter().map(Offer::claims).sum();
        let mut claimed = BTreeSet::new();
        for offer in offers {
            let (claims, seekers) = if offer.is_near {
                (near, seekers.near)
            } else {
                (all, seekers.all)
            };
            if claims >= seekers || self.admit(rng, offer, seekers) {
                claimed.insert(offer.id.clone());
            }
        }
        claimed
    }

    /// Whether this entry claims a place for which `seekers` entries search.
    fn admit(&mut self, rng: &mut fastrand::Rng, offer: &Offer, seekers: f64) -> bool {
        let Some(report) = offer.report else {
            return true;
        };
        if self.left.get(&offer.id) == Some(&report) {
            return false;
        }
        let is_admitted = rng.f64() * seekers < offer.claims();
        if !is_admitted {
            self.left.insert(offer.id.clone(), report);
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
