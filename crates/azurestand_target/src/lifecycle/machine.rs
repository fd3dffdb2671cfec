//! The state machine of a target's lifecycle.

use azurestand_types::{Digest, Moment};
use statig::prelude::*;

use super::limit::{Change, ConcurrencyLimit};
use super::{Kind, LifecycleEvent, LifecycleSettings, Report, Weights};

/// An event and the time at which it occurred.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Input {
    pub(crate) now: Moment,
    pub(crate) event: LifecycleEvent,
}

impl Input {
    pub(crate) fn tick(now: Moment) -> Self {
        Self {
            now,
            event: LifecycleEvent::Tick,
        }
    }
}

/// The data that the states share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: LifecycleSettings,
    pub(crate) concurrency: ConcurrencyLimit,
    /// The weights with which requests may be started.
    pub(crate) serving: Option<Weights>,
    pub(crate) ordered: Option<Digest>,
    pub(crate) centre_out: bool,
    /// The digest ordered before, which counts as ordered again if the engine
    /// refuses the current order.
    previous: Option<Digest>,
    /// The digest of a refused order, which the engine may nevertheless have
    /// executed.
    refused: Option<Digest>,
    staged: Option<Digest>,
    report: Option<(Moment, Report)>,
}

impl Core {
    pub(crate) fn new(settings: LifecycleSettings) -> Self {
        Self {
            concurrency: ConcurrencyLimit::new(&settings),
            settings,
            serving: None,
            ordered: None,
            centre_out: false,
            previous: None,
            refused: None,
            staged: None,
            report: None,
        }
    }

    pub(crate) fn reported(&self) -> Option<Weights> {
        let (_, report) = self.report.as_ref()?;
        Some(Weights {
            digest: report.digest,
            boot: report.boot,
        })
    }

    /// The weights of the newest report, if they may be served.
    fn servable(&self) -> Option<Weights> {
        let (_, report) = self.report.as_ref()?;
        let may_serve = match self.settings.kind {
            Kind::Engine => report.digest.is_some_and(|digest| self.is_ordered(digest)),
            Kind::Service => true,
        };
        if report.ready && may_serve {
            self.reported()
        } else {
            None
        }
    }

    /// Whether this digest was ordered last, or its order was refused since.
    ///
    /// A refused order is included: an engine that reports its weights has
    /// executed the order nevertheless, and would otherwise serve nothing.
    fn is_ordered(&self, digest: Digest) -> bool {
        [self.ordered, self.refused].contains(&Some(digest))
    }

    fn drop_stale_report(&mut self, now: Moment) {
        if let Some((at, _)) = self.report
            && now.since(at) > self.settings.stale_after
        {
            self.report = None;
        }
    }

    /// Stops serving and returns the state of a target that serves nothing.
    fn stop_serving(&mut self) -> State {
        self.serving = None;
        self.concurrency.reset();
        if self.staged.is_some() || self.ordered.is_some() {
            State::staging()
        } else {
            State::empty()
        }
    }

    fn start_serving(&mut self, weights: Weights) -> State {
        self.serving = Some(weights);
        self.ordered = weights.digest.or(self.ordered);
        self.previous = None;
        if self.refused == weights.digest {
            self.refused = None;
        }
        self.concurrency.reset();
        State::cold()
    }

    fn record_order(&mut self, digest: Digest) -> State {
        if self.ordered != Some(digest) {
            self.previous = self.ordered;
            self.ordered = Some(digest);
        }
        self.refused = None;
        self.serving = None;
        self.concurrency.reset();
        State::loading()
    }

    fn undo_order(&mut self) -> State {
        if let Some(previous) = self.previous.take() {
            self.refused = self.ordered.replace(previous);
        }
        match self.servable() {
            Some(weights) => self.start_serving(weights),
            None => self.stop_serving(),
        }
    }

    /// Stores a report and returns whether the engine's boot id has changed
    /// since the previous one.
    fn record_report(&mut self, now: Moment, report: Report) -> bool {
        let previous = self.report.replace((now, report));
        self.concurrency.record_queue(report.waiting);
        previous.is_some_and(|(_, old)| old.boot != report.boot)
    }

