//! Passes requests to another data centre, when this one is out of service or full.
//!
//! A request crosses between data centres once at most. The entry there is
//! asked over a link like an agent is, so the same rules hold: a lost link is
//! taken up again, and only its definitive word makes a request not run.

use std::net::SocketAddr;
use std::time::Duration;

use azurestand_types::{DataCentre, Moment};
use azurestand_wire::LinkError;
use tokio::time::timeout;

use super::Service;
use super::filter::Classified;
use super::fleet::{Agent, others};
use super::homes::entries_of;

/// How often a request may cross between data centres.
const MAX_HOPS: u32 = 1;
/// Entries that are tried before a request is refused.
const MAX_TRIES: usize = 3;
const DIAL_LIMIT: Duration = Duration::from_millis(500);

/// Whether operators have taken this data centre out.
pub(super) fn is_out(service: &Service) -> bool {
    let document = service.node.document();
    let centre = &service.node.links.own().centre;
    document.centres().contains_key(centre) && !document.in_service(centre)
}

/// An entry of any other data centre that can take the request.
pub(super) async fn find(service: &Service, request: &Classified) -> Option<Agent> {
    find_among(service, request, others(&service.node)).await
}

/// An entry of `centre` that can take the request.
pub(super) async fn find_in(
    service: &Service,
    request: &Classified,
    centre: &DataCentre,
) -> Option<Agent> {
    find_among(service, request, entries_of(&service.node, centre)).await
}

async fn find_among(
    service: &Service,
    request: &Classified,
    mut candidates: Vec<SocketAddr>,
) -> Option<Agent> {
    if request.hops >= MAX_HOPS {
        return None;
    }
    for _ in 0..MAX_TRIES {
        if candidates.is_empty() {
            return None;
        }
        let chosen = candidates.swap_remove(service.fleet.draw(candidates.len()));
        let dialled = timeout(DIAL_LIMIT, reach(service, chosen)).await;
        if let Ok(Ok(agent)) = dialled {
            return Some(agent);
        }
    }
    None
}

async fn reach(service: &Service, address: SocketAddr) -> Result<Agent, LinkError> {
    let outbox = service.node.links.control(address).await?;
    let neighbours = service.node.neighbours();
    let mut records = neighbours.0.values().map(|neighbour| &neighbour.record);
    let record = records
        .find(|record| record.identity.address == address)
        .ok_or(LinkError::Closed)?;
    Ok(Agent {
        host: record.identity.host.clone(),
        incarnation: record.identity.incarnation,
        address,
        outbox,
        clock: Moment::START,
    })
}
