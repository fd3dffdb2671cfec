//! The life of a target: what it may bear, and with which weights.
//!
//! A freshly started back end falls over under full load, and a warm one turns
//! cold without warning. So what a target may bear follows from what it
//! measurably bore, never from time alone. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod machine;
mod warmth;

use std::time::Duration;

use azurestand_types::{BootId, Digest, Moment};
use derive_more::Display;
use statig::blocking::{IntoStateMachineExt as _, StateMachine};

use self::machine::{Core, Input, State};

/// What a target is, since only engines hold weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine, which serves only the weights it was ordered to load.
    Engine,
    /// A plain service, which serves as soon as it reports that it is ready.
    Service,
}

/// The limits of a target's states and what moves it between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifeSettings {
    /// Whether the target holds weights.
    pub kind: Kind,
    /// Concurrent requests while cold; at least 1 is used.
    pub cold_limit: u32,
    /// Concurrent requests once warm.
    pub warm_limit: u32,
    /// Per cent by which the limit grows in one step, at least by one request.
    pub growth: u32,
    /// First-token latency up to which an answer counts as good.
    pub good_token: Duration,
    /// First-token latency from which the target counts as cold again.
    pub slow_token: Duration,
    /// Failures in a row from which the target counts as cold again.
    pub max_failures: u32,
    /// How old the newest report may be before nothing more is admitted.
    pub stale_after: Duration,
}

impl Default for LifeSettings {
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

/// The weights that an answer comes from; a plain service has no digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weights {
    /// The digest of the manifest, or none for a plain service.
    pub digest: Option<Digest>,
    /// The life of the engine's process.
    pub boot: BootId,
}

/// What an engine or service says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The life of the engine's process.
    pub boot: BootId,
    /// The weights it serves; none while it has none or is loading.
    pub digest: Option<Digest>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests that wait inside the engine for a place in its batch.
    pub waiting: u32,
}

/// What a target's life reacts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeEvent {
    /// Chunks of these weights began to arrive.
    Staging(Digest),
    /// These weights are whole and verified on the host.
    WeightsComplete(Digest),
    /// The agent orders the engine to load these weights.
    LoadOrdered(Digest),
    /// The engine took the order.
    LoadAccepted,
    /// The engine refused the order, so what it served before counts again.
    LoadRefused,
    /// The engine or service reported its state.
    Report(Report),
    /// The engine answered a request with an overload error.
    Overloaded,
    /// A request got its first token, or the first byte of a plain answer.
    FirstToken {
        /// Time since the request was started.
        latency: Duration,
        /// Requests that ran at the time, this one included.
        running: u32,
    },
    /// A request failed in the engine.
    Failed,
    /// The target leaves service for good.
    Leave,
    /// No request runs any more.
    Idle,
    /// The operators took the data centre out of service.
    CentreOut,
    /// The operators brought the data centre back.
    CentreIn,
    /// The document sets other bounds; what the target has shown so far stays.
    Configured(LifeSettings),
    /// Time passed.
    Tick,
}

/// Where in its life a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Phase {
    /// It holds nothing.
    #[display("empty")]
    Empty,
    /// Weights arrive or wait to be loaded.
    #[display("staging")]
    Staging,
    /// The engine loads weights.
    #[display("loading")]
    Loading,
    /// It serves, and bears only a little.
    #[display("cold")]
    Cold,
    /// It serves, and its limit grows.
    #[display("warming")]
    Warming,
    /// It bears its full load.
    #[display("warm")]
    Warm,
    /// It leaves service: no new work, the rest goes on.
    #[display("draining")]
    Draining,
    /// It has left service.
    #[display("left")]
    Left,
}

/// The life of one target.
pub struct Life {
    machine: StateMachine<Core>,
}

impl Life {
    /// Begins a life about which nothing is known yet.
    pub fn new(settings: LifeSettings) -> Self {
        let mut machine = Core::new(settings).state_machine();
        machine.handle(&Input::tick(Moment::START));
        Self { machine }
    }

    /// Takes one event into account.
    ///
    /// # Panics
    ///
    /// When an invariant of the machine is broken, rather than admit requests
    /// to weights that aren't the ordered ones.
    pub fn handle(&mut self, now: Moment, event: LifeEvent) {
        self.machine.handle(&Input { now, event });
        self.check();
    }

    /// Where in its life the target is.
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

    /// How many requests the target may bear at once, in requests.
    ///
    /// A smaller limit starts nothing new; what runs goes on.
    pub fn limit(&self) -> u32 {
        match self.serves() {
            Some(_) => self.machine.inner().warmth.limit(),
            None => 0,
        }
    }

    /// The weights for which requests may be started now, if any.
    pub fn serves(&self) -> Option<Weights> {
        let core = self.machine.inner();
        match self.phase() {
            Phase::Cold | Phase::Warming | Phase::Warm if !core.out => core.serving,
            _ => None,
        }
    }

    /// The weights that the newest report gave, whether or not they may be served.
    ///
    /// An answer that began under other weights must not be passed on as whole.
    pub fn reported(&self) -> Option<Weights> {
        self.machine.inner().reported()
    }

    /// The digest of the newest load order that wasn't refused.
    pub fn ordered(&self) -> Option<Digest> {
        self.machine.inner().ordered
    }

    /// Whether the data centre is out of service.
    pub fn is_out(&self) -> bool {
        self.machine.inner().out
    }

    /// Checks in release builds too that only ordered and reported weights are served.
    fn check(&self) {
        let Some(weights) = self.serves() else {
            return;
        };
        let core = self.machine.inner();
        assert_eq!(
            Some(weights),
            core.reported(),
            "served weights aren't reported"
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
            "limit too large"
        );
    }
}
