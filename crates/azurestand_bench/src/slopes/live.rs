//! The real daemons on loopback: requests, tokens, bookings, edits and rollouts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use azurestand_config::Section;
use azurestand_standin::{Caller, Deployment, DeploymentError, Plan};
use bytes::Bytes;
use tokio::time::sleep;

use super::fit::{Point, Slope};
use super::usage::{processor_micros, resident_kb};

const WEIGHTS: &[u8] = b"small weights that take no time to spread";
const NEXT_WEIGHTS: &[u8] = b"other weights that take no time to spread";
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
const CALLERS: u32 = 8;
/// How often a refused call is repeated while its target warms up.
const TRIES: u32 = 200;

/// A kind of call, with a body that may differ by its number.
struct Kind {
    path: String,
    tokens: u32,
    keyed: bool,
}

impl Kind {
    fn new(path: &str, tokens: u32, keyed: bool) -> Self {
        Self {
            path: path.to_owned(),
            tokens,
            keyed,
        }
    }
}

/// Processor time and store writes of so many calls.
struct Cost {
    micros: f64,
    writes: f64,
    good: u32,
}

struct Ways {
    key: String,
    model: String,
    idle: f64,
    idle_writes: f64,
    run: u32,
}

/// What one more call and one more token cost beyond straight calls.
pub(super) async fn requests(short: bool) -> Result<Vec<Slope>, DeploymentError> {
    let mut plan = Plan::small(1);
    plan.centres.truncate(1);
    let mut deployment = Deployment::start(plan, WEIGHTS).await?;
    let widen = |text: &str| text.replace("= 400", "= 100000");
    let revision = deployment.edit(Section::Accounts, widen).await?;
    deployment.wait_revision(revision, SETTLE_LIMIT).await;
    deployment.wait_live("v1", 1, SETTLE_LIMIT).await;
    let mut ways = Ways::new(&deployment).await;
    let slopes = ways.measure(&deployment, short).await;
    deployment.stop().await;
    Ok(slopes)
}

impl Ways {
    async fn new(deployment: &Deployment) -> Self {
        sleep(Duration::from_secs(1)).await;
        let (time, start) = (processor_micros(), Instant::now());
        let writes = deployment.store.calls().writes;
        sleep(Duration::from_secs(3)).await;
        let seconds = start.elapsed().as_secs_f64();
        let idle = (processor_micros() - time) / seconds;
        let idle_writes = count(deployment.store.calls().writes - writes) / seconds;
        Self {
            key: deployment.plan.account_key(0),
            model: deployment.plan.model.to_owned(),
            idle,
            idle_writes,
            run: 0,
        }
    }

