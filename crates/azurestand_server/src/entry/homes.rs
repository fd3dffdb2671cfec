//! Finds the home of a request's idempotency key.
//!
//! The order of homes follows from the document alone, so every entry asks the
//! same one first. A home that doesn't hold the key's shard names the one that
//! does; this is remembered as a hint and costs at most one more refusal when
//! it is out of date.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use azurestand_membership::State;
use azurestand_target::{ClaimKey, Shard};
use azurestand_types::{DataCentre, HostName, ServiceName, TargetName};

use super::Service;
use super::filter::{Classified, Subject};
use crate::agent::status::HostStatus;
use crate::node::Node;

/// One shard of one service's keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    service: ServiceName,
    shard: Shard,
}

/// Which home was last said to hold each shard.
#[derive(Debug, Default)]
pub(super) struct Holders(BTreeMap<Place, TargetName>);

impl Holders {
    /// Remembers what a home said.
    pub(super) fn learn(&mut self, place: Place, holder: TargetName) {
        self.0.insert(place, holder);
    }

    fn get(&self, place: &Place) -> Option<TargetName> {
        self.0.get(place).cloned()
    }
}

/// Where a home's target is, as membership has it.
#[derive(Debug, Clone)]
pub(super) struct Location {
    pub(super) target: TargetName,
    pub(super) centre: DataCentre,
}

/// The shard of a request's key; none when the request goes to any target.
pub(super) fn place(service: &Service, request: &Classified) -> Option<Place> {
    let Subject::Service(name) = &request.subject else {
        return None;
    };
    let document = service.node.document();
    let settings = document.services().get(name)?;
    if settings.homes.is_empty() {
        return None;
    }
    let key = request.key.as_ref()?;
    Some(Place {
        service: name.clone(),
        shard: ClaimKey::of(&request.account, key).shard(),
    })
}

/// The homes that can be asked, the likeliest holder first.
pub(super) fn order(service: &Service, place: &Place) -> Vec<Location> {
    let document = service.node.document();
    let Some(settings) = document.services().get(&place.service) else {
        return Vec::new();
    };
    let names = settings.homes.iter();
    let names = names.filter_map(|home| HostName::try_from(home.as_str()).ok());
    let names: Vec<_> = names.collect();
    let ranked = place.shard.order(&place.service, &names);
    let mut homes: Vec<_> = ranked
        .into_iter()
        .filter_map(|name| TargetName::try_from(name.as_str()).ok())
        .collect();
    if let Some(holder) = service.fleet.holders(|holders| holders.get(place)) {
        homes.retain(|home| *home != holder);
        homes.insert(0, holder);
    }
    let located = homes
        .into_iter()
        .filter_map(|home| locate(&service.node, home));
    located
        .filter(|location| {
            let known = document.centres().contains_key(&location.centre);
            !known || document.in_service(&location.centre)
        })
        .collect()
}

/// The live host that says that it runs `target`.
fn locate(node: &Node, target: TargetName) -> Option<Location> {
    let neighbours = node.neighbours();
    let mut live = neighbours
        .0
        .values()
        .filter(|neighbour| neighbour.state == State::Alive);
    let found = live.find(|neighbour| {
        let status = HostStatus::read(&neighbour.record.status.blob);
        let mut targets = status.targets.iter();
        targets.any(|other| other.target == target.as_str())
    })?;
    let centre = found.record.identity.centre.clone();
    Some(Location { target, centre })
}

/// The peer addresses of a data centre's live entries.
pub(super) fn entries_of(node: &Node, centre: &DataCentre) -> Vec<SocketAddr> {
    let neighbours = node.neighbours();
    let entries = neighbours.0.values().filter(|neighbour| {
        let identity = &neighbour.record.identity;
        identity.role == azurestand_membership::Role::Entry
            && neighbour.state == State::Alive
            && identity.centre == *centre
    });
    entries
        .map(|neighbour| neighbour.record.identity.address)
        .collect()
}
