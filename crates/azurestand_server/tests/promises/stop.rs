//! Every planned stop is a graceful shutdown: it cuts off no request.

use std::time::Duration;

use azurestand_standin::Deployment;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::bench::{self, assert_whole};

const TOKENS: u32 = 30;

/// Opens streams through every entry, slow enough to outlast a stop's beginning.
async fn open_streams(deployment: &Deployment) -> Vec<JoinHandle<azurestand_standin::Told>> {
    for runner in &deployment.runners {
        runner.engine.set_token_time(Duration::from_millis(60));
    }
    let doors = deployment.doors().into_iter();
    let open = doors.map(|(_, door)| {
        let body = bench::prompt(deployment, TOKENS, true);
        tokio::spawn(async move { bench::call(door, "/v1/chat/completions", &[], body).await })
    });
    let open = open.collect();
    sleep(Duration::from_millis(400)).await;
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn all_agents_stop_with_open_streams() {
    let mut deployment = bench::start(1).await;
    let open = open_streams(&deployment).await;
    let agents = deployment.runners.iter_mut();
    let agents = agents.filter_map(|runner| runner.agent.take());
    let stops: Vec<_> = agents.map(|agent| tokio::spawn(agent.stop())).collect();
    for answer in open {
        assert_whole(&answer.await.unwrap(), TOKENS);
    }
    for stop in stops {
        assert!(stop.await.unwrap(), "the stop cut something off");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_stop_with_open_streams() {
    let mut deployment = bench::start(1).await;
    let open = open_streams(&deployment).await;
    let entries = deployment.entries.iter_mut();
    let entries = entries.filter_map(|door| door.entry.take());
    let stops: Vec<_> = entries.map(|entry| tokio::spawn(entry.stop())).collect();
    for answer in open {
        assert_whole(&answer.await.unwrap(), TOKENS);
    }
    for stop in stops {
        assert!(stop.await.unwrap(), "the stop cut something off");
    }
}
