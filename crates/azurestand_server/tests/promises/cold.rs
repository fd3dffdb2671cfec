//! A target in cold start receives no more work than it can bear.

use std::time::Duration;

use azurestand_standin::{Deployment, Told};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::bench;

const TOKEN_TIME: Duration = Duration::from_millis(250);
/// Engines stop a run this long after its connection was closed.
const CANCEL_TIME: Duration = Duration::from_secs(1);
const CALLERS: usize = 12;
/// Tokens of an answer that takes 1 s.
const LONG: u32 = 5;
const SHORT: u32 = 1;
/// Ends while a long answer is under way.
const SHORT_DEADLINE_MILLIS: &str = "500";
const POLL: Duration = Duration::from_millis(5);

#[tokio::test(flavor = "multi_thread")]
async fn sixty_callers_meet_cold_targets_at_once() {
    let deployment = bench::start(1).await;
    let doors = deployment.doors();
    let calls = (0..60).map(|n| {
        let door = doors[n % doors.len()].1;
        let body = bench::prompt(&deployment, 20, n % 2 == 0);
        tokio::spawn(async move { bench::call(door, "/v1/chat/completions", &[], body).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut answered = 0;
    for call in calls {
        let told = call.await.unwrap();
        if bench::is_answered(&told) {
            bench::assert_whole(&told, 20);
            answered += 1;
        } else {
            assert!(told.says("not-run"), "{told:?}");
        }
    }
    assert!(answered > 0);
    assert_eq!(deployment.record().overloads, 0);
}

/// Starts a deployment whose engines answer slowly and stop cancelled runs late.
async fn start_slow() -> Deployment {
    let deployment = bench::start(1).await;
    for runner in &deployment.runners {
        runner.engine.set_token_time(TOKEN_TIME);
        runner.engine.set_cancel_time(CANCEL_TIME);
    }
    deployment
}

fn ask_at_once(
    deployment: &Deployment,
    tokens: u32,
    headers: &'static [(&str, &str)],
) -> Vec<JoinHandle<Told>> {
    let doors = deployment.doors();
    let calls = (0..CALLERS).map(|n| {
        let door = doors[n % doors.len()].1;
        let body = bench::prompt(deployment, tokens, n % 2 == 0);
        tokio::spawn(async move { bench::call(door, "/v1/chat/completions", headers, body).await })
    });
    calls.collect()
}

/// Requests that an engine has begun and not finished.
fn running(deployment: &Deployment) -> usize {
    let records = deployment
        .runners
        .iter()
        .map(|runner| runner.engine.record());
    let runs = records.flat_map(|record| record.runs);
    runs.filter(|run| run.finished.is_none()).count()
}

/// Waits for the answers: no engine was overloaded, and each request was answered whole
/// or refused.
async fn assert_no_overload(deployment: &Deployment, calls: Vec<JoinHandle<Told>>) {
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.unwrap());
    }
    assert_eq!(deployment.record().overloads, 0);
    let (answered, refused): (Vec<_>, Vec<_>) =
        told.iter().partition(|told| bench::is_answered(told));
    assert!(!answered.is_empty());
    for told in answered {
        bench::assert_whole(told, SHORT);
    }
    for told in refused {
        assert!(told.says("not-run"), "{told:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_cold_targets_cause_no_overload() {
    let deployment = start_slow().await;
    let leaving = ask_at_once(&deployment, LONG, &[]);
    let deadline = Instant::now() + bench::LIMIT;
    while running(&deployment) < deployment.plan.engines() {
        assert!(Instant::now() < deadline, "the engines run nothing");
        sleep(POLL).await;
    }
    let staying = ask_at_once(&deployment, SHORT, &[]);
    for call in leaving {
        call.abort();
    }
    assert_no_overload(&deployment, staying).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_miss_their_deadline_on_cold_targets_cause_no_overload() {
    let deployment = start_slow().await;
    let headers = &[("x-azurestand-deadline-ms", SHORT_DEADLINE_MILLIS)];
    let late = ask_at_once(&deployment, LONG, headers);
    for call in late {
        call.await.unwrap();
    }
    let on_time = ask_at_once(&deployment, SHORT, &[]);
    assert_no_overload(&deployment, on_time).await;
}
