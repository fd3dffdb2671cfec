//! Carries one request to a target and its answer back.

mod carrier;
mod sink;

use std::sync::Arc;

use axum::response::Response;
use azurestand_types::{Outcome, Uncertainty};

use super::filter::Allowed;
use super::{Service, answer};

pub(super) use carrier::{Carrier, Origin};
pub(super) use sink::Sink;

/// Carries a caller's request and gives the answer, whose body may still be on its way.
pub(super) async fn answer(service: Arc<Service>, allowed: Allowed) -> Response {
    let id = allowed.request.id;
    let (sink, head) = Sink::caller(id);
    let carrier = Carrier::new(service, allowed.request, Origin::Caller(allowed.slot), sink);
    tokio::spawn(carrier.run());
    match head.await {
        Ok(response) => response,
        // The carrier ends without an answer only when the process does.
        Err(_) => answer::error(Outcome::Unknown(Uncertainty::Unreachable), id, None),
    }
}
