//! Lets a plan of faults loose on a deployment and watches it meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use azurestand_types::Revision;
use tokio::time::{Instant, sleep, timeout};

use super::{Fault, FaultPlan};
use crate::{Deployment, DeploymentError, Settled, Traffic};

const TICK: Duration = Duration::from_millis(10);
/// An operator whose edit got no word for this long tries again.
const EDIT_LIMIT: Duration = Duration::from_secs(2);

/// What was seen while the faults went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Driven {
    /// Runs that began in the moving data centre though it had been out long enough.
    pub late_work: usize,
    /// Times that an entry's revision was lower than it had been.
    pub reverts: usize,
    /// Engines with the version wanted last, after everything was mended.
    pub live: Settled,
    /// Entries with the newest document, after everything was mended.
    pub current: Settled,
}

/// How long things may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// From an edit's acceptance to no new work in a data centre taken out.
    pub quiet: Duration,
    /// From the last fault's end to the whole deployment in order again.
    pub settle: Duration,
}

/// Goes through the faults of `plan` in time, then waits until all is in order.
///
/// # Errors
///
/// [`DeploymentError`] when a host can't be started again.
pub async fn drive(
    deployment: &mut Deployment,
    traffic: &Traffic,
    plan: &FaultPlan,
    weights: &[u8],
    limits: Limits,
) -> Result<Driven, DeploymentError> {
    for n in 0..plan.versions() {
        let version = version(n + 1);
        deployment.publish(&version, &altered(weights, n)).await?;
    }
    let mut driver = Driver::new(deployment, traffic, limits);
    let start = Instant::now();
    let mut events = plan.events.iter().peekable();
    while events.peek().is_some() || !driver.edits.is_empty() {
        while let Some(event) = events.next_if(|event| event.at <= start.elapsed()) {
            driver.apply(event.fault).await?;
        }
        driver.edit().await;
        driver.watch();
        sleep(TICK).await;
    }
    Ok(driver.settle().await)
}

fn version(n: usize) -> String {
    format!("v{}", n + 1)
}

/// Other weights of the same length, of which half the chunks are shared.
fn altered(weights: &[u8], n: usize) -> Vec<u8> {
    let mut altered = weights.to_vec();
    let half = altered.len() / 2;
    let mark = u8::try_from(n + 1).unwrap_or(u8::MAX);
    for byte in altered[half..].iter_mut().step_by(997) {
        *byte ^= mark;
    }
    altered
}

/// An edit that an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Wish {
    Version(String),
    Service(bool),
}

/// A data centre that is out.
#[derive(Debug, Clone, Copy)]
struct Out {
    /// When its targets must be quiet.
    due: Instant,
    /// Runs there at that moment.
    runs: Option<usize>,
}

struct Driver<'a> {
    deployment: &'a mut Deployment,
    traffic: &'a Traffic,
    limits: Limits,
    edits: VecDeque<Wish>,
    wanted: usize,
    revision: Revision,
    /// The highest revision seen at each entry in its present life.
    seen: Vec<Revision>,
    down: bool,
    out: Option<Out>,
    late_work: usize,
    reverts: usize,
}

impl<'a> Driver<'a> {
    fn new(deployment: &'a mut Deployment, traffic: &'a Traffic, limits: Limits) -> Self {
        let seen = vec![Revision(0); deployment.entries.len()];
        Self {
            deployment,
            traffic,
            limits,
            edits: VecDeque::new(),
            wanted: 0,
            revision: Revision(0),
            seen,
            down: false,
            out: None,
            late_work: 0,
            reverts: 0,
        }
    }

