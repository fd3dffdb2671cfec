//! Fetches the pieces of the version that the engine is to have.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Origin, Target};
use tokio::time::{sleep, timeout};

use super::Around;
use super::goal::Goal;
use crate::edge::{Manifest, Platform};
use crate::log::LogEvent;
use crate::pieces::{self, Version};
use crate::spread::{Host, Job, Parts, Role};

/// The pause before a manifest is asked for again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(300);
/// How often the goal is looked at when nothing is told.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// What is to be fetched.
#[derive(Debug, Clone)]
struct Errand {
    model: Arc<str>,
    /// None for whatever is the newest.
    version: Option<u64>,
    origin: Origin,
    /// Whether the engine has nothing loaded, so that what is staged may be it.
    restart: bool,
}

/// Fetches for ever: a new goal replaces the one before.
pub(super) async fn run<P>(around: Arc<Around<P>>)
where
    P: Platform,
{
    let mut goals = around.goals.subscribe();
    loop {
        let goal = goals.borrow_and_update().clone();
        if let Some(errand) = errand(&around, &goal) {
            tokio::select! {
                done = fetch(&around, &errand) => {
                    if !done {
                        sleep(MANIFEST_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                        continue;
                    }
                }
                () = superseded(&around, &mut goals, errand.version) => continue,
            }
        }
        // The engine may have lost its weights without any news.
        let _ = timeout(LOOK_EVERY, goals.changed()).await;
    }
}

/// Comes back when another version is to be fetched first.
async fn superseded<P>(
    around: &Around<P>,
    goals: &mut tokio::sync::watch::Receiver<Goal>,
    version: Option<u64>,
) {
    loop {
        if goals.changed().await.is_err() {
            return std::future::pending().await;
        }
        let goal = goals.borrow_and_update().clone();
        let next = errand(around, &goal);
        if next.is_none_or(|next| next.version != version) {
            return;
        }
    }
}

/// The first version that is to be loaded and isn't here.
fn errand<P>(around: &Around<P>, goal: &Goal) -> Option<Errand> {
    let model = goal.model.clone()?;
    let origin = goal.origin.clone()?;
    let state = around.pulse.state()?;
    let held = state.held.iter().find(|held| held.model == model);
    let held = held.filter(|held| held.is_complete(goal.layers));
    let held = held.map_or(0, |held| held.version);
    let next = goal.next(held, around.settings.bounds.now().version);
    let newest = goal.newest().filter(|newest| *newest > held);
    let unnamed = around.pulse.newest().filter(|_| held == 0);
    let is_here = |version: &u64| {
        let version = around.shelf.get(&model, *version);
        version.is_some_and(|version| version.missing() == 0)
    };
    let wanted: Vec<u64> = [next, newest].into_iter().flatten().collect();
    let missing = wanted.iter().copied().find(|version| !is_here(version));
    let version = match missing {
        Some(version) => Some(version),
        None if !wanted.is_empty() || held > 0 => return None,
        None if unnamed.is_some_and(|version| is_here(&version)) => return None,
        None => unnamed,
    };
    Some(Errand {
        model,
        version,
        origin,
        restart: held == 0,
    })
}

/// Fetches all pieces; gives whether they are all here.
async fn fetch<P>(around: &Arc<Around<P>>, errand: &Errand) -> bool
where
    P: Platform,
{
    let Some(hosts) = hosts(around).await else {
        return false;
    };
    let Some(version) = open(around, errand, &hosts).await else {
        return false;
    };
    let job = Arc::new(Job::new(Parts {
        role: Role::Agent,
        client: around.client.clone(),
        platform: around.platform.clone(),
        origin: errand.origin.address,
        version,
        hosts: &hosts,
    }));
    if errand.restart {
        take_staged(around, &job).await;
    }
    let version = job.version();
    job.run(hosts).await;
    let whole = version.missing() == 0;
    if whole {
        LogEvent::Staged.log(&[
            ("model", errand.model.as_ref().into()),
            ("version", version.manifest.version.into()),
        ]);
    } else {
        // Perhaps the manifest itself was spoilt.
        let number = version.manifest.version;
        around.shelf.remove(&errand.model, number);
    }
    whole
}

/// Takes over what an earlier process staged.
async fn take_staged<P>(around: &Arc<Around<P>>, job: &Job<P>)
where
    P: Platform,
{
    let engine = around.site.address;
    let manifest = &job.version().manifest;
    for number in 0..manifest.digests.len() {
        let staged = around.platform.staged(engine, &manifest.model, number);
        let Ok(Some(piece)) = staged.await else {
            // An engine without the first piece has none.
            return;
        };
        job.take_over(number, piece);
    }
}

/// The version's shelf, with its manifest.
async fn open<P>(around: &Arc<Around<P>>, errand: &Errand, hosts: &[Host]) -> Option<Arc<Version>>
where
    P: Platform,
{
    let known = errand
        .version
        .and_then(|version| around.shelf.get(&errand.model, version));
    if known.is_some() {
        return known;
    }
    let manifest = manifest(around, errand, hosts).await?;
    around.pulse.set_newest(manifest.version);
    let version = Arc::new(Version::new(manifest));
    around.shelf.add(version.clone());
    Some(version)
}

/// The manifest from the origin, or from another host while the origin is away.
async fn manifest<P>(around: &Arc<Around<P>>, errand: &Errand, hosts: &[Host]) -> Option<Manifest>
where
    P: Platform,
{
    let origin = errand.origin.address;
    let asked = around
        .platform
        .manifest(origin, &errand.model, errand.version);
    let error = match asked.await {
        Ok(manifest) => return Some(manifest),
        Err(error) => error,
    };
    LogEvent::PieceFailed.log(&[
        ("source", "origin's manifest".into()),
        ("why", error.to_string().into()),
    ]);
    let version = errand.version?;
    let others: Vec<_> = hosts.iter().filter(|host| !host.is_own()).collect();
    let host = others.get(fastrand::usize(..others.len().max(1)))?;
    let asked = pieces::ask_digests(&around.client, host.address(), &errand.model, version);
    // Most hosts have none either; the next round asks another one.
    asked.await.ok()
}

async fn hosts<P>(around: &Arc<Around<P>>) -> Option<Vec<Host>>
where
    P: Platform,
{
    let targets = match targets(around).await {
        Ok(targets) => targets,
        Err(error) => {
            LogEvent::PieceFailed.log(&[("source", "hosts".into()), ("why", error.into())]);
            return None;
        }
    };
    let settings = &around.settings;
    let host = |ip: IpAddr, centre: &Arc<str>| Host::new(settings, Role::Agent, ip, centre);
    let others = targets
        .iter()
        .filter(|target| target.address.ip() != settings.ip);
    let mut hosts: Vec<_> = others
        .map(|target| host(target.address.ip(), &target.centre))
        .collect();
    hosts.push(host(settings.ip, &settings.centre));
    let helpers = around.pulse.helpers();
    let helpers = helpers.iter();
    hosts.extend(helpers.map(|(ip, centre)| Host::new(settings, Role::Helper, *ip, centre)));
    Some(hosts)
}

/// The targets of the engine's service.
pub(super) async fn targets<P>(around: &Arc<Around<P>>) -> Result<Vec<Target>, String>
where
    P: Platform,
{
    let scope = around.platform.target_scope();
    let listed = around.list(&scope).await;
    let entries = listed.map_err(|error| error.to_string())?;
    let read = |entry: &azurestand_store::Entry| {
        let target = around.platform.read_target(&entry.key, &entry.value);
        target.ok()
    };
    let targets = entries.iter().filter_map(read);
    Ok(targets
        .filter(|target| target.service == around.site.service)
        .collect())
}
