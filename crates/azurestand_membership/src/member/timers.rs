//! What is due when.

use std::time::Duration;

use azurestand_types::Moment;

use super::Member;

/// A pause of this many ticks means that the process itself stood still.
const PAUSE_TICKS: u32 = 5;

const BURY_EVERY: Duration = Duration::from_mins(1);
const CHOOSE_EVERY: Duration = Duration::from_secs(1);
const PUSH_PAUSE: Duration = Duration::from_millis(200);

/// When each duty is due next; a duty that is due at the start runs at the first tick.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub(super) last_tick: Option<Moment>,
    /// When the process last woke from a pause; suspicions count from here at the earliest.
    pub(super) resumed: Moment,
    pub(super) settled: Moment,
    pub(super) greet: Moment,
    pub(super) probe: Moment,
    pub(super) retry: Moment,
    pub(super) sync: Moment,
    pub(super) bridge: Moment,
    pub(super) report: Moment,
    pub(super) refresh: Moment,
    pub(super) listen: Moment,
    pub(super) report_due: bool,
    /// Whose turn it is among the other data centres.
    pub(super) turn: usize,
    push: Moment,
    bury: Moment,
    choose: Moment,
}

impl Member {
    pub(super) fn tick(&mut self) {
        self.wake();
        self.greet();
        self.probe_tick();
        self.sync_tick();
        self.choose_tick();
        self.hub_tick();
        self.report_tick();
        self.document_tick();
        self.push_tick();
        self.bury_tick();
    }

    /// A random part of `span`, by which members drift apart.
    pub(super) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.f64())
    }

    /// Starts the timers, or notices that the process stood still: what it missed
    /// in that time says nothing about its peers.
    fn wake(&mut self) {
        let limit = self.limits.tick * PAUSE_TICKS;
        match self.timers.last_tick.replace(self.now) {
            None => self.start(),
            Some(last) if self.now.since(last) > limit => {
                self.timers.resumed = self.now;
                self.probes.forget();
            }
            Some(_) => {}
        }
    }

    fn start(&mut self) {
        let limits = self.limits.clone();
        self.timers.settled = self.now + limits.settle_for + self.jitter(limits.settle_for);
        self.timers.probe = self.now + self.jitter(limits.probe_every);
        self.timers.sync = self.now + self.jitter(limits.sync_every);
        self.timers.retry = self.now + self.jitter(limits.sync_every);
        self.timers.bridge = self.timers.settled;
        self.timers.refresh = self.timers.settled;
    }

    fn choose_tick(&mut self) {
        if self.stale && self.now >= self.timers.choose {
            self.timers.choose = self.now + CHOOSE_EVERY;
            self.choose_hubs();
        }
    }

    fn push_tick(&mut self) {
        if self.urgent && self.now >= self.timers.push {
            self.timers.push = self.now + PUSH_PAUSE;
            self.urgent = false;
            self.push_news();
        }
    }

    fn bury_tick(&mut self) {
        if self.now >= self.timers.bury {
            self.timers.bury = self.now + BURY_EVERY;
            if self.now.since(Moment::START) > self.limits.forget_after {
                self.view.bury(self.now - self.limits.forget_after);
            }
        }
    }
}
