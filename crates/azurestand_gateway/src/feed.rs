//! Follows the changes of a scope of the store, also across gaps, failed calls and time-outs.

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::time::Duration;

use azurestand_store::{Change, ChangeFeed, Changes, Listing, Scope, StoreError, Version};
use azurestand_types::Moment;
use derive_more::Display;
use tokio::time::sleep;

use crate::client::CallError;
use crate::clock::BootClock;
use crate::relay::{Peers, RESPONSE_TIMEOUT};
use crate::stall::detect_stall;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ChangeTime {
    /// At this time or shortly after it.
    #[display("observed")]
    Known(Moment),
    /// At any time from this one on. Nothing was missing before it, and the store has not
    /// failed for long since: this process, or the entry that relays updates, may have
    /// stalled.
    #[display("assumed")]
    NotBefore(Moment),
    /// At any time before this process started or after it: this is its first update.
    #[display("found")]
    AtStart,
    /// The store failed for a while before the update.
    #[display("recovered")]
    AfterOutage,
}

impl ChangeTime {
    /// The time of the changes, if it is known.
    pub(crate) fn known(self) -> Option<Moment> {
        match self {
            Self::Known(at) => Some(at),
            Self::NotBefore(_) | Self::AtStart | Self::AfterOutage => None,
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
    /// Whether this process stalled between the two.
    has_stalled: bool,
}

impl Exchange {
    /// The call that was sent at `sent` and whose response has just arrived.
    fn ended(sent: Moment, wait: Duration, has_stalled: bool) -> Self {
        Self {
            sent,
            received: BootClock.now(),
            wait,
            has_stalled,
        }
    }

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

    /// Whether the response was read when it was due. Otherwise it is unknown how long ago
    /// the store sent it.
    fn is_prompt(self) -> bool {
        !self.has_stalled && self.received.since(self.sent) <= self.wait + MAX_DELAY
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
pub(crate) struct Progress {
    /// The store's version after the last update; none if the next call is for all values.
    known: Option<Version>,
    /// When the call that returned the last update was sent; nothing was missing up to then.
    proof: Option<Moment>,
    /// When the response with the last update left the store, as far as known; nothing was
    /// missing up to then. None after a failed call.
    last: Option<Moment>,
    /// When the first call to the store failed since the last update.
    failing_since: Option<Moment>,
}

impl Progress {
    /// The store's version after the last update; none if the next call is for all values.
    pub(crate) fn known(self) -> Option<Version> {
        self.known
    }

    /// The time of the changes in an update that arrives at `now`, if it can't be told from
    /// the call that returned it.
    pub(crate) fn change_time(self, now: Moment) -> ChangeTime {
        let outage_start = self.failing_since.map(|since| self.proof.unwrap_or(since));
        if outage_start.is_some_and(|start| now.since(start) > MAX_GAP) {
            return ChangeTime::AfterOutage;
        }
        self.proof
            .map_or(ChangeTime::AtStart, ChangeTime::NotBefore)
    }

    /// The time of the changes in the response of `bytes` bytes to `call`.
    fn time_of(self, call: Exchange, bytes: usize) -> ChangeTime {
        let at = call.change_time(self.last, bytes);
        at.map_or_else(|| self.change_time(call.received), ChangeTime::Known)
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
            failing_since: None,
        };
    }

    /// Records that the store failed at `now`; the next call is for all values.
    fn record_store_failure(&mut self, now: Moment) {
        self.known = None;
        self.last = None;
        self.failing_since.get_or_insert(now);
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
        if let Some(peer) = peers.next(BootClock.now(), progress.failing_since.is_some()) {
            match peers.request_updates(peer, &scope, progress).await {
                Ok(update) => {
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
        let Some((update, exchange)) = call_store(store, &scope, wait, progress).await else {
            progress.known = None;
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
    let Some(known) = progress.known else {
        let (listed, has_stalled) = detect_stall(store.list_all(scope)).await;
        let exchange = Exchange::ended(sent, Duration::ZERO, has_stalled);
        let update = match listed {
            Ok(listing) => FeedUpdate::Snapshot {
                listing,
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
        Ok(Changes::Since { changes, version }) => FeedUpdate::Changed {
            changed: progress.time_of(exchange, size(&changes)),
            changes,
            version,
            called_at: sent,
            from_store: true,
        },
        Ok(Changes::Compacted) => return None,
        Err(error) => FeedUpdate::Failed(error),
    };
    Some((update, exchange))
}
