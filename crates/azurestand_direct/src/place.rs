//! Chooses the target of a request by the soonest predicted first byte.
//!
//! An entry knows what it sent itself, and hears from reports what a target
//! does for all entries together. What others have there is the difference,
//! kept until the next report.

mod row;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

use crate::cold::ColdShare;
use crate::correction::Correction;
use crate::directory::{Directory, Target, TargetState};
use crate::engine::Work;
use crate::rules::Service;
use row::Row;

/// Targets of the own data centre that are drawn at random for one request; the best
/// of all drawn takes it.
const DRAWN_NEAR: usize = 2;
/// Targets of other data centres that are drawn as well.
const DRAWN_AWAY: usize = 1;
/// How much sooner a target of another data centre has to answer, in milliseconds,
/// since what goes there takes a part of a link that all share.
const AWAY_MS: f64 = 15.0;
/// How likely another entry has just sent to a target to which this one has, at most.
const SAME_CHOICE_MOST: f64 = 0.5;
/// How much likelier that is than a blind draw among all targets, since entries see
/// much the same reports.
const SAME_CHOICE_FACTOR: f64 = 1.5;

/// What a target says it is doing, for all entries together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What went wrong at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It said that it didn't run the request.
    Refused,
    /// It said that it is another life or has other weights than expected.
    Changed,
    /// It failed the request.
    Failed,
    /// It can't be reached, or the connection broke.
    Unreachable,
    /// It was silent for too long.
    Silent,
}

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model that has to be loaded; none for a plain service.
    pub model: Option<&'a str>,
    /// The oldest version that may still begin.
    pub oldest: u64,
    /// The only version that may take it, as for a stream that goes on.
    pub exact: Option<u64>,
    /// What it asks of an engine.
    pub work: Work,
    /// Targets that have had it.
    pub avoid: &'a [Arc<str>],
    /// The only regions that may serve it; any when empty.
    pub regions: &'a [&'a [Arc<str>]],
    /// How long the first byte may take; no target may be slower.
    pub limit: Duration,
}

/// A choice of a target.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// The predicted time to the first byte.
    pub expected: Duration,
    /// The version of the wanted model there.
    pub version: Option<u64>,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// No target may serve the request at all.
    Nobody,
    /// All are full, resting or too slow; the soonest would take this long.
    Busy {
        /// The shortest predicted time to the first byte.
        soonest: Duration,
    },
}

/// What one entry knows of all targets.
#[derive(Debug, Clone)]
pub struct Placement {
    centre: Arc<str>,
    rows: BTreeMap<Arc<str>, Row>,
    regions: BTreeMap<Arc<str>, Arc<str>>,
    excluded: BTreeSet<Arc<str>>,
    entries: u32,
    share: Arc<ColdShare>,
    corrections: BTreeMap<Arc<str>, Correction>,
    rng: fastrand::Rng,
}