    async fn measure(&mut self, deployment: &Deployment, short: bool) -> Vec<Slope> {
        let doors = deployment.doors().into_iter().map(|(_, door)| door);
        let through = Caller::new(doors.collect());
        let service = |kind: &str| -> Vec<SocketAddr> {
            let booths = deployment.booths.iter().filter(|booth| booth.kind == kind);
            booths.map(|booth| booth.service.address()).collect()
        };
        let clerk = Caller::new(service(deployment.plan.clerk));
        let engines = deployment.runners.iter().map(|r| r.engine.address());
        let engines = Caller::new(engines.collect());
        let look = Kind::new(
            &format!("/services/{}/look", deployment.plan.clerk),
            0,
            false,
        );
        let book = Kind::new(
            &format!("/services/{}/book", deployment.plan.booking),
            0,
            true,
        );
        let stream = Kind::new("/v1/completions", 8, false);
        for kind in [&look, &book, &stream] {
            self.run(deployment, &through, kind, 24).await;
        }
        let scale = if short { 1 } else { 4 };
        let mut plain = Vec::new();
        for count in [200, 400, 600, 800].map(|count| count * scale) {
            let direct = self.run(deployment, &clerk, &look, count).await;
            let own = self.run(deployment, &through, &look, count).await;
            plain.push(own.beyond(&direct));
        }
        let mut later = Vec::new();
        let mut made = 0;
        for _ in 0..5 {
            let own = self.run(deployment, &through, &look, 400 * scale).await;
            made += own.good;
            let y = own.micros / f64::from(own.good.max(1));
            later.push(Point {
                x: f64::from(made) / 1_000.0,
                y,
            });
        }
        let (mut keyed, mut writes) = (Vec::new(), Vec::new());
        for count in [16, 32, 48, 64].map(|count| count * scale) {
            let own = self.run(deployment, &through, &book, count).await;
            let x = f64::from(own.good);
            keyed.push(Point { x, y: own.micros });
            writes.push(Point { x, y: own.writes });
        }
        let mut tokens = Vec::new();
        let answers = 32 * scale;
        for length in [64, 128, 192, 256] {
            let kind = Kind::new("/v1/completions", length, false);
            let direct = self.run(deployment, &engines, &kind, answers).await;
            let own = self.run(deployment, &through, &kind, answers).await;
            let more = own.beyond(&direct);
            tokens.push(Point {
                x: f64::from(length * own.good),
                y: more.y,
            });
        }
        vec![
            Slope::fit("call through entry and agent", "us CPU", "call", plain),
            Slope::fit(
                "cost of a call, callers and stand-ins too",
                "us CPU",
                "thousand calls made",
                later,
            ),
            Slope::fit(
                "booking, callers and stand-ins too",
                "us CPU",
                "booking",
                keyed,
            ),
            Slope::fit("store writes of bookings", "writes", "booking", writes),
            Slope::fit("token through entry and agent", "us CPU", "token", tokens),
        ]
    }

    /// Makes `count` calls, a few at once, and takes off what idle daemons cost meanwhile.
    async fn run(
        &mut self,
        deployment: &Deployment,
        caller: &Caller,
        kind: &Kind,
        calls: u32,
    ) -> Cost {
        self.run += 1;
        let (before, start) = (processor_micros(), Instant::now());
        let writes = deployment.store.calls().writes;
        let share = calls / CALLERS;
        let workers = (0..CALLERS).map(|worker| self.calls(caller, kind, worker, share));
        let workers: Vec<u32> = futures_util::future::join_all(workers).await;
        let seconds = start.elapsed().as_secs_f64();
        let wrote = deployment.store.calls().writes - writes;
        Cost {
            micros: processor_micros() - before - self.idle * seconds,
            writes: count(wrote) - self.idle_writes * seconds,
            good: workers.into_iter().sum(),
        }
    }

    async fn calls(&self, caller: &Caller, kind: &Kind, worker: u32, count: u32) -> u32 {
        let mut good = 0;
        for n in 0..count {
            let name = format!("{}-{worker}-{n}", self.run);
            good += u32::from(self.call(caller, kind, &name).await);
        }
        good
    }

