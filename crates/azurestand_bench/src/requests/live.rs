//! The real daemons on loopback, beside straight calls in the same run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use azurestand_config::Section;
use azurestand_standin::{Caller, Deployment, DeploymentError, Plan, Traffic};
use bytes::Bytes;
use tokio::time::sleep;

use super::{LatencyRow, LeaveRow, RateRow, Report};

const WEIGHTS: &[u8] = b"small weights that take no time to spread";
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
const RATE_CALLERS: usize = 32;

/// Why the daemons could not be measured.
pub type LiveError = DeploymentError;

/// Measures latency, rate and a data centre that leaves, in under half a minute.
///
/// # Errors
///
/// [`LiveError`] when a deployment can't be started or edited on loopback.
pub async fn live(short: bool) -> Result<Report, LiveError> {
    let (calls, span) = if short {
        (500, Duration::from_millis(500))
    } else {
        (3_000, Duration::from_secs(2))
    };
    let mut report = Report::default();
    let deployment = start_alone().await?;
    let ways = Ways::new(&deployment);
    ways.warm().await;
    report.latencies.push(ways.latency(calls).await);
    report.rates.push(ways.rate(span).await);
    deployment.stop().await;
    report.leaves.push(leave(short).await?);
    Ok(report)
}

/// One data centre with one entry and one plain service, whose accounts aren't limited.
async fn start_alone() -> Result<Deployment, LiveError> {
    let mut plan = Plan::small(0);
    plan.centres.truncate(1);
    let mut deployment = Deployment::start(plan, WEIGHTS).await?;
    let widen = |text: &str| text.replace("= 400", "= 100000");
    let revision = deployment.edit(Section::Accounts, widen).await?;
    deployment.wait_revision(revision, SETTLE_LIMIT).await;
    // The service bears far more than an engine, and its slots aren't what is measured.
    let widen = |text: &str| text.replace("warm_slots = 8", "warm_slots = 64");
    let revision = deployment.edit(Section::Limits, widen).await?;
    deployment.wait_revision(revision, SETTLE_LIMIT).await;
    Ok(deployment)
}

/// The same call by two ways.
struct Ways {
    direct: Caller,
    through: Caller,
    key: String,
    path: String,
}

impl Ways {
    fn new(deployment: &Deployment) -> Self {
        let plan = &deployment.plan;
        let booths = deployment.booths.iter();
        let clerks = booths.filter(|booth| booth.kind == plan.clerk);
        let services: Vec<SocketAddr> = clerks.map(|booth| booth.service.address()).collect();
        let doors = deployment.doors().into_iter().map(|(_, door)| door);
        Self {
            direct: Caller::new(services),
            through: Caller::new(doors.collect()),
            key: plan.account_key(0),
            path: format!("/services/{}/look", plan.clerk),
        }
    }

    /// Calls until the target is warm: it bears more with each answer.
    async fn warm(&self) {
        let until = Instant::now() + SETTLE_LIMIT;
        let mut good = 0;
        while good < 200 && Instant::now() < until {
            if self.call(&self.through).await {
                good += 1;
            } else {
                sleep(Duration::from_millis(20)).await;
            }
        }
        for _ in 0..200 {
            self.call(&self.direct).await;
        }
    }

    async fn call(&self, caller: &Caller) -> bool {
        let body = Bytes::from_static(b"{\"slot\":\"any\"}");
        let told = caller.call(&self.key, &self.path, &[], body).await;
        told.is_some_and(|told| told.status.is_success())
    }

    /// Calls by both ways in turn, so that both meet the same machine.
    async fn latency(&self, calls: usize) -> LatencyRow {
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        for _ in 0..calls {
            direct.extend(self.time(&self.direct).await);
            through.extend(self.time(&self.through).await);
        }
        direct.sort();
        through.sort();
        LatencyRow {
            callers: 1,
            calls: through.len(),
            direct_p50_ms: percentile(&direct, 50),
            through_p50_ms: percentile(&through, 50),
            direct_p99_ms: percentile(&direct, 99),
            through_p99_ms: percentile(&through, 99),
        }
    }

    async fn time(&self, caller: &Caller) -> Option<Duration> {
        let start = Instant::now();
        let good = self.call(caller).await;
        good.then(|| start.elapsed())
    }

    async fn rate(&self, span: Duration) -> RateRow {
        RateRow {
            callers: RATE_CALLERS,
            direct: self.count(&self.direct, span).await,
            through: self.count(&self.through, span).await,
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    async fn count(&self, caller: &Caller, span: Duration) -> f64 {
        let start = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..RATE_CALLERS {
            let (caller, key, path) = (caller.clone(), self.key.clone(), self.path.clone());
            tasks.spawn(async move {
                let body = Bytes::from_static(b"{\"slot\":\"any\"}");
                let mut good = 0_u64;
                while start.elapsed() < span {
                    let told = caller.call(&key, &path, &[], body.clone()).await;
                    good += u64::from(told.is_some_and(|told| told.status.is_success()));
                }
                good
            });
        }
        let good: u64 = tasks.join_all().await.into_iter().sum();
        good as f64 / start.elapsed().as_secs_f64()
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let place = sorted.len() * percent / 100;
    let found = sorted.get(place).copied().unwrap_or_default();
    found.as_secs_f64() * 1_000.0
}

/// One of three data centres is taken out and brought back under traffic.
async fn leave(short: bool) -> Result<LeaveRow, LiveError> {
    let span = Duration::from_secs(if short { 1 } else { 3 });
    let plan = Plan::small(1);
    let engines = plan.engines();
    let moving = plan.moving;
    let mut deployment = Deployment::start(plan, WEIGHTS).await?;
    deployment.wait_live("v1", engines, SETTLE_LIMIT).await;
    let doors = deployment.doors().into_iter().map(|(_, door)| door);
    let pause = Duration::from_millis(20);
    let traffic = Traffic::start(&deployment.plan, doors.collect(), 8, pause);
    sleep(span).await;
    traffic.forget_gap();
    deployment.set_service(moving, false).await?;
    sleep(span).await;
    deployment.set_service(moving, true).await?;
    sleep(span).await;
    let tally = traffic.stop().await;
    deployment.stop().await;
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    let answered = tally.answered as f64 / tally.sent.max(1) as f64;
    Ok(LeaveRow {
        sent: tally.sent,
        answered,
        lost: tally.lost,
        gap_ms: tally.gap,
    })
}
