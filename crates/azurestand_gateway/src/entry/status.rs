//! Serves the balancer's readiness check and the metrics.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use super::shared::Shared;
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::metrics::{self, Level, METRICS_PATH};
use crate::platform::Platform;

/// Starts the server of readiness and metrics.
pub(crate) fn start<P>(shared: &Arc<Shared<P>>, listener: TcpListener)
where
    P: Platform,
{
    let path = shared.settings.ready_path.to_string();
    let routes = Router::new()
        .route(&path, get(ready::<P>))
        .route(METRICS_PATH, get(metrics_text::<P>))
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
    let leaving = state.placement.leaving_targets().count();
    metrics::set(Level::LeavingTargets, to_f64(leaving));
    metrics::set(Level::SuspectedParts, to_f64(suspected));
    metrics::set(Level::QuarantinedParts, to_f64(quarantined));
    metrics::set(Level::Ready, f64::from(u8::from(is_ready)));
    metrics::set(Level::Line, to_f64(waiting));
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
