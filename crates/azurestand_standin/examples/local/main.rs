//! Runs one of the users' deployments on loopback in one process.
//!
//! `cargo run --release -p azurestand_standin --example local -- FILE`

mod options;
mod table;

use std::process::ExitCode;
use std::time::Duration;

use azurestand_standin::{Deployment, DeploymentError, FaultPlan, Limits, Traffic, drive};

use options::Options;
use table::Table;

const START_LIMIT: Duration = Duration::from_mins(1);
const LIVE_LIMIT: Duration = Duration::from_mins(2);
const FORCE_LIMIT: Duration = Duration::from_secs(4);
const CALLERS: usize = 40;
const CALLER_PAUSE: Duration = Duration::from_millis(40);
const FAULT_LENGTH: Duration = Duration::from_secs(20);
const QUIET_LIMIT: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let options = match Options::parse() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if std::env::var_os("AZURESTAND_LOCAL_LOG").is_some() {
        azurestand_server::start_logs(azurestand_server::settings::LogFormat::Text);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(options)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Goes through the whole programme; gives whether every promise held.
async fn run(options: Options) -> Result<bool, DeploymentError> {
    let plan = options.plan.clone();
    let mut table = Table::new(&plan, options.weights.len());
    let mut deployment = Deployment::start(plan.clone(), &options.weights).await?;
    let n = plan.engines();
    step("the first version spreads");
    let live = deployment.wait_live("v1", n, START_LIMIT).await;
    table.live("v1", n, live, &deployment);
    let doors = deployment
        .doors()
        .into_iter()
        .map(|(_, door)| door)
        .collect();
    let traffic = Traffic::start(&plan, doors, CALLERS, CALLER_PAUSE);
    tokio::time::sleep(STEP).await;
    match options.faults {
        Some(seed) => {
            disturb(
                &mut deployment,
                &traffic,
                &mut table,
                seed,
                &options.weights,
            )
            .await?;
        }
        None => go_through(&mut deployment, &traffic, &mut table, &options).await?,
    }
    step("everything stops");
    let tally = traffic.stop().await;
    let record = deployment.record();
    let whole = deployment.stop().await;
    table.requests(&tally, &record, whole);
    Ok(table.print())
}

/// Lets faults from a seed loose.
async fn disturb(
    deployment: &mut Deployment,
    traffic: &Traffic,
    table: &mut Table,
    seed: u64,
    weights: &[u8],
) -> Result<(), DeploymentError> {
    step("faults are let loose");
    let faults = FaultPlan::draw(seed, &deployment.plan, FAULT_LENGTH);
    for event in &faults.events {
        eprintln!("  at {:>5.2} s: {:?}", event.at.as_secs_f64(), event.fault);
    }
    let limits = Limits {
        quiet: QUIET_LIMIT,
        settle: LIVE_LIMIT,
    };
    let driven = drive(deployment, traffic, &faults, weights, limits).await?;
    tokio::time::sleep(STEP).await;
    table.faults(deployment, &driven);
    Ok(())
}

/// A data centre goes out and comes back, and the version changes twice.
async fn go_through(
    deployment: &mut Deployment,
    traffic: &Traffic,
    table: &mut Table,
    options: &Options,
) -> Result<(), DeploymentError> {
    let plan = deployment.plan.clone();
    let n = plan.engines();
    step("a data centre is taken out");
    let runs = deployment.runs_in(plan.moving);
    let revision = deployment.set_service(plan.moving, false).await?;
    let force = deployment.wait_revision(revision, FORCE_LIMIT).await;
    table.in_force("out", force);
    table.quiet(
        deployment
            .wait_quiet(plan.moving, runs, Duration::from_secs(2))
            .await,
    );
    traffic.forget_gap();
    tokio::time::sleep(STEP).await;
    let revision = deployment.set_service(plan.moving, true).await?;
    let force = deployment.wait_revision(revision, FORCE_LIMIT).await;
    table.in_force("back", force);
    tokio::time::sleep(STEP).await;
    table.gap(traffic.tally().gap);

    step("the version changes in mid-flight");
    deployment.origin.forget_served();
    let second = altered(&options.weights, 2);
    let third = altered(&options.weights, 3);
    deployment.publish("v2", &second).await?;
    deployment.publish("v3", &third).await?;
    deployment.want("v2").await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    deployment.want("v3").await?;
    let live = deployment.wait_live("v3", n, LIVE_LIMIT).await;
    table.live("v3", n, live, deployment);
    tokio::time::sleep(STEP).await;

    if options.hold {
        hold(deployment).await;
    }
    Ok(())
}

fn step(text: &str) {
    eprintln!("… {text}");
}

/// Other weights of the same length, of which half the chunks are shared.
fn altered(weights: &[u8], mark: u8) -> Vec<u8> {
    let mut altered = weights.to_vec();
    let half = altered.len() / 2;
    for byte in altered[half..].iter_mut().step_by(997) {
        *byte ^= mark;
    }
    altered
}

/// Keeps the deployment up and prints how to use it.
async fn hold(deployment: &Deployment) {
    let store = deployment.store.address();
    let (_, door) = deployment.doors()[0];
    let plan = &deployment.plan;
    println!("\nThe deployment stays up; stop it with Ctrl-C. Try, in another terminal:\n");
    println!("  curl -N http://{door}/v1/chat/completions -H 'authorization: Bearer key-9' \\");
    println!(
        "    -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        plan.model
    );
    println!(
        "  curl http://{door}/services/{}/book -H 'authorization: Bearer key-9' \\",
        plan.booking
    );
    println!("    -H 'idempotency-key: one' -d '{{\"slot\":1}}'");
    println!("  export AZURESTAND_STORE={store} AZURESTAND_ENTRY=http://{door}");
    println!("  export AZURESTAND_AUTHOR=operator");
    println!("  cargo run --release -p azurestand -- status");
    println!(
        "  cargo run --release -p azurestand -- dc out {} --wait",
        plan.moving
    );
    println!("  cargo run --release -p azurestand -- config edit accounts --out accounts.toml");
    println!("  cargo run --release -p azurestand -- config apply accounts accounts.toml --wait\n");
    let _ = tokio::signal::ctrl_c().await;
}
