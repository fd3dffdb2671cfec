//! Timers and the tick that runs what is due.

use std::time::Duration;

use azurestand_types::Moment;

use super::Member;

/// A gap of more than this many ticks means that the process itself was suspended.
const PAUSE_TICKS: u32 = 5;

const FORGET_EVERY: Duration = Duration::from_mins(1);
const CHOOSE_EVERY: Duration = Duration::from_secs(1);
const PUSH_PAUSE: Duration = Duration::from_millis(200);

/// When each task is due next; a task that is due at the start runs at the first tick.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub(super) last_tick: Option<Moment>,
    /// When the process last resumed from a pause; suspicion time-outs start here at the earliest.
    pub(super) resumed: Moment,
    pub(super) settled: Moment,
    pub(super) contact: Moment,
    pub(super) probe: Moment,
    pub(super) retry: Moment,
    pub(super) sync: Moment,
    pub(super) bridge: Moment,
    pub(super) report: Moment,
    pub(super) refresh: Moment,
    pub(super) silence_check: Moment,
    pub(super) report_due: bool,
    /// Selects the other data centre to compare with next.
    pub(super) next_centre: usize,
    push: Moment,
    forget: Moment,
    choose: Moment,
}

impl Member {
    pub(super) fn tick(&mut self) {
        self.detect_pause();
        self.contact_seeds();
        self.probe_tick();
        self.sync_tick();
        self.choose_tick();
        self.hub_tick();
        self.report_tick();
        self.document_tick();
        self.push_tick();
        self.forget_tick();
    }

    /// A random part of `span`, so that members don't act in lockstep.
    pub(super) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// Starts the timers, or detects that the process was suspended: answers missed in
    /// that time say nothing about its peers.
    fn detect_pause(&mut self) {
        let limit = self.limits.tick * PAUSE_TICKS;
        match self.timers.last_tick.replace(self.now) {
            None => self.start(),
            Some(last) if self.now.since(last) > limit => {
                self.timers.resumed = self.now;
                self.probes.clear_pending();
            }
            Some(_) => {}
        }
    }

    fn start(&mut self) {
        let limits = self.limits.clone();
        self.timers.settled = self.now + limits.startup_delay + self.jitter(limits.startup_delay);
        self.timers.probe = self.now + self.jitter(limits.probe_every);
        self.timers.sync = self.now + self.jitter(limits.sync_every);
        self.timers.retry = self.now + self.jitter(limits.sync_every);
        self.timers.bridge = self.timers.settled;
        self.timers.refresh = self.timers.settled;
    }

    fn choose_tick(&mut self) {
        if self.hubs_outdated && self.now >= self.timers.choose {
            self.timers.choose = self.now + CHOOSE_EVERY;
            self.choose_hubs();
        }
    }

    fn push_tick(&mut self) {
        if self.push_due && self.now >= self.timers.push {
            self.timers.push = self.now + PUSH_PAUSE;
            self.push_due = false;
            self.push_updates();
        }
    }

    fn forget_tick(&mut self) {
        if self.now >= self.timers.forget {
            self.timers.forget = self.now + FORGET_EVERY;
            if self.now.since(Moment::START) > self.limits.forget_after {
                self.view
                    .forget_departed(self.now - self.limits.forget_after);
            }
        }
    }
}
