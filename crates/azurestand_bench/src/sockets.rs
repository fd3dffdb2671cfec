//! One version on 30 real agents over loopback, beside the same in virtual time.
//!
//! The origin's link is limited by its stand-in; the hosts keep to their own and
//! to the regions' links by their pacing, which is what the run measures.

use std::time::Duration;

use azurestand_spread::Rate;
use azurestand_standin::{CentrePlan, Deployment, DeploymentError, Plan};
use serde::{Deserialize, Serialize};

use crate::spread::{Outcome, Setup, run};

const HOSTS: usize = 30;
const CHUNKS: usize = 256;
const CHUNK_BYTES: u32 = 128 * 1024;
/// The time in which the origin's link carries four copies and a host's link two.
const WINDOW: Duration = Duration::from_secs(40);
const CROSS: Rate = Rate(256 * 1024);
const FIRST_BYTES: usize = 64 * 1024;
const SETTLE_TIME: Duration = Duration::from_secs(5);
const LIMIT: Duration = Duration::from_mins(2);
const REGIONS: [&str; 3] = ["tov", "khentii", "arkhangai"];

/// A spread over real sockets and the same in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SocketsRow {
    /// Hosts that got the version.
    pub hosts: usize,
    /// The physical bound in seconds.
    pub bound: f64,
    /// Seconds until the last host held all of it.
    pub time: f64,
    /// Copies that the origin sent.
    pub origin: f64,
    /// Seconds in virtual time.
    pub virtual_time: f64,
    /// Copies that the origin sent in virtual time.
    pub virtual_origin: f64,
}

impl SocketsRow {
    /// Time over the bound, over real sockets.
    pub fn ratio(&self) -> f64 {
        self.time / self.bound
    }

    /// Time over the bound, in virtual time.
    pub fn virtual_ratio(&self) -> f64 {
        self.virtual_time / self.bound
    }
}

fn setup() -> Setup {
    Setup {
        hosts: HOSTS,
        chunks: CHUNKS,
        length: CHUNK_BYTES,
        window: WINDOW,
        cross: CROSS,
        ..Setup::default()
    }
}

fn plan(setup: &Setup) -> Plan {
    let links = setup.links();
    let centres = REGIONS.map(|name| CentrePlan {
        name,
        region: name,
        entries: 1,
        engines: HOSTS / REGIONS.len(),
        bookings: usize::from(name == REGIONS[0]),
        clerks: 0,
    });
    Plan {
        centres: centres.into(),
        origin: links.origin.0,
        limits: format!(
            "host_link = {}\nhost_share = 1.0\norigin_link = {}\norigin_share = 1.0\n\
             region_link = {}\nregion_share = 1.0\n",
            links.host.0, links.origin.0, links.cross.0
        ),
        ..Plan::winter_roads()
    }
}

/// Bytes that look random, so that no two chunks are the same.
fn weights() -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(30);
    let mut content = vec![0; CHUNKS * CHUNK_BYTES as usize];
    rng.fill(&mut content);
    content
}

/// Runs both and compares them.
///
/// # Errors
///
/// [`DeploymentError`] when the deployment can't be started.
pub async fn measure() -> Result<SocketsRow, DeploymentError> {
    let setup = setup();
    let content = weights();
    // Hosts that have just started know too little of each other; a burst meets
    // hosts that have run for a while, so a small version goes first.
    let mut deployment = Deployment::start(plan(&setup), &content[..FIRST_BYTES]).await?;
    deployment.wait_whole("v1", HOSTS, LIMIT).await;
    tokio::time::sleep(SETTLE_TIME).await;
    deployment.origin.forget_served();
    deployment.publish("v2", &content).await?;
    let start = tokio::time::Instant::now();
    deployment.want("v2").await?;
    let settled = deployment.wait_whole("v2", HOSTS, LIMIT).await;
    let time = start.elapsed();
    let served = deployment.origin.served().chunks;
    let Outcome {
        time: virtual_time,
        origin: virtual_origin,
        ..
    } = run(&setup);
    #[expect(clippy::cast_precision_loss)]
    let origin = served as f64 / content.len() as f64;
    Ok(SocketsRow {
        hosts: settled.count,
        bound: setup.bound().as_secs_f64(),
        time: time.as_secs_f64(),
        origin,
        virtual_time: virtual_time.as_secs_f64(),
        virtual_origin,
    })
}
