//! A plain HTTP client for the tests of the stand-ins.

use std::net::SocketAddr;

use axum::body::Body;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Sends a request: a whole answer, or none when the connection broke.
pub(crate) async fn send(request: Request<Body>) -> Option<(StatusCode, Bytes)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let response = client.request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Body,
) -> Request<Body> {
    let uri = format!("http://{address}{path}");
    Request::builder()
        .method(method)
        .uri(uri)
        .body(body)
        .unwrap()
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<(StatusCode, Bytes)> {
    send(request(Method::GET, address, path, Body::empty())).await
}

pub(crate) async fn post(
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> Option<(StatusCode, Value)> {
    let body = Body::from(body.to_string());
    let (status, bytes) = send(request(Method::POST, address, path, body)).await?;
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Some((status, value))
}
