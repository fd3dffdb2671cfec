//! Serves the pieces of a host to others.

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

use super::{HAD, LACKED, Pacer, Shelf};
use crate::edge::EngineControl;
use crate::metrics::{self, METRICS_PATH};

/// How long a peer is kept waiting for pieces that are on their way here.
const ARRIVAL_WAIT: Duration = Duration::from_millis(700);

/// Which version lies staged beside the engine without being on the shelf.
pub(crate) trait Staged: Send + Sync + 'static {
    /// Whether it is this one.
    fn holds(&self, model: &str, version: u64) -> bool;

    /// Takes in that another host asked for a version.
    fn asked(&self, model: &str, version: u64);
}

/// What the piece server needs.
struct Source<P, S> {
    shelf: Arc<Shelf>,
    staged: Arc<S>,
    platform: Arc<P>,
    engine: Option<SocketAddr>,
    pacer: Arc<Pacer>,
}

impl<P, S> Clone for Source<P, S> {
    fn clone(&self) -> Self {
        Self {
            shelf: self.shelf.clone(),
            staged: self.staged.clone(),
            platform: self.platform.clone(),
            engine: self.engine,
            pacer: self.pacer.clone(),
        }
    }
}

/// Serves pieces to other agents, and whatever `others` serves.
pub(crate) async fn serve<P, S>(
    listener: TcpListener,
    shelf: Arc<Shelf>,
    staged: Arc<S>,
    platform: Arc<P>,
    engine: Option<SocketAddr>,
    pacer: Pacer,
    others: Router,
) where
    P: EngineControl,
    S: Staged,
{
    let source = Source {
        shelf,
        staged,
        platform,
        engine,
        pacer: Arc::new(pacer),
    };
    let routes = Router::new()
        .route("/piece/{model}/{version}/{number}", get(give::<P, S>))
        .route("/copy/{model}/{version}/{number}", get(copy::<P, S>))
        .route("/have/{model}/{version}/{known}", get(list::<P, S>))
        .route("/look/{model}/{version}/{known}", get(look::<P, S>))
        .route("/digests/{model}/{version}", get(digests::<P, S>))
        .route(METRICS_PATH, get(async || metrics::text()))
        .with_state(source)
        .merge(others);
    // The server ends only with the process.
    let _ = axum::serve(listener, routes).await;
}

/// One piece, for a caller whose engine waits for it.
async fn give<P, S>(
    State(source): State<Source<P, S>>,
    Path((model, version, number)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: Staged,
{
    source.staged.asked(&model, version);
    copy(State(source), Path((model, version, number))).await
}

/// The same for a caller that doesn't need the piece itself.
async fn copy<P, S>(
    State(source): State<Source<P, S>>,
    Path((model, version, number)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: Staged,
{
    if source.shelf.get(&model, version).is_none() && source.staged.holds(&model, version) {
        // Staged by an earlier process; whoever asked checks the digest.
        let engine = source.engine.ok_or(StatusCode::NOT_FOUND)?;
        let staged = source.platform.staged(engine, &model, number).await;
        let piece = staged.ok().flatten().ok_or(StatusCode::NOT_FOUND)?;
        source.pacer.wait(piece.len()).await;
        return Ok(piece);
    }
    let version = source.shelf.get(&model, version);
    let piece = version.and_then(|version| version.piece(number));
    let piece = piece.ok_or(StatusCode::NOT_FOUND)?;
    source.pacer.wait(piece.len()).await;
    Ok(piece)
}

/// The digests of a version that this host fetches or has, one after the other.
async fn digests<P, S>(
    State(source): State<Source<P, S>>,
    Path((model, version)): Path<(String, u64)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: Staged,
{
    let version = source.shelf.get(&model, version);
    let version = version.ok_or(StatusCode::NOT_FOUND)?;
    Ok(version.manifest.digests.concat().into())
}

/// Which pieces this host has, at once if there are more than the caller knows of.
async fn list<P, S>(
    State(source): State<Source<P, S>>,
    Path((model, version, known)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: Staged,
{
    if source.shelf.get(&model, version).is_none() && source.staged.holds(&model, version) {
        // All of them; the caller knows how many there are.
        return Ok(Bytes::new());
    }
    source.staged.asked(&model, version);
    look(State(source), Path((model, version, known))).await
}

/// The same for a caller that doesn't need the pieces itself.
async fn look<P, S>(
    State(source): State<Source<P, S>>,
    Path((model, version, known)): Path<(String, u64, usize)>,
) -> Result<Bytes, StatusCode>
where
    P: EngineControl,
    S: Staged,
{
    let more = async {
        let version = source.shelf.wait_for(&model, version).await;
        version.more_than(known).await
    };
    let have = if let Ok(have) = timeout(ARRIVAL_WAIT, more).await {
        have
    } else {
        // Nothing new, from a host that is at work on it or not.
        let version = source.shelf.get(&model, version);
        version.ok_or(StatusCode::NOT_FOUND)?.have()
    };
    let mark = |had| if had { HAD } else { LACKED };
    Ok(have.into_iter().map(mark).collect())
}
