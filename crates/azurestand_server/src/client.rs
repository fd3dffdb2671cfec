//! HTTP towards engines, plain services and the origin.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_http::{
    MIN_PART_BYTES, MeteredConnector, READ_BUFFER_BYTES, ResponseBody, check_status, collect,
    meter_connections, meter_response,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use quick_error::quick_error;
use tokio::time::timeout;

const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const IDLE_LIMIT: Duration = Duration::from_secs(20);

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection came about, so the call certainly did not run.
        Refused(reason: String) {
            display("no connection could be opened ({reason}); check that the process runs")
        }
        /// The connection broke; the call may have run.
        Broken(reason: String) {
            display("the connection broke ({reason}); check the process")
        }
        /// No answer came in time; the call may have run.
        Late {
            display("no answer came in time; check the process")
        }
        /// The answer has a status that the call can't use.
        Status(status: StatusCode) {
            display("the answer has status {status}; check the process")
        }
    }
}

/// A client whose connections are kept.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient(Client<MeteredConnector, Full<Bytes>>);

impl HttpClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        connector.set_keepalive(None);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            // A repeat of our own could run a request twice.
            .retry_canceled_requests(false)
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(meter_connections(connector));
        Self(client)
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, CallError> {
        let answer = self.0.request(request).await.map_err(|error| {
            let reason = describe(&error);
            if error.is_connect() {
                CallError::Refused(reason)
            } else {
                CallError::Broken(reason)
            }
        })?;
        let status = check_status(answer.status());
        status.map_err(|error| CallError::Broken(error.to_string()))?;
        Ok(meter_response(answer))
    }

    /// A whole call with a short answer.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        most: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let collected = collect(body, most, MIN_PART_BYTES, |_| true).await;
            let body = collected.map_err(|error| CallError::Broken(error.to_string()))?;
            Ok(Response::from_parts(head, body.freeze()))
        };
        timeout(limit, whole).await.unwrap_or(Err(CallError::Late))
    }
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

/// The request for `path` at `address`.
pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .unwrap_or_default();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    request
}
