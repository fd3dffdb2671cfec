//! The state of one target, as one entry knows it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

use super::shares::Shares;
use super::{Fault, TargetLoad, TargetRequirements};
use crate::directory::Target;
use crate::engine::CostModel;
use crate::limit::LimitNotice;
use crate::share::SendPlace;

/// The first pause after a refusal; each further fault in a row doubles it.
const REFUSED_PAUSE: Duration = Duration::from_millis(120);
/// The first pause of a target that can't be reached, does not answer in time or has
/// changed.
const BROKEN_PAUSE: Duration = Duration::from_millis(400);
/// The maximum number of doublings of a pause.
const MAX_DOUBLINGS: u32 = 4;
/// The weight of one outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.15;
/// The penalty of a target that fails all requests, in milliseconds.
const FAILURE_MS: f64 = 1_000.0;
/// The expected time to the first byte at a plain service, in milliseconds.
const PLAIN_MS: f64 = 40.0;
/// A target whose reports have stopped for this long is suspect.
const SUSPECT_AFTER: Duration = Duration::from_millis(450);
/// The number of requests, running and waiting together, that a target may have as a
/// multiple of its slots.
const LOAD_FACTOR: u32 = 2;
/// The maximum age of a report from which the load of other entries is taken.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// How long it takes until a sent request is included in reports.
const REPORT_LAG: Duration = Duration::from_millis(130);

/// The assumed wait for a target to which only other entries send.
const NO_SHARE_WAIT: Duration = Duration::from_secs(10);

/// How long after a target closes a request may still run there, in milliseconds.
const PREFERRED_OVERRUN_MS: f64 = 250.0;
/// The same if no other target has capacity.
const MAX_OVERRUN_MS: f64 = 700.0;

/// A target that closes within this time gets no more requests.
const CLOSING_MARGIN: Duration = Duration::from_millis(100);

/// One target and its state, as this entry knows it.
#[derive(Debug, Clone)]
pub(super) struct TargetRecord {
    pub(super) target: Arc<Target>,
    /// The load from this entry.
    own: TargetLoad,
    /// The load from the other entries at the last report.
    others: TargetLoad,
    /// When the target last reported its load.
    last_report: Option<Moment>,
    /// When an agent last reported on it.
    agent_report: Option<Moment>,
    /// The times of the sends that reports may not include yet.
    recent_sends: VecDeque<Moment>,
    shares: Shares,
    paused_until: Moment,
    /// Faults in a row that led to a pause.
    fault_streak: u32,
    /// The moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// The time from which it accepts no requests because it loads weights.
    closes_at: Option<Moment>,
}

impl TargetRecord {
    pub(super) fn new(now: Moment, target: Arc<Target>, place: Option<SendPlace>) -> Self {
        Self {
            own: TargetLoad::default(),
            others: TargetLoad::default(),
            last_report: None,
            agent_report: None,
            recent_sends: VecDeque::new(),
            shares: Shares::new(now, target.cold, place),
            paused_until: now,
            fault_streak: 0,
            failure_rate: 0.0,
            closes_at: None,
            target,
        }
    }

    /// What this entry may send to the target.
    pub(super) fn shares(&self) -> &Shares {
        &self.shares
    }

    /// The same, to record changes.
    pub(super) fn shares_mut(&mut self) -> &mut Shares {
        &mut self.shares
    }

    /// What to tell other entries of the rate limit; none before the first answer.
    pub(super) fn limit_notice(&self) -> Option<LimitNotice> {
        let named = self.shares.named_limit();
        Some(LimitNotice {
            target: self.target.id.clone(),
            started_at: self.target.started_at,
            limit: named.get(),
            observed_at: named.observed_at()?,
        })
    }

    /// Updates the target from a newer list entry of the same incarnation.
    pub(super) fn update(&mut self, now: Moment, target: &Arc<Target>) {
        if self.target == *target {
            return;
        }
        if target.cold != self.target.cold {
            self.shares.extend_cold(now + target.cold);
        }
        self.target = target.clone();
    }

    pub(super) fn record_load(&mut self, now: Moment, load: TargetLoad) {
        self.others = TargetLoad {
            running: load.running.saturating_sub(self.own.running),
            waiting: load.waiting.saturating_sub(self.own.waiting),
        };
        self.last_report = Some(now);
    }

