//! The state machine of a target's life.

use azurestand_types::{Digest, Moment};
use statig::prelude::*;

use super::warmth::{Change, Warmth};
use super::{Kind, LifeEvent, LifeSettings, Report, Weights};

/// One event and when it came.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Input {
    pub(crate) now: Moment,
    pub(crate) event: LifeEvent,
}

impl Input {
    pub(crate) fn tick(now: Moment) -> Self {
        Self {
            now,
            event: LifeEvent::Tick,
        }
    }
}

/// What the states share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: LifeSettings,
    pub(crate) warmth: Warmth,
    /// The weights that requests may be started with.
    pub(crate) serving: Option<Weights>,
    pub(crate) ordered: Option<Digest>,
    pub(crate) out: bool,
    /// What counts as ordered again when the engine refuses an order.
    previous: Option<Digest>,
    /// The digest of a refused order, which an engine may yet have taken.
    refused: Option<Digest>,
    staged: Option<Digest>,
    report: Option<(Moment, Report)>,
}

impl Core {
    pub(crate) fn new(settings: LifeSettings) -> Self {
        Self {
            warmth: Warmth::new(&settings),
            settings,
            serving: None,
            ordered: None,
            out: false,
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

    /// The weights of the newest report, when they may be served.
    fn servable(&self) -> Option<Weights> {
        let (_, report) = self.report.as_ref()?;
        let wanted = match self.settings.kind {
            Kind::Engine => report.digest.is_some_and(|digest| self.has_ordered(digest)),
            Kind::Service => true,
        };
        if report.ready && wanted {
            self.reported()
        } else {
            None
        }
    }

    /// Whether the newest orders include this digest.
    ///
    /// A refused order is included: an engine that reports its weights has
    /// taken it all the same, and nothing else would be served meanwhile.
    fn has_ordered(&self, digest: Digest) -> bool {
        [self.ordered, self.refused].contains(&Some(digest))
    }

    fn forget_stale(&mut self, now: Moment) {
        if let Some((at, _)) = self.report
            && now.since(at) > self.settings.stale_after
        {
            self.report = None;
        }
    }

    /// The state of a target that serves nothing at the moment.
    fn resting(&mut self) -> State {
        self.serving = None;
        self.warmth.chill();
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
        self.warmth.chill();
        State::cold()
    }

    fn order(&mut self, digest: Digest) -> State {
        if self.ordered != Some(digest) {
            self.previous = self.ordered;
            self.ordered = Some(digest);
        }
        self.refused = None;
        self.serving = None;
        self.warmth.chill();
        State::loading()
    }

    fn refuse(&mut self) -> State {
        if let Some(previous) = self.previous.take() {
            self.refused = self.ordered.replace(previous);
        }
        match self.servable() {
            Some(weights) => self.start_serving(weights),
            None => self.resting(),
        }
    }

    /// Whether the engine runs under another boot id than the newest report gave.
    fn record(&mut self, now: Moment, report: Report) -> bool {
        let before = self.report.replace((now, report));
        self.warmth.reported(report.waiting);
        before.is_some_and(|(_, old)| old.boot != report.boot)
    }

    /// Follows a report or the lack of one while nothing is served.
    fn begin(&mut self) -> Outcome<State> {
        match self.servable() {
            Some(weights) => Transition(self.start_serving(weights)),
            None => Handled,
        }
    }

    /// Follows a report or the lack of one while something is served.
    fn keep(&mut self) -> Outcome<State> {
        match self.servable() {
            Some(weights) if Some(weights) == self.serving => Handled,
            Some(weights) => Transition(self.start_serving(weights)),
            None => Transition(self.resting()),
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
            LifeEvent::Staging(_) => Transition(State::staging()),
            LifeEvent::WeightsComplete(digest) => {
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
            LifeEvent::Report(report) => {
                // A restart in the middle of a load loses the load.
                let restarted = self.record(event.now, report);
                match self.servable() {
                    Some(weights) => Transition(self.start_serving(weights)),
                    None if restarted => Transition(self.resting()),
                    None => Handled,
                }
            }
            _ => Super,
        }
    }

    #[superstate(superstate = "present")]
    fn idle(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::LoadRefused => Transition(self.refuse()),
            LifeEvent::Report(report) => {
                self.record(event.now, report);
                self.begin()
            }
            LifeEvent::Tick => {
                self.forget_stale(event.now);
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn cold(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::FirstToken { latency, running } => {
                match self.warmth.first_token(latency, running) {
                    Change::Same | Change::Chilled => Handled,
                    Change::Grew => Transition(State::warming()),
                    Change::Full => Transition(State::warm()),
                }
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::FirstToken { latency, running } => {
                match self.warmth.first_token(latency, running) {
                    Change::Same | Change::Grew => Handled,
                    Change::Chilled => Transition(State::cold()),
                    Change::Full => Transition(State::warm()),
                }
            }
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warm(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::FirstToken { latency, running } => {
                match self.warmth.first_token(latency, running) {
                    Change::Chilled => Transition(State::cold()),
                    Change::Same | Change::Grew | Change::Full => Handled,
                }
            }
            _ => Super,
        }
    }

    #[superstate(superstate = "present")]
    fn serving(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::Report(report) => {
                self.record(event.now, report);
                self.keep()
            }
            LifeEvent::Overloaded => {
                self.warmth.chill();
                Transition(State::cold())
            }
            LifeEvent::Failed => match self.warmth.failed() {
                Change::Chilled => Transition(State::cold()),
                Change::Same | Change::Grew | Change::Full => Handled,
            },
            LifeEvent::Tick => {
                self.forget_stale(event.now);
                self.keep()
            }
            _ => Super,
        }
    }

    #[superstate]
    fn present(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::WeightsComplete(digest) => {
                self.staged = Some(digest);
                Handled
            }
            LifeEvent::LoadOrdered(digest) => Transition(self.order(digest)),
            LifeEvent::Leave => Transition(State::draining()),
            _ => self.note_common(event),
        }
    }

    #[state]
    fn draining(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::Idle => Transition(State::left()),
            LifeEvent::Report(report) => {
                self.record(event.now, report);
                Handled
            }
            _ => self.note_common(event),
        }
    }

    #[state]
    fn left(&mut self, event: &Input) -> Outcome<State> {
        self.note_common(event)
    }
}

impl Core {
    fn note_common(&mut self, event: &Input) -> Outcome<State> {
        match event.event {
            LifeEvent::CentreOut => self.out = true,
            LifeEvent::CentreIn => self.out = false,
            LifeEvent::Configured(settings) => {
                self.settings = settings;
                self.warmth.configure(&settings);
            }
            _ => {}
        }
        Handled
    }
}
