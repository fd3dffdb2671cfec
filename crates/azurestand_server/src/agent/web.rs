//! The agent's HTTP side: engines fetch whole versions here.

use std::convert::Infallible;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Router, serve as serve_axum};
use azurestand_types::Digest;
use futures_util::stream;
use http::StatusCode;
use tokio::net::TcpListener;

use super::spread::SpreadView;
use super::vault::Vault;

#[derive(Clone)]
struct Shelf {
    vault: Vault,
    view: SpreadView,
}

pub(super) async fn serve(listener: TcpListener, vault: Vault, view: SpreadView) {
    let shelf = Shelf { vault, view };
    let routes = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/weights/{digest}", get(weights))
        .with_state(shelf);
    let _ = serve_axum(listener, routes).await;
}

/// The whole content of a version, or nothing: a version with a chunk missing is not found.
async fn weights(State(shelf): State<Shelf>, Path(digest): Path<String>) -> Response {
    let Ok(digest) = Digest::try_from(digest.as_str()) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let manifest = shelf.view.complete.borrow().get(&digest).cloned();
    let Some(chunks) = manifest.and_then(|manifest| shelf.vault.whole(&manifest)) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let parts = chunks.into_iter().map(Ok::<_, Infallible>);
    Body::from_stream(stream::iter(parts)).into_response()
}
