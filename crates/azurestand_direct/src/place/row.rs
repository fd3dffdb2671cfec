//! What one entry knows of one target.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

use super::{Fault, Report, Wanted};
use crate::cold::{ColdRate, ColdShare};
use crate::directory::Target;

/// The first pause after a refusal; each further one in a row doubles it.
const REFUSED_PAUSE: Duration = Duration::from_millis(120);
/// The first pause of a target that can't be reached or is silent.
const BROKEN_PAUSE: Duration = Duration::from_millis(400);
/// The most doublings of a pause.
const MOST_DOUBLINGS: u32 = 4;
/// How much one outcome moves the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// What a target that fails everything is counted slower by, in milliseconds.
const FAILURE_MS: f64 = 1_000.0;
/// What a plain service is expected to take for a request, in milliseconds.
const PLAIN_MS: f64 = 40.0;
/// A target whose reports have stopped for this long is suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(450);
/// Requests beyond its slots that a target may hold, as a part of its slots.
const QUEUE_SHARE: u32 = 2;
/// How long a report tells what others have at a target.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// How long a send isn't seen in reports yet.
const REPORT_LAG: Duration = Duration::from_millis(130);

/// How much longer than until it closes a request may last at a target, in milliseconds.
const OVERRUN_MS: f64 = 250.0;
/// The same where no other target has room.
const OVERRUN_MOST_MS: f64 = 700.0;

/// A target that closes within this time takes nothing more.
const CLOSING_NOTICE: Duration = Duration::from_millis(100);

/// One target and its state as this entry sees it.
#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) target: Arc<Target>,
    /// What this entry has there.
    own: Report,
    /// What the other entries had there at the last report.
    others: Report,
    heard: Option<Moment>,
    /// When an agent last told about it.
    told: Option<Moment>,
    /// When this entry sent lately.
    recent: VecDeque<Moment>,
    cold_until: Moment,
    cold: ColdRate,
    paused_until: Moment,
    strikes: u32,
    failing: f64,
    /// From when on it takes nothing, as while it loads weights.
    closes_at: Option<Moment>,
}

impl Row {
    pub(super) fn new(now: Moment, target: Arc<Target>) -> Self {
        Self {
            own: Report::default(),
            others: Report::default(),
            heard: None,
            told: None,
            recent: VecDeque::new(),
            cold_until: now + target.cold,
            cold: ColdRate::new(now),
            paused_until: now,
            strikes: 0,
            failing: 0.0,
            closes_at: None,
            target,
        }
    }

    /// Takes in a newer entry of the list for the same life.
    pub(super) fn update(&mut self, now: Moment, target: &Arc<Target>) {
        if self.target == *target {
            return;
        }
        if target.cold != self.target.cold {
            self.cold_until = self.cold_until.max(now + target.cold);
        }
        self.target = target.clone();
    }

    pub(super) fn report(&mut self, now: Moment, report: Report) {
        self.others = Report {
            running: report.running.saturating_sub(self.own.running),
            waiting: report.waiting.saturating_sub(self.own.waiting),
        };
        self.heard = Some(now);
    }

    /// Whether reports about the target came and have stopped.
    pub(super) fn is_suspect(&self, now: Moment) -> bool {
        self.told.is_some_and(|at| now.since(at) >= SUSPECT_AFTER)
    }

    /// Whether reports about the target come.
    pub(super) fn is_told(&self, now: Moment) -> bool {
        self.told.is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }

    /// Takes in that a report about the target came.
    pub(super) fn tell(&mut self, now: Moment) {
        self.told = Some(now);
    }

    pub(super) fn set_closing(&mut self, closes_at: Option<Moment>) {
        self.closes_at = closes_at;
    }

    /// When the target closes, as far as is known.
    fn closes_at(&self, now: Moment) -> Option<Moment> {
        self.closes_at.filter(|_| self.is_heard(now))
    }

    /// How much longer than until the target closes the request is likely to
    /// last, in milliseconds.
    fn overrun(&self, now: Moment, wanted: &Wanted<'_>) -> f64 {
        let closes_at = self.closes_at(now);
        let Some((closes_at, engine)) = closes_at.zip(wanted.service.engine.as_ref()) else {
            return 0.0;
        };
        let stay = engine.stay(wanted.work, self.load(now).running);
        stay - closes_at.since(now).as_secs_f64() * 1_000.0
    }

    /// Whether the request is likely to end before the target closes.
    pub(super) fn ends_in_time(&self, now: Moment, wanted: &Wanted<'_>) -> bool {
        self.overrun(now, wanted) <= OVERRUN_MS
    }

