//! The open links of one process, dialled on demand and shared by all that need them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurestand_wire::{Body, FleetKey, Identity, Link, LinkEnd, LinkError, Outbox, Purpose};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::event::Event;

const INBOUND_QUEUE: usize = 4_096;

/// What comes in over a control link.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// Who sent it.
    pub(crate) peer: Arc<Identity>,
    /// The way back to the sender.
    pub(crate) outbox: Outbox,
    /// What happened.
    pub(crate) news: News,
}

/// What happened on a link.
#[derive(Debug)]
pub(crate) enum News {
    /// The link opened.
    Opened,
    /// A message came.
    Message(Body),
    /// The link ended.
    Ended,
}

/// An accepted or dialled bulk link, handed whole to whoever moves chunks.
pub(crate) type BulkLink = Link;

type Open = HashMap<SocketAddr, Outbox>;

/// Held while one address is dialled, so that a burst of sends opens one link, not many.
type Turn = Arc<tokio::sync::Mutex<()>>;

/// Opens links and hands on what they bring.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    own: Arc<Identity>,
    key: FleetKey,
    open: Arc<Mutex<Open>>,
    dialling: Arc<Mutex<HashMap<SocketAddr, Turn>>>,
    inbound: mpsc::Sender<Inbound>,
    bulk: mpsc::Sender<BulkLink>,
    /// Cancelled when the process ends; accepted links end with it too.
    closed: CancellationToken,
}

/// Where a process reads what its links bring.
#[derive(Debug)]
pub(crate) struct Arrivals {
    /// Messages of control links.
    pub(crate) inbound: mpsc::Receiver<Inbound>,
    /// Bulk links that others opened.
    pub(crate) bulk: mpsc::Receiver<BulkLink>,
}

impl Links {
    pub(crate) fn new(own: Identity, key: FleetKey) -> (Self, Arrivals) {
        let (inbound, inbound_queue) = mpsc::channel(INBOUND_QUEUE);
        let (bulk, bulk_queue) = mpsc::channel(64);
        let links = Self {
            own: Arc::new(own),
            key,
            open: Arc::default(),
            dialling: Arc::default(),
            inbound,
            bulk,
            closed: CancellationToken::new(),
        };
        let arrivals = Arrivals {
            inbound: inbound_queue,
            bulk: bulk_queue,
        };
        (links, arrivals)
    }

    pub(crate) fn own(&self) -> &Identity {
        &self.own
    }

    fn open(&self) -> std::sync::MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The open control link to `address`, if there is one.
    pub(crate) fn known(&self, address: SocketAddr) -> Option<Outbox> {
        let outbox = self.open().get(&address).cloned()?;
        (!outbox.is_closed()).then_some(outbox)
    }

    /// The control link to `address`, dialled if none is open.
    pub(crate) async fn control(&self, address: SocketAddr) -> Result<Outbox, LinkError> {
        if let Some(outbox) = self.known(address) {
            return Ok(outbox);
        }
        let turn = self.turn(address);
        let _held = turn.lock().await;
        if let Some(outbox) = self.known(address) {
            return Ok(outbox);
        }
        let link = self.dial(address, Purpose::Control).await?;
        let outbox = link.outbox.clone();
        self.take(address, link);
        Ok(outbox)
    }

    fn turn(&self, address: SocketAddr) -> Turn {
        let mut turns = self.dialling.lock().unwrap_or_else(PoisonError::into_inner);
        turns.retain(|_, turn| Arc::strong_count(turn) > 1);
        turns.entry(address).or_default().clone()
    }

    /// A bulk link of its own to `address`.
    pub(crate) async fn bulk(&self, address: SocketAddr) -> Result<Link, LinkError> {
        self.dial(address, Purpose::Bulk).await
    }

    async fn dial(&self, address: SocketAddr, purpose: Purpose) -> Result<Link, LinkError> {
        azurestand_wire::connect(address, &self.key, &self.own, purpose).await
    }

    fn take(&self, address: SocketAddr, link: Link) {
        self.open().insert(address, link.outbox.clone());
        tokio::spawn(self.clone().relay(address, link));
    }

    /// Hands on what one control link brings until it ends.
    async fn relay(self, address: SocketAddr, mut link: Link) {
        let peer = Arc::new(link.peer);
        let inbound = |news| Inbound {
            peer: peer.clone(),
            outbox: link.outbox.clone(),
            news,
        };
        if self.inbound.send(inbound(News::Opened)).await.is_err() {
            return;
        }
        let closed = self.closed.clone();
        while let Some(Some(body)) = closed.run_until_cancelled(link.inbox.receive()).await {
            let sent = self.inbound.send(inbound(News::Message(body))).await;
            if sent.is_err() {
                return;
            }
        }
        // A link whose messages nobody reads any more must not look alive.
        link.outbox.close();
        self.forget(address, &link.outbox);
        let end = link.inbox.end();
        match &end {
            LinkEnd::Refused(error) => Event::LinkFrame.log(format_args!("{}: {error}", peer.host)),
            end => Event::LinkLost.log(format_args!("{}: {end}", peer.host)),
        }
        let _ = self.inbound.send(inbound(News::Ended)).await;
    }

    fn forget(&self, address: SocketAddr, ended: &Outbox) {
        let mut open = self.open();
        let current = open.get(&address);
        if current.is_some_and(|outbox| outbox.is_closed() || outbox.is_same(ended)) {
            open.remove(&address);
        }
    }

    /// Accepts links until the process ends.
    pub(crate) async fn listen(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().greet(stream, from));
                }
                // Out of descriptors, most likely; some are free again soon.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    async fn greet(self, stream: TcpStream, from: SocketAddr) {
        let link = match azurestand_wire::accept(stream, &self.key, &self.own).await {
            Ok(link) => link,
            Err(error) => {
                Event::LinkRefused.log(format_args!("from {from}: {error}"));
                return;
            }
        };
        match link.purpose {
            Purpose::Control => self.relay(link.peer.address, link).await,
            Purpose::Bulk => {
                let _ = self.bulk.send(link).await;
            }
        }
    }

    /// Ends every control link, those that others opened too.
    pub(crate) fn close(&self) {
        self.closed.cancel();
        for (_, outbox) in self.open().drain() {
            outbox.close();
        }
    }
}
