//! Helps agents to spread weights over the entry's wide link.
//!
//! An entry fetches a version once an agent asks it for one that the operators
//! have named. Entries share the drawing among themselves; each holds only the
//! pieces that it draws or fetches for its data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::Router;
use axum::routing::post;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::shared::Shared;
use crate::edge::{Manifest, Platform};
use crate::error::GatewayError;
use crate::log::LogEvent;
use crate::pieces::{self, Pacer, Shelf, Staged, Version};
use crate::relay::{self, NEWS_PATH};
use crate::spread::{Host, Job, Parts, Role};

/// The part of the machine's link that weights may take.
const LINK_SHARE: f64 = 0.3;
/// Questions that may wait to be looked at.
const QUESTIONS: usize = 16;
/// How often an unknown version is looked for in the operators' values.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// An agent that wants a version asks more often than this.
const DEMAND_LIFE: Duration = Duration::from_millis(1_600);
/// How long an entry that knows no others waits to hear of them.
const MEETING_TIME: Duration = Duration::from_millis(2_500);
/// Attempts for a manifest.
const MANIFEST_TRIES: u32 = 20;
/// The pause between two of them.
const MANIFEST_PAUSE: Duration = Duration::from_millis(250);

/// A model and its version.
type Wish = (Arc<str>, u64);

/// Which versions agents ask for, and which are being fetched for them.
#[derive(Debug)]
struct Demand {
    asked: Mutex<BTreeMap<Wish, Instant>>,
    begun: Mutex<BTreeSet<Wish>>,
    news: mpsc::Sender<Wish>,
}

impl Demand {
    fn new(news: mpsc::Sender<Wish>) -> Self {
        Self {
            asked: Mutex::default(),
            begun: Mutex::default(),
            news,
        }
    }

    /// Whether an agent has asked for it lately.
    fn lasts(&self, wish: &Wish) -> bool {
        let asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        let at = asked.get(wish);
        at.is_some_and(|at| at.elapsed() < DEMAND_LIFE)
    }

    /// Whether its fetching begins now.
    fn begin(&self, wish: &Wish) -> bool {
        let mut begun = self.begun.lock().unwrap_or_else(PoisonError::into_inner);
        begun.insert(wish.clone())
    }

    fn end(&self, wish: &Wish) {
        let mut begun = self.begun.lock().unwrap_or_else(PoisonError::into_inner);
        begun.remove(wish);
    }

    /// Comes back when no agent asks for it any more.
    async fn over(&self, wish: &Wish) {
        while self.lasts(wish) {
            sleep(DEMAND_LIFE / 4).await;
        }
    }
}

impl Staged for Demand {
    fn holds(&self, _model: &str, _version: u64) -> bool {
        false
    }

    fn asked(&self, model: &str, version: u64) {
        let wish: Wish = (model.into(), version);
        {
            let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
            asked.retain(|_, at| at.elapsed() < DEMAND_LIFE);
            asked.insert(wish.clone(), Instant::now());
        }
        // The agent asks again in a moment.
        let _ = self.news.try_send(wish);
    }
}

/// Starts to serve pieces.
pub(crate) async fn start<P>(shared: &Arc<Shared<P>>) -> Result<(), GatewayError>
where
    P: Platform,
{
    let settings = &shared.settings;
    let address = SocketAddr::new(settings.ip, settings.piece_port());
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| GatewayError::Bind(address, error))?;
    let (sender, wishes) = mpsc::channel(QUESTIONS);
    let shelf = Arc::new(Shelf::default());
    let demand = Arc::new(Demand::new(sender));
    let relay = Router::new()
        .route(NEWS_PATH, post(relay::answer))
        .with_state(shared.relay.clone());
    tokio::spawn(pieces::serve(
        listener,
        shelf.clone(),
        demand.clone(),
        shared.platform.clone(),
        None,
        Pacer::new(settings.link_rate * LINK_SHARE),
        relay,
    ));
    tokio::spawn(run(shared.clone(), shelf, demand, wishes));
    Ok(())
}

