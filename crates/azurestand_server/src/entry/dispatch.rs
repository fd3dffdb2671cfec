//! Hands what comes over control links to the requests that wait for it.

use azurestand_types::RequestId;
use azurestand_wire::{Body, Role};
use bytes::Bytes;

use super::fleet::Fleet;
use crate::node::Node;
use crate::node::links::{Arrivals, Inbound, News};

pub(super) fn start(node: &Node, fleet: Fleet, arrivals: Arrivals) {
    let Arrivals {
        mut inbound,
        mut bulk,
    } = arrivals;
    let clock = node.clone();
    tokio::spawn(async move {
        while let Some(message) = inbound.recv().await {
            take(&clock, &fleet, message);
        }
    });
    // An entry has no weights; whoever pushes some here is refused.
    tokio::spawn(async move {
        while let Some(link) = bulk.recv().await {
            link.outbox.close();
        }
    });
}

fn take(node: &Node, fleet: &Fleet, message: Inbound) {
    let Inbound { peer, outbox, news } = message;
    match news {
        News::Opened => (),
        News::Ended(_) => fleet.lose(&peer, &outbox),
        News::Message(Body::Gossip(gossip)) => node.hear(&gossip.bytes),
        // Only agents answer requests and report loads.
        News::Message(_) if peer.role != Role::Agent => (),
        News::Message(Body::Report(report)) => {
            if peer.centre == node.links.own().centre {
                fleet.report(node.clock.now(), &peer, &outbox, report);
            }
        }
        News::Message(body) => {
            if let Some(id) = id(&body) {
                fleet.deliver(&peer.host, id, body);
            }
        }
    }
}

fn id(body: &Body) -> Option<RequestId> {
    let raw: &Bytes = match body {
        Body::Begin(begin) => &begin.id,
        Body::Part(part) => &part.id,
        Body::End(end) => &end.id,
        Body::Refused(refused) => &refused.id,
        Body::Failed(failed) => &failed.id,
        Body::Revoked(revoked) => &revoked.id,
        _ => return None,
    };
    RequestId::try_from(&raw[..]).ok()
}
