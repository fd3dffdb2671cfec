//! The figures as typed rows.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::tally::Summary;

/// How nodes learn of a new document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Method {
    /// Two hubs a data centre watch the store; the others hear from peers.
    Hubs,
    /// Every node watches the store itself.
    WatchAll,
}

/// The cost and speed of one fleet.
#[derive(Debug, Clone, Serialize)]
pub struct ControlRow {
    /// How nodes learn of a new document.
    pub method: Method,
    /// The size of the fleet.
    pub nodes: usize,
    /// Seconds until every view is complete after all start at once.
    pub join_s: Option<f64>,
    /// Median milliseconds from accepted in the store to in force on a node.
    pub p50_ms: f64,
    /// Milliseconds until the last node has it in force, over all edits.
    pub max_ms: f64,
    /// Store calls a second while nothing happens.
    pub steady_calls: f64,
    /// Store calls that one edit causes.
    pub change_calls: u64,
    /// The most store calls in one second after an outage of a minute.
    pub outage_calls: u64,
    /// Bytes a second that a node sends and receives, frames included.
    pub node_bytes: f64,
    /// The same for the node with the most.
    pub peak_bytes: f64,
    /// Kilobits a second on the busiest link between two regions, one way.
    pub link_kbit: f64,
    /// Per cent of one core that a node's state machine and codec take.
    pub cpu_percent: f64,
    /// Kilobytes of memory a node.
    pub memory_kb: f64,
}

/// How fast dead hosts are found, and how often live ones are doubted.
#[derive(Debug, Clone, Serialize)]
pub struct DetectionRow {
    /// The size of the fleet.
    pub nodes: usize,
    /// The share of messages lost, in per cent.
    pub loss_percent: f64,
    /// Hosts killed one after the other.
    pub killed: usize,
    /// Median seconds until the first peer suspects a killed host.
    pub suspect_s: f64,
    /// Median seconds until its whole data centre has it as dead.
    pub dead_s: f64,
    /// The longest of those.
    pub dead_max_s: f64,
    /// Live hosts suspected by anyone, per node and hour.
    pub doubts: f64,
    /// Live hosts declared dead by anyone, in the whole run.
    pub false_deaths: u64,
}

/// How hard the store is hit when it returns.
#[derive(Debug, Clone, Serialize)]
pub struct RecoveryRow {
    /// What happened.
    pub case: &'static str,
    /// The size of the fleet.
    pub nodes: usize,
    /// The most calls in one second while the store is down.
    pub down_calls: u64,
    /// The most calls in one second once the store is back.
    pub peak_calls: u64,
    /// Seconds from the store's return until an edit is in force everywhere.
    pub whole_s: Option<f64>,
}

/// All rows of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Cost and speed by size and method.
    pub control: Vec<ControlRow>,
    /// Failure detection by size.
    pub detection: Vec<DetectionRow>,
    /// The return of the store.
    pub recovery: Vec<RecoveryRow>,
}

pub(super) struct Measured {
    pub(super) method: Method,
    pub(super) nodes: usize,
    pub(super) joined: Option<Duration>,
    pub(super) times: Vec<Duration>,
    pub(super) steady: Summary,
    pub(super) change_calls: u64,
    pub(super) outage_calls: u64,
    pub(super) memory: u64,
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
pub(super) fn control(measured: &Measured) -> ControlRow {
    let mut times = measured.times.clone();
    times.sort();
    let steady = &measured.steady;
    ControlRow {
        method: measured.method,
        nodes: measured.nodes,
        join_s: measured.joined.map(|joined| joined.as_secs_f64()),
        p50_ms: millis(median(&times)),
        max_ms: millis(times.last().copied().unwrap_or_default()),
        steady_calls: steady.calls,
        change_calls: measured.change_calls,
        outage_calls: measured.outage_calls,
        node_bytes: steady.node_bytes,
        peak_bytes: steady.peak_bytes,
        link_kbit: steady.link_kbit,
        cpu_percent: steady.cpu_percent,
        memory_kb: measured.memory as f64 / 1_024.0 / measured.nodes as f64,
    }
}

/// The middle of sorted times, or zero when there are none.
pub(super) fn median(sorted: &[Duration]) -> Duration {
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "method    nodes  join s  p50 ms  max ms  calls/s  change  outage   B/s  peak B/s  \
             link kbit/s  cpu %  mem kB"
        )?;
        for row in &self.control {
            writeln!(f, "{row}")?;
        }
        writeln!(
            f,
            "\nnodes  loss %  killed  suspect s  dead s  dead max s  doubts/node/h  false deaths"
        )?;
        for row in &self.detection {
            writeln!(f, "{row}")?;
        }
        writeln!(
            f,
            "\ncase                              nodes  calls/s down  calls/s back  whole s"
        )?;
        for row in &self.recovery {
            writeln!(f, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ControlRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<9} {:>5} {:>7} {:>7.1} {:>7.1} {:>8.2} {:>7} {:>7} {:>5.0} {:>9.0} {:>12.1} \
             {:>6.3} {:>7.0}",
            format!("{:?}", self.method),
            self.nodes,
            seconds(self.join_s),
            self.p50_ms,
            self.max_ms,
            self.steady_calls,
            self.change_calls,
            self.outage_calls,
            self.node_bytes,
            self.peak_bytes,
            self.link_kbit,
            self.cpu_percent,
            self.memory_kb
        )
    }
}

impl fmt::Display for DetectionRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>5} {:>7.1} {:>7} {:>10.2} {:>7.2} {:>11.2} {:>14.3} {:>13}",
            self.nodes,
            self.loss_percent,
            self.killed,
            self.suspect_s,
            self.dead_s,
            self.dead_max_s,
            self.doubts,
            self.false_deaths
        )
    }
}

impl fmt::Display for RecoveryRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<32} {:>6} {:>13} {:>13} {:>8}",
            self.case,
            self.nodes,
            self.down_calls,
            self.peak_calls,
            seconds(self.whole_s)
        )
    }
}

fn seconds(span: Option<f64>) -> String {
    span.map_or_else(|| "-".to_owned(), |span| format!("{span:.2}"))
}