impl Placement {
    /// Knows no target yet; `centre` is the entry's own data centre, `regions` tells the
    /// region of each.
    pub fn new(
        centre: Arc<str>,
        regions: BTreeMap<Arc<str>, Arc<str>>,
        entries: u32,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            centre,
            rows: BTreeMap::new(),
            regions,
            excluded: BTreeSet::new(),
            entries,
            share: Arc::default(),
            corrections: BTreeMap::new(),
            rng,
        }
    }

    /// Tells how many entries send to the same targets.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Tells among which entries the rate of cold targets is divided.
    pub fn set_cold_share(&mut self, share: ColdShare) {
        self.share = Arc::new(share);
    }

    /// Tells which data centres the operators have taken out.
    pub fn set_excluded(&mut self, excluded: BTreeSet<Arc<str>>) {
        self.excluded = excluded;
    }

    /// Whether the operators have taken this data centre out.
    pub fn is_excluded(&self, centre: &str) -> bool {
        self.excluded.contains(centre)
    }

    /// Takes in the present list of targets.
    pub fn set_targets(&mut self, now: Moment, directory: &Directory) {
        let present = |row: &Row| {
            let target = directory.get(&row.target.id);
            target.is_some_and(|target| target.is_same_life(&row.target))
        };
        self.rows.retain(|_, row| present(row));
        for target in directory.targets() {
            if let Some(row) = self.rows.get_mut(&target.id) {
                row.update(now, target);
            } else {
                let row = Row::new(now, target.clone());
                self.rows.insert(target.id.clone(), row);
            }
        }
    }

    /// Takes in what the target at an address reports.
    pub fn report(&mut self, now: Moment, target: &Target, report: Report) {
        if let Some(row) = self.row(target) {
            row.report(now, report);
        }
    }

    /// Takes in that an agent reported on a target. When its reports stop, the
    /// target is suspect, and so is a data centre from which none come any more.
    pub fn told(&mut self, now: Moment, target: &Target) {
        if let Some(row) = self.row(target) {
            row.tell(now);
        }
    }

    /// Takes in that a target isn't the life that the list names; the list will follow.
    pub fn replaced(&mut self, now: Moment, target: &Target) {
        if let Some(row) = self.row(target) {
            row.rest(now);
        }
    }

    /// Takes in from when on a target takes no requests, since it loads weights;
    /// requests that are likely to last longer are not sent there any more.
    pub fn set_closing(&mut self, target: &Target, closes_at: Option<Moment>) {
        if let Some(row) = self.row(target) {
            row.set_closing(closes_at);
        }
    }

    /// Counts a send.
    pub fn sent(&mut self, now: Moment, target: &Target, cold_rate: Option<f64>) {
        let share = self.share.clone();
        if let Some(row) = self.row(target) {
            row.send(now, cold_rate, &share);
        }
    }

    /// Takes in that the first byte of an answer has come.
    pub fn began(&mut self, target: &Target) {
        if let Some(row) = self.row(target) {
            row.begin();
        }
    }

    /// Takes in that an answer began `took` after its send, for which `expected`
    /// was predicted.
    pub fn learn(&mut self, now: Moment, target: &Target, expected: Duration, took: Duration) {
        let service = target.service.clone();
        let correction = self.corrections.entry(service).or_default();
        correction.observe(now, expected, took);
    }

    /// Takes in that a sent request has ended; `began` tells whether its first
    /// byte had come.
    pub fn ended(&mut self, target: &Target, began: bool) {
        if let Some(row) = self.row(target) {
            row.end(began);
        }
    }

    /// Takes in that a target answered well.
    pub fn worked(&mut self, target: &Target) {
        if let Some(row) = self.row(target) {
            row.work();
        }
    }

    /// Takes in that something went wrong at a target.
    pub fn failed(&mut self, now: Moment, target: &Target, fault: Fault) {
        if let Some(row) = self.row(target) {
            row.fail(now, fault);
        }
    }

    /// What is added to predictions now, in seconds, at the service with the most.
    pub fn correction(&self, now: Moment) -> f64 {
        let corrections = self.corrections.values();
        let largest = corrections.map(|correction| correction.at(now));
        largest.fold(0.0, f64::max) / 1_000.0
    }

    /// Chooses the target with the soonest first byte.
    ///
    /// # Errors
    ///
    /// [`NoTarget`] when none may have the request now.
    pub fn choose(&mut self, now: Moment, wanted: &Wanted<'_>) -> Result<Choice, NoTarget> {
        let correction = self.corrections.get(&wanted.service.name);
        let correction = correction.map_or(0.0, |correction| correction.at(now));
        let limit = wanted.limit.as_secs_f64() * 1_000.0 - correction;
        let able = self.rows.values().filter(|row| self.may_serve(row, wanted));
        let able: Vec<&Row> = able.collect();
        let followers = self.followers(able.len());
        let mut soonest: Option<f64> = None;
        let mut fitting: Vec<(f64, &Row)> = Vec::new();
        for row in able {
            let expected = row.predict(now, wanted, followers);
            soonest = Some(soonest.map_or(expected, |known| known.min(expected)));
            if expected <= limit && row.has_room(now, wanted, followers, &self.share) {
                fitting.push((expected, row));
            }
        }
        self.leave_suspects(now, &mut fitting);
        // A target that closes waits for its longest request.
        if fitting.iter().any(|(_, row)| row.ends_in_time(now, wanted)) {
            fitting.retain(|(_, row)| row.ends_in_time(now, wanted));
        }
        let centre = self.centre.as_ref();
        let (mut near, mut away): (Vec<_>, Vec<_>) = fitting
            .into_iter()
            .partition(|(_, row)| row.target.centre.as_ref() == centre);
        draw(&mut self.rng, &mut near, DRAWN_NEAR);
        let missing = DRAWN_NEAR - near.len();
        draw(&mut self.rng, &mut away, DRAWN_AWAY + missing);
        let near = near.into_iter().map(|(expected, row)| (expected, 0.0, row));
        let away = away
            .into_iter()
            .map(|(expected, row)| (expected, AWAY_MS, row));
        let score = |entry: &(f64, f64, &Row)| entry.0 + entry.1 + entry.2.penalty();
        let best = near
            .chain(away)
            .min_by(|one, other| score(one).total_cmp(&score(other)));
        if let Some((expected, _, row)) = best {
            return Ok(Choice {
                target: row.target.clone(),
                expected: millis(expected),
                version: row.version(wanted),
            });
        }
        let busy = |soonest| NoTarget::Busy {
            soonest: millis(soonest + correction),
        };
        Err(soonest.map_or(NoTarget::Nobody, busy))
    }

    /// How many sends of other entries go to the same target with one of this entry's,
    /// unseen in reports yet, where `targets` may have a request.
    fn followers(&self, targets: usize) -> f64 {
        let drawn = u32::try_from(DRAWN_NEAR + DRAWN_AWAY).unwrap_or(u32::MAX);
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        let same = SAME_CHOICE_FACTOR * f64::from(drawn) / f64::from(targets);
        f64::from(self.entries.saturating_sub(1)) * same.min(SAME_CHOICE_MOST)
    }

    /// Drops the suspect targets if there are others.
    fn leave_suspects(&self, now: Moment, fitting: &mut Vec<(f64, &Row)>) {
        let lost = self.lost_centres(now);
        let is_suspect =
            |row: &Row| row.is_suspect(now) || lost.contains(row.target.centre.as_ref());
        if fitting.iter().any(|(_, row)| !is_suspect(row)) {
            fitting.retain(|(_, row)| !is_suspect(row));
        }
    }

    /// Data centres whose agents have all fallen silent.
    fn lost_centres(&self, now: Moment) -> BTreeSet<&str> {
        let mut lost = BTreeSet::new();
        for row in self.rows.values().filter(|row| row.is_suspect(now)) {
            lost.insert(row.target.centre.as_ref());
        }
        for row in self.rows.values().filter(|row| row.is_told(now)) {
            lost.remove(row.target.centre.as_ref());
        }
        lost
    }

    fn may_serve(&self, row: &Row, wanted: &Wanted<'_>) -> bool {
        let target = &row.target;
        let region = self.regions.get(&target.centre);
        let at_home = |homes: &&[Arc<str>]| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        target.service == wanted.service.name
            && target.state == TargetState::Ready
            && !self.excluded.contains(&target.centre)
            && !wanted.avoid.contains(&target.id)
            && wanted.regions.iter().all(at_home)
            && row.holds(wanted)
    }

    fn row(&mut self, target: &Target) -> Option<&mut Row> {
        let row = self.rows.get_mut(&target.id)?;
        row.target.is_same_life(target).then_some(row)
    }

    /// All targets with what this entry takes them to be doing.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&Arc<Target>, Report)> {
        self.rows
            .values()
            .map(move |row| (&row.target, row.load(now)))
    }
}

/// Keeps `count` of the targets, drawn at random, so that entries with the same
/// reports don't all choose the same one.
fn draw(rng: &mut fastrand::Rng, targets: &mut Vec<(f64, &Row)>, count: usize) {
    for place in 0..targets.len().min(count) {
        let other = rng.usize(place..targets.len());
        targets.swap(place, other);
    }
    targets.truncate(count);
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1_000.0)
}
