//! The targets of one data centre as an entry knows them; reports lag behind the true
//! load.
//!
//! Two candidates are drawn at random, weighted by their free slots, and the less
//! loaded one is chosen. A target that probably has the prompt's prefix in its cache is
//! preferred only if it is about as free as the chosen one.
//! [docs/ROUTING.md](../../../docs/ROUTING.md) compares the alternatives.

mod row;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Incarnation, Moment, TargetName};

use crate::account::QueueAccess;
use crate::prefix::{CacheEvent, Prefix, Prefixes};
use row::Row;

/// A target whose last report is older than this is not chosen.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// A host without a report for this long is suspect: agents report twice a second.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_100);
/// How much more pressure, in requests per slot, a target with a cached prefix may
/// have.
const PREFIX_BONUS: f64 = 0.25;

/// The load of one target as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// The model or service that it serves.
    pub subject: Arc<str>,
    /// The weights that serve requests now; none for a plain service.
    pub weights: Option<Digest>,
    /// Requests that it may run at once.
    pub limit: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in its queue.
    pub waiting: u32,
}

/// One agent's report on its host and the targets there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host.
    pub host: HostName,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each report of the incarnation; a report that arrives out of
    /// order is dropped.
    pub sequence: u64,
    /// Whether the host is leaving service.
    pub leaving: bool,
    /// Its targets.
    pub loads: Vec<Load>,
}

/// The requirements of a request on its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRequirements {
    /// The model or service.
    pub subject: Arc<str>,
    /// Targets that this request must not go to.
    pub avoid: BTreeSet<TargetName>,
    /// The only target that may serve it, such as the home of a request with a key.
    pub only: Option<TargetName>,
    /// The only weights that may answer it, fixed once it was sent to a target with
    /// these.
    pub weights: Option<Digest>,
    /// How much of each queue its account may fill, from
    /// [`AccountLimits::queue_access`](crate::AccountLimits::queue_access).
    pub queue_access: QueueAccess,
    /// The prefix of its prompt; empty for a plain service.
    pub prefix: Prefix,
}

impl TargetRequirements {
    /// Accepts any target of `subject`.
    pub fn subject(subject: &str) -> Self {
        Self {
            subject: subject.into(),
            avoid: BTreeSet::new(),
            only: None,
            weights: None,
            queue_access: QueueAccess::default(),
            prefix: Prefix::default(),
        }
    }
}

/// The target chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetName,
    /// Its host.
    pub host: HostName,
    /// The weights that must answer; none for a plain service.
    pub weights: Option<Digest>,
}

/// The limits on requests queued at targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests that may wait at one target.
    pub queue_length: u32,
    /// Entries that send to the same targets, this one included.
    pub entries: u32,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            queue_length: 64,
            entries: 1,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct HostState {
    incarnation: Incarnation,
    sequence: u64,
    leaving: bool,
}

/// The targets of one data centre.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<TargetName, Row>,
    hosts: BTreeMap<HostName, HostState>,
    prefixes: Prefixes,
    queue_limits: QueueLimits,
}

impl Table {
    /// Sets the queue length of a target and the number of entries that share it.
    pub fn set_queue_limits(&mut self, queue_limits: QueueLimits) {
        self.queue_limits = queue_limits;
    }

    /// Applies a report, unless one at least as new from the same host was applied
    /// before.
    pub fn apply_report(&mut self, now: Moment, report: HostReport) {
        if let Some(state) = self.hosts.get(&report.host) {
            let known = (state.incarnation, state.sequence);
            if (report.incarnation, report.sequence) <= known {
                return;
            }
        }
        let state = HostState {
            incarnation: report.incarnation,
            sequence: report.sequence,
            leaving: report.leaving,
        };
        self.hosts.insert(report.host.clone(), state);
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

    /// Applies an engine's cache event; events of unknown targets are ignored.
    pub fn apply_cache_event(&mut self, now: Moment, event: &CacheEvent) {
        if self.rows.contains_key(&event.target) {
            self.prefixes.apply(now, event);
        }
    }

    /// Removes the targets of a host whose link was lost. The sequence number of its
    /// last report is kept, so that a late report can't add them again.
    pub fn remove_host(&mut self, host: &HostName) {
        self.retain(|_, row| row.host != *host);
    }

    fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&TargetName, &Row) -> bool,
    {
        let prefixes = &mut self.prefixes;
        self.rows.retain(|target, row| {
            let kept = keep(target, row);
            if !kept {
                prefixes.remove_target(target);
            }
            kept
        });
    }

