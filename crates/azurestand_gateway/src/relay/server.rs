//! Passes the updates that this entry reads from the store on to the daemons of its data
//! centre.

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use azurestand_store::{Era, KeyError, Position, Scope, Version};
use azurestand_types::Moment;
use prost::Message;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::log::{ChangeLog, LogEntry};
use super::message::{UpdateRequest, UpdateResponse};
use crate::clock::BootClock;
use crate::feed::FeedUpdate;

/// The path of requests for updates.
pub(crate) const UPDATES_PATH: &str = "/news";
/// How long a request waits for an update. While the store responds, updates come sooner.
const UPDATE_WAIT: Duration = Duration::from_millis(1_500);

/// The updates that one entry passes on.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    inner: Mutex<Inner>,
    updated: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    log: ChangeLog,
    /// The number of updates recorded.
    number: u64,
    /// The number of the update by which the store came back from an older copy; callers with
    /// earlier responses get all values.
    restart: u64,
    /// When the call to the store that returned the last update was sent; none if the last
    /// update came from elsewhere or there is none.
    proof: Option<Moment>,
    /// Whether this entry is about to read the store, since no other entry responds.
    takes_over: bool,
}

impl Relay {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an update that this entry received. Only updates from the store itself are
    /// passed on, so that no two entries wait for each other.
    pub(crate) fn record(&self, update: &FeedUpdate) {
        let mut inner = self.lock();
        inner.proof = match update {
            FeedUpdate::Snapshot {
                snapshot,
                called_at,
                ..
            } => {
                inner.log.replace(snapshot);
                Some(*called_at)
            }
            FeedUpdate::Changed {
                changes,
                position,
                called_at,
                changed,
                ..
            } => {
                inner.log.extend(changes, *position, changed.known());
                Some(*called_at)
            }
            FeedUpdate::Failed(_) | FeedUpdate::RelayTimedOut => None,
        };
        inner.takes_over = matches!(update, FeedUpdate::RelayTimedOut);
        let is_from_store = match update {
            FeedUpdate::Snapshot { from_store, .. } | FeedUpdate::Changed { from_store, .. } => {
                *from_store
            }
            FeedUpdate::Failed(_) | FeedUpdate::RelayTimedOut => false,
        };
        inner.proof = inner.proof.filter(|_| is_from_store);
        inner.number += 1;
        if let FeedUpdate::Snapshot {
            restarted: true, ..
        } = update
        {
            inner.restart = inner.number;
        }
        drop(inner);
        self.updated.notify_waiters();
    }

    /// Whether the caller knows a later era than this entry, which will learn of it from the
    /// store within one call.
    fn is_behind(&self, request: &Request) -> bool {
        request.latest.era > self.lock().log.position().era
    }

    /// Waits for an update after response `number`, also while this entry is about to read the
    /// store: callers that were turned away would all read it themselves. Returns when the call
    /// that returned it was sent, or none if this entry doesn't read the store at the moment.
    async fn wait_for_update(&self, number: u64) -> Option<Moment> {
        loop {
            let updated = self.updated.notified();
            {
                let inner = self.lock();
                match inner.proof {
                    Some(proof) if inner.number != number => return Some(proof),
                    None if !inner.takes_over => return None,
                    Some(_) | None => {}
                }
            }
            updated.await;
        }
    }

    /// The response to a request; none if the caller knows a later position than this entry.
    fn respond(&self, request: &Request, proof: Moment) -> Option<UpdateResponse> {
        let inner = self.lock();
        let position = inner.log.position();
        if request.latest > position {
            return None;
        }
        let from = |moment| offset(request.arrived, moment);
        let mut response = UpdateResponse {
            version: position.version.0,
            era: position.era.0,
            number: inner.number,
            proof: from(proof),
            ..UpdateResponse::default()
        };
        let after = request.after.filter(|_| request.number >= inner.restart);
        let changes = after.and_then(|after| inner.log.since(&request.scope, after));
        if let Some(changes) = changes {
            response.changed_at = first_change_time(&changes).map(from);
            response.changes = changes.into_iter().map(|entry| entry.change).collect();
        } else {
            response.whole = true;
            response.changes = inner.log.all(&request.scope);
        }
        Some(response)
    }
}

/// A decoded request.
struct Request {
    arrived: Moment,
    scope: Scope,
    /// The number of the caller's last response from this entry.
    number: u64,
    /// The position after which changes are requested; all values if none.
    after: Option<Position>,
    /// The latest position that the caller knows.
    latest: Position,
}

impl TryFrom<UpdateRequest> for Request {
    type Error = KeyError;

    fn try_from(raw: UpdateRequest) -> Result<Self, KeyError> {
        let at = |version| Position::new(Era(raw.era), Version(version));
        let after = raw.after.map(at);
        Ok(Self {
            arrived: BootClock.now(),
            scope: Scope::try_from(raw.scope.unwrap_or_default())?,
            number: raw.number,
            after,
            latest: at(raw.latest).max(after.unwrap_or_default()),
        })
    }
}

/// When the first of the changes was made; none if that is unknown for one of them.
fn first_change_time(changes: &[LogEntry]) -> Option<Moment> {
    let changed_at: Option<Vec<Moment>> = changes.iter().map(|entry| entry.changed_at).collect();
    changed_at?.into_iter().min()
}

/// Milliseconds from `start` to `moment`, rounded down.
fn offset(start: Moment, moment: Moment) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if moment >= start {
        millis(moment.since(start))
    } else {
        -millis(start.since(moment)) - 1
    }
}

/// Handles a request for updates, once there is one.
pub(crate) async fn serve_updates(
    State(relay): State<Arc<Relay>>,
    body: Bytes,
) -> Result<Bytes, StatusCode> {
    let raw = UpdateRequest::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let request = Request::try_from(raw).map_err(|_| StatusCode::BAD_REQUEST)?;
    if relay.is_behind(&request) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let waited = timeout(UPDATE_WAIT, relay.wait_for_update(request.number)).await;
    let proof = waited.ok().flatten();
    let proof = proof.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let response = relay.respond(&request, proof);
    let response = response.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(response.encode_to_vec().into())
}
