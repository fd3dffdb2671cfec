//! `platform entry`, `platform agent` and `platform check`: the daemons on the
//! users' platform.

use std::path::PathBuf;
use std::sync::Arc;

use azurestand_gateway::{
    Client, DirectEntry, LiveBounds, LogEvent, PieceAgent, flush_logs, start_logs,
};
use azurestand_platform::{PlatformSettings, UserPlatform};
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use super::daemon::StopSignal;
use crate::failure::Failure;
use crate::report::Report;
use crate::status::ExitStatus;

#[derive(Serialize)]
struct Ended<'a> {
    host: &'a str,
    whole: bool,
}

#[derive(Serialize)]
struct Checked<'a> {
    valid: bool,
    host: &'a str,
    centre: &'a str,
}

/// Runs an entry.
pub(crate) async fn run_entry(file: Option<PathBuf>) -> Result<Report, Failure> {
    let settings = PlatformSettings::read(file.clone())?;
    let stop = StopSignal::listen()?;
    start_logs();
    reload_on_hangup(file, settings.gateway.bounds.clone())?;
    let client = Client::default();
    let platform = Arc::new(UserPlatform::new(settings.store, client.clone()));
    let host = settings.gateway.name.clone();
    let entry = DirectEntry::start(settings.gateway, platform, client).await?;
    stop.wait().await;
    Ok(ended(&host, entry.stop().await))
}

/// Runs an agent.
pub(crate) async fn run_agent(file: Option<PathBuf>) -> Result<Report, Failure> {
    let settings = PlatformSettings::read(file.clone())?;
    let stop = StopSignal::listen()?;
    start_logs();
    reload_on_hangup(file, settings.gateway.bounds.clone())?;
    let client = Client::default();
    let platform = Arc::new(UserPlatform::new(settings.store, client.clone()));
    let host = settings.gateway.name.clone();
    let agent = PieceAgent::start(settings.gateway, platform, client).await?;
    stop.wait().await;
    agent.stop();
    Ok(ended(&host, true))
}

/// Reads the settings again whenever the platform says that they changed. The
/// operators' bounds take effect at once, everything else with the next start.
fn reload_on_hangup(file: Option<PathBuf>, bounds: LiveBounds) -> Result<(), Failure> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match PlatformSettings::read(file.clone()) {
                Ok(settings) => {
                    let changed = bounds.set(settings.gateway.bounds.now());
                    LogEvent::Reloaded.log(&[("bounds_changed", changed.into())]);
                }
                // What is in force stays in force.
                Err(error) => LogEvent::Reloaded.log(&[("why", error.to_string().into())]),
            }
        }
    });
    Ok(())
}

/// Checks a settings file.
pub(crate) fn check(file: Option<PathBuf>) -> Result<Report, Failure> {
    let settings = PlatformSettings::read(file)?.gateway;
    let text = format!(
        "the settings are valid: host {} in {}",
        settings.name, settings.centre
    );
    let checked = Checked {
        valid: true,
        host: &settings.name,
        centre: &settings.centre,
    };
    Ok(Report::new(text, &checked))
}

fn ended(host: &str, whole: bool) -> Report {
    flush_logs();
    let (text, status) = if whole {
        (
            format!("{host} stopped, nothing was cut off"),
            ExitStatus::Success,
        )
    } else {
        let text = format!("{host} stopped at its limit and cut work off; raise the grace time");
        (text, ExitStatus::Failure)
    };
    Report::new(text, &Ended { host, whole }).with_status(status)
}
