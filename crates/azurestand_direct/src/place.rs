//! Chooses the target with the shortest predicted time to the first byte.
//!
//! An entry knows its own requests at a target, and gets reports of the target's load
//! from all entries together. The difference is the load from other entries, which is
//! kept until the next report.

mod claims;
mod record;
mod shares;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

use crate::admission::FleetSize;
use crate::barred::{Barred, BarredTarget, Incarnation};
use crate::correction::Correction;
use crate::directory::{Directory, Target, TargetState};
use crate::engine::RequestSize;
use crate::limit::{LimitNotice, RateLimit};
use crate::residency::Regions;
use crate::retry_after::RetryAfter;
use crate::rules::Service;
use crate::share::SendShare;
use claims::{Claims, Demand, Offer, Seekers};
use record::TargetRecord;

/// The number of targets in the own data centre that are sampled at random for one
/// request; the best of all sampled targets gets it.
const NEAR_SAMPLES: usize = 2;
/// The number of targets in other data centres that are sampled as well.
const FAR_SAMPLES: usize = 1;
/// How much sooner a target in another data centre has to answer than one in the own
/// data centre, in milliseconds, since requests to it use a shared link.
const FAR_PENALTY_MS: f64 = 15.0;
/// The maximum probability that another entry has just sent to the same target as this
/// one.
const MAX_SAME_CHOICE: f64 = 0.5;
/// The factor by which that is more likely than with independent random choices, since
/// entries get much the same reports.
const SAME_CHOICE_FACTOR: f64 = 1.5;

/// The load that a target reports, from all entries together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}

impl TargetLoad {
    /// The number of requests, running and waiting together.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// The load of both together.
    #[must_use]
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }
}

/// How a request failed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The target reported that it did not run the request.
    Refused,
    /// It reported another incarnation or other weights than expected.
    Changed,
    /// The request failed at the target.
    Failed,
    /// The target can't be reached, or the connection broke.
    Unreachable,
    /// The target did not answer in time.
    Silent,
}

/// The requirements of a request.
#[derive(Debug, Clone)]
pub struct TargetRequirements<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model that has to be loaded; none for a plain service.
    pub model: Option<&'a str>,
    /// The oldest version that may still begin a request.
    pub oldest: u64,
    /// The only version that may serve it, such as for a stream that is resumed.
    pub required_version: Option<u64>,
    /// Its size for an engine.
    pub size: RequestSize,
    /// Targets that it was already sent to.
    pub avoid: &'a [Arc<str>],
    /// The regions that may serve it.
    pub regions: &'a Regions,
    /// The maximum predicted time to the first byte.
    pub limit: Duration,
    /// The target's slots that have to stay free beside its own; none if it may queue there.
    pub spare_slots: Option<u32>,
}

/// The chosen target of a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// The predicted time to the first byte.
    pub expected: Duration,
    /// The version of the requested model that it has loaded.
    pub version: Option<u64>,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// No target is eligible for the request.
    NoneEligible,
    /// All eligible targets are full, paused or too slow.
    Busy {
        /// The shortest predicted time to the first byte.
        soonest: Duration,
    },
    /// All eligible targets have named a time for which they want nothing.
    TurnedAway {
        /// The time until the first of them gets requests again.
        soonest: Duration,
    },
}

/// The state of all targets, as one entry knows it.
#[derive(Debug, Clone)]
pub struct Placement {
    centre: Arc<str>,
    records: BTreeMap<Arc<str>, TargetRecord>,
    /// Kept for targets that aren't listed at present too.
    barred: Barred,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    excluded: BTreeSet<Arc<str>>,
    entry_count: u32,
    send_share: SendShare,
    corrections: BTreeMap<Arc<str>, Correction>,
    /// By service, the requests of this entry that search for a place.
    demands: BTreeMap<Arc<str>, Demand>,
    /// The same of those that leave slots to more urgent ones, for which they search apart.
    held_demands: BTreeMap<Arc<str>, Demand>,
    claims: Claims,
    rng: fastrand::Rng,
}

