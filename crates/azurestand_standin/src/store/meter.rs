//! Counts calls and refuses those above the rates.

use std::time::Duration;

use tokio::time::Instant;

use super::StoreOptions;

const WINDOW: Duration = Duration::from_secs(1);

/// The calls that a store has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, without watches.
    pub reads: u64,
    /// Writes, lease calls among them.
    pub writes: u64,
    /// Watches opened; each also counts against the rate of reads.
    pub watches: u64,
    /// Calls refused for their rate, which the other counts leave out.
    pub refused: u64,
    /// The most reads and watches in one second, refused ones included.
    pub peak_reads: u64,
    /// The most writes in one second, refused ones included.
    pub peak_writes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
    Watch,
}

#[derive(Debug)]
pub(crate) struct Meter {
    limits: StoreOptions,
    calls: Calls,
    start: Instant,
    reads: u64,
    writes: u64,
}

impl Meter {
    pub(crate) fn new(limits: StoreOptions, now: Instant) -> Self {
        Self {
            limits,
            calls: Calls::default(),
            start: now,
            reads: 0,
            writes: 0,
        }
    }

    pub(crate) fn set_limits(&mut self, limits: StoreOptions, now: Instant) {
        self.limits = limits;
        self.turn(now);
    }

    pub(crate) fn calls(&self) -> Calls {
        self.calls
    }

    pub(crate) fn forget(&mut self) {
        self.calls = Calls::default();
    }

    /// Counts a call and tells whether it may run.
    pub(crate) fn admit(&mut self, kind: Kind, now: Instant) -> bool {
        if now.duration_since(self.start) >= WINDOW {
            self.turn(now);
        }
        let within = match kind {
            Kind::Read | Kind::Watch => {
                self.reads += 1;
                self.calls.peak_reads = self.calls.peak_reads.max(self.reads);
                under(self.reads, self.limits.reads)
            }
            Kind::Write => {
                self.writes += 1;
                self.calls.peak_writes = self.calls.peak_writes.max(self.writes);
                under(self.writes, self.limits.writes)
            }
        };
        let count = match kind {
            _ if !within => &mut self.calls.refused,
            Kind::Read => &mut self.calls.reads,
            Kind::Watch => &mut self.calls.watches,
            Kind::Write => &mut self.calls.writes,
        };
        *count += 1;
        within
    }

    fn turn(&mut self, now: Instant) {
        self.start = now;
        self.reads = 0;
        self.writes = 0;
    }
}

fn under(count: u64, limit: u32) -> bool {
    limit == 0 || count <= u64::from(limit)
}
