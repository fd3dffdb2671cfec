//! Carries gossip: small messages as datagrams, larger ones over a link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use azurestand_membership::Gossip;
use azurestand_wire::{Body, MAX_DATAGRAM_BYTES, Opener, Sealer};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::GossipEvent;
use super::links::Links;
use crate::settings::Settings;

/// Port numbers that are tried before a process gives up.
const MAX_TRIES: u32 = 16;

/// The way out for gossip.
#[derive(Debug, Clone)]
pub(crate) struct Post {
    socket: Arc<UdpSocket>,
    sealer: Arc<Sealer>,
    links: Links,
}

impl Post {
    /// Reads from `socket` until `stop`.
    pub(crate) fn open(
        socket: UdpSocket,
        links: Links,
        settings: &Settings,
        events: mpsc::Sender<GossipEvent>,
        stop: CancellationToken,
    ) -> Self {
        let own = links.own();
        let socket = Arc::new(socket);
        let sealer = Sealer::new(&settings.key, own.host.clone(), own.incarnation);
        let opener = Opener::new(&settings.key);
        tokio::spawn(stop.run_until_cancelled_owned(read(socket.clone(), opener, events)));
        Self {
            socket,
            sealer: Arc::new(sealer),
            links,
        }
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

/// One port for links and datagrams, so that one address reaches a process both ways.
pub(crate) struct Port {
    pub(crate) listener: TcpListener,
    pub(crate) socket: UdpSocket,
}

impl Port {
    /// Binds both; with port 0 another number is tried when the datagrams' is taken.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut tries = 0;
        loop {
            let listener = TcpListener::bind(address).await?;
            let bound = listener.local_addr()?;
            match UdpSocket::bind(bound).await {
                Ok(socket) => return Ok(Self { listener, socket }),
                Err(_) if address.port() == 0 && tries < MAX_TRIES => tries += 1,
                Err(error) => return Err(error),
            }
        }
    }
}
