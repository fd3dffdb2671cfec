//! Fetches weights and serves them to agents, since an entry's link has more bandwidth.
//!
//! An entry fetches a version once the operators name it, if there are engines in its data
//! centre, and for as long as agents ask it for one that the operators have named.
//! The entries divide the fetching from the origin among themselves; each holds only the
//! pieces that it fetches from the origin or for its data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::routing::post;
use azurestand_direct::Origin;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::shared::Shared;
use crate::error::GatewayError;
use crate::pieces::{self, Pacer, PieceStore, Purpose, StagingStatus, Version};
use crate::platform::{Manifest, Platform};
use crate::relay::{self, UPDATES_PATH};
use crate::spread::{DigestQuery, Download, DownloadParams, Host, Role, fetch_manifest};

/// The share of the machine's link that weights may use.
const LINK_SHARE: f64 = 0.8;
/// The number of agents' requests that may be queued.
const REQUEST_QUEUE: usize = 16;
/// How often the operators' values are checked for a version that isn't known yet, and the
/// list of entries for this entry.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long an agent's request counts; agents that need a version repeat it more often.
const DEMAND_TTL: Duration = Duration::from_millis(1_600);
/// How long an entry that knows no others waits until agents report them.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Attempts to fetch a manifest.
const MANIFEST_ATTEMPTS: u32 = 20;
/// The mean pause between two attempts.
const MANIFEST_PAUSE: Duration = Duration::from_millis(250);

/// A model and a version of its weights.
type ModelVersion = (Arc<str>, u64);

/// The versions that agents request, and those that are being fetched for them.
#[derive(Debug)]
struct Demand {
    requested: Mutex<BTreeMap<ModelVersion, Instant>>,
    fetching: Mutex<BTreeSet<ModelVersion>>,
    sender: mpsc::Sender<ModelVersion>,
}

impl Demand {
    fn new(sender: mpsc::Sender<ModelVersion>) -> Self {
        Self {
            requested: Mutex::default(),
            fetching: Mutex::default(),
            sender,
        }
    }

    /// Whether an agent has requested the version recently.
    fn is_wanted(&self, wanted: &ModelVersion) -> bool {
        let requested = self
            .requested
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let at = requested.get(wanted);
        at.is_some_and(|at| at.elapsed() < DEMAND_TTL)
    }

    /// Marks the version as being fetched; returns whether it wasn't before.
    fn begin_fetch(&self, wanted: &ModelVersion) -> bool {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.insert(wanted.clone())
    }

    fn end_fetch(&self, wanted: &ModelVersion) {
        let mut fetching = self.fetching.lock().unwrap_or_else(PoisonError::into_inner);
        fetching.remove(wanted);
    }

    /// Completes when no agent requests the version any more.
    async fn until_unwanted(&self, wanted: &ModelVersion) {
        while self.is_wanted(wanted) {
            sleep(DEMAND_TTL / 4).await;
        }
    }
}

impl StagingStatus for Demand {
    fn holds(&self, _model: &str, _version: u64) -> bool {
        false
    }

    fn record_request(&self, model: &str, version: u64) {
        let wanted: ModelVersion = (model.into(), version);
        {
            let mut requested = self
                .requested
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            requested.retain(|_, at| at.elapsed() < DEMAND_TTL);
            requested.insert(wanted.clone(), Instant::now());
        }
        // If the queue is full, the agent soon asks again.
        let _ = self.sender.try_send(wanted);
    }
}

/// Starts serving pieces of weights and fetching requested versions.
pub(crate) async fn start<P>(shared: &Arc<Shared<P>>) -> Result<(), GatewayError>
where
    P: Platform,
{
    let settings = &shared.settings;
    let address = SocketAddr::new(settings.ip, settings.piece_port());
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| GatewayError::Bind(address, error))?;
    let (sender, requests) = mpsc::channel(REQUEST_QUEUE);
    let piece_store = Arc::new(PieceStore::default());
    let demand = Arc::new(Demand::new(sender));
    let routes = Router::new()
        .route(UPDATES_PATH, post(relay::serve_updates))
        .with_state(shared.relay.clone());
    tokio::spawn(pieces::serve(
        listener,
        piece_store.clone(),
        demand.clone(),
        shared.platform.clone(),
        None,
        Pacer::new(settings.link_rate * LINK_SHARE),
        routes,
    ));
    tokio::spawn(run(shared.clone(), piece_store, demand, requests));
    Ok(())
}

