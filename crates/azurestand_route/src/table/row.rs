//! The state of one target: its last report and what this entry sent since.

use std::collections::VecDeque;
use std::time::Duration;

use azurestand_types::{HostName, Moment};

use super::{Load, QueueLimits};
use crate::account::QueueAccess;

/// The time after which a sent request is included in reports.
const REPORT_LAG: Duration = Duration::from_millis(20);
/// Sent requests tracked until a report includes them; further ones are not counted.
const MAX_RECENT: usize = 1_024;
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_DOUBLINGS: u32 = 6;
/// Consecutive refusals from which a report of free slots no longer ends the pause.
const DISTRUST_AFTER: u32 = 3;

#[derive(Debug, Clone)]
pub(super) struct Row {
    pub(super) host: HostName,
    pub(super) load: Load,
    pub(super) updated: Moment,
    /// When this entry sent the requests that the newest report may not include.
    recent: VecDeque<Moment>,
    /// Requests of this entry that ended since the newest report.
    ended: u32,
    paused_until: Moment,
    refusals: u32,
}

impl Row {
    pub(super) fn new(now: Moment, host: HostName, load: Load) -> Self {
        Self {
            host,
            load,
            updated: now,
            recent: VecDeque::new(),
            ended: 0,
            paused_until: Moment::START,
            refusals: 0,
        }
    }

    pub(super) fn update(&mut self, now: Moment, host: HostName, load: Load) {
        self.host = host;
        self.load = load;
        self.updated = now;
        self.ended = 0;
        while self.recent.front().is_some_and(|at| *at + REPORT_LAG < now) {
            self.recent.pop_front();
        }
        // A report of free slots ends the pause, unless the target keeps refusing in
        // spite of its reports.
        if self.free() > 0 && self.refusals < DISTRUST_AFTER {
            self.paused_until = now;
        }
    }

    pub(super) fn record_send(&mut self, now: Moment) {
        if self.recent.len() < MAX_RECENT {
            self.recent.push_back(now);
        }
    }

    pub(super) fn record_end(&mut self) {
        self.ended += 1;
    }

    /// Each consecutive refusal doubles the pause.
    pub(super) fn record_refusal(&mut self, now: Moment) {
        let pause = FIRST_PAUSE * 2_u32.pow(self.refusals.min(MAX_DOUBLINGS));
        self.paused_until = now + pause;
        self.refusals += 1;
    }

    pub(super) fn record_accept(&mut self) {
        self.refusals = 0;
    }

    pub(super) fn is_paused(&self, now: Moment) -> bool {
        self.paused_until > now
    }

    /// Running and waiting requests: those reported, plus those that this entry sent
    /// since.
    fn outstanding(&self) -> u32 {
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        let reported = self.load.running + self.load.waiting;
        reported.saturating_add(recent).saturating_sub(self.ended)
    }

    pub(super) fn free(&self) -> u32 {
        self.load.limit.saturating_sub(self.outstanding())
    }

    /// Whether the target has room for one more request, and this entry's share of the
    /// room isn't used up.
    ///
    /// All entries see the same room until the next report. Each takes only its share
    /// of it; otherwise `n` entries together would fill it `n` times over.
    pub(super) fn may_send(&self, queue_limits: QueueLimits, queue_access: QueueAccess) -> bool {
        let queue = match queue_access {
            QueueAccess::Full => queue_limits.queue_length,
            QueueAccess::Half => queue_limits.queue_length / 2,
        };
        let max = self.load.limit.saturating_add(queue);
        let reported = self.load.running + self.load.waiting;
        let share = max.saturating_sub(reported) / queue_limits.entries.max(1);
        let recent = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        self.outstanding() < max && recent.saturating_sub(self.ended) < share.max(1)
    }

    /// Requests per slot, counting the one to be sent.
    pub(super) fn pressure(&self) -> f64 {
        f64::from(self.outstanding().saturating_add(1)) / f64::from(self.load.limit.max(1))
    }
}
