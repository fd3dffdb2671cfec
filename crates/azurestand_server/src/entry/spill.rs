//! Passes requests to another data centre, when this one is out of service or full.

use axum::body::Body;
use axum::response::Response;
use azurestand_types::{Outcome, Refusal, Uncertainty};
use http::header::AUTHORIZATION;
use http::{HeaderName, HeaderValue};

use super::filter::{Allowed, Stop};
use super::fleet::others;
use super::{Service, answer};
use crate::client::{CallError, request};
use crate::metrics::Counter;

/// A request passes between data centres at most this often.
const MAX_HOPS: u32 = 1;

/// Whether operators have taken this data centre out.
pub(super) fn is_out(service: &Service) -> bool {
    let document = service.node.document();
    let centre = &service.node.links.own().centre;
    document.centres().contains_key(centre) && !document.in_service(centre)
}
