//! No answer is ever produced from partial or mixed weights.

use std::time::Duration;

use azurestand_standin::{Deployment, Traffic};
use tokio::time::{sleep, timeout};

use crate::bench::{self, LIMIT, weights};

#[tokio::test(flavor = "multi_thread")]
async fn chunks_come_corrupted_and_the_version_changes_in_mid_flight() {
    let mut deployment = bench::start(2).await;
    let n = deployment.plan.engines();
    deployment.publish("v2", &weights(2)).await.unwrap();
    deployment.publish("v3", &weights(3)).await.unwrap();
    let doors = deployment.doors().into_iter().map(|(_, door)| door);
    let pause = Duration::from_millis(20);
    let traffic = Traffic::start(&deployment.plan, doors.collect(), 12, pause);
    deployment.origin.corrupt_every(3);
    deployment.want("v2").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    deployment.want("v3").await.unwrap();
    let live = deployment.wait_live("v3", n, LIMIT).await;
    let tally = traffic.stop().await;
    assert_eq!(live.count, n);
    assert!(deployment.origin.served().corrupted > 0);
    let record = deployment.record();
    assert_eq!((record.mixed, record.partial, tally.mixed), (0, 0, 0));
    assert_eq!((tally.lost, tally.foreign), (0, 0));
}

/// The number of requests that have begun at any engine.
fn runs(deployment: &Deployment) -> usize {
    let records = deployment
        .runners
        .iter()
        .map(|runner| runner.engine.record());
    records.map(|record| record.runs.len()).sum()
}

/// Waits until `count` requests have begun: one that arrives while all targets drain is refused.
async fn wait_runs(deployment: &Deployment, count: usize) {
    let begun = async {
        while runs(deployment) < count {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, begun).await.expect("all requests begin");
}

/// An order for weights that were withdrawn while the target drained must not
/// be given, nor asked for again without a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_withdrawn_while_targets_drain_for_it() {
    let mut deployment = bench::start(1).await;
    let n = deployment.plan.engines();
    deployment.publish("v2", &weights(2)).await.unwrap();
    deployment.publish("v3", &weights(3)).await.unwrap();
    let slow = Duration::from_millis(200);
    for runner in &deployment.runners {
        runner.engine.set_token_time(slow);
    }
    let doors: Vec<_> = deployment
        .doors()
        .into_iter()
        .map(|(_, door)| door)
        .collect();
    let open = doors.iter().flat_map(|door| [*door; 2]).map(|door| {
        let body = bench::prompt(&deployment, 30, true);
        tokio::spawn(async move { bench::call(door, "/v1/chat/completions", &[], body).await })
    });
    let runs = runs(&deployment);
    let open: Vec<_> = open.collect();
    wait_runs(&deployment, runs + open.len()).await;
    deployment.want("v2").await.unwrap();
    // Staged everywhere and draining, for the open answers take longer than this.
    sleep(Duration::from_secs(3)).await;
    deployment.origin.set_stalled(true);
    deployment.want("v3").await.unwrap();
    for answer in open {
        bench::assert_whole(&answer.await.unwrap(), 30);
    }
    sleep(Duration::from_secs(1)).await;
    for door in doors {
        let told = bench::complete(&deployment, door, 2, false).await;
        bench::assert_whole(&told, 2);
    }
    deployment.origin.set_stalled(false);
    assert_eq!(deployment.wait_live("v3", n, LIMIT).await.count, n);
    assert_eq!(deployment.record().mixed, 0);
}
