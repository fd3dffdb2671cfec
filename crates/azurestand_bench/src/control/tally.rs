//! Counts what a run costs.

use std::time::Duration;

use azurestand_types::Moment;

/// The counts since the last reset.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Bytes sent and received, by node.
    pub(super) bytes: Vec<u64>,
    /// Bytes by directed pair of regions.
    pub(super) links: Vec<u64>,
    pub(super) store_calls: u64,
    pub(super) peak_calls: u64,
    /// Processor time spent in state machines and codec.
    pub(super) busy: Duration,
    second: u64,
    second_calls: u64,
}

/// Costs a second.
#[derive(Debug, Default)]
pub(super) struct Summary {
    pub(super) calls: f64,
    pub(super) node_bytes: f64,
    pub(super) peak_bytes: f64,
    pub(super) link_kbit: f64,
    pub(super) cpu_percent: f64,
}

impl Tally {
    pub(super) fn new(nodes: usize, links: usize) -> Self {
        Self {
            bytes: vec![0; nodes],
            links: vec![0; links],
            ..Self::default()
        }
    }

    pub(super) fn reset(&mut self) {
        *self = Self::new(self.bytes.len(), self.links.len());
    }

    pub(super) fn call(&mut self, now: Moment) {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.second_calls = 0;
        }
        self.second_calls += 1;
        self.store_calls += 1;
        self.peak_calls = self.peak_calls.max(self.second_calls);
    }

    #[expect(clippy::cast_precision_loss, reason = "figures for people")]
    pub(super) fn summary(&self, span: Duration, nodes: usize) -> Summary {
        let seconds = span.as_secs_f64();
        let total: u64 = self.bytes.iter().sum();
        let peak = self.bytes.iter().max().copied().unwrap_or_default();
        let link = self.links.iter().max().copied().unwrap_or_default();
        Summary {
            calls: self.store_calls as f64 / seconds,
            node_bytes: total as f64 / seconds / nodes as f64,
            peak_bytes: peak as f64 / seconds,
            link_kbit: link as f64 * 8.0 / 1_000.0 / seconds,
            cpu_percent: self.busy.as_secs_f64() / seconds / nodes as f64 * 100.0,
        }
    }
}

/// The memory of this process that is resident, from `/proc/self/statm`; zero elsewhere.
pub(super) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
