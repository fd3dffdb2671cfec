//! The chain of filters that every caller's request passes.
//!
//! Each filter takes what the one before it found out and refuses, or adds to it.

mod classify;
mod identify;
mod limit;
mod read;

use std::sync::Arc;

use axum::extract::Request;
use axum::response::Response;
use azurestand_types::{Outcome, Refusal, RequestId, Revision};

use super::{Service, answer, send};
use crate::event::Event;
use crate::metrics::Counter;

pub(super) use classify::{Classified, Place, Subject};
pub(super) use identify::Identified;
pub(super) use limit::{Allowed, Slot};

/// A refusal at some filter.
#[derive(Debug)]
pub(super) struct Stop {
    refusal: Refusal,
    detail: Option<String>,
}

impl Stop {
    pub(super) fn new(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: None,
        }
    }

    /// A refusal that tells the caller what exactly is wrong.
    pub(super) fn with<D>(refusal: Refusal, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            refusal,
            detail: Some(detail.into()),
        }
    }
}

/// Takes a request through the chain.
pub(super) async fn run(service: Arc<Service>, request: Request) -> Response {
    let id = service.fleet.draw_id();
    match pass(&service, id, request).await {
        Ok(response) => response,
        Err(stop) => refuse(&service, id, &stop),
    }
}

async fn pass(service: &Arc<Service>, id: RequestId, request: Request) -> Result<Response, Stop> {
    let document = service.node.document();
    // What is missing in an empty document may exist in the one that other entries have.
    if document.revision() == Revision(0) {
        return Err(Stop::new(Refusal::NotReady));
    }
    let identified = identify::identify(&document, request)?;
    let read = read::read(&service.node.settings.input, identified).await?;
    let classified = classify::classify(&document, id, read)?;
    let allowed = limit::limit(service, &document, classified)?;
    Ok(send::answer(service.clone(), allowed).await)
}

fn refuse(service: &Service, id: RequestId, stop: &Stop) -> Response {
    let outcome = Outcome::NotRun(stop.refusal);
    service.node.metrics.count(Counter::NotRun, 1);
    Event::Refused.log(format_args!("{id}: {}", stop.refusal));
    answer::error(outcome, id, stop.detail.as_deref())
}