async fn run<P>(
    shared: Arc<Shared<P>>,
    piece_store: Arc<PieceStore>,
    demand: Arc<Demand>,
    mut requests: mpsc::Receiver<ModelVersion>,
) where
    P: Platform,
{
    // An agent may request a version before this entry knows that it is named.
    let mut pending = BTreeSet::new();
    let mut named = shared.named_weights();
    loop {
        tokio::select! {
            Ok(()) = named.changed() => {
                let wanted = named.borrow_and_update().clone();
                if let Some((model, version)) = wanted.filter(|_| shared.has_local_engines()) {
                    demand.record_request(&model, version);
                }
            }
            wanted = requests.recv() => match wanted {
                Some(wanted) => {
                    pending.insert(wanted);
                }
                None => return,
            },
            () = sleep(POLL_INTERVAL), if !pending.is_empty() => {}
        }
        pending.retain(|wanted| {
            if !shared.state().has_version(&wanted.0, wanted.1) {
                return demand.is_wanted(wanted);
            }
            if demand.begin_fetch(wanted) {
                let (shared, piece_store) = (shared.clone(), piece_store.clone());
                tokio::spawn(fetch_while_wanted(
                    shared,
                    piece_store,
                    demand.clone(),
                    wanted.clone(),
                ));
            }
            false
        });
    }
}

/// Fetches a version for as long as agents request it.
async fn fetch_while_wanted<P>(
    shared: Arc<Shared<P>>,
    piece_store: Arc<PieceStore>,
    demand: Arc<Demand>,
    wanted: ModelVersion,
) where
    P: Platform,
{
    tokio::select! {
        () = fetch(&shared, &piece_store, &demand, &wanted) => {}
        () = demand.until_unwanted(&wanted) => {}
    }
    demand.end_fetch(&wanted);
}

async fn fetch<P>(
    shared: &Shared<P>,
    piece_store: &PieceStore,
    demand: &Demand,
    wanted: &ModelVersion,
) where
    P: Platform,
{
    let (model, number) = wanted;
    let Some((origin, pieces)) = origin_and_pieces(shared, model) else {
        return;
    };
    let hosts = known_hosts(shared).await;
    let known = piece_store.get(model, *number);
    let version =
        if let Some(version) = known.filter(|version| version.manifest.digests.len() == pieces) {
            version
        } else {
            let Some(manifest) = manifest(shared, &origin, pieces, wanted, &hosts).await else {
                return;
            };
            piece_store.remove(model, *number);
            // An older version that no agent requests any more only takes up memory.
            piece_store.retain(|known| demand.is_wanted(&(known.model.clone(), known.version)));
            let version = Arc::new(Version::new(manifest));
            piece_store.add(version.clone());
            version
        };
    let download = Arc::new(Download::new(DownloadParams {
        role: Role::Entry,
        client: shared.client.clone(),
        platform: shared.platform.clone(),
        origin,
        link_rate: shared.settings.link_rate,
        version,
        hosts: &hosts,
        trusts_entries: true,
    }));
    download.run(hosts).await;
}

/// The origin of the model's weights and the number of pieces of each version.
fn origin_and_pieces<P>(shared: &Shared<P>, model: &str) -> Option<(Origin, usize)> {
    let state = shared.state();
    let rules = state.rules.as_ref()?;
    Some((rules.origin()?.clone(), rules.pieces(model)?))
}

fn own_host<P>(shared: &Shared<P>) -> Host {
    let settings = &shared.settings;
    Host::new(settings, Role::Entry, settings.ip, &settings.centre)
}

/// The entries that share out the fetching, this one included.
async fn known_hosts<P>(shared: &Shared<P>) -> Vec<Host> {
    let known = known_entries(shared).await.into_iter();
    let host = |(ip, centre)| Host::new(&shared.settings, Role::Entry, ip, &centre);
    let mut hosts: Vec<Host> = known.map(host).collect();
    if !hosts.iter().any(Host::is_own) {
        hosts.push(own_host(shared));
    }
    hosts
}

/// The entries that divide the fetching from the origin. A process that has just started
/// learns of them within a second; without them it would fetch every piece itself.
async fn known_entries<P>(shared: &Shared<P>) -> Vec<(IpAddr, Arc<str>)> {
    let until = Instant::now() + DISCOVERY_TIMEOUT;
    loop {
        let known = shared.entries();
        let own = shared.settings.ip;
        if known.iter().any(|(ip, _)| *ip == own) || Instant::now() >= until {
            return known;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn manifest<P>(
    shared: &Shared<P>,
    origin: &Origin,
    pieces: usize,
    wanted: &ModelVersion,
    hosts: &[Host],
) -> Option<Manifest>
where
    P: Platform,
{
    let (model, version) = wanted;
    let query = DigestQuery {
        client: &shared.client,
        platform: shared.platform.as_ref(),
        origin,
        model,
        version: *version,
        pieces,
        purpose: Purpose::PassOn,
    };
    let own = own_host(shared);
    for _ in 0..MANIFEST_ATTEMPTS {
        let manifest = fetch_manifest(&query, own.peer(), hosts).await;
        if manifest.is_some() {
            return manifest;
        }
        sleep(MANIFEST_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
    None
}