    /// Whether an agent reported on the target and its reports have stopped.
    pub(super) fn is_suspect(&self, now: Moment) -> bool {
        self.agent_report
            .is_some_and(|at| now.since(at) >= SUSPECT_AFTER)
    }

    /// Whether an agent currently reports on the target.
    pub(super) fn has_agent_reports(&self, now: Moment) -> bool {
        self.agent_report
            .is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }

    /// Records that an agent reported on the target.
    pub(super) fn record_agent_report(&mut self, now: Moment) {
        self.agent_report = Some(now);
    }

    pub(super) fn set_closing(&mut self, closes_at: Option<Moment>) {
        self.closes_at = closes_at;
    }

    /// When the target closes; ignored without a recent report from the target.
    fn closes_at(&self, now: Moment) -> Option<Moment> {
        self.closes_at.filter(|_| self.has_recent_report(now))
    }

    /// How long after the target closes the request is likely to run, in milliseconds.
    fn overrun(&self, now: Moment, requirements: &TargetRequirements<'_>) -> f64 {
        let closes_at = self.closes_at(now);
        let Some((closes_at, engine)) = closes_at.zip(requirements.service.engine.as_ref()) else {
            return 0.0;
        };
        let slot_time = engine.slot_time(requirements.size, self.load(now).running);
        slot_time - closes_at.since(now).as_secs_f64() * 1_000.0
    }

    /// Whether the request is likely to end before the target closes or soon after.
    pub(super) fn ends_in_time(&self, now: Moment, requirements: &TargetRequirements<'_>) -> bool {
        self.overrun(now, requirements) <= PREFERRED_OVERRUN_MS
    }

    pub(super) fn record_send(&mut self, now: Moment, cold_rate: Option<f64>) {
        self.own.waiting += 1;
        while self
            .recent_sends
            .front()
            .is_some_and(|at| now.since(*at) >= REPORT_LAG)
        {
            self.recent_sends.pop_front();
        }
        self.recent_sends.push_back(now);
        self.shares.spend(now, cold_rate);
    }

    /// Records that the first byte of an answer arrived.
    pub(super) fn record_first_byte(&mut self) {
        self.own.waiting = self.own.waiting.saturating_sub(1);
        self.own.running += 1;
    }

    pub(super) fn record_end(&mut self, began: bool) {
        let count = if began {
            &mut self.own.running
        } else {
            &mut self.own.waiting
        };
        *count = count.saturating_sub(1);
    }

    pub(super) fn record_success(&mut self) {
        self.fault_streak = 0;
        self.failure_rate -= self.failure_rate * OUTCOME_WEIGHT;
    }

    pub(super) fn record_fault(&mut self, now: Moment, fault: Fault) {
        let first = match fault {
            Fault::Refused => REFUSED_PAUSE,
            Fault::Failed => Duration::ZERO,
            Fault::Unreachable | Fault::Silent | Fault::Changed => BROKEN_PAUSE,
        };
        if !matches!(fault, Fault::Refused | Fault::Changed) {
            self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        }
        let pause = first * 2_u32.pow(self.fault_streak.min(MAX_DOUBLINGS));
        self.paused_until = self.paused_until.max(now + pause);
        if !first.is_zero() {
            self.fault_streak += 1;
        }
    }

    /// Excludes the target from requests for a fixed time.
    pub(super) fn pause(&mut self, now: Moment) {
        self.paused_until = self.paused_until.max(now + BROKEN_PAUSE);
    }

    /// The load from all entries, as far as this one knows.
    pub(super) fn load(&self, now: Moment) -> TargetLoad {
        if !self.has_recent_report(now) {
            return self.own;
        }
        self.own.plus(self.others)
    }

    /// The estimated load from all entries. The others get the same reports, so for each
    /// request that this one has just sent, others are likely to have sent some as well.
    fn likely_load(&self, now: Moment, peer_sends: f64) -> TargetLoad {
        let mut load = self.load(now);
        let recent = self.recent_sends.iter();
        let recent = recent.filter(|at| now.since(**at) < REPORT_LAG).count();
        let recent = u32::try_from(recent).unwrap_or(u32::MAX);
        let unreported = f64::from(recent) * peer_sends;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let unreported = unreported.round() as u32;
        load.waiting = load.waiting.saturating_add(unreported);
        load
    }

