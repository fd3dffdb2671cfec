//! `status`: what an entry sees of the whole deployment.

mod table;

use std::time::Duration;

use http::Uri;

use crate::admin;
use crate::args::Options;
use crate::failure::Failure;
use crate::report::Report;

use table::Overview;

const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints once, or again each second until interrupted.
pub(crate) async fn run(options: &Options, watch: bool) -> Result<Report, Failure> {
    if !watch {
        return fetch(&options.entries).await;
    }
    loop {
        let report = fetch(&options.entries).await?;
        report.print(options.format);
        tokio::select! {
            () = tokio::time::sleep(WATCH_INTERVAL) => (),
            _ = tokio::signal::ctrl_c() => return Ok(report),
        }
    }
}

async fn fetch(entries: &[Uri]) -> Result<Report, Failure> {
    let overview: Overview = admin::status(entries).await?;
    Ok(Report::new(overview.to_string(), &overview))
}
