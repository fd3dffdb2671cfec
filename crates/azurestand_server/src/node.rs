//! What entries and agents have in common: identity, links, live view, document.

mod budget;
pub(crate) mod document;
mod gossip;
pub(crate) mod links;
mod post;
mod watch;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use azurestand_config::Document;
use azurestand_membership::{Record, State};
use azurestand_store::HttpStore;
use azurestand_types::{HostName, Incarnation};
use azurestand_wire::{Identity, Role};
use bytes::Bytes;
use tokio::sync::{mpsc, watch as latest};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::settings::Settings;

use links::{Arrivals, Links, News};
use post::Port;

/// How long the last messages may take to leave.
const GOODBYE_TIME: Duration = Duration::from_millis(50);

/// The live view as the rest of the daemon reads it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Neighbours(pub(crate) Arc<BTreeMap<HostName, Neighbour>>);

/// One other process.
#[derive(Debug, Clone)]
pub(crate) struct Neighbour {
    /// What membership knows of it.
    pub(crate) record: Record,
    /// Its state, with the platform's hints merged in.
    pub(crate) state: State,
}

/// What membership is told by the rest of the daemon.
pub(crate) type GossipEvent = azurestand_membership::Event;

/// The shared part of a running daemon.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) store: Arc<HttpStore>,
    pub(crate) metrics: Metrics,
    /// Bytes of live answers since they were counted last.
    pub(crate) live: Arc<AtomicU64>,
    pub(crate) document: latest::Receiver<Document>,
    pub(crate) neighbours: latest::Receiver<Neighbours>,
    pub(crate) gossip: mpsc::Sender<GossipEvent>,
    /// Cancelled when the balancer is to send no more callers.
    pub(crate) unready: CancellationToken,
    /// Cancelled when no new work is to be taken.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when the open requests are to end with an outcome.
    pub(crate) closing: CancellationToken,
    /// Cancelled when everything ends.
    pub(crate) stop: CancellationToken,
}

/// A node that has just started, and what its owner must read.
pub(crate) struct Started {
    pub(crate) node: Node,
    pub(crate) arrivals: Arrivals,
}

/// Draws an incarnation that outranks every earlier one of this host name,
/// as long as the host's clock doesn't go back by more than its restart takes.
fn draw_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

impl Node {
    /// Binds the peer address and starts links and membership.
    pub(crate) async fn start(settings: Settings, role: Role) -> io::Result<Started> {
        let Port { listener, socket } = Port::bind(settings.peers).await?;
        let address = listener.local_addr()?;
        let own = Identity {
            host: settings.host.clone(),
            incarnation: draw_incarnation(),
            role,
            centre: settings.centre.clone(),
            address,
        };
        let (links, arrivals) = Links::new(own.clone(), settings.key.clone());
        let (documents, document) = latest::channel(Document::empty());
        let (views, neighbours) = latest::channel(Neighbours::default());
        let (gossip, events) = mpsc::channel(1_024);
        let stop = CancellationToken::new();
        let store = HttpStore::new(budget::options(&settings, own.incarnation));
        let node = Self {
            metrics: Metrics::open(settings.metrics),
            live: Arc::default(),
            settings: Arc::new(settings),
            clock: Clock::start(),
            links,
            store: Arc::new(store),
            document,
            neighbours,
            gossip,
            unready: stop.child_token(),
            leaving: stop.child_token(),
            // A crash, which cancels `stop`, gives no outcomes.
            closing: CancellationToken::new(),
            stop,
        };
        let channels = gossip::Channels {
            events,
            documents,
            views,
        };
        gossip::Controller::start(node.clone(), channels, socket);
        tokio::spawn(
            node.stop
                .clone()
                .run_until_cancelled_owned(budget::follow(node.clone())),
        );
        tokio::spawn(
            node.stop
                .clone()
                .run_until_cancelled_owned(node.links.clone().listen(listener)),
        );
        Ok(Started { node, arrivals })
    }

    /// Where other processes reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.links.own().address
    }

    /// Takes gossip that came over a link in.
    pub(crate) fn hear(&self, bytes: &Bytes) {
        if let Ok(gossip) = azurestand_membership::Gossip::decode(bytes) {
            let _ = self
                .gossip
                .try_send(GossipEvent::Received(Box::new(gossip)));
        }
    }

    /// Lets membership know that a link opened or ended, which tells more than probes.
    pub(crate) fn note_link(&self, peer: &Identity, news: &News) {
        let event = match news {
            News::Opened => GossipEvent::Connected(peer.host.clone()),
            News::Ended => GossipEvent::Disconnected(peer.host.clone()),
            News::Message(_) => return,
        };
        let _ = self.gossip.try_send(event);
    }

    /// Tells membership what this host's targets are like.
    pub(crate) fn publish(&self, status: Bytes) {
        let _ = self.gossip.try_send(GossipEvent::Status(status));
    }

    /// Says goodbye and ends everything.
    pub(crate) async fn end(&self) {
        let _ = self.gossip.send(GossipEvent::Shutdown).await;
        tokio::time::sleep(GOODBYE_TIME).await;
        self.stop.cancel();
        self.links.close();
    }

    /// The document in force.
    pub(crate) fn document(&self) -> Document {
        self.document.borrow().clone()
    }

    /// The live view.
    pub(crate) fn neighbours(&self) -> Neighbours {
        self.neighbours.borrow().clone()
    }
}