    /// When the target last reported its load.
    pub(super) fn last_report(&self) -> Option<Moment> {
        self.last_report
    }

    /// The number of requests that this engine can take at once, if the first of them has
    /// `spare` milliseconds to spare.
    pub(super) fn places(
        &self,
        now: Moment,
        engine: &CostModel,
        spare: f64,
        peer_sends: f64,
    ) -> f64 {
        let slots = self.target.slots.max(1);
        let free = slots.saturating_sub(self.likely_load(now, peer_sends).requests());
        let read = engine.read_time();
        let turnover = engine.mean_slot_time(slots) / f64::from(slots);
        let in_slots = (spare / read).min(f64::from(free.saturating_sub(1)));
        let left = spare - in_slots * read;
        1.0 + in_slots + left / (read + turnover)
    }

    fn has_recent_report(&self, now: Moment) -> bool {
        self.last_report
            .is_some_and(|at| now.since(at) < REPORT_MAX_AGE)
    }

    /// The version of the requested model of which all layers are loaded.
    pub(super) fn version(&self, requirements: &TargetRequirements<'_>) -> Option<u64> {
        let model = requirements.model?;
        let layers = requirements.service.engine?.layers;
        let mut held = self.target.held.iter();
        let held = held.find(|held| held.model.as_ref() == model && held.is_complete(layers))?;
        Some(held.version)
    }

    /// Whether the weights that the request needs are loaded.
    pub(super) fn has_weights(&self, requirements: &TargetRequirements<'_>) -> bool {
        if requirements.model.is_none() {
            return true;
        }
        let Some(version) = self.version(requirements) else {
            return false;
        };
        version >= requirements.oldest
            && requirements
                .required_version
                .is_none_or(|required| required == version)
    }

    /// The predicted time to the first byte of a request that is sent now, in milliseconds;
    /// `barred` is how long the target wants nothing by its own word.
    pub(super) fn predict(
        &self,
        now: Moment,
        requirements: &TargetRequirements<'_>,
        peer_sends: f64,
        barred: Duration,
    ) -> f64 {
        let load = self.likely_load(now, peer_sends);
        let slots = self.target.slots.max(1);
        let work = if let Some(engine) = &requirements.service.engine {
            engine.first_token(requirements.size, load.running, load.waiting, slots)
        } else {
            let excess = load.requests().saturating_add(1).saturating_sub(slots);
            PLAIN_MS * (1.0 + f64::from(excess) / f64::from(slots))
        };
        let pause = self.paused_until.since(now).max(barred);
        let pause = pause.as_secs_f64() * 1_000.0;
        let wait = self.shares.wait(now, requirements.service.cold_rate);
        let wait = wait.unwrap_or(NO_SHARE_WAIT).as_secs_f64() * 1_000.0;
        work + pause.max(wait)
    }

    /// The amount added to a prediction when targets are compared, in milliseconds, since
    /// a failure costs more time than a slow answer.
    pub(super) fn penalty(&self) -> f64 {
        self.failure_rate * FAILURE_MS
    }

    /// Whether the target can accept the request now.
    pub(super) fn has_room(
        &self,
        now: Moment,
        requirements: &TargetRequirements<'_>,
        peer_sends: f64,
    ) -> bool {
        let wait = self.shares.wait(now, requirements.service.cold_rate);
        let within_rate = wait.is_some_and(|wait| wait.is_zero());
        let max_load = self.target.slots.saturating_mul(LOAD_FACTOR);
        let load = self.likely_load(now, peer_sends);
        let has_slots = match requirements.spare_slots {
            Some(spare) => load.requests().saturating_add(spare) < self.target.slots.max(1),
            None => load.requests() < max_load,
        };
        let is_open = self
            .closes_at(now)
            .is_none_or(|closes_at| now + CLOSING_MARGIN < closes_at)
            && self.overrun(now, requirements) <= MAX_OVERRUN_MS;
        within_rate && is_open && now >= self.paused_until && has_slots
    }
}
