//! Reads the whole body, within bounds, before anything else is done for a request.

#[cfg(test)]
mod tests;

use axum::extract::Request;
use azurestand_http::{CollectError, collect};
use azurestand_types::Refusal;
use bytes::Bytes;
use http::request::Parts;
use tokio::time::timeout;

use super::{Identified, Stop};
use crate::settings::InputLimits;

/// A request whose body is here.
#[derive(Debug)]
pub(super) struct Whole {
    pub(super) from: Identified,
    pub(super) body: Bytes,
}

pub(super) async fn read(limits: &InputLimits, mut from: Identified) -> Result<Whole, Stop> {
    let empty = Request::new(axum::body::Body::empty());
    let (parts, body) = std::mem::replace(&mut from.request, empty).into_parts();
    // Parts are copied as they arrive, so a caller may send short ones.
    let collected = collect(body, limits.body_bytes, 0, |_| true);
    let body = match timeout(limits.body_time, collected).await {
        Ok(Ok(body)) => body.freeze(),
        Ok(Err(error)) => return Err(describe(&error)),
        Err(_) => {
            let detail = "the body came too slowly; send it faster";
            return Err(Stop::with(Refusal::Malformed, detail));
        }
    };
    from.request = rebuild(parts);
    Ok(Whole { from, body })
}

fn rebuild(parts: Parts) -> Request {
    Request::from_parts(parts, axum::body::Body::empty())
}

fn describe(error: &CollectError) -> Stop {
    let detail = match error {
        CollectError::TooLarge(bytes) => {
            format!("the body is too long; send at most {bytes} bytes")
        }
        CollectError::Broken(_) | CollectError::NoMemory => {
            "the body broke off; send it whole".to_owned()
        }
    };
    Stop::with(Refusal::Malformed, detail)
}
