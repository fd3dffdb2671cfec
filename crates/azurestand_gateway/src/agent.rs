//! The agent on an engine's host: stages the weights that the operators name and
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
use crate::error::GatewayError;
use crate::feed::{FeedUpdate, Progress};
use crate::log::LogEvent;
use crate::pieces::{self, Pacer, PieceStore};
use crate::platform::Platform;
use crate::relay::Peers;
use crate::settings::{GatewaySettings, LocalEngine};
use crate::supervise::restart_on_panic;

use goal::{Goals, OperatorValues};
use report::EngineStatus;

/// The share of the machine's link that weights may use.
const LINK_SHARE: f64 = 0.94;

/// State shared by an agent's tasks.
#[derive(Debug)]
struct Shared<P> {
    settings: GatewaySettings,
    engine: LocalEngine,
    platform: Arc<P>,
    client: Client,
    piece_store: Arc<PieceStore>,
    goals: Goals,
    values: Mutex<OperatorValues>,
    status: Arc<EngineStatus>,
}

impl<P> Shared<P> {
    /// The entries of the same data centre, which pass on updates of the store.
    fn peers(self: &Arc<Self>) -> Peers<impl Fn() -> Vec<IpAddr> + use<P>> {
        let shared = self.clone();
        let settings = &self.settings;
        Peers::new(
            self.client.clone(),
            settings.centre.clone(),
            None,
            settings.piece_port(),
            move || shared.local_entries(),
        )
    }

    /// The operators' values read so far.
    fn values(&self) -> MutexGuard<'_, OperatorValues> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists all values of a scope, through an entry of the same data centre that reads the
    /// store or else from the store itself.
    async fn list(self: &Arc<Self>, scope: &Scope) -> Result<Vec<Entry>, StoreError>
    where
        P: Platform,
    {
        let mut peers = self.peers();
        while let Some(peer) = peers.next(BootClock.now(), false) {
            if let Ok(FeedUpdate::Snapshot { snapshot, .. }) = peers
                .request_updates(peer, scope, Progress::default())
                .await
            {
                return Ok(snapshot.entries);
            }
        }
        let snapshot = self.platform.list_all(scope).await?;
        Ok(snapshot.entries)
    }

    /// The subscribed entries of the same data centre.
    fn local_entries(&self) -> Vec<IpAddr> {
        let subscribers = self.status.subscribers().into_iter();
        let local = subscribers.filter(|(_, centre)| *centre == self.settings.centre);
        local.map(|(ip, _)| ip).collect()
    }
}

/// Spawns a task that starts again if it panics.
fn spawn<P, S, F>(name: &'static str, shared: &Arc<Shared<P>>, start: S) -> JoinHandle<()>
where
    P: Platform,
    S: Fn(Arc<Shared<P>>) -> F + Send + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let shared = shared.clone();
    tokio::spawn(restart_on_panic(name, move || start(shared.clone())))
}

/// A running agent.
#[derive(Debug)]
pub struct PieceAgent {
    tasks: Vec<JoinHandle<()>>,
}

impl PieceAgent {
    /// Binds the agent's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// [`GatewayError`] if no engine is configured or an address can't be bound.
    pub async fn start<P>(
        settings: GatewaySettings,
        platform: Arc<P>,
        client: Client,
    ) -> Result<Self, GatewayError>
    where
        P: Platform,
    {
        let engine = settings.engine.clone();
        let engine = engine.ok_or(GatewayError::Missing("engine beside the agent"))?;
        let address = std::net::SocketAddr::new(settings.ip, settings.piece_port());
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|error| GatewayError::Bind(address, error))?;
        let address = std::net::SocketAddr::new(settings.ip, settings.report_port());
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| GatewayError::Bind(address, error))?;
        let socket = Arc::new(socket);
        LogEvent::Started.log(&[
            ("name", settings.name.as_ref().into()),
            ("engine", engine.address.to_string().into()),
        ]);
        let shared = Arc::new(Shared {
            settings,
            platform,
            client,
            piece_store: Arc::new(PieceStore::default()),
            goals: Goals::default(),
            values: Mutex::default(),
            status: Arc::new(EngineStatus::default()),
            engine,
        });
        let serve = pieces::serve(
            listener,
            shared.piece_store.clone(),
            shared.status.clone(),
            shared.platform.clone(),
            Some(shared.engine.address),
            Pacer::new(shared.settings.link_rate * LINK_SHARE),
            axum::Router::new(),
        );
        let tasks = vec![
            tokio::spawn(serve),
            spawn("follow weights", &shared, goal::follow_weights),
            spawn("read rules", &shared, goal::read_rules),
            spawn("fetch", &shared, fetch::run),
            spawn("load", &shared, load::run),
            spawn("report", &shared, move |shared| {
                report::run(shared, socket.clone())
            }),
        ];
        Ok(Self { tasks })
    }

    /// Stops the agent's tasks. Staged pieces remain beside the engine.
    pub fn stop(self) {
        LogEvent::Stopping.log(&[]);
        for task in self.tasks {
            task.abort();
        }
        LogEvent::Stopped.log(&[("whole", true.into())]);
    }
}
