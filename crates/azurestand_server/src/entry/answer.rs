//! What callers see of an outcome.

use axum::body::Body;
use axum::response::Response;
use azurestand_types::{Outcome, Refusal, RequestId, Uncertainty};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, StatusCode};
use serde::Serialize;

/// Says how a request ended: `answered`, `not-run` or `unknown`.
pub(super) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-azurestand-outcome");
/// The request's id.
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    outcome: &'static str,
    reason: String,
    message: String,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

fn status(outcome: Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered => StatusCode::OK,
        Outcome::NotRun(refusal) => match refusal {
            Refusal::Busy | Refusal::Draining | Refusal::OutOfService | Refusal::Revoked => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::Unproved | Refusal::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NotServed => StatusCode::NOT_FOUND,
            Refusal::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Refusal::Expired => StatusCode::GATEWAY_TIMEOUT,
            Refusal::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::Unauthorised => StatusCode::UNAUTHORIZED,
        },
        Outcome::Unknown(why) => match why {
            Uncertainty::TargetFailed | Uncertainty::WeightsChanged | Uncertainty::Unreachable => {
                StatusCode::BAD_GATEWAY
            }
            Uncertainty::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        },
    }
}

/// Seconds after which another try may fare better.
fn retry_after(outcome: Outcome) -> Option<u32> {
    match outcome {
        Outcome::NotRun(
            Refusal::Busy | Refusal::OverLimit | Refusal::Draining | Refusal::NotReady,
        ) => Some(1),
        Outcome::NotRun(Refusal::OutOfService) => Some(5),
        Outcome::NotRun(Refusal::Unproved) => Some(60),
        _ => None,
    }
}

fn describe(outcome: Outcome, id: RequestId, detail: Option<&str>) -> String {
    let (reason, message) = match outcome {
        Outcome::Answered => (String::new(), String::new()),
        Outcome::NotRun(refusal) => (format!("{refusal:?}"), refusal.to_string()),
        Outcome::Unknown(why) => (format!("{why:?}"), why.to_string()),
    };
    let body = ErrorBody {
        error: ErrorDetail {
            outcome: word(outcome),
            reason,
            message,
            request: id.to_string(),
            detail,
        },
    };
    serde_json::to_string(&body).unwrap_or_default()
}

/// The whole answer for a request that was not answered by a target.
pub(super) fn error(outcome: Outcome, id: RequestId, detail: Option<&str>) -> Response {
    let mut response = Response::new(Body::from(describe(outcome, id, detail)));
    *response.status_mut() = status(outcome);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(word(outcome)));
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_HEADER, id);
    }
    if let Some(seconds) = retry_after(outcome) {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// The last event of a stream that broke off, so that a caller is told.
pub(super) fn stream_error(outcome: Outcome, id: RequestId) -> String {
    format!("event: error\ndata: {}\n\n", describe(outcome, id, None))
}
