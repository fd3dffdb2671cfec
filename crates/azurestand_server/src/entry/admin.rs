//! What operators and the balancer ask of an entry.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::response::IntoResponse;
use http::StatusCode;
use serde::Serialize;

use super::Service;
use crate::agent::status::HostStatus;
use crate::node::Neighbour;

/// A target in the status.
#[derive(Debug, Serialize)]
struct TargetRow {
    target: String,
    subject: String,
    state: String,
    weights: String,
}

/// A version under way in the status.
#[derive(Debug, Serialize)]
struct VersionRow {
    manifest: String,
    held: u32,
    wanted: u32,
    origin_bytes: u64,
    cross_bytes: u64,
    near_bytes: u64,
    remaining_seconds: u32,
}

/// A process in the status.
#[derive(Debug, Serialize)]
struct NodeRow {
    host: String,
    centre: String,
    region: String,
    role: String,
    state: String,
    incarnation: u64,
    revision: u64,
    targets: Vec<TargetRow>,
    versions: Vec<VersionRow>,
}

/// The whole status.
#[derive(Debug, Serialize)]
struct StatusPage {
    revision: u64,
    nodes: Vec<NodeRow>,
}

/// Whether the balancer may send callers here.
pub(super) async fn ready(State(service): State<Arc<Service>>) -> impl IntoResponse {
    let node = &service.node;
    let known = node.document.borrow().revision().0 > 0;
    if node.unready.is_cancelled() {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if known {
        (StatusCode::OK, "ready\n")
    } else {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "no document in force yet\n",
        )
    }
}

/// What this entry knows of the whole deployment.
pub(super) async fn status(State(service): State<Arc<Service>>) -> impl IntoResponse {
    let neighbours = service.node.neighbours();
    let nodes = neighbours.0.values().map(row).collect();
    let revision = service.node.document.borrow().revision().0;
    Json(StatusPage { revision, nodes })
}

/// The text of the document in force here, from which a restored store is mended.
pub(super) async fn document(State(service): State<Arc<Service>>) -> impl IntoResponse {
    service.node.document().text().to_owned()
}

fn row(neighbour: &Neighbour) -> NodeRow {
    let record = &neighbour.record;
    let status = HostStatus::read(&record.status.blob);
    let targets = status.targets.iter().map(|target| TargetRow {
        target: target.target.clone(),
        subject: target.subject.clone(),
        state: target.phase(),
        weights: head(target.weights),
    });
    let versions = status.versions.iter().map(|version| VersionRow {
        manifest: head(version.manifest),
        held: version.held,
        wanted: version.wanted,
        origin_bytes: version.origin,
        cross_bytes: version.cross,
        near_bytes: version.near,
        remaining_seconds: version.remaining,
    });
    NodeRow {
        host: record.identity.host.to_string(),
        centre: record.identity.centre.to_string(),
        region: record.identity.region.to_string(),
        role: record.identity.role.to_string(),
        state: neighbour.state.to_string(),
        incarnation: record.identity.incarnation.0,
        revision: record.status.stamp.revision.0,
        targets: targets.collect(),
        versions: versions.collect(),
    }
}

/// The first digits of a digest, as `azurestand publish` prints them.
fn head(head: u64) -> String {
    if head == 0 {
        return String::new();
    }
    format!("{head:016x}")
}
