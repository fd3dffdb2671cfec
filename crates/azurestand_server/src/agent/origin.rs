//! Fetches manifests and chunks from the origin of weights.

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_spread::{Failure, Manifest, Rate};
use azurestand_types::{Digest, Region};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout};

use crate::client::{HttpClient, request};

/// A source that sends nothing for this long is given up.
const STALL_LIMIT: Duration = Duration::from_secs(5);
const MANIFEST_LIMIT: Duration = Duration::from_secs(5);
const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;

/// The origin as one host sees it.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    client: HttpClient,
    address: SocketAddr,
    region: Region,
}

impl Origin {
    pub(crate) fn new(client: HttpClient, address: SocketAddr, region: Region) -> Self {
        Self {
            client,
            address,
            region,
        }
    }

    fn request(&self, path: &str) -> http::Request<http_body_util::Full<Bytes>> {
        let mut request = request(Method::GET, self.address, path, Bytes::new());
        if let Ok(region) = HeaderValue::from_str(self.region.as_str()) {
            request.headers_mut().insert("x-azurestand-region", region);
        }
        request
    }

    /// Fetches the manifest with this digest and checks it.
    pub(crate) async fn manifest(&self, digest: Digest) -> Option<Manifest> {
        let request = self.request(&format!("/manifests/{digest}"));
        let call = self
            .client
            .call(request, MANIFEST_LIMIT, MAX_MANIFEST_BYTES);
        let answer = call.await.ok()?;
        let manifest = Manifest::try_from(&answer.body()[..]).ok()?;
        (manifest.digest() == digest).then_some(manifest)
    }

    /// Fetches a chunk no faster than `rate`. The content isn't checked yet.
    pub(crate) async fn chunk(&self, digest: Digest, rate: Rate) -> Result<Bytes, Failure> {
        let request = self.request(&format!("/chunks/{digest}"));
        let sent = timeout(STALL_LIMIT, self.client.send(request)).await;
        let Ok(Ok(response)) = sent else {
            return Err(Failure::Unreachable);
        };
        match response.status() {
            StatusCode::OK => (),
            StatusCode::NOT_FOUND => return Err(Failure::Missing),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Err(Failure::Busy);
            }
            _ => return Err(Failure::Unreachable),
        }
        let start = Instant::now();
        let mut body = response.into_body();
        let mut content = BytesMut::new();
        loop {
            match timeout(STALL_LIMIT, body.frame()).await {
                Ok(None) => return Ok(content.freeze()),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    content.extend_from_slice(&data);
                }
                Ok(Some(Err(_))) | Err(_) => return Err(Failure::Unreachable),
            }
            if content.len() > azurestand_spread::MAX_CHUNK_BYTES as usize {
                return Err(Failure::Corrupt);
            }
            sleep_until(start + rate.duration_of(content.len() as u64)).await;
        }
    }
}