    pub(super) fn send(&mut self, now: Moment, cold_rate: Option<f64>, share: &ColdShare) {
        self.own.waiting += 1;
        while self
            .recent
            .front()
            .is_some_and(|at| now.since(*at) >= REPORT_LAG)
        {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let limit = cold_rate.and_then(|rate| share.limit(&self.target.id, rate));
        if let Some(limit) = limit.filter(|_| self.is_cold(now)) {
            self.cold.spend(now, limit);
        }
    }

    /// A request of this entry has got its first byte.
    pub(super) fn begin(&mut self) {
        self.own.waiting = self.own.waiting.saturating_sub(1);
        self.own.running += 1;
    }

    pub(super) fn end(&mut self, began: bool) {
        let count = if began {
            &mut self.own.running
        } else {
            &mut self.own.waiting
        };
        *count = count.saturating_sub(1);
    }

    pub(super) fn work(&mut self) {
        self.strikes = 0;
        self.failing -= self.failing * OUTCOME_WEIGHT;
    }

    pub(super) fn fail(&mut self, now: Moment, fault: Fault) {
        let first = match fault {
            Fault::Refused => REFUSED_PAUSE,
            Fault::Failed => Duration::ZERO,
            Fault::Unreachable | Fault::Silent | Fault::Changed => BROKEN_PAUSE,
        };
        if !matches!(fault, Fault::Refused | Fault::Changed) {
            self.failing += (1.0 - self.failing) * OUTCOME_WEIGHT;
        }
        let pause = first * 2_u32.pow(self.strikes.min(MOST_DOUBLINGS));
        self.paused_until = self.paused_until.max(now + pause);
        if !first.is_zero() {
            self.strikes += 1;
        }
    }

    /// Gets nothing for a while.
    pub(super) fn rest(&mut self, now: Moment) {
        self.paused_until = self.paused_until.max(now + BROKEN_PAUSE);
    }

    /// What all entries have there, as far as this one knows.
    pub(super) fn load(&self, now: Moment) -> Report {
        if !self.is_heard(now) {
            return self.own;
        }
        Report {
            running: self.own.running + self.others.running,
            waiting: self.own.waiting + self.others.waiting,
        }
    }

    /// What all entries are likely to have there. The others see the same
    /// reports, so what this one has just sent some of them have sent as well.
    fn likely_load(&self, now: Moment, followers: f64) -> Report {
        let mut load = self.load(now);
        let recent = self.recent.iter();
        let recent = recent.filter(|at| now.since(**at) < REPORT_LAG).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        let unseen = f64::from(recent) * followers;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let unseen = unseen.round() as u32;
        load.waiting += unseen;
        load
    }

    fn is_heard(&self, now: Moment) -> bool {
        self.heard.is_some_and(|at| now.since(at) < REPORT_LIFE)
    }

    /// The version of the wanted model that is loaded whole.
    pub(super) fn version(&self, wanted: &Wanted<'_>) -> Option<u64> {
        let model = wanted.model?;
        let layers = wanted.service.engine?.layers;
        let mut held = self.target.held.iter();
        let held = held.find(|held| held.model.as_ref() == model && held.is_whole(layers))?;
        Some(held.version)
    }

    /// Whether the weights that the request needs are there.
    pub(super) fn holds(&self, wanted: &Wanted<'_>) -> bool {
        if wanted.model.is_none() {
            return true;
        }
        let Some(version) = self.version(wanted) else {
            return false;
        };
        version >= wanted.oldest && wanted.exact.is_none_or(|exact| exact == version)
    }

    /// The milliseconds until the first byte of a request that is sent now.
    pub(super) fn predict(&self, now: Moment, wanted: &Wanted<'_>, followers: f64) -> f64 {
        let load = self.likely_load(now, followers);
        let slots = self.target.slots.max(1);
        let work = if let Some(engine) = &wanted.service.engine {
            engine.first_token(wanted.work, load.running, load.waiting, slots)
        } else {
            let over = (load.running + load.waiting + 1).saturating_sub(slots);
            PLAIN_MS * (1.0 + f64::from(over) / f64::from(slots))
        };
        let pause = self.paused_until.since(now).as_secs_f64() * 1_000.0;
        work + pause
    }

    /// What is added to a prediction when targets are compared, since a failure
    /// costs more time than a slow answer.
    pub(super) fn penalty(&self) -> f64 {
        self.failing * FAILURE_MS
    }

    fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether the request may be sent there now.
    pub(super) fn has_room(
        &self,
        now: Moment,
        wanted: &Wanted<'_>,
        followers: f64,
        share: &ColdShare,
    ) -> bool {
        let rate = wanted.service.cold_rate.filter(|_| self.is_cold(now));
        let allows = |rate| {
            let limit = share.limit(&self.target.id, rate);
            limit.is_some_and(|limit| self.cold.allows(now, limit))
        };
        let bears = rate.is_none_or(allows);
        let most = self.target.slots * QUEUE_SHARE;
        let load = self.likely_load(now, followers);
        let fits = load.running + load.waiting < most;
        let open = self
            .closes_at(now)
            .is_none_or(|closes_at| now + CLOSING_NOTICE < closes_at)
            && self.overrun(now, wanted) <= OVERRUN_MOST_MS;
        bears && open && now >= self.paused_until && fits
    }
}
