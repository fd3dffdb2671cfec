//! Hands what comes over control links to the requests that wait for it.

use std::sync::Arc;

use azurestand_types::RequestId;
use azurestand_wire::{Body, Role};
use bytes::Bytes;

use super::{Service, relay};
use crate::node::links::{Arrivals, Inbound, News};

pub(super) fn start(service: Arc<Service>, arrivals: Arrivals) {
    let Arrivals {
        mut inbound,
        mut bulk,
    } = arrivals;
    tokio::spawn(async move {
        while let Some(message) = inbound.recv().await {
            take(&service, message);
        }
    });
    // An entry has no weights; whoever pushes some here is refused.
    tokio::spawn(async move {
        while let Some(link) = bulk.recv().await {
            link.outbox.close();
        }
    });
}

fn take(service: &Arc<Service>, message: Inbound) {
    let Inbound { peer, outbox, news } = message;
    let fleet = &service.fleet;
    service.node.note_link(&peer, &news);
    match news {
        News::Opened => (),
        News::Ended => fleet.lose(&peer, &outbox),
        News::Message(Body::Gossip(gossip)) => service.node.hear(&gossip.bytes),
        News::Message(Body::Report(report)) => {
            let own = service.node.links.own();
            if peer.role == Role::Agent && peer.centre == own.centre {
                fleet.report(service.node.clock.now(), &peer, &outbox, report);
            }
        }
        News::Message(body) => {
            if let Some(id) = answered(&body) {
                fleet.deliver(&peer.host, id, body);
            } else if peer.role == Role::Entry {
                // Who passes work on has no room; a keyed request only looks for its home.
                if matches!(&body, Body::TargetRequest(request) if request.idempotency_key.is_empty())
                {
                    let now = service.node.clock.now();
                    fleet.spill(|spill, _| spill.record_received(now, &peer.centre));
                }
                relay::take(service, body, outbox);
            }
        }
    }
}

/// The request that a message answers; none for a message that asks something.
fn answered(body: &Body) -> Option<RequestId> {
    let raw: &Bytes = match body {
        Body::AnswerHead(head) => &head.id,
        Body::AnswerPart(part) => &part.id,
        Body::AnswerEnd(end) => &end.id,
        Body::Refused(refused) => &refused.id,
        Body::Failed(failed) => &failed.id,
        Body::Revoked(revoked) => &revoked.id,
        _ => return None,
    };
    RequestId::try_from(&raw[..]).ok()
}