    /// Records a request sent to `target`, which its reports don't include yet.
    pub fn record_send(&mut self, now: Moment, target: &TargetName, prefix: &Prefix) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_send(now);
            self.prefixes.record(now, target, prefix);
        }
    }

    /// Records that a request sent to `target` has ended.
    pub fn record_end(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_end();
        }
    }

    /// Pauses a target that refused a request, for longer with each consecutive
    /// refusal.
    pub fn record_refusal(&mut self, now: Moment, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_refusal(now);
        }
    }

    /// Records that a target accepted a request, which ends the run of consecutive
    /// refusals.
    pub fn record_accept(&mut self, target: &TargetName) {
        if let Some(row) = self.rows.get_mut(target) {
            row.record_accept();
        }
    }

    /// Chooses a target that can take the request; none when all are full or paused.
    pub fn choose(
        &self,
        now: Moment,
        requirements: &TargetRequirements,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let rows = self.candidates(now, requirements);
        let first = draw(&rows, rng)?;
        let second = draw(&rows, rng)?;
        let chosen = if second.pressure() < first.pressure() {
            second
        } else {
            first
        };
        let row = self
            .prefer_cached(now, requirements, &rows, chosen)
            .unwrap_or(chosen);
        Some(Choice {
            target: row.load.target.clone(),
            host: row.host.clone(),
            weights: row.load.weights,
        })
    }

    /// The best non-empty class of candidates: reported recently before suspect, free
    /// slots before queues.
    fn candidates<'a>(&'a self, now: Moment, requirements: &'a TargetRequirements) -> Vec<&'a Row> {
        let eligible = self.eligible(now, requirements);
        let eligible =
            eligible.filter(|row| row.may_send(self.queue_limits, requirements.queue_access));
        let eligible: Vec<_> = eligible.collect();
        let is_recent = |row: &&Row| now.since(row.updated) < SUSPECT_AFTER;
        let is_free = |row: &&Row| row.free() > 0;
        let classes: [&dyn Fn(&&Row) -> bool; 3] = [
            &|row| is_recent(row) && is_free(row),
            &|row| is_recent(row),
            &|_| true,
        ];
        for class in classes {
            let rows: Vec<_> = eligible.iter().copied().filter(|row| class(row)).collect();
            if !rows.is_empty() {
                return rows;
            }
        }
        Vec::new()
    }

    /// The candidate that probably has the prompt's prefix in its cache, if it is about
    /// as free as `chosen`.
    ///
    /// Ties, also where no cache is known, are broken by a hash that is the same at all
    /// entries, so that requests with one prefix go to one target without coordination.
    fn prefer_cached<'a>(
        &self,
        now: Moment,
        requirements: &TargetRequirements,
        rows: &[&'a Row],
        chosen: &Row,
    ) -> Option<&'a Row> {
        let key = requirements.prefix.key()?;
        let holders = self.prefixes.holders(now, &requirements.prefix);
        let score = |row: &Row| holders.get(&row.load.target).copied().unwrap_or(0.0);
        let rank = |row: &Row| rank(key, &row.load.target);
        let max_pressure = chosen.pressure() + PREFIX_BONUS;
        let similar = rows
            .iter()
            .filter(|row| row.free() > 0 && row.pressure() <= max_pressure);
        similar
            .max_by(|a, b| {
                let scores = score(a).total_cmp(&score(b));
                scores.then_with(|| rank(a).cmp(&rank(b)))
            })
            .copied()
    }

    fn eligible<'a>(
        &'a self,
        now: Moment,
        requirements: &'a TargetRequirements,
    ) -> impl Iterator<Item = &'a Row> {
        // Excludes the whole host: a late message of the target that refused could be
        // mistaken for one of another target on the same link.
        let avoided: BTreeSet<_> = requirements
            .avoid
            .iter()
            .filter_map(|target| self.host(target))
            .collect();
        self.rows.values().filter(move |row| {
            let leaving = self.hosts.get(&row.host).is_none_or(|state| state.leaving);
            let load = &row.load;
            load.subject == requirements.subject
                && load.limit > 0
                && !leaving
                && !row.is_paused(now)
                && now.since(row.updated) < MAX_REPORT_AGE
                && requirements
                    .only
                    .as_ref()
                    .is_none_or(|only| *only == load.target)
                && (requirements.weights.is_none() || requirements.weights == load.weights)
                && !requirements.avoid.contains(&load.target)
                && !avoided.contains(&row.host)
        })
    }

    /// The host of `target`, if the target is known.
    pub fn host(&self, target: &TargetName) -> Option<&HostName> {
        self.rows.get(target).map(|row| &row.host)
    }

    /// The last reported load of every known target, for status pages.
    pub fn loads(&self) -> impl Iterator<Item = (&HostName, &Load)> {
        self.rows.values().map(|row| (&row.host, &row.load))
    }
}

/// A pseudo-random rank of `target` that depends only on `key` and the name.
fn rank(key: u64, target: &TargetName) -> u64 {
    let bytes = target.as_str().bytes();
    let hash = bytes.fold(key, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    // Mixes the high bits in: the last bytes of a name would otherwise affect only the
    // low bits.
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Draws a row at random, weighted by free slots, or uniformly when none is free.
fn draw<'a>(rows: &[&'a Row], rng: &mut fastrand::Rng) -> Option<&'a Row> {
    let total: u64 = rows.iter().map(|row| u64::from(row.free())).sum();
    if total == 0 {
        let index = rng.usize(..rows.len().max(1));
        return rows.get(index).copied();
    }
    let mut left = rng.u64(..total);
    rows.iter().copied().find(|row| {
        let free = u64::from(row.free());
        let found = left < free;
        left = left.saturating_sub(free);
        found
    })
}
