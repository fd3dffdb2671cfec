//! `entry` and `agent`: run a daemon until it is told to stop.

use std::path::Path;

use azurestand_server::settings::Settings;
use azurestand_server::{Agent, Entry, start_logs};
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::failure::Failure;
use crate::report::Report;
use crate::status::ExitStatus;

#[derive(Serialize)]
struct Stopped {
    host: String,
    whole: bool,
}

/// Runs an entry.
pub(crate) async fn run_entry(file: &Path) -> Result<Report, Failure> {
    let stop = StopSignal::listen()?;
    let settings = prepare(file)?;
    let host = settings.host.to_string();
    let entry = Entry::start(settings).await?;
    announce(
        "entry",
        &host,
        &entry.web().to_string(),
        &entry.address().to_string(),
    );
    stop.wait().await;
    Ok(report(host, entry.stop().await))
}

/// Runs an agent.
pub(crate) async fn run_agent(file: &Path) -> Result<Report, Failure> {
    let stop = StopSignal::listen()?;
    let settings = prepare(file)?;
    let host = settings.host.to_string();
    let agent = Agent::start(settings).await?;
    announce(
        "agent",
        &host,
        &agent.web().to_string(),
        &agent.address().to_string(),
    );
    stop.wait().await;
    Ok(report(host, agent.stop().await))
}

fn prepare(file: &Path) -> Result<Settings, Failure> {
    let settings = Settings::read(file)?;
    start_logs(settings.log);
    Ok(settings)
}

/// Says where the daemon listens, since port 0 leaves the choice to the system.
fn announce(role: &str, host: &str, web: &str, peers: &str) {
    println!("{role} {host} listens on http://{web} peers {peers}");
}

/// The platform's or the terminal's word to stop. It is listened for before a daemon
/// says that it serves, since until then it would end the process at once.
pub(crate) struct StopSignal {
    term: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Listens from now on.
    pub(crate) fn listen() -> Result<Self, Failure> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the word.
    pub(crate) async fn wait(mut self) {
        tokio::select! {
            _ = self.term.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}

fn report(host: String, whole: bool) -> Report {
    let (text, status) = if whole {
        (
            format!("{host} stopped, nothing was cut off"),
            ExitStatus::Success,
        )
    } else {
        let text = format!("{host} stopped at its limit and cut work off; raise drain_seconds");
        (text, ExitStatus::Failure)
    };
    Report::new(text, &Stopped { host, whole }).with_status(status)
}
