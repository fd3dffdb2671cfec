//! The figures as typed rows.

use std::fmt;

use serde::Serialize;

use super::Policy;

/// A burst from many entries at cold targets.
#[derive(Debug, Clone, Serialize)]
pub struct BurstRow {
    /// How it is decided.
    pub policy: Policy,
    /// Entries that send.
    pub entries: usize,
    /// Requests of callers.
    pub requests: u64,
    /// Requests started on a target beyond what it bore at that moment.
    pub over_limit: u64,
    /// The share answered in time.
    pub answered: f64,
    /// Sends to targets, retries included.
    pub sends: u64,
}

/// More load than all targets can carry.
#[derive(Debug, Clone, Serialize)]
pub struct OverloadRow {
    /// How it is decided.
    pub policy: Policy,
    /// The load as a multiple of the capacity.
    pub load: f64,
    /// Answers in time as a share of the capacity.
    pub goodput: f64,
    /// The share of small accounts' requests that was answered in time.
    pub small_answered: f64,
    /// Small accounts' latency that 95% stay under, in milliseconds.
    pub small_p95_ms: f64,
    /// The same without the large account.
    pub unloaded_p95_ms: f64,
    /// Requests started on a target beyond what it bore at that moment.
    pub over_limit: u64,
}

/// Targets that refuse everything.
#[derive(Debug, Clone, Serialize)]
pub struct RetryRow {
    /// How it is decided.
    pub policy: Policy,
    /// The share of targets that refuse.
    pub refusing: f64,
    /// Sends for each request of a caller.
    pub amplification: f64,
    /// The share answered in time.
    pub answered: f64,
}

/// Prompts that share beginnings.
#[derive(Debug, Clone, Serialize)]
pub struct PrefixRow {
    /// How it is decided.
    pub policy: Policy,
    /// The share of cache events that are lost.
    pub gaps: f64,
    /// The share of requests whose beginning the target had cached.
    pub hits: f64,
    /// The latency that 95% stay under, in milliseconds.
    pub p95_ms: f64,
}

/// A data centre that goes out of service and returns.
#[derive(Debug, Clone, Serialize)]
pub struct CentreRow {
    /// How it is decided.
    pub policy: Policy,
    /// The load as a share of all data centres' capacity.
    pub load: f64,
    /// The share answered of what came while it was out; the rest could carry all.
    pub answered: f64,
    /// The longest time without an answer to its callers, in milliseconds.
    pub gap_ms: f64,
    /// Sends for each request of a caller.
    pub sends: f64,
}

/// Time that entry and agent add to a call on loopback.
#[derive(Debug, Clone, Serialize)]
pub struct LatencyRow {
    /// How many calls are under way at once.
    pub callers: usize,
    /// Calls each way.
    pub calls: usize,
    /// The median of calls straight to the service, in milliseconds.
    pub direct_p50_ms: f64,
    /// The median of calls through entry and agent, in milliseconds.
    pub through_p50_ms: f64,
    /// The latency of direct calls that 99% stay under, in milliseconds.
    pub direct_p99_ms: f64,
    /// The same through entry and agent.
    pub through_p99_ms: f64,
}

impl LatencyRow {
    /// Milliseconds added at the median.
    pub fn added_p50_ms(&self) -> f64 {
        self.through_p50_ms - self.direct_p50_ms
    }

    /// Milliseconds added at the 99th percentile.
    pub fn added_p99_ms(&self) -> f64 {
        self.through_p99_ms - self.direct_p99_ms
    }
}

/// Requests a second through one entry beside straight calls.
#[derive(Debug, Clone, Serialize)]
pub struct RateRow {
    /// How many calls are under way at once.
    pub callers: usize,
    /// Calls a second straight to the service.
    pub direct: f64,
    /// Calls a second through one entry and one agent.
    pub through: f64,
}

/// The real daemons while a data centre leaves and returns.
#[derive(Debug, Clone, Serialize)]
pub struct LeaveRow {
    /// Requests of callers.
    pub sent: u64,
    /// The share answered.
    pub answered: f64,
    /// Requests without any word, or cut off.
    pub lost: u64,
    /// The longest time between two answers, in milliseconds.
    pub gap_ms: u64,
}

/// All rows of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Bursts at cold targets.
    pub bursts: Vec<BurstRow>,
    /// Overload.
    pub overloads: Vec<OverloadRow>,
    /// Refusing targets.
    pub retries: Vec<RetryRow>,
    /// Cached beginnings.
    pub prefixes: Vec<PrefixRow>,
    /// A data centre out and back.
    pub centres: Vec<CentreRow>,
    /// Latency through the real daemons.
    pub latencies: Vec<LatencyRow>,
    /// Rate through the real daemons.
    pub rates: Vec<RateRow>,
    /// A data centre out and back with the real daemons.
    pub leaves: Vec<LeaveRow>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_policy(f)?;
        self.write_live(f)
    }
}

impl Report {
    fn write_policy(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.bursts {
            writeln!(
                f,
                "burst    {:<9} entries {} requests {} over limit {} answered {:.3} sends {}",
                format!("{:?}", row.policy),
                row.entries,
                row.requests,
                row.over_limit,
                row.answered,
                row.sends
            )?;
        }
        for row in &self.overloads {
            writeln!(
                f,
                "overload {:<9} load {:.1} goodput {:.3} small answered {:.3} \
                 small p95 {:.1} ms (unloaded {:.1} ms) over limit {}",
                format!("{:?}", row.policy),
                row.load,
                row.goodput,
                row.small_answered,
                row.small_p95_ms,
                row.unloaded_p95_ms,
                row.over_limit
            )?;
        }
        for row in &self.retries {
            writeln!(
                f,
                "retries  {:<9} refusing {:.2} amplification {:.3} answered {:.3}",
                format!("{:?}", row.policy),
                row.refusing,
                row.amplification,
                row.answered
            )?;
        }
        for row in &self.prefixes {
            writeln!(
                f,
                "prefix   {:<9} gaps {:.1} hits {:.3} p95 {:.1} ms",
                format!("{:?}", row.policy),
                row.gaps,
                row.hits,
                row.p95_ms
            )?;
        }
        for row in &self.centres {
            writeln!(
                f,
                "centre   {:<9} load {:.1} answered {:.4} longest gap {:.0} ms sends {:.2}",
                format!("{:?}", row.policy),
                row.load,
                row.answered,
                row.gap_ms,
                row.sends
            )?;
        }
        Ok(())
    }

    fn write_live(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.latencies {
            writeln!(
                f,
                "latency  callers {} calls {} p50 {:.3} -> {:.3} ms (+{:.3}) \
                 p99 {:.3} -> {:.3} ms (+{:.3})",
                row.callers,
                row.calls,
                row.direct_p50_ms,
                row.through_p50_ms,
                row.added_p50_ms(),
                row.direct_p99_ms,
                row.through_p99_ms,
                row.added_p99_ms()
            )?;
        }
        for row in &self.rates {
            writeln!(
                f,
                "rate     callers {} direct {:.0}/s through one entry {:.0}/s ratio {:.2}",
                row.callers,
                row.direct,
                row.through,
                row.through / row.direct.max(1.0)
            )?;
        }
        for row in &self.leaves {
            writeln!(
                f,
                "leaving  sent {} answered {:.4} lost {} longest gap {} ms",
                row.sent, row.answered, row.lost, row.gap_ms
            )?;
        }
        Ok(())
    }
}
