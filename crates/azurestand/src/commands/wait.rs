//! `--wait`: watches a change come into force.

use std::time::Duration;

use azurestand_types::Revision;
use tokio::time::Instant;

use crate::admin::{self, AdminError};
use crate::args::Options;
use crate::failure::Failure;
use crate::progress::{NodeList, Progress};
use crate::status::ExitStatus;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What waiting showed, if it was asked for.
#[derive(Debug)]
pub(crate) struct Waited(Option<Progress>);

impl Waited {
    /// How far the change came, below a line break; empty if nothing was waited for.
    pub(crate) fn text(&self) -> String {
        let progress = self.0.as_ref();
        progress.map_or_else(String::new, |progress| format!("\n{progress}"))
    }

    /// How far the change came.
    pub(crate) fn progress(&self) -> Option<&Progress> {
        self.0.as_ref()
    }

    /// The status that the process ends with.
    pub(crate) fn status(&self) -> ExitStatus {
        match &self.0 {
            Some(progress) if !progress.complete() => ExitStatus::Lagging,
            _ => ExitStatus::Success,
        }
    }
}

/// Waits for `revision` if the options ask for it.
pub(crate) async fn if_asked(revision: Revision, options: &Options) -> Result<Waited, Failure> {
    if !options.wait {
        return Ok(Waited(None));
    }
    if options.entries.is_empty() {
        return Err(AdminError::NoEntry.into());
    }
    Ok(Waited(Some(until(revision, options).await)))
}

/// Waits until every node that an entry sees has `revision`, for a bounded time.
async fn until(revision: Revision, options: &Options) -> Progress {
    let deadline = Instant::now() + options.patience();
    let mut last = NodeList::default().progress(revision);
    loop {
        // An entry that fails meanwhile says nothing about the change.
        if let Ok(list) = admin::nodes(&options.entries).await {
            last = list.progress(revision);
        }
        if last.complete() || Instant::now() >= deadline {
            return last;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
