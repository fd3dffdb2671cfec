//! Passes requests to another data centre, when this one is out of service or full.
//!
//! A request crosses between data centres once at most. The entry there is
//! asked over a link like an agent is, so the same rules hold: a lost link is
//! taken up again, and only its definitive word makes a request not run.

use std::time::Duration;

use azurestand_types::{Moment, TargetName};
use azurestand_wire::LinkError;

use super::Service;
use super::filter::Classified;
use super::fleet::{Agent, others};

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

/// An entry of another data centre that can take the request and has not refused it.
pub(super) async fn find(
    service: &Service,
    request: &Classified,
    refused: &[TargetName],
) -> Option<Agent> {
    if request.hops >= MAX_HOPS {
        return None;
    }
    let mut candidates = others(&service.node);
    for _ in 0..MAX_TRIES {
        if candidates.is_empty() {
            return None;
        }
        let chosen = candidates.swap_remove(service.fleet.draw(candidates.len()));
        let dialled = tokio::time::timeout(DIAL_LIMIT, reach(service, chosen)).await;
        if let Ok(Ok(agent)) = dialled
            && !refused
                .iter()
                .any(|target| target.as_str() == agent.host.as_str())
        {
            return Some(agent);
        }
    }
    None
}

async fn reach(service: &Service, address: std::net::SocketAddr) -> Result<Agent, LinkError> {
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
