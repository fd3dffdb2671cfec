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
/// If the store failed for longer than this, changes count from its recovery.
const MAX_GAP: Duration = Duration::from_millis(2_500);
/// A response that takes longer than the wait by more than this was held up.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// When the changes of an update were made, as far as this process can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeTime {
    /// At this time or shortly after it.
    Known(Moment),
    /// At any time from this one on. Nothing was missing before it, and the store has not
    /// failed since: it may have been this process, or an entry between, that stood still.
    NotBefore(Moment),
    /// Unknown: this is the first update, or the store failed for a while before it.
    Unknown,
}

impl ChangeTime {
    /// The time of the changes, if it is known.
    pub(crate) fn known(self) -> Option<Moment> {
        match self {
            Self::Known(at) => Some(at),
            Self::NotBefore(_) | Self::Unknown => None,
        }
    }
}

/// A call for changes that got a response.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    sent: Moment,
    received: Moment,
    /// How long the store was asked to wait for a change.
    wait: Duration,
}

impl Exchange {
    /// When the changes in the response, of `bytes` bytes, were made, where `last` is the
    /// time up to which nothing was missing before; none if that can't be told from the
    /// call's duration.
    fn change_time(self, last: Option<Moment>, bytes: usize) -> Option<Moment> {
        let last = last?;
        let is_large = bytes > LARGE_BYTES;
        let gap = self.received.since(last);
        if gap <= SHORT_GAP || (is_large && gap <= MAX_GAP) {
            return Some(last);
        }
        let has_waited = self.received.since(self.sent) >= MIN_WAIT;
        (has_waited && self.is_prompt() && !is_large).then_some(self.received)
    }

    /// Whether the response came when it was due. Otherwise it is unknown how long it was
    /// held up on its way, or this process was suspended.
    fn is_prompt(self) -> bool {
        self.received.since(self.sent) <= self.wait + MAX_DELAY
    }

    /// The time up to which nothing is missing after the response.
    fn complete_at(self) -> Moment {
        if self.is_prompt() {
            self.received
        } else {
            self.sent
        }
    }
}

/// The updates received so far.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// The store's version after the last update; none if the next call is for all values.
    known: Option<Version>,
    /// The time up to which nothing was missing at the last update.
    proof: Option<Moment>,
    /// The same, as precisely as is known; none after a failed call.
    last: Option<Moment>,
    /// Whether a call to the store has failed since the last update.
    store_failed: bool,
}

impl Progress {
    /// The time of the changes in an update that arrives at `now`, if it can't be told from
    /// the call that returned it.
    fn change_time(self, now: Moment) -> ChangeTime {
        let is_outage = |proof: Moment| self.store_failed && now.since(proof) > MAX_GAP;
        match self.proof {
            Some(proof) if !is_outage(proof) => ChangeTime::NotBefore(proof),
            Some(_) | None => ChangeTime::Unknown,
        }
    }

    /// Records an update up to which nothing is missing at `last`.
    fn record(&mut self, update: &FeedUpdate, last: Moment) {
        let (version, called_at) = match update {
            FeedUpdate::Snapshot {
                listing, called_at, ..
            } => (listing.version, *called_at),
            FeedUpdate::Changed {
                version, called_at, ..
            } => (*version, *called_at),
            FeedUpdate::Failed(_) | FeedUpdate::RelayTimedOut => return,
        };
        *self = Self {
            known: Some(version),
            proof: Some(called_at),
            last: Some(last),
            store_failed: false,
        };
    }

    /// Records that the store didn't respond; the next call is for all values.
    fn record_store_failure(&mut self) {
        self.known = None;
        self.last = None;
        self.store_failed = true;
    }
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
        /// When the changes among them were made.
        changed: ChangeTime,
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

    /// Why the store could not be read, if the call failed.
    pub(crate) fn failure(&self) -> Option<String> {
        match self {
            Self::Snapshot { .. } | Self::Changed { .. } => None,
            Self::Failed(error) => Some(error.to_string()),
            Self::RelayTimedOut => Some(StoreError::TimedOut(RESPONSE_TIMEOUT).to_string()),
        }
    }

    /// The update, with `fallback` as the time of its changes if that is unknown.
    fn or_change_time(mut self, fallback: ChangeTime) -> Self {
        if let Self::Snapshot { changed, .. } | Self::Changed { changed, .. } = &mut self
            && *changed == ChangeTime::Unknown
        {
            *changed = fallback;
        }
        self
    }
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
    let mut progress = Progress::default();
    let mut pause = FIRST_PAUSE;
    loop {
        if let Some(peer) = peers.next(BootClock.now(), progress.store_failed) {
            match peers.request_updates(peer, &scope, progress.known).await {
                Ok(update) => {
                    let update = update.or_change_time(progress.change_time(BootClock.now()));
                    if let Some(called_at) = update.called_at() {
                        progress.record(&update, called_at);
                    }
                    handle(update);
                }
                // It is unknown what changed meanwhile.
                Err(CallError::TimedOut) => {
                    progress.last = None;
                    handle(FeedUpdate::RelayTimedOut);
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
        let sent = BootClock.now();
        let Some(update) = call_store(store, &scope, wait, progress).await else {
            progress.known = None;
            continue;
        };
        let failed = matches!(update, FeedUpdate::Failed(_));
        if failed {
            progress.record_store_failure();
        } else {
            let exchange = Exchange {
                sent,
                received: BootClock.now(),
                wait,
            };
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

/// Requests from the store the changes since the last update, or all values. Returns none
/// if the store no longer holds the changes.
async fn call_store<S>(
    store: &S,
    scope: &Scope,
    wait: Duration,
    progress: Progress,
) -> Option<FeedUpdate>
where
    S: ChangeFeed,
{
    let sent = BootClock.now();
    let change_time = |bytes| {
        let received = BootClock.now();
        let exchange = Exchange {
            sent,
            received,
            wait,
        };
        let at = exchange.change_time(progress.last, bytes);
        at.map_or_else(|| progress.change_time(received), ChangeTime::Known)
    };
    let Some(version) = progress.known else {
        return Some(match store.list_all(scope).await {
            Ok(listing) => FeedUpdate::Snapshot {
                listing,
                called_at: sent,
                changed: change_time(usize::MAX),
                from_store: true,
            },
            Err(error) => FeedUpdate::Failed(error),
        });
    };
    match store.changes(scope, version, wait).await {
        Ok(Changes::Since { changes, version }) => Some(FeedUpdate::Changed {
            changed: change_time(size(&changes)),
            changes,
            version,
            called_at: sent,
            from_store: true,
        }),
        Ok(Changes::Compacted) => None,
        Err(error) => Some(FeedUpdate::Failed(error)),
    }
}
