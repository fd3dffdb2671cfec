//! Puts content at the origin of weights.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;

quick_error! {
    /// Why the origin did not take something.
    #[derive(Debug)]
    pub enum OriginError {
        /// No answer came.
        Failed(address: SocketAddr, message: String) {
            display("the origin {address} gave no answer: {message}; check --origin and the network, then publish again: what it has isn't sent twice")
        }
        /// The answer has a status that means no.
        Refused(path: String, status: StatusCode) {
            display("the origin refused {path} with status {status}; check its space and its permissions")
        }
    }
}

/// The origin of weights.
pub(crate) struct Origin {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Origin {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }

    /// Whether something is there already.
    pub(crate) async fn has(&self, path: &str) -> Result<bool, OriginError> {
        let status = self.call(Method::HEAD, path, Bytes::new()).await?;
        Ok(status.is_success())
    }

    /// Puts content there.
    pub(crate) async fn put(&self, path: &str, content: Bytes) -> Result<(), OriginError> {
        let status = self.call(Method::PUT, path, content).await?;
        if status.is_success() {
            return Ok(());
        }
        Err(OriginError::Refused(path.to_owned(), status))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        content: Bytes,
    ) -> Result<StatusCode, OriginError> {
        let failed = |message: String| OriginError::Failed(self.address, message);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(content))
            .map_err(|error| failed(error.to_string()))?;
        let answer = self.client.request(request).await;
        let answer = answer.map_err(|error| failed(error.to_string()))?;
        Ok(answer.status())
    }
}
