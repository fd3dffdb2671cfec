//! What the entry knows of the targets in its data centre, always a little late.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Incarnation, Moment, TargetName};

/// A report older than this tells nothing about room any more.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// How long a target that refused is passed over when others are left.
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);

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
}

impl Wanted {
    /// Any target of `subject`.
    pub fn subject(subject: &str) -> Self {
        Self {
            subject: subject.into(),
            avoid: BTreeSet::new(),
            only: None,
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

#[derive(Debug, Clone)]
struct Row {
    host: HostName,
    load: Load,
    heard: Moment,
    sent: u32,
    paused: Moment,
}

impl Row {
    /// Work for each slot; reports lag, so what this entry sent since counts on top.
    fn pressure(&self) -> f64 {
        let work = self.load.running.max(self.sent) + self.load.waiting;
        f64::from(work + 1) / f64::from(self.load.limit.max(1))
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
}

impl Table {
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
        self.rows
            .retain(|target, row| row.host != report.host || named.contains(target));
        for load in report.loads {
            self.update(now, &report.host, load);
        }
    }

    fn update(&mut self, now: Moment, host: &HostName, load: Load) {
        let known = self.rows.get(&load.target);
        let row = Row {
            host: host.clone(),
            heard: now,
            sent: known.map_or(0, |row| row.sent),
            paused: known.map_or(Moment::START, |row| row.paused),
            load,
        };
        self.rows.insert(row.load.target.clone(), row);
    }

    /// Forgets the targets of a host whose link ended. Its last report's number
    /// stays known, so that a late one can't bring them back.
    pub fn lose(&mut self, host: &HostName) {
        self.rows.retain(|_, row| row.host != *host);
    }

    /// Counts a send, which the target's reports don't show yet.
    pub fn sent(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.sent += 1;
        }
    }

    /// Counts a sent request as ended.
    pub fn done(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.sent = row.sent.saturating_sub(1);
        }
    }

    /// Passes a target that refused over for a moment.
    pub fn refused(&mut self, now: Moment, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.paused = now + REFUSAL_PAUSE;
        }
    }

    /// Chooses the less pressed of two random targets that can take the request.
    pub fn choose(&self, now: Moment, wanted: &Wanted, rng: &mut fastrand::Rng) -> Option<Choice> {
        let able: Vec<_> = self.able(now, wanted).collect();
        let rested: Vec<_> = able
            .iter()
            .copied()
            .filter(|row| row.paused <= now)
            .collect();
        let rows = if rested.is_empty() { able } else { rested };
        let first = rows.get(rng.usize(..rows.len().max(1)))?;
        let second = rows[rng.usize(..rows.len())];
        let row = if second.pressure() < first.pressure() {
            second
        } else {
            first
        };
        Some(Choice {
            target: row.load.target.clone(),
            host: row.host.clone(),
            weights: row.load.weights,
        })
    }

    fn able<'a>(&'a self, now: Moment, wanted: &'a Wanted) -> impl Iterator<Item = &'a Row> {
        self.rows.values().filter(move |row| {
            let leaving = self.hosts.get(&row.host).is_none_or(|life| life.leaving);
            let named = wanted
                .only
                .as_ref()
                .is_none_or(|only| *only == row.load.target);
            row.load.subject == wanted.subject
                && row.load.limit > 0
                && !leaving
                && named
                && now.since(row.heard) < REPORT_LIFE
                && !wanted.avoid.contains(&row.load.target)
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