    async fn call(&self, caller: &Caller, kind: &Kind, name: &str) -> bool {
        let body = if kind.tokens == 0 {
            serde_json::json!({ "slot": name })
        } else {
            let (model, tokens) = (&self.model, kind.tokens);
            serde_json::json!({ "model": model, "stream": true, "max_tokens": tokens, "prompt": name })
        };
        let body = Bytes::from(body.to_string());
        let headers = [("idempotency-key", name)];
        let headers = if kind.keyed { &headers[..] } else { &[] };
        for _ in 0..TRIES {
            let told = caller
                .call(&self.key, &kind.path, headers, body.clone())
                .await;
            if told.is_some_and(|told| told.whole && told.status.is_success()) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

fn count(calls: u64) -> f64 {
    f64::from(u32::try_from(calls).unwrap_or(u32::MAX))
}

impl Cost {
    fn beyond(&self, direct: &Self) -> Point {
        Point {
            x: f64::from(self.good),
            y: self.micros - direct.micros,
        }
    }
}

/// Idle daemons, edits and rollouts over deployments of growing size in three data centres.
pub(super) async fn fleets(short: bool) -> Result<Vec<Slope>, DeploymentError> {
    let mut rows = Fleets::default();
    for engines in 1..=4 {
        rows.measure(engines, short).await?;
    }
    Ok(vec![
        Slope::fit("idle daemons, a second", "us CPU", "daemon", rows.cpu),
        Slope::fit(
            "memory of daemons and stand-ins",
            "KiB",
            "daemon",
            rows.memory,
        ),
        Slope::fit(
            "store reads of idle daemons, a second",
            "reads",
            "daemon",
            rows.reads,
        ),
        Slope::fit(
            "store writes of idle daemons, a second",
            "writes",
            "daemon",
            rows.writes,
        ),
        Slope::fit(
            "store reads of a change",
            "reads",
            "daemon",
            rows.edit_reads,
        ),
        Slope::fit(
            "store writes of a rollout",
            "writes",
            "runner",
            rows.rollout,
        ),
        Slope::fit(
            "seconds of a rollout",
            "s",
            "runner a data centre",
            rows.seconds,
        ),
    ])
}

#[derive(Default)]
struct Fleets {
    cpu: Vec<Point>,
    memory: Vec<Point>,
    reads: Vec<Point>,
    writes: Vec<Point>,
    edit_reads: Vec<Point>,
    rollout: Vec<Point>,
    seconds: Vec<Point>,
}

impl Fleets {
    async fn measure(&mut self, engines: u32, short: bool) -> Result<(), DeploymentError> {
        let plan = Plan::small(engines as usize);
        let runners = plan.engines();
        let resident = resident_kb();
        let mut deployment = Deployment::start(plan, WEIGHTS).await?;
        let daemons = deployment.entries.len() + runners + deployment.booths.len();
        let daemons = count(daemons as u64);
        deployment.wait_live("v1", runners, SETTLE_LIMIT).await;
        sleep(Duration::from_secs(1)).await;
        deployment.store.forget_calls();
        let (time, start) = (processor_micros(), Instant::now());
        sleep(Duration::from_secs(if short { 2 } else { 5 })).await;
        let seconds = start.elapsed().as_secs_f64();
        let calls = deployment.store.calls();
        let point = |y: f64| Point { x: daemons, y };
        self.cpu.push(point((processor_micros() - time) / seconds));
        self.memory.push(point(resident_kb() - resident));
        let reads = count(calls.reads) / seconds;
        let writes = count(calls.writes) / seconds;
        self.reads.push(point(reads));
        self.writes.push(point(writes));

        deployment.store.forget_calls();
        let start = Instant::now();
        let revision = deployment
            .edit(Section::Limits, |text| text.replace("= 8", "= 9"))
            .await?;
        deployment.wait_revision(revision, SETTLE_LIMIT).await;
        sleep(Duration::from_millis(500)).await;
        let idle = reads * start.elapsed().as_secs_f64();
        self.edit_reads
            .push(point(count(deployment.store.calls().reads) - idle));

        if !short {
            self.roll_out(&mut deployment, engines, writes).await?;
        }
        deployment.stop().await;
        Ok(())
    }

    async fn roll_out(
        &mut self,
        deployment: &mut Deployment,
        engines: u32,
        idle: f64,
    ) -> Result<(), DeploymentError> {
        let runners = deployment.plan.engines();
        deployment.publish("v2", NEXT_WEIGHTS).await?;
        deployment.store.forget_calls();
        let start = Instant::now();
        deployment.want("v2").await?;
        deployment.wait_live("v2", runners, SETTLE_LIMIT).await;
        let seconds = start.elapsed().as_secs_f64();
        let wrote = count(deployment.store.calls().writes) - idle * seconds;
        self.rollout.push(Point {
            x: count(runners as u64),
            y: wrote,
        });
        self.seconds.push(Point {
            x: f64::from(engines),
            y: seconds,
        });
        Ok(())
    }
}
