//! Serves the pieces of this host to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::{AVAILABLE, MISSING, Pacer, PieceStore};
use crate::metrics::{self, METRICS_PATH};
use crate::platform::EngineControl;

/// How long a request waits for pieces or digests that this host is still fetching.
const ARRIVAL_WAIT: Duration = Duration::from_millis(700);

/// The version that is staged beside the engine, whose pieces this process needn't hold.
pub(crate) trait StagingStatus: Send + Sync + 'static {
    /// Whether it is version `version` of `model`.
    fn holds(&self, model: &str, version: u64) -> bool;

    /// Records that another host requested a version for its engine.
    fn record_request(&self, model: &str, version: u64);
}

/// State of the piece server.
struct ServerState<P, S> {
    piece_store: Arc<PieceStore>,
    staging: Arc<S>,
    platform: Arc<P>,
    engine: Option<SocketAddr>,
    pacer: Arc<Pacer>,
}

impl<P, S> Clone for ServerState<P, S> {
    fn clone(&self) -> Self {
        Self {
            piece_store: self.piece_store.clone(),
            staging: self.staging.clone(),
            platform: self.platform.clone(),
            engine: self.engine,
            pacer: self.pacer.clone(),
        }
    }
}

/// Serves pieces to other hosts, as well as the routes of `others`.
pub(crate) async fn serve<P, S>(
    listener: TcpListener,
    piece_store: Arc<PieceStore>,
    staging: Arc<S>,
    platform: Arc<P>,
    engine: Option<SocketAddr>,
    pacer: Pacer,
    others: Router,
) where
    P: EngineControl,
    S: StagingStatus,
{
    let state = ServerState {
        piece_store,
        staging,
        platform,
        engine,
        pacer: Arc::new(pacer),
    };
    let routes = Router::new()
        .route("/piece/{model}/{version}/{number}", get(piece::<P, S>))
        .route("/copy/{model}/{version}/{number}", get(copy::<P, S>))
        .route("/have/{model}/{version}/{known}", get(list::<P, S>))
        .route("/look/{model}/{version}/{known}", get(look::<P, S>))
        .route("/digests/{model}/{version}", get(digests::<P, S>))
        .route("/copy-digests/{model}/{version}", get(copy_digests::<P, S>))
        .route(METRICS_PATH, get(async || metrics::text()))
        .with_state(state)
        .merge(others);
    // The server stops only when the process ends.
    let _ = axum::serve(listener, routes).await;
}

/// Returns a piece to a host whose engine needs it.
async fn piece<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version, number)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    state.staging.record_request(&model, version);
    copy(State(state), Path((model, version, number))).await
}

/// Returns a piece to a host that passes it on, which doesn't count as a request.
async fn copy<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version, number)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    if state.piece_store.get(&model, version).is_none() && state.staging.holds(&model, version) {
        // Staged earlier, perhaps by another process, and not verified here; the caller
        // checks the digest.
        let engine = state.engine.ok_or(StatusCode::NOT_FOUND)?;
        let staged = state.platform.staged(engine, &model, number).await;
        let piece = staged.ok().flatten().ok_or(StatusCode::NOT_FOUND)?;
        state.pacer.wait(piece.len()).await;
        return Ok(piece);
    }
    let version = state.piece_store.get(&model, version);
    let piece = version.and_then(|version| version.piece(number));
    let piece = piece.ok_or(StatusCode::NOT_FOUND)?;
    state.pacer.wait(piece.len()).await;
    Ok(piece)
}

/// Returns the digests of a version to a host whose engine needs it.
async fn digests<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version)): Path<(String, u64)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    state.staging.record_request(&model, version);
    copy_digests(State(state), Path((model, version))).await
}

/// Returns the concatenated digests of a version that this host holds or fetches, to a host
/// that passes the pieces on, which doesn't count as a request.
async fn copy_digests<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version)): Path<(String, u64)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    let version = state.piece_store.wait_for(&model, version);
    let version = timeout(ARRIVAL_WAIT, version).await;
    let version = version.map_err(|_| StatusCode::NOT_FOUND)?;
    Ok(version.manifest.digests.concat().into())
}

/// Returns which pieces this host has, to a host whose engine needs them. Responds at once
/// if there are more than `known`.
async fn list<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version, known)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    if state.piece_store.get(&model, version).is_none() && state.staging.holds(&model, version) {
        // An empty list means all pieces; the caller knows their number.
        return Ok(Bytes::new());
    }
    state.staging.record_request(&model, version);
    look(State(state), Path((model, version, known))).await
}

/// Returns the same to a host that passes the pieces on, which doesn't count as a request.
async fn look<P, S>(
    State(state): State<ServerState<P, S>>,
    Path((model, version, known)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: StagingStatus,
{
    let more = async {
        let version = state.piece_store.wait_for(&model, version).await;
        version.wait_for_more(known).await
    };
    let available = if let Ok(available) = timeout(ARRIVAL_WAIT, more).await {
        available
    } else {
        // No further pieces within the wait, or the version isn't fetched here.
        let version = state.piece_store.get(&model, version);
        version.ok_or(StatusCode::NOT_FOUND)?.available()
    };
    let mark = |has| if has { AVAILABLE } else { MISSING };
    Ok(available.into_iter().map(mark).collect())
}