    async fn apply(&mut self, fault: Fault) -> Result<(), DeploymentError> {
        let deployment = &mut *self.deployment;
        match fault {
            Fault::RunnerDies(n) => deployment.kill_runner(n),
            Fault::RunnerReturns(n) => deployment.revive_runner(n).await?,
            Fault::BoothDies(n) => deployment.kill_booth(n),
            Fault::BoothReturns(n) => deployment.revive_booth(n).await?,
            Fault::EntryDies(n) => self.kill_entry(n),
            Fault::EntryReturns(n) => self.replace_entry(n).await?,
            Fault::EngineHangs(n) => deployment.runners[n].engine.hang(),
            Fault::EngineCrashes(n) => deployment.crash_engine(n),
            Fault::ServiceHangs(n) => deployment.booths[n].service.hang(),
            Fault::ServiceFails(n) => {
                let service = &deployment.booths[n].service;
                service.fail_after_run(Fault::failed_calls());
            }
            Fault::OriginStalls(stalled) => deployment.origin.set_stalled(stalled),
            Fault::Corruption(begins) => {
                let every = if begins { Fault::corrupt_every() } else { 0 };
                deployment.origin.corrupt_every(every);
            }
            Fault::StoreDown(down) => self.set_store_down(down),
            Fault::StoreSlow(slow) => {
                let slow = if slow {
                    Fault::store_delay()
                } else {
                    Duration::ZERO
                };
                deployment.store.set_delay(slow);
            }
            Fault::StoreHangs => deployment.store.hang(),
            Fault::StoreLoses => deployment.store.lose(Fault::losses()),
            Fault::VersionChanges => {
                self.wanted += 1;
                self.edits.push_back(Wish::Version(version(self.wanted)));
            }
            Fault::CentreOut => self.edits.push_back(Wish::Service(false)),
            Fault::CentreIn => self.edits.push_back(Wish::Service(true)),
        }
        Ok(())
    }

    fn kill_entry(&mut self, n: usize) {
        let entry = self.deployment.entries[n].entry.as_ref();
        if let Some(entry) = entry {
            // Noted first, so that no caller meets a death that nobody noted.
            self.traffic.note_killed(entry.web());
        }
        self.deployment.kill_entry(n);
        self.seen[n] = Revision(0);
        self.balance();
    }

    async fn replace_entry(&mut self, n: usize) -> Result<(), DeploymentError> {
        self.deployment.replace_entry(n).await?;
        self.balance();
        Ok(())
    }

    /// Tells the balancer which entries live.
    fn balance(&self) {
        let doors = self.deployment.doors().into_iter();
        self.traffic
            .set_doors(doors.map(|(_, door)| door).collect());
    }

    fn set_store_down(&mut self, down: bool) {
        self.deployment.store.set_down(down);
        self.down = down;
        // Nobody may have read the edit before the store was gone.
        if let Some(out) = &mut self.out
            && out.runs.is_none()
        {
            out.due = Instant::now() + self.limits.quiet;
        }
    }

    /// Tries the next edit once, as an operator at a terminal would.
    async fn edit(&mut self) {
        if self.down {
            return;
        }
        let Some(wish) = self.edits.front().cloned() else {
            return;
        };
        let moving = self.deployment.plan.moving;
        if wish == Wish::Service(true) {
            self.end_quiet();
        }
        let accepted = match &wish {
            Wish::Version(version) => timeout(EDIT_LIMIT, self.deployment.want(version)).await,
            Wish::Service(serves) => {
                timeout(EDIT_LIMIT, self.deployment.set_service(moving, *serves)).await
            }
        };
        let Ok(Ok(revision)) = accepted else {
            return;
        };
        self.revision = self.revision.max(revision);
        self.edits.pop_front();
        if wish == Wish::Service(false) {
            self.out = Some(Out {
                due: Instant::now() + self.limits.quiet,
                runs: None,
            });
        }
    }

    fn watch(&mut self) {
        for (door, seen) in self.deployment.entries.iter().zip(&mut self.seen) {
            let Some(entry) = &door.entry else {
                continue;
            };
            let revision = entry.revision();
            self.reverts += usize::from(revision < *seen);
            *seen = revision.max(*seen);
        }
        let moving = self.deployment.plan.moving;
        if let Some(out) = &mut self.out
            && !self.down
            && out.runs.is_none()
            && Instant::now() >= out.due
        {
            out.runs = Some(self.deployment.runs_in(moving));
        }
    }

    fn end_quiet(&mut self) {
        let runs = self.deployment.runs_in(self.deployment.plan.moving);
        let before = self.out.take().and_then(|out| out.runs);
        self.late_work += before.map_or(0, |before| runs - before);
    }

    async fn settle(mut self) -> Driven {
        let wanted = version(self.wanted);
        let n = self.deployment.plan.engines();
        let live = self.deployment.wait_live(&wanted, n, self.limits.settle);
        let live = live.await;
        let current = self
            .deployment
            .wait_revision(self.revision, self.limits.settle);
        let current = current.await;
        self.watch();
        Driven {
            late_work: self.late_work,
            reverts: self.reverts,
            live,
            current,
        }
    }
}
