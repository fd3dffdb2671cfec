//! Calls to other hosts that hold or fetch pieces.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Bytes;
use http::Method;

use super::{AVAILABLE, MAX_PIECE_BYTES};
use crate::client::{CallError, Client, plain_request};
use crate::platform::{DigestList, Manifest, ManifestQuery};

/// Timeout of a call for the list of pieces, including the time for which the other host
/// waits for further pieces.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Timeout of a call for digests, including the time for which the other host waits for them.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of one attempt to fetch a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The length of a digest.
const DIGEST_BYTES: usize = 32;

/// Why a host requests pieces. Only requests for an engine make the other host fetch them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The engine beside it should load the version.
    Load,
    /// It passes the pieces on to other hosts.
    PassOn,
}

/// Calls another host and returns the body of its response.
async fn get(
    client: &Client,
    host: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let request = plain_request(Method::GET, host, path, Bytes::new());
    let response = client.call(host, request, timeout, MAX_PIECE_BYTES).await?;
    if !response.status().is_success() {
        return Err(CallError::Status(response.status()));
    }
    Ok(response.into_body())
}

/// Fetches the digests of a version from another host, which waits for them for a short time
/// if it is fetching them itself.
pub(crate) async fn fetch_digests(
    client: &Client,
    host: SocketAddr,
    query: &ManifestQuery,
    version: u64,
    purpose: Purpose,
) -> Result<Manifest, CallError> {
    let verb = match purpose {
        Purpose::Load => "digests",
        Purpose::PassOn => "copy-digests",
    };
    let path = format!("/{verb}/{}/{version}", query.model);
    let body = get(client, host, &path, DIGESTS_TIMEOUT).await?;
    let (digests, rest) = body.as_chunks::<DIGEST_BYTES>();
    if !rest.is_empty() {
        return Err(CallError::Malformed(
            "the list of digests is truncated".to_owned(),
        ));
    }
    let list = DigestList {
        model: query.model.clone(),
        version,
        digests: digests.to_vec(),
    };
    Manifest::new(query, list)
}

/// Asks another host which pieces it has. It responds at once if there are more than
/// `known`, and else after a short wait for further ones.
pub(crate) async fn list_pieces(
    client: &Client,
    host: SocketAddr,
    manifest: &Manifest,
    known: usize,
    purpose: Purpose,
) -> Result<Vec<bool>, CallError> {
    let verb = match purpose {
        Purpose::Load => "have",
        Purpose::PassOn => "look",
    };
    let path = format!("/{verb}/{}/{}/{known}", manifest.model, manifest.version);
    let body = get(client, host, &path, LIST_TIMEOUT).await?;
    let count = manifest.digests.len();
    if body.is_empty() {
        return Ok(vec![true; count]);
    }
    if body.len() != count {
        let text = format!("a list of {} pieces for {count}", body.len());
        return Err(CallError::Malformed(text));
    }
    Ok(body.iter().map(|mark| *mark == AVAILABLE).collect())
}

/// Fetches a piece from another host.
pub(crate) async fn fetch_piece(
    client: &Client,
    host: SocketAddr,
    manifest: &Manifest,
    number: usize,
    purpose: Purpose,
) -> Result<Bytes, CallError> {
    let verb = match purpose {
        Purpose::Load => "piece",
        Purpose::PassOn => "copy",
    };
    let path = format!("/{verb}/{}/{}/{number}", manifest.model, manifest.version);
    get(client, host, &path, PIECE_TIMEOUT).await
}
