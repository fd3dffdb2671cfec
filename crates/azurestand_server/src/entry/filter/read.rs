//! Reads the whole body, within bounds, before anything else is done for a request.

use axum::extract::Request;
use azurestand_types::Refusal;
use bytes::Bytes;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
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
    let limited = Limited::new(body, limits.body_bytes);
    let body = match timeout(limits.body_time, limited.collect()).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) => return Err(describe(&*error, limits)),
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

fn describe(error: &(dyn std::error::Error + 'static), limits: &InputLimits) -> Stop {
    if error.downcast_ref::<LengthLimitError>().is_some() {
        let detail = format!(
            "the body is too long; send at most {} bytes",
            limits.body_bytes
        );
        return Stop::with(Refusal::Malformed, detail);
    }
    Stop::with(Refusal::Malformed, "the body broke off; send it whole")
}
