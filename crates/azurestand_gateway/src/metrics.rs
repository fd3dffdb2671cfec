//! Counters, gauges and histograms of one daemon, in the Prometheus text format.
//! [docs/METRICS.md](../../../docs/METRICS.md) is generated from these lists.

use std::sync::LazyLock;
use std::time::Duration;

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder,
};

use crate::log::LogEvent;

/// The path of the metrics: at the readiness check's address of an entry, and at the
/// piece server's address of an agent.
pub(crate) const METRICS_PATH: &str = "/metrics";
/// The upper bounds of all histograms' buckets, in seconds.
const BOUNDS_S: [f64; 14] = [
    0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.9, 1.5, 3.0, 6.0, 12.0,
];

macro_rules! metrics {
    ($kind:ident, $doc:literal: $($name:ident = $key:literal, $meaning:literal;)+) => {
        #[doc = $doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $kind {
            $(#[doc = $meaning] $name,)+
        }

        impl $kind {
            /// Every metric of this kind.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The value of the label `of`.
            pub fn key(self) -> &'static str {
                match self { $(Self::$name => $key,)+ }
            }

            /// What the metric measures.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)+ }
            }
        }
    };
}

metrics! { Span, "A histogram of durations.":
    FirstToken = "first_token", "From a request's arrival to the first event of its response.";
    Pause = "pause", "Between two batches of events of one stream.";
    Whole = "whole", "From a request's arrival to the end of its response.";
    Refusal = "refusal", "From a request's arrival to its refusal.";
    Doubt = "doubt", "From a request's arrival to the response that it may have run.";
    Wait = "wait", "In the queue for capacity at a target, whether placed in the end or not.";
    Late = "late", "How much later than predicted a response started.";
    Early = "early", "How much earlier than predicted a response started.";
    VersionLeft = "version_left", "From the start of a response on replaced weights to the bound of their replacement.";
}

metrics! { Level, "A gauge.":
    Ready = "ready", "1 while this entry reports to the load balancer that it is ready.";
    Line = "line", "Requests that wait for capacity.";
    ProofAge = "proof_age", "Seconds since the store last confirmed that the known data is complete.";
    Correction = "correction", "Seconds added to predictions, at the service with the most.";
    Targets = "targets", "Listed targets.";
    Config = "config", "The version of the configuration in force.";
    SuspectedParts = "suspected_parts", "Parts of prompts that are suspected to crash targets.";
    QuarantinedParts = "quarantined_parts", "Parts of prompts whose requests are refused since they crash targets.";
    LimitedTargets = "limited_targets", "Targets that name a rate limit.";
    LeavingTargets = "leaving_targets", "Listed targets that have said that they leave.";
    TurnedAwayTargets = "turned_away_targets", "Listed targets that want nothing for a time that they have named.";
    UrgentDelayed = "urgent_delayed", "The part of recent requests of the most urgent level that found no target when they arrived, at the service with the most; 0 where levels don't compete.";
    Displaced = "displaced", "Requests that were displaced from the queues since the start.";
    Missing = "missing", "Missing pieces of the version that is being fetched.";
}

/// The registry and its metric families.
struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    dropped_lines: IntCounterVec,
    spans: HistogramVec,
    levels: GaugeVec,
}

static METRICS: LazyLock<Option<Metrics>> = LazyLock::new(|| Metrics::new().ok());

impl Metrics {
    /// Fails only if a metric's name is invalid.
    fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let events = Opts::new("azurestand_events_total", "Happenings by event.");
        let events = IntCounterVec::new(events, &["event", "what"])?;
        let dropped_lines = Opts::new("azurestand_lines_left_out_total", "Log lines left out.");
        let dropped_lines = IntCounterVec::new(dropped_lines, &["class"])?;
        let spans = HistogramOpts::new("azurestand_seconds", "Durations by kind.");
        let spans = HistogramVec::new(spans.buckets(BOUNDS_S.to_vec()), &["of"])?;
        let levels = Opts::new("azurestand_level", "Present values by kind.");
        let levels = GaugeVec::new(levels, &["of"])?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(dropped_lines.clone()))?;
        registry.register(Box::new(spans.clone()))?;
        registry.register(Box::new(levels.clone()))?;
        Ok(Self {
            registry,
            events,
            dropped_lines,
            spans,
            levels,
        })
    }
}

/// Counts an event, whether or not its line is written.
pub(crate) fn count_event(event: LogEvent) {
    if let Some(metrics) = METRICS.as_ref() {
        let labels = [event.number(), event.text()];
        metrics.events.with_label_values(&labels).inc();
    }
}

/// Counts a dropped log line.
pub(crate) fn count_dropped_line(class: &str) {
    if let Some(metrics) = METRICS.as_ref() {
        metrics.dropped_lines.with_label_values(&[class]).inc();
    }
}

/// Records a duration in a histogram.
pub(crate) fn time(span: Span, time: Duration) {
    if let Some(metrics) = METRICS.as_ref() {
        let histogram = metrics.spans.with_label_values(&[span.key()]);
        histogram.observe(time.as_secs_f64());
    }
}

/// Records the error of a prediction in the histogram of late or early responses.
pub(crate) fn time_error(expected: Duration, took: Duration) {
    if took >= expected {
        time(Span::Late, took.saturating_sub(expected));
    } else {
        time(Span::Early, expected.saturating_sub(took));
    }
}

/// Sets a gauge.
pub(crate) fn set(level: Level, value: f64) {
    if let Some(metrics) = METRICS.as_ref() {
        metrics.levels.with_label_values(&[level.key()]).set(value);
    }
}

/// All metrics in the text format.
pub(crate) fn text() -> String {
    let mut text = Vec::new();
    if let Some(metrics) = METRICS.as_ref() {
        // Writing to memory doesn't fail; whatever was encoded is returned.
        let _ = TextEncoder::new().encode(&metrics.registry.gather(), &mut text);
    }
    String::from_utf8_lossy(&text).into_owned()
}
