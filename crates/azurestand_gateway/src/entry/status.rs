//! Serves the balancer's readiness check, the metrics and the list of barred targets.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use azurestand_direct::{Bar, BarredTarget};
use serde::Serialize;
use tokio::net::TcpListener;

use super::shared::Shared;
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::metrics::{self, Level, METRICS_PATH};
use crate::platform::Platform;

/// The path of the list of barred targets.
const BARRED_PATH: &str = "/barred-targets";

/// A listed target that gets no requests from this entry, by its own word.
#[derive(Debug, Serialize)]
struct BarredState {
    target: Arc<str>,
    started_at: u64,
    why: String,
    /// Milliseconds until it gets requests again; none if it never does.
    left_ms: Option<u64>,
}

impl From<BarredTarget> for BarredState {
    fn from(barred: BarredTarget) -> Self {
        let left = match barred.bar {
            Bar::Leaving => None,
            Bar::RetryAfter(left) => Some(left),
        };
        Self {
            target: barred.target.id.clone(),
            started_at: barred.target.started_at,
            why: barred.bar.to_string(),
            left_ms: left.map(|left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

/// Starts the server of readiness, metrics and barred targets.
pub(crate) fn start<P>(shared: &Arc<Shared<P>>, listener: TcpListener)
where
    P: Platform,
{
    let path = shared.settings.ready_path.to_string();
    let routes = Router::new()
        .route(&path, get(ready::<P>))
        .route(METRICS_PATH, get(metrics_text::<P>))
        .route(BARRED_PATH, get(barred_targets::<P>))
        .with_state(shared.clone());
    tokio::spawn(async move {
        // The server ends only with the process.
        let _ = axum::serve(listener, routes).await;
    });
}

async fn ready<P>(State(shared): State<Arc<Shared<P>>>) -> StatusCode
where
    P: Platform,
{
    let is_ready = shared.is_ready();
    if shared.set_reported_ready(is_ready) {
        LogEvent::ReadyChanged.log(&[("ready", is_ready.into())]);
    }
    if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Returns the listed targets that get nothing by their own word.
async fn barred_targets<P>(State(shared): State<Arc<Shared<P>>>) -> Json<Vec<BarredState>>
where
    P: Platform,
{
    let barred = shared.state().placement.barred_targets(BootClock.now());
    Json(barred.into_iter().map(BarredState::from).collect())
}

/// Returns the metrics as text; gauges are sampled at the time of the request.
async fn metrics_text<P>(State(shared): State<Arc<Shared<P>>>) -> String
where
    P: Platform,
{
    let is_ready = shared.is_ready();
    let now = BootClock.now();
    let state = shared.state();
    let waiting: usize = state.queues.values().map(|queue| queue.waiters.len()).sum();
    let age = state.freshness.age(now);
    let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    let rules = state.rules.as_ref();
    let (suspected, quarantined) = state.quarantine.counts(now);
    let limited = state.placement.limited_targets();
    metrics::set(Level::LimitedTargets, to_f64(limited));
    let barred = state.placement.barred_targets(now);
    let is_leaving = |barred: &&BarredTarget| barred.bar == Bar::Leaving;
    let leaving = barred.iter().filter(is_leaving).count();
    metrics::set(Level::LeavingTargets, to_f64(leaving));
    metrics::set(Level::TurnedAwayTargets, to_f64(barred.len() - leaving));
    metrics::set(Level::SuspectedParts, to_f64(suspected));
    metrics::set(Level::QuarantinedParts, to_f64(quarantined));
    metrics::set(Level::Ready, f64::from(u8::from(is_ready)));
    metrics::set(Level::Line, to_f64(waiting));
    let controls = state.queues.values().map(|queue| &queue.admission);
    let delayed = controls.map(|control| control.urgent_delayed(now));
    metrics::set(Level::UrgentDelayed, delayed.fold(0.0, f64::max));
    let displaced: u32 = state
        .queues
        .values()
        .map(|queue| queue.displaced_total)
        .sum();
    metrics::set(Level::Displaced, to_f64(displaced));
    metrics::set(Level::ProofAge, age);
    metrics::set(Level::Correction, state.placement.correction(now));
    metrics::set(Level::Targets, to_f64(state.directory.targets().count()));
    metrics::set(
        Level::Config,
        rules.map_or(0.0, |rules| to_f64(rules.version())),
    );
    drop(state);
    metrics::text()
}

/// Converts a count to a metric's value; no count comes near the limit of precision.
fn to_f64<N>(count: N) -> f64
where
    N: TryInto<u32>,
{
    count.try_into().map_or(f64::MAX, f64::from)
}
