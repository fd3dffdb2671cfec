//! The agent beside an engine: stages the weights that operators name and
//! orders the engine to load them.

mod fetch;
mod goal;
mod load;
mod report;

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use azurestand_store::{Entry, Scope, StoreError};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

use crate::client::Client;
use crate::clock::BootClock;
use crate::edge::Platform;
use crate::error::GatewayError;
use crate::feed::FeedNews;
use crate::log::LogEvent;
use crate::pieces::{self, Pacer, Shelf};
use crate::relay::Peers;
use crate::settings::{EngineSite, GatewaySettings};

use goal::{Goals, Known};
use report::Pulse;

/// The part of the machine's link that weights may take.
const LINK_SHARE: f64 = 0.94;

/// What the tasks of one agent share.
#[derive(Debug)]
struct Around<P> {
    settings: GatewaySettings,
    site: EngineSite,
    platform: Arc<P>,
    client: Client,
    shelf: Arc<Shelf>,
    goals: Goals,
    known: Mutex<Known>,
    pulse: Arc<Pulse>,
}

impl<P> Around<P> {
    /// The entries of the own data centre, which may be asked for news of the store.
    fn peers(self: &Arc<Self>) -> Peers<impl Fn() -> Vec<IpAddr> + use<P>> {
        let around = self.clone();
        let settings = &self.settings;
        Peers::new(
            self.client.clone(),
            settings.centre.clone(),
            None,
            settings.piece_port(),
            move || around.neighbours(),
        )
    }

    /// What is known of the operators' values.
    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All values of a scope, from a near entry that reads the store or the store itself.
    async fn list(self: &Arc<Self>, scope: &Scope) -> Result<Vec<Entry>, StoreError>
    where
        P: Platform,
    {
        let mut peers = self.peers();
        while let Some(peer) = peers.next(BootClock.now(), false) {
            if let Ok(FeedNews::Whole { listing, .. }) = peers.ask(peer, scope, None).await {
                return Ok(listing.entries);
            }
        }
        let listing = self.platform.list_all(scope).await?;
        Ok(listing.entries)
    }

    fn neighbours(&self) -> Vec<IpAddr> {
        let helpers = self.pulse.helpers().into_iter();
        let near = helpers.filter(|(_, centre)| *centre == self.settings.centre);
        near.map(|(ip, _)| ip).collect()
    }
}

/// A running agent.
#[derive(Debug)]
pub struct PieceAgent {
    tasks: Vec<JoinHandle<()>>,
}

impl PieceAgent {
    /// Binds the agent's addresses and starts its work.
    ///
    /// # Errors
    ///
    /// [`GatewayError`] when there is no engine or an address can't be bound.
    pub async fn start<P>(
        settings: GatewaySettings,
        platform: Arc<P>,
        client: Client,
    ) -> Result<Self, GatewayError>
    where
        P: Platform,
    {
        let site = settings.engine.clone();
        let site = site.ok_or(GatewayError::Missing("engine beside the agent"))?;
        let address = std::net::SocketAddr::new(settings.ip, settings.piece_port());
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|error| GatewayError::Bind(address, error))?;
        let address = std::net::SocketAddr::new(settings.ip, settings.report_port());
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| GatewayError::Bind(address, error))?;
        LogEvent::Started.log(&[
            ("name", settings.name.as_ref().into()),
            ("engine", site.address.to_string().into()),
        ]);
        let around = Arc::new(Around {
            settings,
            platform,
            client,
            shelf: Arc::new(Shelf::default()),
            goals: Goals::default(),
            known: Mutex::default(),
            pulse: Arc::new(Pulse::default()),
            site,
        });
        let serve = pieces::serve(
            listener,
            around.shelf.clone(),
            around.pulse.clone(),
            around.platform.clone(),
            Some(around.site.address),
            Pacer::new(around.settings.link_rate * LINK_SHARE),
            axum::Router::new(),
        );
        let tasks = vec![
            tokio::spawn(serve),
            tokio::spawn(goal::follow_weights(around.clone())),
            tokio::spawn(goal::read_rules(around.clone())),
            tokio::spawn(fetch::run(around.clone())),
            tokio::spawn(load::run(around.clone())),
            tokio::spawn(report::listen(around, socket)),
        ];
        Ok(Self { tasks })
    }

    /// Ends the agent's work; what is staged stays with the engine.
    pub fn stop(self) {
        LogEvent::Stopping.log(&[]);
        for task in self.tasks {
            task.abort();
        }
        LogEvent::Stopped.log(&[("whole", true.into())]);
    }
}
