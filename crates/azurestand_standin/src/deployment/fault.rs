//! Kills hosts of a deployment and brings them back with nothing.

use azurestand_server::{Agent, Entry};

use super::record::Retired;
use super::settings::{AgentTarget, agent_settings, entry_settings};
use super::{Deployment, DeploymentError, read, wrap};
use crate::{CentrePlan, Engine, EngineOptions};

/// Keeps the seed of an engine's next life apart from those of other engines.
const SEED_STEP: u64 = 1_000;

impl Deployment {
    /// Kills the agent of a runner as a crash of its host would, engine and all.
    pub fn kill_runner(&mut self, n: usize) {
        let runner = &mut self.runners[n];
        runner.engine.die();
        if let Some(agent) = runner.agent.take() {
            agent.kill();
        }
    }

    /// Starts a killed runner again, with nothing, under its old name.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when a port can't be bound.
    pub async fn revive_runner(&mut self, n: usize) -> Result<(), DeploymentError> {
        let runner = &self.runners[n];
        let (name, seed) = (runner.name.clone(), runner.seed + SEED_STEP);
        let planned = self.planned(runner.centre)?;
        let engine = Engine::start(EngineOptions::default(), seed)
            .await
            .map_err(wrap)?;
        let place = self.place(&name, &planned);
        let target = AgentTarget::engine(&name, self.plan.model, engine.address());
        let agent = Agent::start(read(&agent_settings(&place, &target))?)
            .await
            .map_err(wrap)?;
        let runner = &mut self.runners[n];
        let old = std::mem::replace(&mut runner.engine, engine);
        self.retired.push(Retired {
            centre: runner.centre,
            record: old.record(),
            crashes: runner.crashes,
        });
        runner.agent = Some(agent);
        runner.seed = seed;
        runner.crashes = 0;
        Ok(())
    }

    /// Turns a runner's engine cold without warning; its open answers break off.
    pub fn crash_engine(&mut self, n: usize) {
        let runner = &mut self.runners[n];
        runner.crashes += 1;
        runner.engine.crash();
    }

    /// Kills the host of a plain service. What the service ran stays run.
    pub fn kill_booth(&mut self, n: usize) {
        let booth = &mut self.booths[n];
        booth.service.die();
        if let Some(agent) = booth.agent.take() {
            agent.kill();
        }
    }

    /// Starts a killed service host again; its agent remembers nothing.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when a port can't be bound.
    pub async fn revive_booth(&mut self, n: usize) -> Result<(), DeploymentError> {
        let booth = &self.booths[n];
        booth.service.revive();
        let planned = self.planned(booth.centre)?;
        let place = self.place(&booth.name, &planned);
        let target = AgentTarget::service(&booth.name, booth.kind, booth.service.address());
        let agent = Agent::start(read(&agent_settings(&place, &target))?)
            .await
            .map_err(wrap)?;
        self.booths[n].agent = Some(agent);
        Ok(())
    }

    /// Kills an entry as a crash of its host would.
    pub fn kill_entry(&mut self, n: usize) {
        if let Some(entry) = self.entries[n].entry.take() {
            entry.kill();
        }
    }

    /// Starts an entry in the place of a killed one, under its name and at another address.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when a port can't be bound.
    pub async fn replace_entry(&mut self, n: usize) -> Result<(), DeploymentError> {
        let door = &self.entries[n];
        let planned = self.planned(door.centre)?;
        let place = self.place(&door.host, &planned);
        let entry = Entry::start(read(&entry_settings(&place))?)
            .await
            .map_err(wrap)?;
        self.entries[n].entry = Some(entry);
        Ok(())
    }

    fn planned(&self, centre: &str) -> Result<CentrePlan, DeploymentError> {
        let mut centres = self.plan.centres.iter();
        let planned = centres.find(|planned| planned.name == centre);
        let missing = || DeploymentError(format!("data centre {centre} is in no plan"));
        planned.cloned().ok_or_else(missing)
    }
}
