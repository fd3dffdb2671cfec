//! Puts a version at the origin, as `azurestand publish` does.

use std::net::SocketAddr;

use azurestand_spread::{CHUNK_BYTES, split_chunks};
use azurestand_types::{Digest, ModelName, VersionName};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::{DeploymentError, wrap};

/// Small files are cut finer, so that a local run has chunks to spread.
const MIN_CHUNKS: usize = 256;
const MIN_CHUNK_BYTES: usize = 16 * 1024;

pub(super) async fn publish(
    origin: SocketAddr,
    model: &str,
    version: &str,
    weights: &[u8],
) -> Result<Digest, DeploymentError> {
    let length = (weights.len() / MIN_CHUNKS).clamp(MIN_CHUNK_BYTES, CHUNK_BYTES as usize);
    let length = u32::try_from(length).unwrap_or(CHUNK_BYTES);
    let model = ModelName::try_from(model).map_err(wrap)?;
    let version = VersionName::try_from(version).map_err(wrap)?;
    let (manifest, chunks) = split_chunks(model, version, length, [weights]).map_err(wrap)?;
    for chunk in chunks {
        put(origin, &format!("/chunks/{}", chunk.digest), chunk.content).await?;
    }
    let digest = manifest.digest();
    put(
        origin,
        &format!("/manifests/{digest}"),
        manifest.encode().into(),
    )
    .await?;
    Ok(digest)
}

async fn put(origin: SocketAddr, path: &str, content: Bytes) -> Result<(), DeploymentError> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::put(format!("http://{origin}{path}"))
        .body(Full::new(content))
        .map_err(wrap)?;
    let answer = client.request(request).await.map_err(wrap)?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(DeploymentError(format!("{path}: {}", answer.status())))
}
