//! Passes requests to another data centre, when this one is out of service or full.
//!
//! A request crosses between data centres once at most. The entry there is
//! asked over a link like an agent is, so the same rules hold: a lost link is
//! taken up again, and only its definitive word makes a request not run.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_route::MAX_HOPS;
use azurestand_types::{DataCentre, Moment, TargetName};
use azurestand_wire::LinkError;
use tokio::time::timeout;

use super::Service;
use super::filter::Classified;
use super::fleet::{Agent, others};
use super::homes::entries_of;

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
) -> Option<(DataCentre, Agent)> {
    let fleet = &service.fleet;
    let bytes = request.body.len() as u64;
    let mut entries = others(&service.node);
    for _ in 0..MAX_TRIES {
        let centres: BTreeSet<_> = entries.iter().map(|(centre, _)| centre.clone()).collect();
        let centres: Vec<_> = centres.into_iter().collect();
        let now = service.node.clock.now();
        let centre =
            fleet.spill(|spill, rng| spill.choose(now, request.hops, bytes, &centres, rng))?;
        let near: Vec<_> = (0..entries.len())
            .filter(|place| entries[*place].0 == centre)
            .collect();
        let (_, address) = entries.swap_remove(near[fleet.draw(near.len())]);
        let dialled = timeout(DIAL_LIMIT, reach(service, address)).await;
        match dialled {
            Ok(Ok(agent)) if !has_refused(&agent, refused) => return Some((centre, agent)),
            Ok(Ok(_)) => (),
            _ => fleet.spill(|spill, _| spill.record_refusal(service.node.clock.now(), &centre)),
        }
    }
    None
}

/// An entry of `centre`, where the home of the request's key is.
pub(super) async fn find_in(
    service: &Service,
    request: &Classified,
    centre: &DataCentre,
) -> Option<Agent> {
    if request.hops >= MAX_HOPS {
        return None;
    }
    let mut entries = entries_of(&service.node, centre);
    for _ in 0..MAX_TRIES.min(entries.len()) {
        let address = entries.swap_remove(service.fleet.draw(entries.len()));
        let dialled = timeout(DIAL_LIMIT, reach(service, address)).await;
        if let Ok(Ok(agent)) = dialled {
            // No other way leads to the home, so it counts on the share without asking for it.
            let (now, bytes) = (service.node.clock.now(), request.body.len() as u64);
            let fleet = &service.fleet;
            fleet.spill(|spill, _| spill.spend(now, centre, bytes));
            return Some(agent);
        }
    }
    None
}

fn has_refused(agent: &Agent, refused: &[TargetName]) -> bool {
    refused
        .iter()
        .any(|target| target.as_str() == agent.host.as_str())
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
        targets: Arc::default(),
    })
}
