//! A plain service that records every run, so that doubled runs show.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use http::{Request, StatusCode};
use serde_json::json;

use crate::serve::{Answer, Closed, Listener, header, json};

const MAX_BODY_BYTES: usize = 1 << 20;

/// How a service behaves from the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceOptions {
    /// The time from the run to the answer.
    pub delay: Duration,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// The `x-request-id` header.
    pub request: Option<String>,
    /// The `idempotency-key` header.
    pub key: Option<String>,
    /// The request's method and path.
    pub target: String,
    /// Whether an answer was handed to the connection.
    pub answered: bool,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    failures: u32,
    runs: Vec<ServiceRun>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    listener: Listener,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service on a free port.
    ///
    /// # Errors
    /// Fails when no port of the loopback address can be bound.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            delay: options.delay,
            ..State::default()
        }));
        let shared = Arc::clone(&state);
        let listener = Listener::start(move |request| run(Arc::clone(&shared), request)).await?;
        Ok(Self { listener, state })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the time from a run to its answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// The next `count` calls run, then lose their connection.
    pub fn fail_after_run(&self, count: u32) {
        lock(&self.state).failures = count;
    }

    /// Connections open now go silent; new ones work.
    pub fn hang(&self) {
        self.listener.silence();
    }

    /// Closes all connections and refuses new ones until [`Self::revive`].
    pub fn die(&self) {
        self.listener.set_down(true);
    }

    /// Takes connections again after [`Self::die`].
    pub fn revive(&self) {
        self.listener.set_down(false);
    }

    /// Every run so far, in order.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.state).runs.clone()
    }

    /// Counts the runs of each idempotency key; more than one is a doubled run.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        count(self.runs().into_iter().filter_map(|run| run.key))
    }

    /// Counts the runs of each request id.
    pub fn runs_by_request(&self) -> BTreeMap<String, u32> {
        count(self.runs().into_iter().filter_map(|run| run.request))
    }
}

fn count<I>(names: I) -> BTreeMap<String, u32>
where
    I: Iterator<Item = String>,
{
    let mut counts = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(state: Arc<Mutex<State>>, request: Request<Body>) -> Answer {
    let record = ServiceRun {
        request: header(&request, "x-request-id"),
        key: header(&request, "idempotency-key"),
        target: format!("{} {}", request.method(), request.uri().path()),
        answered: false,
    };
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| Closed)?;
    let (index, delay, fails) = begin(&mut lock(&state), record.clone());
    tokio::time::sleep(delay).await;
    if fails {
        return Err(Closed);
    }
    lock(&state).runs[index].answered = true;
    Ok(json(
        StatusCode::OK,
        &json!({
            "run": index + 1,
            "target": record.target,
            "request": record.request,
            "key": record.key,
            "received": body.len(),
        }),
    ))
}

fn begin(state: &mut State, record: ServiceRun) -> (usize, Duration, bool) {
    state.runs.push(record);
    let fails = state.failures > 0;
    state.failures = state.failures.saturating_sub(1);
    (state.runs.len() - 1, state.delay, fails)
}
