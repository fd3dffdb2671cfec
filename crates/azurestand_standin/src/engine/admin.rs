//! Orders to load and reports of state.

use std::io;
use std::sync::Arc;

use axum::body::Body;
use azurestand_types::{BootId, Digest, Fence};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Shared;
use super::state::{EngineState, Loaded};
use crate::serve::{Answer, Closed, json};

const MAX_ORDER_BYTES: usize = 64 << 10;

#[derive(Debug, Deserialize)]
struct Order {
    model: String,
    version: String,
    digest: Digest,
    fence: Fence,
    source: String,
}

#[derive(Debug, Serialize)]
struct Report {
    boot_id: BootId,
    model: Option<String>,
    version: Option<String>,
    digest: Option<Digest>,
    loading: Option<Digest>,
    weights: Option<Digest>,
    state: EngineState,
    fence: Fence,
    running: u32,
    waiting: u32,
    slots: u32,
}

pub(super) fn report(shared: &Shared) -> Response<Body> {
    let mut state = shared.lock();
    let (running, waiting) = state.load();
    let loaded = state.loaded.as_ref();
    let report = Report {
        boot_id: state.boot,
        model: loaded.map(|loaded| loaded.model.clone()),
        version: loaded.map(|loaded| loaded.version.clone()),
        digest: loaded.map(|loaded| loaded.digest),
        loading: state.loading,
        weights: loaded.map(|loaded| loaded.weights),
        state: state.phase,
        fence: state.fence,
        running,
        waiting,
        slots: state.options.warm_limit,
    };
    json(StatusCode::OK, &report)
}

pub(super) async fn load(shared: Arc<Shared>, request: Request<Body>) -> Answer {
    let body = axum::body::to_bytes(request.into_body(), MAX_ORDER_BYTES)
        .await
        .map_err(|_| Closed)?;
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => {
            let body = json!({ "error": error.to_string() });
            return Ok(json(StatusCode::BAD_REQUEST, &body));
        }
    };
    let mut state = shared.lock();
    if state.options.fenced && order.fence < state.fence {
        state.record.refused += 1;
        let body = json!({ "error": "the fencing number is old", "fence": state.fence });
        return Ok(json(StatusCode::CONFLICT, &body));
    }
    let number = state.begin_load(order.fence, order.digest);
    let body = json!({ "boot_id": state.boot, "fence": state.fence });
    drop(state);
    shared.wake();
    tokio::spawn(carry_out(shared, order, number));
    Ok(json(StatusCode::ACCEPTED, &body))
}

async fn carry_out(shared: Arc<Shared>, order: Order, number: u64) {
    let weights = fetch(&order.source).await;
    let time = shared.lock().options.load_time;
    tokio::time::sleep(time).await;
    let loaded = weights.ok().map(|weights| Loaded {
        model: order.model,
        version: order.version,
        digest: order.digest,
        weights,
    });
    shared.lock().end_load(number, loaded);
    shared.wake();
}

/// Hashes the weights at `source`; an answer that breaks off loads nothing.
async fn fetch(source: &str) -> io::Result<Digest> {
    let uri: Uri = source.parse().map_err(io::Error::other)?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let response = client.get(uri).await.map_err(io::Error::other)?;
    if !response.status().is_success() {
        return Err(io::Error::other(response.status().to_string()));
    }
    let mut body = response.into_body();
    let mut hasher = blake3::Hasher::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        if let Some(slice) = frame.data_ref() {
            hasher.update(slice);
        }
    }
    Ok(Digest::from(*hasher.finalize().as_bytes()))
}
