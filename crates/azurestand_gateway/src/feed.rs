//! Follows the changes of a scope of the store, also across gaps, failed calls and time-outs.

mod timing;

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::time::Duration;

use azurestand_store::{Change, ChangeFeed, Changes, Position, Scope, Snapshot, StoreError};
use azurestand_types::Moment;
use tokio::time::sleep;

use crate::client::CallError;
use crate::clock::BootClock;
use crate::relay::{Peers, RESPONSE_TIMEOUT};
use crate::stall::detect_stall;
use timing::Exchange;

pub(crate) use timing::{ChangeTime, Progress};

/// The pause after the first failed call; it doubles with each consecutive failure.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// The total size of the values in a response, in bytes.
fn size(changes: &[Change]) -> usize {
    let sizes = changes.iter().map(|change| match change {
        Change::Put(entry) => entry.value.len(),
        Change::Deleted { .. } => 0,
    });
    sizes.sum()
}

/// An update of a followed scope.
#[derive(Debug)]
pub(crate) enum FeedUpdate {
    /// All values of the scope.
    Snapshot {
        /// The values.
        snapshot: Snapshot,
        /// A time no later than that at which the call to the store that returned them was sent.
        called_at: Moment,
        /// When the changes among them were made.
        changed: ChangeTime,
        /// Whether it comes directly from the store rather than through an entry.
        from_store: bool,
        /// Whether the store came back from an older copy since the last update, or may have
        /// just done so before the first one.
        restarted: bool,
    },
    /// Changes; empty if there were none within the wait.
    Changed {
        /// The changes in order.
        changes: Vec<Change>,
        /// The store's position after them.
        position: Position,
        /// A time up to which the store had no later change.
        called_at: Moment,
        /// When they were made.
        changed: ChangeTime,
        /// Whether it comes directly from the store rather than through an entry.
        from_store: bool,
    },
    /// A call to the store failed.
    Failed(StoreError),
    /// The entry that relays updates did not respond; the store is asked next.
    RelayTimedOut,
}

impl FeedUpdate {
    /// A time no later than that of the call to the store; none if the call failed.
    fn called_at(&self) -> Option<Moment> {
        match self {
            Self::Snapshot { called_at, .. } | Self::Changed { called_at, .. } => Some(*called_at),
            Self::Failed(_) | Self::RelayTimedOut => None,
        }
    }

    /// The store's position after the update; none if the call failed.
    pub(crate) fn position(&self) -> Option<Position> {
        match self {
            Self::Snapshot { snapshot, .. } => Some(snapshot.position),
            Self::Changed { position, .. } => Some(*position),
            Self::Failed(_) | Self::RelayTimedOut => None,
        }
    }

    /// Why the store could not be read, if the call failed.
    pub(crate) fn failure(&self) -> Option<String> {
        match self {
            Self::Snapshot { .. } | Self::Changed { .. } => None,
            Self::Failed(error) => Some(error.to_string()),
            Self::RelayTimedOut => Some(StoreError::TimedOut(RESPONSE_TIMEOUT).to_string()),
        }
    }
}

/// The pace of calls for changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// How long one call waits for a change.
    pub(crate) wait: Duration,
    /// The pause after a change, so that the next call returns several changes.
    pub(crate) batch_pause: Duration,
    /// The age of the last proof that nothing is missing at which a call ends, so that a proof
    /// soon follows a change that came late in a wait.
    pub(crate) max_proof_age: Duration,
}

/// The longest wait of a call to the store by a process with known peers, so that an entry
/// that passes updates on responds to them in time.
const RELAY_WAIT: Duration = Duration::from_secs(1);

/// The shortest wait of a call for changes.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// The wait of a call while the store has just come back from an older copy, so that a proof
/// follows soon after its writers had time to write again.
const DOUBT_WAIT: Duration = Duration::from_millis(300);

/// Follows `scope`, through an entry that reads the store for others if there is one, and
/// calls `handle` with each update. Never returns.
pub(crate) async fn follow<S, K, F>(
    store: &S,
    mut peers: Peers<K>,
    scope: Scope,
    pace: Pace,
    mut handle: F,
) where
    S: ChangeFeed,
    K: Fn() -> Vec<IpAddr>,
    F: FnMut(FeedUpdate),
{
    let mut progress = Progress::default();
    let mut pause = FIRST_PAUSE;
    loop {
        if let Some(peer) = peers.next(BootClock.now(), progress.is_store_failing()) {
            match peers.request_updates(peer, &scope, progress).await {
                Ok(update) => {
                    if let Some(called_at) = update.called_at() {
                        progress.record(&update, called_at);
                    }
                    handle(update);
                }
                Err(CallError::TimedOut) => {
                    progress.record_relay_failure();
                    handle(FeedUpdate::RelayTimedOut);
                }
                // The next entry is called, or the store.
                Err(_) => {}
            }
            continue;
        }
        let wait = wait_time(BootClock.now(), progress, pace, peers.has_any());
        let Some((update, exchange)) = call_store(store, &scope, wait, progress).await else {
            progress.record_compaction();
            continue;
        };
        let failed = matches!(update, FeedUpdate::Failed(_));
        if failed {
            progress.record_store_failure(exchange.received);
        } else {
            progress.record(&update, exchange.complete_at());
        }
        let has_changes =
            matches!(&update, FeedUpdate::Changed { changes, .. } if !changes.is_empty());
        handle(update);
        if failed {
            sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            pause = (pause * 2).min(MAX_PAUSE);
        } else {
            pause = FIRST_PAUSE;
        }
        if has_changes {
            sleep(pace.batch_pause).await;
        }
    }
}

/// How long the next call to the store waits for a change.
fn wait_time(now: Moment, progress: Progress, pace: Pace, has_peers: bool) -> Duration {
    if progress.is_in_doubt(now) {
        return DOUBT_WAIT;
    }
    let longest = if has_peers {
        pace.wait.min(RELAY_WAIT)
    } else {
        pace.wait
    };
    let age = progress.proof_age(now).unwrap_or_default();
    let left = pace.max_proof_age.saturating_sub(age);
    longest.min(left.max(SHORTEST_WAIT))
}

/// Requests from the store the changes since the last update, or all values. Returns none
/// if the store no longer holds the changes.
async fn call_store<S>(
    store: &S,
    scope: &Scope,
    wait: Duration,
    progress: Progress,
) -> Option<(FeedUpdate, Exchange)>
where
    S: ChangeFeed,
{
    let sent = BootClock.now();
    let Some(known) = progress.known() else {
        let (listed, has_stalled) = detect_stall(store.list_all(scope)).await;
        let exchange = Exchange::ended(sent, Duration::ZERO, has_stalled);
        let update = match listed {
            Ok(snapshot) => FeedUpdate::Snapshot {
                restarted: progress.may_lack_changes(snapshot.position),
                snapshot,
                called_at: sent,
                changed: progress.time_of(exchange, usize::MAX),
                from_store: true,
            },
            Err(error) => FeedUpdate::Failed(error),
        };
        return Some((update, exchange));
    };
    let (changes, has_stalled) = detect_stall(store.changes(scope, known, wait)).await;
    let exchange = Exchange::ended(sent, wait, has_stalled);
    let update = match changes {
        Ok(Changes::Since { changes, position }) => FeedUpdate::Changed {
            changed: progress.time_of(exchange, size(&changes)),
            called_at: exchange.proved_at(changes.is_empty()),
            changes,
            position,
            from_store: true,
        },
        Ok(Changes::Compacted) => return None,
        Err(error) => FeedUpdate::Failed(error),
    };
    Some((update, exchange))
}