async fn run<P>(
    shared: Arc<Shared<P>>,
    shelf: Arc<Shelf>,
    demand: Arc<Demand>,
    mut wishes: mpsc::Receiver<Wish>,
) where
    P: Platform,
{
    // Agents may hear of a version sooner than this entry.
    let mut early = BTreeSet::new();
    loop {
        tokio::select! {
            wish = wishes.recv() => match wish {
                Some(wish) => {
                    early.insert(wish);
                }
                None => return,
            },
            () = sleep(LOOK_EVERY), if !early.is_empty() => {}
        }
        early.retain(|wish| {
            if !shared.state().has_version(&wish.0, wish.1) {
                return demand.lasts(wish);
            }
            if demand.begin(wish) {
                let (shared, shelf) = (shared.clone(), shelf.clone());
                tokio::spawn(help(shared, shelf, demand.clone(), wish.clone()));
            }
            false
        });
    }
}

/// Fetches a version for as long as agents ask for it.
async fn help<P>(shared: Arc<Shared<P>>, shelf: Arc<Shelf>, demand: Arc<Demand>, wish: Wish)
where
    P: Platform,
{
    tokio::select! {
        () = fetch(&shared, &shelf, &demand, &wish) => {}
        () = demand.over(&wish) => {}
    }
    demand.end(&wish);
}

async fn fetch<P>(shared: &Shared<P>, shelf: &Shelf, demand: &Demand, wish: &Wish)
where
    P: Platform,
{
    let origin = {
        let state = shared.state();
        let rules = state.rules.as_ref();
        rules.and_then(|rules| rules.origin().map(|origin| origin.address))
    };
    let Some(origin) = origin else {
        return;
    };
    let (model, number) = wish;
    let version = if let Some(version) = shelf.get(model, *number) {
        version
    } else {
        let Some(manifest) = manifest(shared, origin, model, *number).await else {
            return;
        };
        // An older version that no agent asks for any more only takes memory.
        shelf.retain(|known| demand.lasts(&(known.model.clone(), known.version)));
        let version = Arc::new(Version::new(manifest));
        shelf.add(version.clone());
        version
    };
    let settings = &shared.settings;
    let known = known_entries(shared).await;
    let mut hosts: Vec<Host> = known
        .iter()
        .map(|(ip, centre)| Host::new(settings, Role::Helper, *ip, centre))
        .collect();
    if !hosts.iter().any(Host::is_own) {
        let (ip, centre) = (settings.ip, &settings.centre);
        hosts.push(Host::new(settings, Role::Helper, ip, centre));
    }
    let job = Arc::new(Job::new(Parts {
        role: Role::Helper,
        client: shared.client.clone(),
        platform: shared.platform.clone(),
        origin,
        version,
        hosts: &hosts,
    }));
    job.run(hosts).await;
}

/// The entries that share the drawing. A process that has just started hears of
/// them within a second; alone it would draw every piece.
async fn known_entries<P>(shared: &Shared<P>) -> Vec<(IpAddr, Arc<str>)> {
    let until = Instant::now() + MEETING_TIME;
    loop {
        let known = shared.entries();
        let own = shared.settings.ip;
        if known.iter().any(|(ip, _)| *ip == own) || Instant::now() >= until {
            return known;
        }
        sleep(LOOK_EVERY).await;
    }
}

async fn manifest<P>(
    shared: &Shared<P>,
    origin: SocketAddr,
    model: &str,
    version: u64,
) -> Option<Manifest>
where
    P: Platform,
{
    for _ in 0..MANIFEST_TRIES {
        match shared.platform.manifest(origin, model, Some(version)).await {
            Ok(manifest) => return Some(manifest),
            Err(error) => LogEvent::PieceFailed.log(&[
                ("source", "origin's manifest".into()),
                ("why", error.to_string().into()),
            ]),
        }
        sleep(MANIFEST_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
    None
}

#[cfg(test)]
mod tests;
