//! What the entry knows of the targets in its data centre, always a little late.
//!
//! Of two targets drawn by their free slots the less pressed one is chosen. A
//! prompt's beginning seen at a third one is a hint that wins only if that one
//! is about as free. [docs/ROUTING.md](../../../docs/ROUTING.md) weighs other ways.

mod row;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Incarnation, Moment, TargetName};

use crate::account::Standing;
use crate::prefix::{CacheEvent, Prefix, Prefixes};
use row::Row;

/// A report older than this tells nothing about room any more.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// A host that is silent for this long is suspect: agents report twice a second.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_100);
/// Pressure, as a share of a target's slots, that a cached beginning is worth.
const PREFIX_WORTH: f64 = 0.25;

/// What an agent says about one of its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// The model or service that it serves.
    pub subject: Arc<str>,
    /// The weights that answer now; none for a plain service.
    pub weights: Option<Digest>,
    /// Requests that it may run at once.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What an agent says about its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The host.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Counts the incarnation's reports; a late one is dropped.
    pub sequence: u64,
    /// Whether the host is leaving service.
    pub leaving: bool,
    /// Its targets.
    pub loads: Vec<Load>,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The model or service.
    pub subject: Arc<str>,
    /// Targets that this request must not go to.
    pub avoid: BTreeSet<TargetName>,
    /// The only target that may take it, as for a keyed request's home.
    pub only: Option<TargetName>,
    /// The only weights that may answer it, once it was sent to a target that had these.
    pub weights: Option<Digest>,
    /// How its account stands, by
    /// [`AccountLimits::standing`](crate::AccountLimits::standing).
    pub standing: Standing,
    /// The beginning of its prompt; empty for a plain service.
    pub prefix: Prefix,
}

impl Wanted {
    /// Any target of `subject`.
    pub fn subject(subject: &str) -> Self {
        Self {
            subject: subject.into(),
            avoid: BTreeSet::new(),
            only: None,
            weights: None,
            standing: Standing::default(),
            prefix: Prefix::default(),
        }
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Its host.
    pub host: HostName,
    /// The weights that must answer; none for a plain service.
    pub weights: Option<Digest>,
}

/// What bounds the requests that wait at targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Requests that may wait at one target.
    pub queue: u32,
    /// Entries that send to the same targets, this one included.
    pub entries: u32,
}

impl Default for Room {
    fn default() -> Self {
        Self {
            queue: 64,
            entries: 1,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Life {
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
}

/// The targets of one data centre.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<TargetName, Row>,
    hosts: BTreeMap<HostName, Life>,
    prefixes: Prefixes,
    room: Room,
}

impl Table {
    /// Tells how long queues are and how many entries fill them.
    pub fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// Takes a report in, unless a later one of the same host is known.
    pub fn report(&mut self, now: Moment, report: Report) {
        if let Some(life) = self.hosts.get(&report.host) {
            let known = (life.incarnation, life.sequence);
            if (report.incarnation, report.sequence) <= known {
                return;
            }
        }
        let life = Life {
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
        };
        self.hosts.insert(report.host.clone(), life);
        let named: BTreeSet<_> = report
            .loads
            .iter()
            .map(|load| load.target.clone())
            .collect();
        self.retain(|target, row| row.host != report.host || named.contains(target));
        for load in report.loads {
            self.update(now, &report.host, load);
        }
    }

    fn update(&mut self, now: Moment, host: &HostName, load: Load) {
        if let Some(row) = self.rows.get_mut(&load.target) {
            row.update(now, host.clone(), load);
        } else {
            let target = load.target.clone();
            self.rows.insert(target, Row::new(now, host.clone(), load));
        }
    }

    /// Takes an engine's word about its cache in; a target that isn't known is ignored.
    pub fn cached(&mut self, now: Moment, event: &CacheEvent) {
        if self.rows.contains_key(&event.target) {
            self.prefixes.hear(now, event);
        }
    }

    /// Forgets the targets of a host whose link ended. Its last report's number
    /// stays known, so that a late one can't bring them back.
    pub fn lose(&mut self, host: &HostName) {
        self.retain(|_, row| row.host != *host);
    }

    fn retain<F>(&mut self, stays: F)
    where
        F: Fn(&TargetName, &Row) -> bool,
    {
        let prefixes = &mut self.prefixes;
        self.rows.retain(|target, row| {
            let stay = stays(target, row);
            if !stay {
                prefixes.forget(target);
            }
            stay
        });
    }

    /// Counts a send, which the target's reports don't show yet.
    pub fn sent(&mut self, now: Moment, target: &TargetName, prefix: &Prefix) {
        if let Some(row) = self.rows.get_mut(target) {
            row.send(now);
            self.prefixes.note(now, target, prefix);
        }
    }

    /// Counts a sent request as ended.
    pub fn done(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.end();
        }
    }

    /// Passes a target that refused over, longer with each refusal in a row.
    pub fn refused(&mut self, now: Moment, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.refuse(now);
        }
    }