    /// Starts serving if the newest report allows it.
    fn serve_if_ready(&mut self) -> Outcome<State> {
        match self.servable() {
            Some(weights) => Transition(self.start_serving(weights)),
            None => Handled,
        }
    }

    /// Continues serving, switches to the reported weights, or stops, as the
    /// newest report demands.
    fn update_serving(&mut self) -> Outcome<State> {
        match self.servable() {
            Some(weights) if Some(weights) == self.serving => Handled,
            Some(weights) => Transition(self.start_serving(weights)),
            None => Transition(self.stop_serving()),
        }
    }
}

#[state_machine(
    initial = "State::empty()",
    visibility = "pub(crate)",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl Core {
    #[state(superstate = "idle")]
    fn empty(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Staging(_) => Transition(State::staging()),
            LifecycleEvent::WeightsComplete(digest) => {
                self.staged = Some(digest);
                Transition(State::staging())
            }
            _ => Super,
        }
    }

    #[state(superstate = "idle")]
    fn staging() -> Outcome<State> {
        Super
    }

    #[state(superstate = "idle")]
    fn loading(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(report) => {
                // A restart of the engine aborts the load.
                let restarted = self.record_report(event.now, report);
                match self.servable() {
                    Some(weights) => Transition(self.start_serving(weights)),
                    None if restarted => Transition(self.stop_serving()),
                    None => Handled,
                }
            }
            _ => Super,
        }
    }

    #[superstate(superstate = "present")]
    fn idle(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::LoadRefused => Transition(self.undo_order()),
            LifecycleEvent::Report(report) => {
                self.record_report(event.now, report);
                self.serve_if_ready()
            }
            LifecycleEvent::Tick => {
                self.drop_stale_report(event.now);
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn cold(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::FirstToken { latency, running } => {
                match self.concurrency.record_answer(latency, running) {
                    Change::Unchanged | Change::Reset => Handled,
                    Change::Raised => Transition(State::warming()),
                    Change::Maximum => Transition(State::warm()),
                }
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::FirstToken { latency, running } => {
                match self.concurrency.record_answer(latency, running) {
                    Change::Unchanged | Change::Raised => Handled,
                    Change::Reset => Transition(State::cold()),
                    Change::Maximum => Transition(State::warm()),
                }
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::FirstToken { latency, running } => {
                match self.concurrency.record_answer(latency, running) {
                    Change::Reset => Transition(State::cold()),
                    Change::Unchanged | Change::Raised | Change::Maximum => Handled,
                }
            }
            _ => Super,
        }
    }

    #[superstate(superstate = "present")]
    fn serving(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Report(report) => {
                self.record_report(event.now, report);
                self.update_serving()
            }
            LifecycleEvent::Overloaded => {
                self.concurrency.reset();
                Transition(State::cold())
            }
            LifecycleEvent::Failed => match self.concurrency.record_failure() {
                Change::Reset => Transition(State::cold()),
                Change::Unchanged | Change::Raised | Change::Maximum => Handled,
            },
            LifecycleEvent::Tick => {
                self.drop_stale_report(event.now);
                self.update_serving()
            }
            _ => Super,
        }
    }

    #[superstate]
    fn present(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::WeightsComplete(digest) => {
                self.staged = Some(digest);
                Handled
            }
            LifecycleEvent::LoadOrdered(digest) => Transition(self.record_order(digest)),
            LifecycleEvent::Leave => Transition(State::draining()),
            _ => self.handle_common(event),
        }
    }

    #[state]
    fn draining(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::Idle => Transition(State::left()),
            LifecycleEvent::Report(report) => {
                self.record_report(event.now, report);
                Handled
            }
            _ => self.handle_common(event),
        }
    }

    #[state]
    fn left(&mut self, event: &Input) -> Outcome<State> {
        self.handle_common(event)
    }
}

impl Core {
    fn handle_common(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifecycleEvent::CentreOut => self.centre_out = true,
            LifecycleEvent::CentreIn => self.centre_out = false,
            LifecycleEvent::Configured(settings) => {
                self.settings = settings;
                self.concurrency.configure(&settings);
            }
            _ => {}
        }
        Handled
    }
}
