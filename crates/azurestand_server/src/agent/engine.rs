//! The order protocol towards engines: what an engine reports, and orders to load.
//! See [docs/ENGINE.md](../../../../docs/ENGINE.md).

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_types::{BootId, Digest, Fence, ModelName, VersionName};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client::{CallError, HttpClient, request};

const STATE_LIMIT: Duration = Duration::from_secs(1);
const ORDER_LIMIT: Duration = Duration::from_secs(3);
const MAX_STATE_BYTES: usize = 64 * 1024;

/// What an engine is doing, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum EngineState {
    /// It has no weights.
    Empty,
    /// It loads weights.
    Loading,
    /// It has just started to serve.
    Cold,
    /// It serves at its full rate.
    Warm,
}

/// An engine's report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct EngineReport {
    pub(crate) boot_id: BootId,
    pub(crate) digest: Option<Digest>,
    pub(crate) state: EngineState,
    pub(crate) loading: Option<Digest>,
    #[serde(default)]
    pub(crate) fence: Fence,
    #[serde(default)]
    pub(crate) waiting: u32,
}

/// An order to load a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct LoadOrder {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) digest: Digest,
    pub(crate) fence: Fence,
    pub(crate) source: String,
}

/// What came of an order.
#[derive(Debug)]
pub(crate) enum Ordered {
    /// The engine carries it out.
    Accepted,
    /// The engine refused it, for instance for its fencing number.
    Refused(StatusCode),
    /// Whether the engine got it can't be known; its next report tells.
    Unknown,
}

/// One engine's order interface.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    client: HttpClient,
    address: SocketAddr,
}

impl Engine {
    pub(crate) fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Asks for the engine's report.
    pub(crate) async fn state(&self) -> Result<EngineReport, CallError> {
        let request = request(Method::GET, self.address, "/admin/state", Bytes::new());
        let answer = self
            .client
            .call(request, STATE_LIMIT, MAX_STATE_BYTES)
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(CallError::Status(answer.status()));
        }
        serde_json::from_slice(answer.body()).map_err(|error| CallError::Broken(error.to_string()))
    }

    /// Opens a connection, which a plain service that runs always takes.
    pub(crate) async fn connect(&self) -> Result<(), CallError> {
        let connecting = TcpStream::connect(self.address);
        match timeout(STATE_LIMIT, connecting).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(CallError::Refused(error.to_string())),
            Err(_) => Err(CallError::Late),
        }
    }

    /// Gives an order to load.
    pub(crate) async fn load(&self, order: &LoadOrder) -> Ordered {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let request = request(Method::POST, self.address, "/admin/load", body.into());
        match self
            .client
            .call(request, ORDER_LIMIT, MAX_STATE_BYTES)
            .await
        {
            Ok(answer) if answer.status().is_success() => Ordered::Accepted,
            Ok(answer) => Ordered::Refused(answer.status()),
            Err(_) => Ordered::Unknown,
        }
    }
}
