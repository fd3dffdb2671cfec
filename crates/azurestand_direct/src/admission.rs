//! Which requests of one service go first when its engines have too little capacity.
//!
//! Where routes of a service differ in priority, the less urgent ones often have the longer
//! latency targets. They may be sent to engines with a long queue, fill all engines up to
//! their own target, and leave none for urgent requests. So while more urgent requests arrive:
//!
//! - less urgent ones get free slots only, and leave time, and under pressure slots, for the
//!   urgent requests that are expected ([`Reserve`]);
//! - an entry queues no more requests than it is likely to place in time, and rejects those
//!   that cost callers least at once ([`AdmissionControl::displaced`]);
//! - each level is served at least a part as often as all requests ([`LeastShare`]).
//!
//! [docs/design/admission.md](../../../docs/design/admission.md) gives the reasons.

mod levels;
mod tally;

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;
use quick_error::quick_error;

use crate::engine::{CostModel, RequestSize};
use crate::lateness::{FIRST_BYTE_SHARE, max_wait};
use crate::queue::{QueuedRequest, RequestQueue};
pub use levels::{Levels, Urgency};
use tally::Tally;

/// How long a request delays others at its engine: until its first token, and until reports
/// include it.
const DELAY_TIME: Duration = Duration::from_millis(300);
/// While fewer urgent requests than this share have to wait or are rejected, nothing is kept.
const MIN_PRESSURE: f64 = 0.05;
/// The share at which all slots that they may need are kept.
const FULL_PRESSURE: f64 = 0.15;
/// The largest part of an engine's slots that is kept.
const MAX_KEPT_SHARE: f64 = 0.25;
/// Fewer expected urgent requests than this keep nothing.
const MIN_EXPECTED: f64 = 0.02;
/// A request that takes this many times the mean slot time of those queued is displaced first.
const HEAVY_FACTOR: f64 = 2.0;
/// How much later a rejected caller of the least urgent level returns than one of the most
/// urgent level, as a part of its time.
const RETURN_DELAY: f64 = 1.0;

quick_error! {
    /// Why a number is no least share.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LeastShareError {
        /// It is negative, above one or not a number.
        Invalid {
            display("a least share is a part from 0 to 1 of how often all requests are served")
        }
    }
}

/// How often the requests of each level are served at least, as a part of how often all are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeastShare(f64);

impl LeastShare {
    /// The share.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl Default for LeastShare {
    /// Two fifths.
    fn default() -> Self {
        Self(0.4)
    }
}

impl TryFrom<f64> for LeastShare {
    type Error = LeastShareError;

    fn try_from(share: f64) -> Result<Self, LeastShareError> {
        if (0.0..=1.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(LeastShareError::Invalid)
        }
    }
}

/// How many entries send to how many targets of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// The entries.
    pub entries: u32,
    /// The ready targets.
    pub targets: u32,
    /// The slots of one target.
    pub slots: u32,
}

/// What a less urgent request leaves for more urgent ones at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reserve {
    /// The slots that stay free beside its own.
    pub slots: u32,
    /// The longest predicted time to the first byte of a mean request.
    pub ceiling: Duration,
}

/// By what a request is ordered and limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Basis {
    /// By its own level.
    #[display("own")]
    Own,
    /// As one of the most urgent level, since its own one got less than its least share.
    #[display("least share")]
    LeastShare,
}

/// The terms on which one request is queued and placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Its own level: the number of more urgent ones. Where levels don't compete, the priority
    /// of its account or route.
    pub own: u8,
    /// The level by which it is queued.
    pub level: u8,
    /// Where that level comes from.
    pub basis: Basis,
}

/// The recent requests of some levels at one entry.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Requests per second.
    rate: f64,
    arrived: f64,
    /// Those that were not placed when they arrived.
    delayed: f64,
}

impl Arrivals {
    fn delayed_share(self) -> f64 {
        self.delayed / f64::max(self.arrived, 1.0)
    }
}

/// The admission of one service's requests at one entry.
#[derive(Debug, Clone, Default)]
pub struct AdmissionControl {
    levels: Levels,
    least_share: LeastShare,
    tallies: BTreeMap<u8, Tally>,
}

impl AdmissionControl {
    /// Sets the levels that compete, and the share that each of them keeps; without one,
    /// none compete.
    pub fn configure(&mut self, levels: Levels, least_share: Option<LeastShare>) {
        let levels = least_share.map_or_else(Levels::default, |_| levels);
        self.least_share = least_share.unwrap_or_default();
        if self.levels != levels {
            self.levels = levels;
            self.tallies.clear();
        }
    }

    /// Whether requests of different levels compete; otherwise nothing here applies.
    pub fn is_active(&self) -> bool {
        self.levels.compete()
    }

    /// Records a request that arrives, and returns its terms. `draw` is a random number from 0
    /// to 1.
    pub fn arrive(&mut self, now: Moment, urgency: Urgency, draw: f64) -> Terms {
        let level = if self.is_active() {
            self.levels.level(urgency)
        } else {
            urgency.account
        };
        let own = Terms {
            own: level,
            level,
            basis: Basis::Own,
        };
        if !self.is_active() {
            return own;
        }
        self.tallies.entry(level).or_default().arrived.add(now);
        if level == 0 {
            return own;
        }
        let share = self.least_share.get() * self.placed_share(now);
        let tally = self.tallies.entry(level).or_default();
        let missing = share * tally.arrived.at(now) - tally.placed.at(now);
        if missing >= 1.0 || (missing > 0.0 && draw < share) {
            return Terms {
                level: 0,
                basis: Basis::LeastShare,
                ..own
            };
        }
        own
    }

