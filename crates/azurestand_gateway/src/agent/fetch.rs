//! Fetches the pieces of the version that the engine should load.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Origin, Target};
use tokio::time::{sleep, timeout};

use super::Shared;
use super::goal::Goal;
use crate::log::LogEvent;
use crate::pieces::{Purpose, Version};
use crate::platform::{Manifest, ManifestQuery, Platform};
use crate::spread::{DigestQuery, Download, DownloadParams, Host, Role, fetch_manifest};

/// The mean pause before a failed fetch, for example of the manifest, is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How often the goal and the engine's state are checked without a change of the goal.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A version to fetch.
#[derive(Debug, Clone)]
struct FetchTask {
    model: Arc<str>,
    /// None for the origin's newest version.
    version: Option<u64>,
    origin: Origin,
    /// The number of pieces of each version.
    pieces: usize,
    /// Whether operators have named the version; entries fetch no others.
    is_named: bool,
    /// Whether the engine has nothing loaded, as after a restart; then pieces staged earlier
    /// may belong to this version.
    is_unloaded: bool,
}

/// Fetches versions and never returns. A fetch is cancelled if another version is needed first.
pub(super) async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let mut goals = shared.goals.subscribe();
    loop {
        let goal = goals.borrow_and_update().clone();
        if let Some(task) = next_task(&shared, &goal) {
            tokio::select! {
                is_complete = fetch(&shared, &task) => {
                    if !is_complete {
                        sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                        continue;
                    }
                }
                () = superseded(&shared, &mut goals, task.version) => continue,
            }
        }
        // The engine may have lost its weights without a change of the goal.
        let _ = timeout(POLL_INTERVAL, goals.changed()).await;
    }
}

/// Returns when another version is to be fetched first.
async fn superseded<P>(
    shared: &Shared<P>,
    goals: &mut tokio::sync::watch::Receiver<Goal>,
    version: Option<u64>,
) {
    loop {
        // A version may also become useless because its bound passes.
        if let Ok(Err(_)) = timeout(POLL_INTERVAL, goals.changed()).await {
            return std::future::pending().await;
        }
        let goal = goals.borrow_and_update().clone();
        let next = next_task(shared, &goal);
        // The newest version of the origin is known once its digests are there.
        let fetched = version.or_else(|| shared.status.newest());
        let is_same = |next: FetchTask| next.version == version || next.version == fetched;
        if !next.is_some_and(is_same) {
            return;
        }
    }
}

/// The first version that should be loaded and isn't complete here.
fn next_task<P>(shared: &Shared<P>, goal: &Goal) -> Option<FetchTask> {
    let model = goal.model.clone()?;
    let origin = goal.origin.clone()?;
    let pieces = goal.pieces?;
    let state = shared.status.state()?;
    let held = state.held.iter().find(|held| held.model == model);
    let held = held.filter(|held| held.is_complete(goal.layers));
    let held = held.map_or(0, |held| held.version);
    let next = goal.next(held, shared.settings.bounds.now().version);
    let newest = goal.newest().filter(|newest| *newest > held);
    let unnamed = shared.status.newest().filter(|_| held == 0);
    let is_complete = |version: &u64| {
        let version = shared.piece_store.get(&model, *version);
        version.is_some_and(|version| version.is_complete(goal.pieces))
    };
    let named: Vec<u64> = [next, newest].into_iter().flatten().collect();
    let missing = named.iter().copied().find(|version| !is_complete(version));
    let version = match missing {
        Some(version) => Some(version),
        None if !named.is_empty() || held > 0 => return None,
        None if unnamed.is_some_and(|version| is_complete(&version)) => return None,
        None => unnamed,
    };
    Some(FetchTask {
        model,
        version,
        origin,
        pieces,
        is_named: missing.is_some(),
        is_unloaded: held == 0,
    })
}

/// Fetches all pieces; returns whether the version is complete.
async fn fetch<P>(shared: &Arc<Shared<P>>, task: &FetchTask) -> bool
where
    P: Platform,
{
    let entries = entries(shared);
    let Some(version) = open_version(shared, task, &entries).await else {
        return false;
    };
    if task.is_unloaded {
        reuse_staged(shared, &version).await;
    }
    if task.is_named && entries.iter().any(Host::is_local_entry) {
        let download = download(shared, task, &version, &entries, true);
        tokio::select! {
            () = download.clone().run(entries.clone()) => {}
            () = download.until_unreliable() => {}
        }
    }
    if version.missing() > 0 {
        // Agents, the list of which has to be read, are needed only without entries.
        let Some(hosts) = hosts(shared, entries).await else {
            return false;
        };
        let download = download(shared, task, &version, &hosts, false);
        download.run(hosts).await;
    }
    let is_complete = version.missing() == 0;
    if is_complete {
        LogEvent::Staged.log(&[
            ("model", task.model.as_ref().into()),
            ("version", version.manifest.version.into()),
        ]);
    } else {
        // The manifest itself may be corrupt.
        let number = version.manifest.version;
        shared.piece_store.remove(&task.model, number);
    }
    is_complete
}

