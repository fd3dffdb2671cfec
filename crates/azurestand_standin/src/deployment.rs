//! A whole deployment in one process: the real daemons on loopback, between stand-ins.

mod fault;
mod publish;
mod record;
mod settings;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use azurestand_config::{Author, DOCUMENT_KEY, Document, Edit, Merge, Section};
use azurestand_server::settings::Settings;
use azurestand_server::{Agent, Entry};
use azurestand_store::{Commit, HttpOptions, HttpStore, Key, Store as _, Transaction};
use azurestand_types::{ChangeId, Digest, Revision};
use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::plan::Plan;
use crate::{
    Engine, EngineOptions, Origin, OriginOptions, Service, ServiceOptions, Store, StoreOptions,
};

pub use record::Record;
use record::Retired;
use settings::{AgentTarget, Place, agent_settings, entry_settings};

const POLL: Duration = Duration::from_millis(20);
/// How long a data centre is watched after it should have become quiet.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Why a deployment could not be started or changed.
#[derive(Debug)]
pub struct DeploymentError(String);

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DeploymentError {}

fn wrap<E>(error: E) -> DeploymentError
where
    E: fmt::Display,
{
    DeploymentError(error.to_string())
}

/// When something had come about everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settled {
    /// Time that it took; none if it did not come about in the time allowed.
    pub time: Option<Duration>,
    /// How many had it in the end.
    pub count: usize,
}

/// A model runner with its agent.
#[derive(Debug)]
pub struct Runner {
    /// The target's name.
    pub name: String,
    /// The data centre.
    pub centre: &'static str,
    /// The engine.
    pub engine: Engine,
    /// The agent; none while it is dead.
    pub agent: Option<Agent>,
    seed: u64,
    /// Times that a test made the engine cold.
    crashes: u32,
}

/// A plain service with its agent.
#[derive(Debug)]
pub struct Booth {
    /// The target's name.
    pub name: String,
    /// The service's name.
    pub kind: &'static str,
    /// The data centre.
    pub centre: &'static str,
    /// The service.
    pub service: Service,
    /// The agent; none while it is dead.
    pub agent: Option<Agent>,
}

/// An entry and its place.
#[derive(Debug)]
pub struct Door {
    /// The host's name.
    pub host: String,
    /// The data centre.
    pub centre: &'static str,
    /// The entry; none while it is dead.
    pub entry: Option<Entry>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// What it was started from.
    pub plan: Plan,
    /// The platform's store.
    pub store: Store,
    /// The origin of weights.
    pub origin: Origin,
    /// The entries.
    pub entries: Vec<Door>,
    /// The model runners.
    pub runners: Vec<Runner>,
    /// The plain services.
    pub booths: Vec<Booth>,
    versions: BTreeMap<String, Digest>,
    contents: BTreeMap<Digest, Digest>,
    retired: Vec<Retired>,
    changes: u64,
}

impl Deployment {
    /// Starts everything with `weights` as version `v1`, published and wanted.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when a port can't be bound or the first document is refused.
    pub async fn start(plan: Plan, weights: &[u8]) -> Result<Self, DeploymentError> {
        let store = Store::start(StoreOptions::default()).await.map_err(wrap)?;
        let rate = OriginOptions { rate: plan.origin };
        let origin = Origin::start(rate).await.map_err(wrap)?;
        let mut deployment = Self {
            plan,
            store,
            origin,
            entries: Vec::new(),
            runners: Vec::new(),
            booths: Vec::new(),
            versions: BTreeMap::new(),
            contents: BTreeMap::new(),
            retired: Vec::new(),
            changes: 0,
        };
        let digest = deployment.publish("v1", weights).await?;
        deployment.write_first(digest).await?;
        deployment.start_entries().await?;
        deployment.start_runners().await?;
        deployment.start_booths().await?;
        Ok(deployment)
    }

    /// Publishes `weights` under a version name and gives the manifest's digest.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when the origin refuses.
    pub async fn publish(
        &mut self,
        version: &str,
        weights: &[u8],
    ) -> Result<Digest, DeploymentError> {
        let digest =
            publish::publish(self.origin.address(), self.plan.model, version, weights).await?;
        self.versions.insert(version.to_owned(), digest);
        self.contents.insert(digest, Digest::of(weights));
        Ok(digest)
    }

    /// A client of the stand-in store.
    pub fn client(&self) -> HttpStore {
        HttpStore::new(HttpOptions::single_client(vec![self.store.address()]))
    }

    async fn write_first(&self, digest: Digest) -> Result<(), DeploymentError> {
        let text = self.plan.document(digest);
        let document = Document::parse(&text).map_err(wrap)?;
        let key = Key::try_from(DOCUMENT_KEY).map_err(wrap)?;
        let value = Bytes::copy_from_slice(document.text().as_bytes());
        let put = Transaction::new().when_absent(key.clone()).put(key, value);
        match self.client().commit(&put).await {
            Commit::Applied { .. } => Ok(()),
            other => Err(DeploymentError(format!("the first document: {other:?}"))),
        }
    }

