//! Responses for callers of HTTP/1.0, which knows no chunks: a response without a length ends
//! with its connection, so one that was broken off would look complete.

use http::Response;
use http::header::{CONTENT_LENGTH, HeaderValue};

use super::memory::collect_response;
use super::response::{Body, RequestError, full};

/// The largest such response, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// Reads a response without a length completely, so that its head states one. A response that
/// breaks off is replaced by an error.
pub(super) async fn collect(response: Response<Body>) -> Response<Body> {
    if response.headers().contains_key(CONTENT_LENGTH) {
        return response;
    }
    let (mut head, body) = response.into_parts();
    let Ok(bytes) = collect_response(body, MAX_BYTES).await else {
        return RequestError::Unknown.response();
    };
    head.headers
        .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    Response::from_parts(head, full(bytes))
}
