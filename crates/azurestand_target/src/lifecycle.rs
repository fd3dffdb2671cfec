//! The lifecycle of a target: how many requests it may run at once, and with
//! which weights.
//!
//! A freshly started back end fails under full load, and a warm one can become
//! cold without warning. So a target's concurrency limit follows from the load
//! that it has handled measurably well, never from time alone. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod limit;
mod machine;

use std::time::Duration;

use azurestand_types::{BootId, Digest, Moment};
use derive_more::Display;
use statig::blocking::{IntoStateMachineExt as _, StateMachine};

use self::machine::{Core, Input, State};

/// The kind of a target; only engines have weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, which serves only weights that it was ordered to load.
    Engine,
    /// A plain service, which serves as soon as it reports that it is ready.
    Service,
}

/// A target's concurrency limits and the conditions for changing its phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifecycleSettings {
    /// Whether the target is a model engine or a plain service.
    pub kind: Kind,
    /// Concurrent requests while cold; 0 counts as 1.
    pub cold_limit: u32,
    /// Concurrent requests once warm.
    pub warm_limit: u32,
    /// The percentage by which the limit grows in one step; a step is at least
    /// one request.
    pub growth: u32,
    /// The first-token latency up to which an answer counts as good.
    pub good_token: Duration,
    /// The first-token latency from which the target counts as cold again.
    pub slow_token: Duration,
    /// The number of consecutive failures after which the target counts as cold
    /// again.
    pub max_failures: u32,
    /// The age of the newest report beyond which no more requests are admitted.
    pub stale_after: Duration,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self {
            kind: Kind::Engine,
            cold_limit: 2,
            warm_limit: 32,
            growth: 50,
            good_token: Duration::from_millis(510),
            slow_token: Duration::from_secs(2),
            max_failures: 3,
            stale_after: Duration::from_secs(3),
        }
    }
}

/// The weights that produce an answer; a plain service has no digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weights {
    /// The digest of the manifest, or none for a plain service.
    pub digest: Option<Digest>,
    /// Identifies the start of the engine's process.
    pub boot: BootId,
}

/// The state that an engine or service reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Identifies the start of the engine's process.
    pub boot: BootId,
    /// The weights that it serves; none while it has none or is loading.
    pub digest: Option<Digest>,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Requests that wait inside the engine for a slot in its batch.
    pub waiting: u32,
}

/// The input to [`Lifecycle::handle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The first chunks of these weights have arrived.
    Staging(Digest),
    /// These weights are complete and verified on the host.
    WeightsComplete(Digest),
    /// The agent orders the engine to load these weights.
    LoadOrdered(Digest),
    /// The engine accepted the order.
    LoadAccepted,
    /// The engine refused the order, so that the weights ordered before count
    /// as ordered again.
    LoadRefused,
    /// The engine or service reported its state.
    Report(Report),
    /// The engine answered a request with an overload error.
    Overloaded,
    /// A request received its first token, or the first byte of a plain
    /// service's answer.
    FirstToken {
        /// Time since the request was started.
        latency: Duration,
        /// Requests that ran at that time, this one included.
        running: u32,
    },
    /// A request failed in the engine.
    Failed,
    /// The target leaves service permanently.
    Leave,
    /// No request runs on the target any more.
    Idle,
    /// The operators took the data centre out of service.
    CentreOut,
    /// The operators brought the data centre back.
    CentreIn,
    /// The document sets other limits; the evidence collected so far is kept.
    Configured(LifecycleSettings),
    /// Time passed.
    Tick,
}

/// The phase of a target's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Phase {
    /// It has no weights.
    #[display("empty")]
    Empty,
    /// Weights are arriving or wait to be loaded.
    #[display("staging")]
    Staging,
    /// The engine is loading weights.
    #[display("loading")]
    Loading,
    /// It serves at its lowest limit.
    #[display("cold")]
    Cold,
    /// It serves, and its limit is growing.
    #[display("warming")]
    Warming,
    /// It serves at its full limit.
    #[display("warm")]
    Warm,
    /// It is leaving service: it gets no new requests, running ones continue.
    #[display("draining")]
    Draining,
    /// It has left service.
    #[display("left")]
    Left,
}

/// The lifecycle of one target.
pub struct Lifecycle {
    machine: StateMachine<Core>,
}

impl Lifecycle {
    /// Creates the state of a target that hasn't reported yet.
    pub fn new(settings: LifecycleSettings) -> Self {
        let mut machine = Core::new(settings).state_machine();
        machine.handle(&Input::tick(Moment::START));
        Self { machine }
    }

    /// Processes one event.
    ///
    /// # Panics
    ///
    /// If an invariant of the state machine is violated: otherwise requests
    /// could be admitted to weights that weren't ordered.
    pub fn handle(&mut self, now: Moment, event: LifecycleEvent) {
        self.machine.handle(&Input { now, event });
        self.check();
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Empty {} => Phase::Empty,
            State::Staging {} => Phase::Staging,
            State::Loading {} => Phase::Loading,
            State::Cold {} => Phase::Cold,
            State::Warming {} => Phase::Warming,
            State::Warm {} => Phase::Warm,
            State::Draining {} => Phase::Draining,
            State::Left {} => Phase::Left,
        }
    }

    /// The number of requests that may run on the target at once.
    ///
    /// When the limit falls, running requests continue, and none is started
    /// until there is room.
    pub fn limit(&self) -> u32 {
        match self.serves() {
            Some(_) => self.machine.inner().concurrency.limit(),
            None => 0,
        }
    }

    /// The weights for which requests may be started now, if any.
    pub fn serves(&self) -> Option<Weights> {
        let core = self.machine.inner();
        match self.phase() {
            Phase::Cold | Phase::Warming | Phase::Warm if !core.centre_out => core.serving,
            _ => None,
        }
    }

    /// The weights in the newest report, whether or not they may be served.
    ///
    /// An answer that began under other weights must not be passed on as
    /// complete.
    pub fn reported(&self) -> Option<Weights> {
        self.machine.inner().reported()
    }

    /// The digest of the newest load order that wasn't refused.
    pub fn ordered(&self) -> Option<Digest> {
        self.machine.inner().ordered
    }

    /// Whether the data centre is out of service.
    pub fn is_centre_out(&self) -> bool {
        self.machine.inner().centre_out
    }

    /// Checks, also in release builds, that only ordered and reported weights
    /// are served.
    fn check(&self) {
        let Some(weights) = self.serves() else {
            return;
        };
        let core = self.machine.inner();
        assert_eq!(
            Some(weights),
            core.reported(),
            "served weights weren't reported"
        );
        if core.settings.kind == Kind::Engine {
            assert!(weights.digest.is_some(), "an engine serves without weights");
            assert_eq!(
                weights.digest, core.ordered,
                "served weights weren't ordered"
            );
        }
        assert!(
            self.limit() <= core.settings.warm_limit.max(1),
            "the limit exceeds the warm limit"
        );
    }
}
