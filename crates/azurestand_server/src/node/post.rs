//! Carries gossip: small messages as datagrams, larger ones over a link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_membership::Gossip;
use azurestand_wire::{Body, MAX_DATAGRAM_BYTES, Opener, Sealer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::GossipEvent;
use super::links::Links;
use crate::settings::Settings;

/// The way out for gossip.
#[derive(Debug, Clone)]
pub(crate) struct Post {
    socket: Arc<UdpSocket>,
    sealer: Arc<Sealer>,
    links: Links,
}

impl Post {
    /// Binds the datagram socket on the number of the links' port, so that one
    /// address reaches a process both ways, and reads from it.
    pub(crate) async fn open(
        links: Links,
        settings: &Settings,
        events: mpsc::Sender<GossipEvent>,
    ) -> io::Result<Self> {
        let own = links.own();
        let socket = Arc::new(UdpSocket::bind(own.address).await?);
        let sealer = Sealer::new(&settings.key, own.host.clone(), own.incarnation);
        let opener = Opener::new(&settings.key);
        tokio::spawn(read(socket.clone(), opener, events));
        Ok(Self {
            socket,
            sealer: Arc::new(sealer),
            links,
        })
    }

    /// Sends without waiting; a lost message is made good by a later one.
    pub(crate) fn send(&self, to: SocketAddr, gossip: &Gossip) {
        let bytes = gossip.encode();
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let _ = self.socket.try_send_to(&self.sealer.seal(bytes), to);
            return;
        }
        let links = self.links.clone();
        tokio::spawn(async move {
            if let Ok(outbox) = links.control(to).await {
                let message = azurestand_wire::Gossip { bytes };
                let _ = outbox.send(Body::Gossip(message)).await;
            }
        });
    }
}

async fn read(socket: Arc<UdpSocket>, mut opener: Opener, events: mpsc::Sender<GossipEvent>) {
    while !events.is_closed() {
        // An error here is an earlier send's refusal by its receiver, or a
        // forged datagram: neither may end the reading.
        let Ok(Ok((_, payload))) = azurestand_wire::receive(&socket, &mut opener).await else {
            continue;
        };
        if let Ok(gossip) = Gossip::decode(&payload) {
            let _ = events.try_send(GossipEvent::Received(Box::new(gossip)));
        }
    }
}