    /// Changes one section by `change` of its text, as an operator would.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when the edit is refused or the store doesn't take it.
    pub async fn edit<F>(
        &mut self,
        section: Section,
        change: F,
    ) -> Result<Revision, DeploymentError>
    where
        F: Fn(&str) -> String,
    {
        self.changes += 1;
        let id = ChangeId::try_from(format!("local-{}", self.changes)).map_err(wrap)?;
        let key = Key::try_from(DOCUMENT_KEY).map_err(wrap)?;
        let store = self.client();
        loop {
            let found = store.read(&key).await.map_err(wrap)?;
            let found = found.ok_or_else(|| DeploymentError("no document".into()))?;
            let text = String::from_utf8_lossy(&found.value).into_owned();
            let document = Document::parse(&text).map_err(wrap)?;
            let edit = Edit {
                section,
                base: document.stamp(section).revision,
                author: Author::try_from("local".to_owned()).map_err(wrap)?,
                change: id.clone(),
                text: change(document.section_text(section)),
                force: false,
            };
            let Merge::Merged(merged) = document.apply(&edit).map_err(wrap)? else {
                return Ok(document.revision());
            };
            let value = Bytes::copy_from_slice(merged.text().as_bytes());
            let put = Transaction::new()
                .when_unchanged(key.clone(), found.version)
                .put(key.clone(), value);
            if let Commit::Applied { .. } = store.commit(&put).await {
                return Ok(merged.revision());
            }
        }
    }

    /// Makes a published version the wanted one.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when the edit is refused.
    pub async fn want(&mut self, version: &str) -> Result<Revision, DeploymentError> {
        let versions: Vec<_> = self.versions.clone().into_iter().collect();
        let named: Vec<_> = versions
            .iter()
            .map(|(name, digest)| (name.as_str(), *digest))
            .collect();
        let text = self.plan.models(version, &named);
        self.edit(Section::Models, |_| text.clone()).await
    }

    /// Takes a data centre out of service, or brings it back.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when the edit is refused.
    pub async fn set_service(
        &mut self,
        centre: &str,
        serves: bool,
    ) -> Result<Revision, DeploymentError> {
        let head = format!("[data_centres.{centre}]");
        self.edit(Section::Centres, |text| set_flag(text, &head, serves))
            .await
    }

    async fn start_entries(&mut self) -> Result<(), DeploymentError> {
        for centre in self.plan.centres.clone() {
            for n in 0..centre.entries {
                let host = format!("{}-entry-{n}", centre.name);
                let place = self.place(&host, &centre);
                let entry = Entry::start(read(&entry_settings(&place))?)
                    .await
                    .map_err(wrap)?;
                self.entries.push(Door {
                    host,
                    centre: centre.name,
                    entry: Some(entry),
                });
            }
        }
        Ok(())
    }

    async fn start_runners(&mut self) -> Result<(), DeploymentError> {
        for centre in self.plan.centres.clone() {
            for n in 0..centre.engines {
                let name = format!("{}-engine-{n}", centre.name);
                let seed = self.runners.len() as u64 + 1;
                let engine = Engine::start(EngineOptions::default(), seed)
                    .await
                    .map_err(wrap)?;
                let place = self.place(&name, &centre);
                let target = AgentTarget::engine(&name, self.plan.model, engine.address());
                let agent = Agent::start(read(&agent_settings(&place, &target))?).await;
                self.runners.push(Runner {
                    name,
                    centre: centre.name,
                    engine,
                    agent: Some(agent.map_err(wrap)?),
                    seed,
                    crashes: 0,
                });
            }
        }
        Ok(())
    }

    async fn start_booths(&mut self) -> Result<(), DeploymentError> {
        for centre in self.plan.centres.clone() {
            for n in 0..centre.bookings {
                self.start_booth(&centre, self.plan.booking, n).await?;
            }
            for n in 0..centre.clerks {
                self.start_booth(&centre, self.plan.clerk, n).await?;
            }
        }
        Ok(())
    }

    async fn start_booth(
        &mut self,
        centre: &crate::CentrePlan,
        kind: &'static str,
        n: usize,
    ) -> Result<(), DeploymentError> {
        let name = format!("{}-{kind}-{n}", centre.name);
        let service = Service::start(ServiceOptions::default())
            .await
            .map_err(wrap)?;
        let place = self.place(&name, centre);
        let target = AgentTarget::service(&name, kind, service.address());
        let agent = Agent::start(read(&agent_settings(&place, &target))?).await;
        self.booths.push(Booth {
            name,
            kind,
            centre: centre.name,
            service,
            agent: Some(agent.map_err(wrap)?),
        });
        Ok(())
    }

