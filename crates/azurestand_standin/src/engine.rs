//! A model engine: loads weights, streams tokens, falls over when pressed too early.

mod admin;
mod completion;
mod record;
mod state;
mod tape;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use azurestand_types::BootId;
use http::{Method, Request, StatusCode};
use tokio::sync::watch;

use crate::serve::{Answer, Listener, empty};
use state::State;

pub use record::{EngineRecord, EngineRun};
pub use state::EngineState;

/// How an engine behaves from the start.
#[derive(Debug, Clone, Copy)]
pub struct EngineOptions {
    /// Whether a load order with a lower fencing number is refused.
    pub fenced: bool,
    /// The time between two tokens of one answer.
    pub token_time: Duration,
    /// The time from the start of a run to its first token.
    pub first_token: Duration,
    /// Concurrent requests borne right after a load.
    pub cold_limit: u32,
    /// Concurrent requests borne when warm; more wait by priority.
    pub warm_limit: u32,
    /// Finished requests after which the engine is warm.
    pub warm_after: u32,
    /// How old the reported load numbers are.
    pub report_lag: Duration,
    /// The time that a load takes after the weights have come in.
    pub load_time: Duration,
    /// How long a run keeps its place after its connection was closed.
    pub cancel_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            fenced: true,
            token_time: Duration::from_millis(2),
            first_token: Duration::from_millis(5),
            cold_limit: 2,
            warm_limit: 8,
            warm_after: 12,
            report_lag: Duration::from_millis(200),
            load_time: Duration::from_millis(20),
            cancel_time: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Changes whenever the engine starts afresh; open answers end.
    boots: watch::Sender<BootId>,
    /// Counts starts and finishes, so that waiting requests look again.
    turns: watch::Sender<u64>,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an empty engine on a free port; `seed` draws its boot ids.
    ///
    /// # Errors
    /// Fails when no port of the loopback address can be bound.
    pub async fn start(options: EngineOptions, seed: u64) -> io::Result<Self> {
        let state = State::new(options, seed);
        let boots = watch::channel(state.boot).0;
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            boots,
            turns: watch::channel(0).0,
        });
        let inner = Arc::clone(&shared);
        let listener = Listener::start(move |request| answer(Arc::clone(&inner), request)).await?;
        Ok(Self { listener, shared })
    }

    /// Where the engine listens, for requests and orders alike.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Restarts with its weights still loaded: cold, with a new boot id; open
    /// answers break off.
    pub fn crash(&self) {
        self.shared.reboot(false);
    }

    /// Sets the time to the first token.
    pub fn set_first_token(&self, time: Duration) {
        self.shared.lock().options.first_token = time;
    }

    /// Sets the time between two tokens.
    pub fn set_token_time(&self, time: Duration) {
        self.shared.lock().options.token_time = time;
    }

    /// Sets how long a run keeps its place after its connection was closed.
    pub fn set_cancel_time(&self, time: Duration) {
        self.shared.lock().options.cancel_time = time;
    }

    /// Connections open now go silent; new ones work.
    pub fn hang(&self) {
        self.listener.silence();
    }

    /// Stops: connections are closed and refused, the weights are lost.
    pub fn die(&self) {
        self.listener.set_down(true);
        self.shared.reboot(true);
    }

    /// Starts again after [`Self::die`], empty and with a new boot id.
    pub fn revive(&self) {
        self.shared.reboot(true);
        self.listener.set_down(false);
    }

    /// Everything recorded so far.
    pub fn record(&self) -> EngineRecord {
        self.shared.lock().record.clone()
    }

    /// The digest of the bytes that it serves from; none while it has no weights.
    pub fn loaded_weights(&self) -> Option<azurestand_types::Digest> {
        let state = self.shared.lock();
        let serves = matches!(state.phase, EngineState::Cold | EngineState::Warm);
        let loaded = state.loaded.as_ref().filter(|_| serves);
        loaded.map(|loaded| loaded.weights)
    }

    /// What the engine is doing now, without the report's lag.
    pub fn state(&self) -> EngineState {
        self.shared.lock().phase
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reboot(&self, empty: bool) {
        let mut state = self.lock();
        state.reboot(empty);
        let boot = state.boot;
        drop(state);
        self.boots.send_replace(boot);
        self.wake();
    }

    fn wake(&self) {
        self.turns.send_modify(|count| *count += 1);
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Body>) -> Answer {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/admin/state") => Ok(admin::report(&shared)),
        (&Method::GET, path) if path.starts_with("/admin/streams/") => {
            Ok(completion::resume(&shared, &request))
        }
        (&Method::POST, "/admin/load") => admin::load(shared, request).await,
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            completion::answer(shared, request).await
        }
        _ => Ok(empty(StatusCode::NOT_FOUND)),
    }
}