    /// Records that a request on these terms was sent to a target.
    pub fn record_placed(&mut self, now: Moment, terms: Terms) {
        if self.is_active() {
            self.tallies.entry(terms.own).or_default().placed.add(now);
        }
    }

    /// Records that a request on these terms was not placed when it arrived.
    pub fn record_delayed(&mut self, now: Moment, terms: Terms) {
        if self.is_active() {
            self.tallies.entry(terms.own).or_default().delayed.add(now);
        }
    }

    /// The share of recent requests of the most urgent level that were not placed when they
    /// arrived.
    pub fn urgent_delayed(&self, now: Moment) -> f64 {
        self.arrivals_above(now, 1).delayed_share()
    }

    /// What a request of this level leaves for more urgent ones; none if none are expected, or
    /// if these are placed anyway.
    pub fn reserve(
        &self,
        now: Moment,
        level: u8,
        engine: &CostModel,
        fleet: FleetSize,
    ) -> Option<Reserve> {
        let shortest = self.levels.shortest_above(level)?;
        let urgent = self.arrivals_above(now, level);
        let per_target = f64::from(fleet.entries) / f64::from(fleet.targets.max(1));
        let expected = urgent.rate * per_target * DELAY_TIME.as_secs_f64();
        let delayed_share = urgent.delayed_share();
        if expected < MIN_EXPECTED || delayed_share < MIN_PRESSURE {
            return None;
        }
        let pressure = (delayed_share / FULL_PRESSURE).min(1.0);
        let most_kept = f64::from(fleet.slots) * MAX_KEPT_SHARE;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let kept = (expected * pressure).min(most_kept).round() as u32;
        let urgent_ms = shortest.as_secs_f64() * 1_000.0 * FIRST_BYTE_SHARE;
        let ceiling = urgent_ms - expected * engine.read_time();
        // An engine with a free slot and nothing to read takes any request.
        let mean = RequestSize {
            prompt: engine.mean_prompt,
            answer: engine.mean_answer,
        };
        let running = fleet.slots.saturating_sub(1);
        let free = engine.first_token(mean, running, 0, fleet.slots);
        let ceiling = ceiling.max(free) / 1_000.0;
        Some(Reserve {
            slots: kept,
            ceiling: Duration::try_from_secs_f64(ceiling).unwrap_or(shortest),
        })
    }

    /// The part of all recent requests that was sent to a target.
    fn placed_share(&self, now: Moment) -> f64 {
        let tallies = self.tallies.values();
        let placed: f64 = tallies.clone().map(|tally| tally.placed.at(now)).sum();
        let arrived: f64 = tallies.map(|tally| tally.arrived.at(now)).sum();
        (placed / f64::max(arrived, 1.0)).min(1.0)
    }

    /// The recent requests of more urgent levels than this one.
    fn arrivals_above(&self, now: Moment, level: u8) -> Arrivals {
        let mut above = Arrivals::default();
        for (_, tally) in self.tallies.range(..level) {
            above.rate += tally.arrived.rate(now);
            above.arrived += tally.arrived.at(now);
            above.delayed += tally.delayed.at(now);
        }
        above
    }

    /// The number of queued requests that leave nothing for more urgent ones.
    pub fn unheld(&self, now: Moment, queue: &RequestQueue) -> usize {
        if !self.is_active() {
            return queue.len();
        }
        let is_unheld = |level| self.arrivals_above(now, level).delayed_share() < MIN_PRESSURE;
        let levels = queue.priorities();
        levels.filter(|level| is_unheld(*level)).count()
    }

    /// A queued request that is to be rejected now, since more are queued than are likely to be
    /// placed in time: of the least urgent ones the heaviest, if it is much heavier than the mean,
    /// else the oldest.
    pub fn displaced(&self, now: Moment, queue: &RequestQueue) -> Option<QueuedRequest> {
        if !self.is_active() {
            return None;
        }
        let last = queue.last_untried()?;
        let rates = self.tallies.values().map(|tally| tally.placed.rate(now));
        let placed_rate: f64 = rates.sum();
        let wait = max_wait(last.need.latency_target).as_secs_f64();
        let likely = 1.0 + placed_rate * wait;
        let queued = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        if f64::from(queued) <= likely {
            return None;
        }
        let heaviest = queue.heaviest_untried(last.rank.priority)?;
        let is_heavy = heaviest.need.slot_time > queue.mean_slot_time().mul_f64(HEAVY_FACTOR);
        Some(if is_heavy { heaviest } else { last })
    }

    /// When a rejected caller may return, where one of the most urgent level may after `time`.
    pub fn return_time(&self, terms: Terms, time: Duration) -> Duration {
        if !self.is_active() {
            return time;
        }
        let last = u32::try_from(self.levels.len()).unwrap_or(u32::MAX) - 1;
        let part = f64::from(terms.own) / f64::from(last);
        time.mul_f64(1.0 + RETURN_DELAY * part.min(1.0))
    }
}