    fn place(&self, host: &str, centre: &crate::CentrePlan) -> Place {
        Place {
            host: host.to_owned(),
            centre: centre.name,
            region: centre.region,
            store: self.store.address(),
            origin: self.origin.address(),
            seeds: self.seeds(),
            drain: self.plan.drain,
        }
    }

    /// A few entries that live now, as a platform's list would name them.
    fn seeds(&self) -> Vec<SocketAddr> {
        let live = self.entries.iter().filter_map(|door| door.entry.as_ref());
        let few = self.plan.centres.len() * 2;
        live.take(few).map(Entry::address).collect()
    }

    /// The entries that live, with their data centres.
    pub fn doors(&self) -> Vec<(&'static str, SocketAddr)> {
        let doors = self.entries.iter();
        doors
            .filter_map(|door| Some((door.centre, door.entry.as_ref()?.web())))
            .collect()
    }

    /// Waits until every entry that lives has `revision` in force.
    pub async fn wait_revision(&self, revision: Revision, limit: Duration) -> Settled {
        let live = || self.entries.iter().filter_map(|door| door.entry.as_ref());
        let all = live().count();
        let count = || live().filter(|entry| entry.revision() >= revision).count();
        wait(all, limit, count).await
    }

    /// Waits until `n` engines serve `version` whole, by their own word.
    pub async fn wait_live(&self, version: &str, n: usize, limit: Duration) -> Settled {
        wait(n, limit, || self.count_live(version)).await
    }

    /// Waits until `n` hosts hold every chunk of `version`, loaded or not.
    pub async fn wait_whole(&self, version: &str, n: usize, limit: Duration) -> Settled {
        let digest = self.versions.get(version);
        let whole = |runner: &&Runner| {
            let agent = runner.agent.as_ref();
            agent
                .zip(digest)
                .is_some_and(|(agent, digest)| agent.holds(digest))
        };
        wait(n, limit, || self.runners.iter().filter(whole).count()).await
    }

    /// Engines that hold exactly the bytes that were published as `version`.
    pub fn count_live(&self, version: &str) -> usize {
        let Some(content) = self
            .versions
            .get(version)
            .and_then(|digest| self.contents.get(digest))
        else {
            return 0;
        };
        let runners = self.runners.iter();
        runners
            .filter(|runner| runner.engine.loaded_weights() == Some(*content))
            .count()
    }

    /// How long after now the last new work came to a data centre that began
    /// with `runs`; none if some came later than `limit`.
    pub async fn wait_quiet(&self, centre: &str, runs: usize, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        let mut seen = runs;
        let mut last = Duration::ZERO;
        while start.elapsed() < limit + QUIET_TIME {
            let present = self.runs_in(centre);
            if present > seen {
                seen = present;
                last = start.elapsed();
            }
            sleep(POLL).await;
        }
        (last <= limit).then_some(last)
    }

    /// Stops every daemon gracefully; gives whether all work ended in time.
    pub async fn stop(mut self) -> bool {
        let mut whole = true;
        for door in &mut self.entries {
            if let Some(entry) = door.entry.take() {
                whole &= entry.stop().await;
            }
        }
        let runners = self
            .runners
            .iter_mut()
            .filter_map(|runner| runner.agent.take());
        let booths = self
            .booths
            .iter_mut()
            .filter_map(|booth| booth.agent.take());
        for agent in runners.chain(booths) {
            whole &= agent.stop().await;
        }
        whole
    }
}

fn read(text: &str) -> Result<Settings, DeploymentError> {
    Settings::parse(text, Path::new("local.toml")).map_err(wrap)
}

async fn wait<F>(wanted: usize, limit: Duration, count: F) -> Settled
where
    F: Fn() -> usize,
{
    let start = Instant::now();
    loop {
        let present = count();
        if present >= wanted {
            return Settled {
                time: Some(start.elapsed()),
                count: present,
            };
        }
        if start.elapsed() > limit {
            return Settled {
                time: None,
                count: present,
            };
        }
        sleep(POLL).await;
    }
}

/// Sets `in_service` below one table's head and leaves everything else as it is.
fn set_flag(text: &str, head: &str, serves: bool) -> String {
    let mut lines: Vec<String> = Vec::new();
    let mut inside = false;
    for line in text.lines() {
        if line.starts_with('[') {
            inside = line.trim() == head;
        }
        if inside && line.starts_with("in_service") {
            continue;
        }
        lines.push(line.to_owned());
        if inside && line.trim() == head {
            lines.push(format!("in_service = {serves}"));
        }
    }
    lines.join("\n") + "\n"
}
