//! Applies the quarantine of parts of prompts to requests, and records what targets do
//! under them.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Admission, Crash, PartChange, PartId, Standing, Target};
use azurestand_types::Moment;

use super::call::Call;
use super::exchange::Topic;
use super::response::RequestError;
use super::shared::{Shared, State};
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::notice::MAX_NAME_BYTES;

/// How long a target may take to refuse a connection for it to count as ended.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks whether a request may be sent now; returns the suspected part that it tries, if any.
/// `crashed` tells whether a target has already crashed under it.
///
/// # Errors
///
/// The [`RequestError`] to answer with if it may not.
pub(super) fn admit(
    state: &State,
    call: &Call,
    crashed: bool,
) -> Result<Option<PartId>, RequestError> {
    let now = BootClock.now();
    match state.quarantine.admit(now, &call.request.parts, crashed) {
        Admission::Free => Ok(None),
        Admission::Trial(part) => Ok(Some(part)),
        Admission::Suspected(part, after) => Err(RequestError::Suspected(part, after)),
        Admission::Quarantined(part, after) => Err(RequestError::Quarantined(part, after)),
    }
}

/// Records that a target has gone on writing the answer to `call`.
pub(super) fn record_written<P>(shared: &Shared<P>, call: &Call) {
    if call.request.parts.is_empty() {
        return;
    }
    let now = BootClock.now();
    let changes = shared
        .state()
        .quarantine
        .record_written(now, &call.request.parts);
    tell(shared, &changes);
}

/// Whether `target` has ended, rather than only closed a connection.
pub(super) async fn has_ended<P>(shared: &Shared<P>, target: &Target) -> bool {
    let address = target.address;
    shared.client.is_refused(address, REFUSAL_TIMEOUT).await
}

/// Records that `target` ended at `at` under `call`, before it had written anything of the
/// answer; `beginning` tells whether the head had arrived.
pub(super) fn record_crash<P>(
    shared: &Shared<P>,
    call: &Call,
    target: &Target,
    beginning: bool,
    at: Moment,
) {
    let crash = Crash {
        target: target.id.clone(),
        started_at: target.started_at,
        request: shortened(call.id()).into(),
        beginning,
        at,
    };
    let now = BootClock.now();
    let parts = &call.request.parts;
    let changes = shared.state().quarantine.record_crash(now, &crash, parts);
    tell(shared, &changes);
}

/// The beginning of a caller's name for a request, as long as notices may hold.
fn shortened(name: &str) -> &str {
    let end = name.floor_char_boundary(MAX_NAME_BYTES);
    &name[..end]
}

/// Logs changes and tells the other entries.
fn tell<P>(shared: &Shared<P>, changes: &[PartChange]) {
    for change in changes {
        log_change(shared, change, "own");
        let (PartChange::Crashed(part, _) | PartChange::Cleared(part)) = change;
        shared.exchange.tell(Topic::Part(*part));
    }
    if !changes.is_empty() {
        shared.notify_quarantine();
    }
}

/// Completes when a part of the request's prompt is quarantined.
pub(super) async fn until_quarantined<P>(shared: Arc<Shared<P>>, parts: Arc<[PartId]>) {
    if parts.is_empty() {
        return std::future::pending().await;
    }
    loop {
        let changed = shared.quarantine_changed();
        let changed = changed.notified();
        let admission = shared
            .state()
            .quarantine
            .admit(BootClock.now(), &parts, false);
        if matches!(admission, Admission::Quarantined(..)) {
            return;
        }
        changed.await;
    }
}

/// Logs a change with the crashes that prove it, and from which host it was learned.
pub(super) fn log_change<P>(shared: &Shared<P>, change: &PartChange, host: &str) {
    let (event, part) = match change {
        PartChange::Crashed(part, Standing::Noted) => (LogEvent::PartNoted, part),
        PartChange::Crashed(part, Standing::Suspected) => (LogEvent::PartSuspected, part),
        PartChange::Crashed(part, Standing::Quarantined) => (LogEvent::PartQuarantined, part),
        PartChange::Cleared(part) => (LogEvent::PartCleared, part),
    };
    let describe = |crash: &Crash| {
        let answer = if crash.beginning {
            "beginning"
        } else {
            "waiting"
        };
        format!(
            "{}@{} {} {answer}",
            crash.target, crash.started_at, crash.request
        )
    };
    let known = shared.state().quarantine.notice(BootClock.now(), *part);
    let crashes: Vec<String> = known.crashes.iter().map(describe).collect();
    event.log(&[
        ("part", part.to_string().into()),
        ("crashes", crashes.join(", ").into()),
        ("host", host.into()),
    ]);
}