impl Placement {
    /// Creates the state without targets. `centre` is the entry's own data centre,
    /// `regions` gives the region of each data centre, and `entry_count` is the number of
    /// entries that send to the same targets.
    pub fn new(
        centre: Arc<str>,
        regions: BTreeMap<Arc<str>, Arc<str>>,
        entry_count: u32,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            centre,
            records: BTreeMap::new(),
            barred: Barred::default(),
            regions,
            excluded: BTreeSet::new(),
            entry_count,
            send_share: SendShare::default(),
            corrections: BTreeMap::new(),
            demands: BTreeMap::new(),
            held_demands: BTreeMap::new(),
            claims: Claims::default(),
            rng,
        }
    }

    /// Sets how many entries send to the same targets.
    pub fn set_entries(&mut self, entries: u32) {
        self.entry_count = entries.max(1);
    }

    /// Sets the entries among which the rates of targets are divided.
    pub fn set_send_share(&mut self, share: SendShare) {
        if self.send_share == share {
            return;
        }
        self.send_share = share;
        for (id, record) in &mut self.records {
            record.shares_mut().set_place(self.send_share.place(id));
        }
    }

    /// Sets which data centres the operators have excluded.
    pub fn set_excluded(&mut self, excluded: BTreeSet<Arc<str>>) {
        self.excluded = excluded;
    }

    /// Whether the operators have excluded this data centre.
    pub fn is_excluded(&self, centre: &str) -> bool {
        self.excluded.contains(centre)
    }

    /// Updates the targets to those of the directory.
    pub fn set_targets(&mut self, now: Moment, directory: &Directory) {
        let is_listed = |record: &TargetRecord| {
            let target = directory.get(&record.target.id);
            target.is_some_and(|target| target.is_same_incarnation(&record.target))
        };
        self.records.retain(|_, record| is_listed(record));
        self.claims.retain(|id| self.records.contains_key(id));
        for target in directory.targets() {
            if let Some(record) = self.records.get_mut(&target.id) {
                record.update(now, target);
            } else {
                let place = self.send_share.place(&target.id);
                let record = TargetRecord::new(now, target.clone(), place);
                self.records.insert(target.id.clone(), record);
            }
        }
    }

    /// How many entries send to how many ready targets of `service`.
    pub fn fleet(&self, service: &str) -> FleetSize {
        let listed = self.records.values().map(|record| &record.target);
        let ready = listed.filter(|target| {
            target.service.as_ref() == service && target.state == TargetState::Ready
        });
        let mut fleet = FleetSize {
            entries: self.entry_count,
            targets: 0,
            slots: 0,
        };
        for target in ready {
            fleet.targets += 1;
            fleet.slots = target.slots.max(fleet.slots);
        }
        fleet
    }

    /// The age of the newest load report of the service's targets, if there is one.
    pub fn report_age(&self, now: Moment, service: &str) -> Option<Duration> {
        let records = self.records.values();
        let of_service = records.filter(|record| record.target.service.as_ref() == service);
        let reports = of_service.filter_map(TargetRecord::last_report);
        reports.map(|at| now.since(at)).min()
    }

    /// Records how many requests of a service wait for a place at this entry from now on.
    pub fn record_waiting(&mut self, now: Moment, service: &Arc<str>, waiting: usize) {
        let demand = self.demands.entry(service.clone()).or_default();
        demand.record_waiting(now, waiting);
    }

    /// The same of requests that leave slots to more urgent ones.
    pub fn record_held_back(&mut self, now: Moment, service: &Arc<str>, waiting: usize) {
        let demand = self.held_demands.entry(service.clone()).or_default();
        demand.record_waiting(now, waiting);
    }

    /// Records the load that a target reports.
    pub fn record_load(&mut self, now: Moment, target: &Target, load: TargetLoad) {
        if let Some(record) = self.record(target) {
            record.record_load(now, load);
        }
    }

    /// Records the rate limit that an answer of a target names, if any; returns whether it
    /// differs from what was known.
    pub fn record_limit(&mut self, now: Moment, target: &Target, limit: Option<RateLimit>) -> bool {
        let record = self.record(target);
        record.is_some_and(|record| record.shares_mut().record_limit(now, now, limit))
    }

    /// Records the rate limit that another entry tells of, unless a later answer is known;
    /// returns whether it differs from what was known.
    pub fn merge_limit(&mut self, now: Moment, notice: &LimitNotice) -> bool {
        let record = self.records.get_mut(&notice.target);
        let record = record.filter(|record| record.target.started_at == notice.started_at);
        record.is_some_and(|record| {
            let shares = record.shares_mut();
            shares.record_limit(now, notice.observed_at, notice.limit)
        })
    }

    /// What to tell an entry that asks: all rate limits that are in force.
    pub fn limits_in_force(&self) -> Vec<LimitNotice> {
        let records = self.records.values();
        let limited = records.filter(|record| record.shares().has_limit());
        limited.filter_map(TargetRecord::limit_notice).collect()
    }

    /// What to tell other entries again: the rate limits, and their ends, that this entry
    /// learned of within the last `age`.
    pub fn changed_limits(&self, now: Moment, age: Duration) -> Vec<LimitNotice> {
        let records = self.records.values();
        let changed = records.filter(|record| record.shares().named_limit().has_changed(now, age));
        changed.filter_map(TargetRecord::limit_notice).collect()
    }

    /// The number of targets that name a rate limit.
    pub fn limited_targets(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.shares().has_limit()).count()
    }

    /// Records that an incarnation leaves, listed or not; returns whether that was unknown.
    pub fn record_leaving(&mut self, now: Moment, incarnation: Incarnation) -> bool {
        self.barred.record_leaving(now, incarnation)
    }

    /// Records that a refusal of a target named a time for which it wants nothing. Returns the
    /// moments from which more may be sent there, unless an earlier refusal keeps requests away
    /// for longer.
    pub fn record_retry_after(
        &mut self,
        now: Moment,
        target: &Target,
        after: RetryAfter,
    ) -> Option<Vec<Moment>> {
        let spread = self.rng.f64();
        self.barred.record_retry_after(now, target, after, spread)
    }

    /// Whether a request that was placed on a target may still be sent there.
    pub fn may_send(&self, now: Moment, target: &Target) -> bool {
        self.barred.bar(now, target).is_none()
    }

    /// Whether a target is in one of the regions.
    pub fn is_within(&self, target: &Target, regions: &Regions) -> bool {
        regions.contains(self.regions.get(&target.centre))
    }

    /// The listed targets that get nothing by their own word, and why.
    pub fn barred_targets(&self, now: Moment) -> Vec<BarredTarget> {
        let listed = self.records.values().map(|record| &record.target);
        let barred = listed.filter_map(|target| {
            let bar = self.barred.bar(now, target)?;
            let target = target.clone();
            Some(BarredTarget { target, bar })
        });
        barred.collect()
    }

    /// How long until a ready target of `service` gets requests again, if all of them have named
    /// a time for which they want nothing.
    pub fn turned_away(&self, now: Moment, service: &str) -> Option<Duration> {
        let listed = self.records.values().map(|record| &record.target);
        let ready = listed.filter(|target| {
            target.service.as_ref() == service
                && target.state == TargetState::Ready
                && !self.barred.is_leaving(target)
        });
        let soonest = ready.map(|target| self.barred.pause(now, target)).min()?;
        (!soonest.is_zero()).then_some(soonest)
    }

    /// What to tell other entries again: the incarnations that this entry learned within the
    /// last `age` to be leaving.
    pub fn recently_leaving(&self, now: Moment, age: Duration) -> Vec<Incarnation> {
        self.barred.recently_leaving(now, age)
    }

    /// What to tell an entry that asks: the incarnations that are known to leave, the latest
    /// ones if there are too many.
    pub fn latest_leaving(&self) -> Vec<Incarnation> {
        self.barred.latest_leaving()
    }

    /// Records that an agent reported on a target. When such reports stop, the target is
    /// suspect; when they stop for all targets of a data centre, all of it is suspect.
    pub fn record_agent_report(&mut self, now: Moment, target: &Target) {
        if let Some(record) = self.record(target) {
            record.record_agent_report(now);
        }
    }

    /// Records that a target is another incarnation than the one listed; it is paused for a
    /// while, since the list will be updated.
    pub fn record_incarnation_change(&mut self, now: Moment, target: &Target) {
        if let Some(record) = self.record(target) {
            record.pause(now);
        }
    }

    /// Sets the time from which a target accepts no requests because it loads weights;
    /// requests that are likely to last longer are no longer sent to it.
    pub fn set_closing(&mut self, target: &Target, closes_at: Option<Moment>) {
        if let Some(record) = self.record(target) {
            record.set_closing(closes_at);
        }
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: Moment, target: &Target, cold_rate: Option<f64>) {
        self.barred.record_send(target);
        if let Some(demand) = self.demands.get_mut(&target.service) {
            demand.record_send(now);
        }
        if let Some(record) = self.record(target) {
            record.record_send(now, cold_rate);
        }
    }

    /// Records that the first byte of an answer arrived.
    pub fn record_first_byte(&mut self, target: &Target) {
        if let Some(record) = self.record(target) {
            record.record_first_byte();
        }
    }

    /// Records that an answer began `took` after its request was sent, where `expected` was
    /// predicted.
    pub fn record_latency(
        &mut self,
        now: Moment,
        target: &Target,
        expected: Duration,
        took: Duration,
    ) {
        let service = target.service.clone();
        let correction = self.corrections.entry(service).or_default();
        correction.observe(now, expected, took);
    }

    /// Records that a sent request has ended; `began` tells whether its first byte had
    /// arrived.
    pub fn record_end(&mut self, target: &Target, began: bool) {
        if let Some(record) = self.record(target) {
            record.record_end(began);
        }
    }

    /// Records that a target answered without a fault.
    pub fn record_success(&mut self, target: &Target) {
        if let Some(record) = self.record(target) {
            record.record_success();
        }
    }

    /// Records a fault of a target. A refusal adds nothing to a time that the target has named.
    pub fn record_fault(&mut self, now: Moment, target: &Target, fault: Fault) {
        if fault == Fault::Refused && !self.barred.pause(now, target).is_zero() {
            return;
        }
        if let Some(record) = self.record(target) {
            record.record_fault(now, fault);
        }
    }

    /// The largest correction of any service now, in seconds.
    pub fn correction(&self, now: Moment) -> f64 {
        let corrections = self.corrections.values();
        let largest = corrections.map(|correction| correction.at(now));
        largest.fold(0.0, f64::max) / 1_000.0
    }

    /// Chooses the target with the shortest predicted time to the first byte.
    ///
    /// # Errors
    ///
    /// [`NoTarget`] when the request can be sent to no target now.
    pub fn choose(
        &mut self,
        now: Moment,
        requirements: &TargetRequirements<'_>,
    ) -> Result<Choice, NoTarget> {
        let correction = self.corrections.get(&requirements.service.name);
        let correction = correction.map_or(0.0, |correction| correction.at(now));
        let limit = requirements.limit.as_secs_f64() * 1_000.0 - correction;
        let eligible = self
            .records
            .values()
            .filter(|record| self.may_serve(record, requirements));
        let eligible: Vec<&TargetRecord> = eligible.collect();
        let peer_sends = self.peer_sends(eligible.len());
        let seekers = self.seekers(now, requirements);
        let mut soonest: Option<f64> = None;
        let pauses = eligible.iter();
        let pauses = pauses.map(|record| self.barred.pause(now, &record.target));
        if let Some(soonest) = pauses.min().filter(|soonest| !soonest.is_zero()) {
            return Err(NoTarget::TurnedAway { soonest });
        }
        let mut candidates: Vec<(f64, &TargetRecord)> = Vec::new();
        for record in eligible {
            let barred = self.barred.wait(now, &record.target);
            let expected = record.predict(now, requirements, peer_sends, barred);
            soonest = Some(soonest.map_or(expected, |known| known.min(expected)));
            let is_free = barred.is_zero() && expected <= limit;
            if is_free && record.has_room(now, requirements, peer_sends) {
                candidates.push((expected, record));
            }
        }
        self.exclude_suspects(now, &mut candidates);
        if let Some((seekers, engine)) = seekers.zip(requirements.service.engine.as_ref()) {
            let offer = |(expected, record): &(f64, &TargetRecord)| {
                let places = record.places(now, engine, limit - expected, peer_sends);
                Offer {
                    id: record.target.id.clone(),
                    report: record.last_report(),
                    is_near: record.target.centre == self.centre,
                    places,
                }
            };
            let offers: Vec<Offer> = candidates.iter().map(offer).collect();
            let claimed = self.claims.claim(&mut self.rng, &offers, seekers);
            candidates.retain(|(_, record)| claimed.contains(&record.target.id));
        }
        // A target that names a limit is in need: others are filled first.
        if candidates
            .iter()
            .any(|(_, record)| !record.shares().has_limit())
        {
            candidates.retain(|(_, record)| !record.shares().has_limit());
        }
        // A target that is about to load weights has to wait for its longest request.
        if candidates
            .iter()
            .any(|(_, record)| record.ends_in_time(now, requirements))
        {
            candidates.retain(|(_, record)| record.ends_in_time(now, requirements));
        }
        let centre = self.centre.as_ref();
        let (mut near, mut far): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|(_, record)| record.target.centre.as_ref() == centre);
        sample(&mut self.rng, &mut near, NEAR_SAMPLES);
        let shortfall = NEAR_SAMPLES - near.len();
        sample(&mut self.rng, &mut far, FAR_SAMPLES + shortfall);
        let near = near
            .into_iter()
            .map(|(expected, record)| (expected, 0.0, record));
        let far = far
            .into_iter()
            .map(|(expected, record)| (expected, FAR_PENALTY_MS, record));
        let score = |item: &(f64, f64, &TargetRecord)| item.0 + item.1 + item.2.penalty();
        let best = near
            .chain(far)
            .min_by(|one, other| score(one).total_cmp(&score(other)));
        if let Some((expected, _, record)) = best {
            return Ok(Choice {
                target: record.target.clone(),
                expected: millis(expected),
                version: record.version(requirements),
            });
        }
        let busy = |soonest| NoTarget::Busy {
            soonest: millis(soonest + correction),
        };
        Err(soonest.map_or(NoTarget::NoneEligible, busy))
    }

    /// The entries that search for places at the engines of this service; none if this entry
    /// isn't told of requests that wait.
    fn seekers(&self, now: Moment, requirements: &TargetRequirements<'_>) -> Option<Seekers> {
        let demands = match requirements.spare_slots {
            Some(_) => &self.held_demands,
            None => &self.demands,
        };
        let demand = demands.get(&requirements.service.name)?;
        // However many requests wait at an entry, it decides once for each report.
        let searching = demand.mean_at(now).min(1.0);
        let all = f64::from(self.entry_count) * searching;
        let centres = u32::try_from(self.regions.len().max(1)).unwrap_or(u32::MAX);
        Some(Seekers {
            near: all / f64::from(centres),
            all,
        })
    }

    /// The expected number of requests from other entries, not yet included in reports, to
    /// the same target for each request of this entry, with `targets` eligible targets.
    fn peer_sends(&self, targets: usize) -> f64 {
        let samples = u32::try_from(NEAR_SAMPLES + FAR_SAMPLES).unwrap_or(u32::MAX);
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        let same_choice = SAME_CHOICE_FACTOR * f64::from(samples) / f64::from(targets);
        f64::from(self.entry_count.saturating_sub(1)) * same_choice.min(MAX_SAME_CHOICE)
    }

    /// Removes the suspect targets if there are others.
    fn exclude_suspects(&self, now: Moment, candidates: &mut Vec<(f64, &TargetRecord)>) {
        let silent = self.silent_centres(now);
        let is_suspect = |record: &TargetRecord| {
            record.is_suspect(now) || silent.contains(record.target.centre.as_ref())
        };
        if candidates.iter().any(|(_, record)| !is_suspect(record)) {
            candidates.retain(|(_, record)| !is_suspect(record));
        }
    }

    /// Data centres for whose targets all reports from agents have stopped.
    fn silent_centres(&self, now: Moment) -> BTreeSet<&str> {
        let mut silent = BTreeSet::new();
        for record in self
            .records
            .values()
            .filter(|record| record.is_suspect(now))
        {
            silent.insert(record.target.centre.as_ref());
        }
        for record in self
            .records
            .values()
            .filter(|record| record.has_agent_reports(now))
        {
            silent.remove(record.target.centre.as_ref());
        }
        silent
    }

    fn may_serve(&self, record: &TargetRecord, requirements: &TargetRequirements<'_>) -> bool {
        let target = &record.target;
        target.service == requirements.service.name
            && target.state == TargetState::Ready
            && !self.barred.is_leaving(target)
            && !self.excluded.contains(&target.centre)
            && !requirements.avoid.contains(&target.id)
            && self.is_within(target, requirements.regions)
            && record.has_weights(requirements)
    }

    fn record(&mut self, target: &Target) -> Option<&mut TargetRecord> {
        let record = self.records.get_mut(&target.id)?;
        record.target.is_same_incarnation(target).then_some(record)
    }

    /// All targets with their loads, as far as this entry knows them.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&Arc<Target>, TargetLoad)> {
        self.records
            .values()
            .map(move |record| (&record.target, record.load(now)))
    }
}

/// Keeps a random sample of `count` targets, so that entries with the same reports don't
/// all choose the same one.
fn sample(rng: &mut fastrand::Rng, targets: &mut Vec<(f64, &TargetRecord)>, count: usize) {
    for index in 0..targets.len().min(count) {
        let other = rng.usize(index..targets.len());
        targets.swap(index, other);
    }
    targets.truncate(count);
}

/// A time in milliseconds; one that is too long for its type counts as the longest.
fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0) / 1_000.0).unwrap_or(Duration::MAX)
}