    /// Notes that a target answers, so that its next refusal counts as the first.
    pub fn took(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.take();
        }
    }

    /// Chooses a target that can take the request; none when all are full or rest.
    pub fn choose(&self, now: Moment, wanted: &Wanted, rng: &mut fastrand::Rng) -> Option<Choice> {
        let rows = self.candidates(now, wanted);
        let first = draw(&rows, rng)?;
        let second = draw(&rows, rng)?;
        let chosen = if second.pressure() < first.pressure() {
            second
        } else {
            first
        };
        let row = self.hinted(now, wanted, &rows, chosen).unwrap_or(chosen);
        Some(Choice {
            target: row.load.target.clone(),
            host: row.host.clone(),
            weights: row.load.weights,
        })
    }

    /// The best class that has any: heard of lately before suspect, free slots before queues.
    fn candidates<'a>(&'a self, now: Moment, wanted: &'a Wanted) -> Vec<&'a Row> {
        let able = self.able(now, wanted);
        let able = able.filter(|row| row.may_send(self.room, wanted.standing));
        let able: Vec<_> = able.collect();
        let is_near = |row: &&Row| now.since(row.heard) < SUSPECT_AFTER;
        let is_free = |row: &&Row| row.free() > 0;
        let classes: [&dyn Fn(&&Row) -> bool; 3] = [
            &|row| is_near(row) && is_free(row),
            &|row| is_near(row),
            &|_| true,
        ];
        for class in classes {
            let rows: Vec<_> = able.iter().copied().filter(|row| class(row)).collect();
            if !rows.is_empty() {
                return rows;
            }
        }
        Vec::new()
    }

    /// The candidate that likely has the prompt's beginning, if it is about as free.
    ///
    /// Between equals, and where nothing is known, a hash decides that all
    /// entries agree on, so that a beginning gathers at one target without
    /// a word between them.
    fn hinted<'a>(
        &self,
        now: Moment,
        wanted: &Wanted,
        rows: &[&'a Row],
        chosen: &Row,
    ) -> Option<&'a Row> {
        let key = wanted.prefix.key()?;
        let holders = self.prefixes.holders(now, &wanted.prefix);
        let score = |row: &Row| holders.get(&row.load.target).copied().unwrap_or(0.0);
        let rank = |row: &Row| rank(key, &row.load.target);
        let most = chosen.pressure() + PREFIX_WORTH;
        let near = rows
            .iter()
            .filter(|row| row.free() > 0 && row.pressure() <= most);
        near.max_by(|one, other| {
            let scores = score(one).total_cmp(&score(other));
            scores.then_with(|| rank(one).cmp(&rank(other)))
        })
        .copied()
    }

    fn able<'a>(&'a self, now: Moment, wanted: &'a Wanted) -> impl Iterator<Item = &'a Row> {
        // A late word of the target that refused must not be taken for a neighbour's.
        let avoided: BTreeSet<_> = wanted
            .avoid
            .iter()
            .filter_map(|target| self.host(target))
            .collect();
        self.rows.values().filter(move |row| {
            let leaving = self.hosts.get(&row.host).is_none_or(|life| life.leaving);
            let load = &row.load;
            load.subject == wanted.subject
                && load.limit > 0
                && !leaving
                && !row.is_paused(now)
                && now.since(row.heard) < REPORT_LIFE
                && wanted.only.as_ref().is_none_or(|only| *only == load.target)
                && (wanted.weights.is_none() || wanted.weights == load.weights)
                && !wanted.avoid.contains(&load.target)
                && !avoided.contains(&row.host)
        })
    }

    /// The host of `target`, if it is known.
    pub fn host(&self, target: &TargetName) -> Option<&HostName> {
        self.rows.get(target).map(|row| &row.host)
    }

    /// Every known target's load, for status pages.
    pub fn loads(&self) -> impl Iterator<Item = (&HostName, &Load)> {
        self.rows.values().map(|row| (&row.host, &row.load))
    }
}

/// The place of `target` in an order that only `key` decides.
fn rank(key: u64, target: &TargetName) -> u64 {
    let bytes = target.as_str().bytes();
    let hash = bytes.fold(key, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    // The last bytes of a name would else move only the low bits.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws a row by its free slots, or any when none has one.
fn draw<'a>(rows: &[&'a Row], rng: &mut fastrand::Rng) -> Option<&'a Row> {
    let total: u64 = rows.iter().map(|row| u64::from(row.free())).sum();
    if total == 0 {
        let place = rng.usize(..rows.len().max(1));
        return rows.get(place).copied();
    }
    let mut left = rng.u64(..total);
    rows.iter().copied().find(|row| {
        let free = u64::from(row.free());
        let found = left < free;
        left = left.saturating_sub(free);
        found
    })
}