fn download<P>(
    shared: &Arc<Shared<P>>,
    task: &FetchTask,
    version: &Arc<Version>,
    hosts: &[Host],
    trusts_entries: bool,
) -> Arc<Download<P>>
where
    P: Platform,
{
    Arc::new(Download::new(DownloadParams {
        role: Role::Agent,
        client: shared.client.clone(),
        platform: shared.platform.clone(),
        origin: task.origin.clone(),
        link_rate: shared.settings.link_rate,
        version: version.clone(),
        hosts,
        trusts_entries,
    }))
}

/// Reuses the pieces that an earlier process staged.
async fn reuse_staged<P>(shared: &Arc<Shared<P>>, version: &Version)
where
    P: Platform,
{
    let engine = shared.engine.address;
    let manifest = &version.manifest;
    for number in 0..manifest.digests.len() {
        let staged = shared.platform.staged(engine, &manifest.model, number);
        let Ok(Some(piece)) = staged.await else {
            // An engine without the first piece has no pieces.
            return;
        };
        // A piece that doesn't match its digest is fetched.
        let _ = version.add(number, piece);
    }
}

/// The version with its manifest, which is fetched unless it is known.
async fn open_version<P>(
    shared: &Arc<Shared<P>>,
    task: &FetchTask,
    entries: &[Host],
) -> Option<Arc<Version>>
where
    P: Platform,
{
    let known = task
        .version
        .and_then(|version| shared.piece_store.get(&task.model, version));
    if let Some(known) = known {
        if known.manifest.digests.len() == task.pieces {
            return Some(known);
        }
        // The configuration has changed the number of pieces.
        shared
            .piece_store
            .remove(&task.model, known.manifest.version);
    }
    let manifest = manifest(shared, task, entries).await?;
    shared.status.set_newest(manifest.version);
    let version = Arc::new(Version::new(manifest));
    shared.piece_store.add(version.clone());
    Some(version)
}

/// Fetches the manifest of a named version, or of the origin's newest one.
async fn manifest<P>(
    shared: &Arc<Shared<P>>,
    task: &FetchTask,
    entries: &[Host],
) -> Option<Manifest>
where
    P: Platform,
{
    let version = match task.version {
        Some(version) => version,
        None => newest_version(shared, task).await?,
    };
    let query = DigestQuery {
        client: &shared.client,
        platform: shared.platform.as_ref(),
        origin: &task.origin,
        model: &task.model,
        version,
        pieces: task.pieces,
        purpose: Purpose::Load,
    };
    let own = own_host(shared);
    fetch_manifest(&query, own.peer(), entries).await
}

/// The origin's newest version, which only the origin knows. Its digests are asked for again
/// under that number, since the number may have been corrupted on its way.
async fn newest_version<P>(shared: &Arc<Shared<P>>, task: &FetchTask) -> Option<u64>
where
    P: Platform,
{
    let origin = task.origin.address;
    let query = ManifestQuery {
        model: task.model.clone(),
        version: None,
        pieces: task.pieces,
    };
    match shared.platform.manifest(origin, &query).await {
        Ok(manifest) => Some(manifest.version),
        Err(error) => {
            LogEvent::PieceFailed.log(&[
                ("source", "newest digests of origin".into()),
                ("why", error.to_string().into()),
            ]);
            None
        }
    }
}

fn own_host<P>(shared: &Shared<P>) -> Host {
    let settings = &shared.settings;
    Host::new(settings, Role::Agent, settings.ip, &settings.centre)
}

/// The entries that subscribe to this agent's reports.
fn entries<P>(shared: &Shared<P>) -> Vec<Host> {
    let entries = shared.status.subscribers().into_iter();
    let host = |(ip, centre)| Host::new(&shared.settings, Role::Entry, ip, &centre);
    entries.map(host).collect()
}

/// The hosts that take part in distributing weights: agents, this one included, and `entries`.
async fn hosts<P>(shared: &Arc<Shared<P>>, entries: Vec<Host>) -> Option<Vec<Host>>
where
    P: Platform,
{
    let targets = match targets(shared).await {
        Ok(targets) => targets,
        Err(error) => {
            LogEvent::PieceFailed.log(&[("source", "hosts".into()), ("why", error.into())]);
            return None;
        }
    };
    let settings = &shared.settings;
    let others = targets
        .iter()
        .filter(|target| target.address.ip() != settings.ip);
    let agents = others.map(|target| {
        let ip = target.address.ip();
        Host::new(settings, Role::Agent, ip, &target.centre)
    });
    let hosts = agents.chain([own_host(shared)]).chain(entries);
    Some(hosts.collect())
}

/// The targets of the engine's service.
pub(super) async fn targets<P>(shared: &Arc<Shared<P>>) -> Result<Vec<Target>, String>
where
    P: Platform,
{
    let scope = shared.platform.target_scope();
    let listed = shared.list(&scope).await;
    let entries = listed.map_err(|error| error.to_string())?;
    let read = |entry: &azurestand_store::Entry| {
        let target = shared.platform.read_target(&entry.key, &entry.value);
        target.ok()
    };
    let targets = entries.iter().filter_map(read);
    Ok(targets
        .filter(|target| target.service == shared.engine.service)
        .collect())
}
