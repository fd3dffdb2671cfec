//! Follows the changes of a scope of the store, also across gaps, failed calls and time-outs.

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::time::Duration;

use azurestand_store::{Change, ChangeFeed, Changes, Listing, Scope, StoreError, Version};
use azurestand_types::Moment;
use tokio::time::sleep;

use crate::client::CallError;
use crate::clock::BootClock;
use crate::relay::{Peers, RESPONSE_TIMEOUT};

/// The pause after the first failed call; it doubles with each consecutive failure.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// The longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// A call that took at least this long was already waiting when its change was made.
const MIN_WAIT: Duration = Duration::from_millis(300);
/// If two responses are at most this far apart, the time of the earlier one is precise enough
/// as the time of a change between them.
const SHORT_GAP: Duration = Duration::from_millis(500);

/// The transfer of a larger response may have taken long.
const LARGE_BYTES: usize = 32 * 1024;
/// Changes after a longer gap may have been made at any time.
const MAX_GAP: Duration = Duration::from_millis(2_500);

/// The earliest time when the changes of a response of `bytes` bytes may have been made,
/// where `last` is the time up to which nothing was missing before, and `sent` and `received`
/// are those of the call. None if unknown, for example after a failed call, when the changes
/// may be of any age.
fn change_time(
    last: Option<Moment>,
    sent: Moment,
    received: Moment,
    bytes: usize,
) -> Option<Moment> {
    let last = last?;
    let gap = received.since(last);
    if gap <= SHORT_GAP || (bytes > LARGE_BYTES && gap <= MAX_GAP) {
        return Some(last);
    }
    let has_waited = received.since(sent) >= MIN_WAIT;
    (has_waited && bytes <= LARGE_BYTES).then_some(received)
}

/// The time from which a version counts as named that an update at `now` contains. It is not
/// later than the actual time, since it limits how long requests may go to older versions.
/// `proof` is the time up to which nothing was missing before. After an outage the bound on
/// older versions starts again.
pub(crate) fn named_since(
    now: Moment,
    changed_at: Option<Moment>,
    proof: Option<Moment>,
) -> Moment {
    let proof = proof.filter(|proof| now.since(*proof) <= MAX_GAP);
    changed_at.or(proof).unwrap_or(now).min(now)
}

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
        listing: Listing,
        /// A time no later than that at which the call to the store that returned them was sent.
        called_at: Moment,
        /// When the changes among them were made; none if unknown.
        changed_at: Option<Moment>,
        /// Whether it comes directly from the store rather than through an entry.
        from_store: bool,
    },
    /// Changes; empty if there were none within the wait.
    Changed {
        /// The changes in order.
        changes: Vec<Change>,
        /// The store's version after them.
        version: Version,
        /// A time no later than that at which the call to the store that returned them was sent.
        called_at: Moment,
        /// When they were made; none if unknown.
        changed_at: Option<Moment>,
        /// Whether it comes directly from the store rather than through an entry.
        from_store: bool,
    },
    /// A call failed.
    Failed(StoreError),
}

/// The pace of calls for changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// How long one call waits for a change.
    pub(crate) wait: Duration,
    /// The pause after a change, so that the next call returns several changes.
    pub(crate) batch_pause: Duration,
}

/// The longest wait of a call to the store by a process with known peers, so that an entry
/// that passes updates on responds to them in time.
const RELAY_WAIT: Duration = Duration::from_secs(1);

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
    let mut known: Option<Version> = None;
    let mut pause = FIRST_PAUSE;
    // The time at which the update before this one was up to date.
    let mut last: Option<Moment> = None;
    let mut store_failed = false;
    loop {
        if let Some(peer) = peers.next(BootClock.now(), store_failed) {
            match peers.request_updates(peer, &scope, known).await {
                Ok(update) => {
                    (known, last) = progress(&update);
                    store_failed = false;
                    handle(update);
                }
                // It is unknown what changed meanwhile.
                Err(CallError::TimedOut) => {
                    last = None;
                    handle(FeedUpdate::Failed(StoreError::TimedOut(RESPONSE_TIMEOUT)));
                }
                // The next entry is called, or the store.
                Err(_) => {}
            }
            continue;
        }
        let wait = if peers.has_any() {
            pace.wait.min(RELAY_WAIT)
        } else {
            pace.wait
        };
        let Some(update) = call_store(store, &scope, known, wait, last).await else {
            known = None;
            continue;
        };
        store_failed = matches!(update, FeedUpdate::Failed(_));
        if store_failed {
            last = None;
        } else {
            (known, _) = progress(&update);
            last = Some(BootClock.now());
        }
        let has_changes =
            matches!(&update, FeedUpdate::Changed { changes, .. } if !changes.is_empty());
        handle(update);
        if store_failed {
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

/// The store's version after an update, and the time at which the update was up to date.
fn progress(update: &FeedUpdate) -> (Option<Version>, Option<Moment>) {
    match update {
        FeedUpdate::Snapshot {
            listing, called_at, ..
        } => (Some(listing.version), Some(*called_at)),
        FeedUpdate::Changed {
            version, called_at, ..
        } => (Some(*version), Some(*called_at)),
        FeedUpdate::Failed(_) => (None, None),
    }
}

/// Requests from the store the changes after `known`, or all values if that is none. Returns
/// none if the store no longer holds the changes.
async fn call_store<S>(
    store: &S,
    scope: &Scope,
    known: Option<Version>,
    wait: Duration,
    last: Option<Moment>,
) -> Option<FeedUpdate>
where
    S: ChangeFeed,
{
    let called_at = BootClock.now();
    let Some(version) = known else {
        return Some(match store.list_all(scope).await {
            Ok(listing) => FeedUpdate::Snapshot {
                listing,
                called_at,
                changed_at: change_time(last, called_at, BootClock.now(), usize::MAX),
                from_store: true,
            },
            Err(error) => FeedUpdate::Failed(error),
        });
    };
    match store.changes(scope, version, wait).await {
        Ok(Changes::Since { changes, version }) => Some(FeedUpdate::Changed {
            changed_at: change_time(last, called_at, BootClock.now(), size(&changes)),
            changes,
            version,
            called_at,
            from_store: true,
        }),
        Ok(Changes::Compacted) => None,
        Err(error) => Some(FeedUpdate::Failed(error)),
    }
}
