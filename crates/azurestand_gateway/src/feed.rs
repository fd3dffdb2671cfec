//! Keeps a scope of the store followed through gaps, losses and silence.

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::time::Duration;

use azurestand_store::{Change, ChangeFeed, Changes, Listing, Scope, StoreError, Version};
use azurestand_types::Moment;
use tokio::time::sleep;

use crate::client::CallError;
use crate::clock::BootClock;
use crate::relay::{NEWS_LIMIT, Peers};

/// The first wait after a failed call; each further one in a row doubles it.
const FIRST_WAIT: Duration = Duration::from_millis(40);
/// The longest wait after a failed call.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A call that took at least this long was waiting when its change was made.
const WAITED: Duration = Duration::from_millis(300);
/// Two answers this close together tell well enough when a change was made.
const CLOSE: Duration = Duration::from_millis(500);

/// An answer with more bytes may have been on its way for long.
const LARGE_BYTES: usize = 32 * 1024;
/// What is missing for longer than this may have been made at any time.
const LONGEST_GAP: Duration = Duration::from_millis(2_500);

/// When the changes of an answer with so many bytes were made, at the earliest: none if
/// that isn't known, since the call before it failed and they may be of any age.
fn made(last: Option<Moment>, sent: Moment, back: Moment, bytes: usize) -> Option<Moment> {
    let last = last?;
    let gap = back.since(last);
    if gap <= CLOSE || (bytes > LARGE_BYTES && gap <= LONGEST_GAP) {
        return Some(last);
    }
    let has_waited = back.since(sent) >= WAITED;
    (has_waited && bytes <= LARGE_BYTES).then_some(back)
}

/// Since when a version counts as named that news at `now` tell of: not later than it
/// was, since requests for older versions end by that. `proof` is up to when nothing
/// was missing before. After an outage the bound begins anew.
pub(crate) fn named_since(now: Moment, made: Option<Moment>, proof: Option<Moment>) -> Moment {
    let proof = proof.filter(|proof| now.since(*proof) <= LONGEST_GAP);
    made.or(proof).unwrap_or(now).min(now)
}

/// The bytes of the values in an answer.
fn size(changes: &[Change]) -> usize {
    let sizes = changes.iter().map(|change| match change {
        Change::Put(entry) => entry.value.len(),
        Change::Deleted { .. } => 0,
    });
    sizes.sum()
}

/// What following a scope brings.
#[derive(Debug)]
pub(crate) enum FeedNews {
    /// All values of the scope.
    Whole {
        /// The values.
        listing: Listing,
        /// When the call to the store that brought them was sent, at the latest.
        sent: Moment,
        /// When the changes among them were made, if that is known.
        made: Option<Moment>,
        /// Whether the store itself told it.
        direct: bool,
    },
    /// Changes, or none within the wait.
    Changed {
        /// The changes in order.
        changes: Vec<Change>,
        /// The store's version after them.
        version: Version,
        /// When the call to the store that brought them was sent, at the latest.
        sent: Moment,
        /// When they were made, if that is known.
        made: Option<Moment>,
        /// Whether the store itself told it.
        direct: bool,
    },
    /// A call failed.
    Failed(StoreError),
}

/// How calls for changes are paced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// How long one call waits for a change.
    pub(crate) wait: Duration,
    /// The pause after a change, so that the next call brings several.
    pub(crate) gather: Duration,
}

/// How long the store may let an entry wait that passes news on to others.
const RELAY_WAIT: Duration = Duration::from_secs(1);

/// Follows `scope` for ever, through an entry that reads the store for others where
/// there is one.
pub(crate) async fn follow<S, K, F>(
    store: &S,
    mut peers: Peers<K>,
    scope: Scope,
    pace: Pace,
    mut tell: F,
) where
    S: ChangeFeed,
    K: Fn() -> Vec<IpAddr>,
    F: FnMut(FeedNews),
{
    let mut known: Option<Version> = None;
    let mut pause = FIRST_WAIT;
    // When what the call before this one told was up to date.
    let mut last: Option<Moment> = None;
    let mut store_failed = false;
    loop {
        if let Some(peer) = peers.next(BootClock.now(), store_failed) {
            match peers.ask(peer, &scope, known).await {
                Ok(news) => {
                    (known, last) = reached(&news);
                    store_failed = false;
                    tell(news);
                }
                // Nothing is known of what happened meanwhile.
                Err(CallError::Late) => {
                    last = None;
                    tell(FeedNews::Failed(StoreError::TimedOut(NEWS_LIMIT)));
                }
                // The next one is asked, or the store.
                Err(_) => {}
            }
            continue;
        }
        let wait = if peers.has_any() {
            pace.wait.min(RELAY_WAIT)
        } else {
            pace.wait
        };
        let Some(news) = ask_store(store, &scope, known, wait, last).await else {
            known = None;
            continue;
        };
        store_failed = matches!(news, FeedNews::Failed(_));
        if store_failed {
            last = None;
        } else {
            (known, _) = reached(&news);
            last = Some(BootClock.now());
        }
        let moved = matches!(&news, FeedNews::Changed { changes, .. } if !changes.is_empty());
        tell(news);
        if store_failed {
            sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            pause = (pause * 2).min(LONGEST_WAIT);
        } else {
            pause = FIRST_WAIT;
        }
        if moved {
            sleep(pace.gather).await;
        }
    }
}

/// The store's version that the news lead to, and when they were up to date.
fn reached(news: &FeedNews) -> (Option<Version>, Option<Moment>) {
    match news {
        FeedNews::Whole { listing, sent, .. } => (Some(listing.version), Some(*sent)),
        FeedNews::Changed { version, sent, .. } => (Some(*version), Some(*sent)),
        FeedNews::Failed(_) => (None, None),
    }
}

/// Asks the store what happened after `known`; none if it doesn't know any more.
async fn ask_store<S>(
    store: &S,
    scope: &Scope,
    known: Option<Version>,
    wait: Duration,
    last: Option<Moment>,
) -> Option<FeedNews>
where
    S: ChangeFeed,
{
    let sent = BootClock.now();
    let Some(version) = known else {
        return Some(match store.list_all(scope).await {
            Ok(listing) => FeedNews::Whole {
                listing,
                sent,
                made: made(last, sent, BootClock.now(), usize::MAX),
                direct: true,
            },
            Err(error) => FeedNews::Failed(error),
        });
    };
    match store.changes(scope, version, wait).await {
        Ok(Changes::Since { changes, version }) => Some(FeedNews::Changed {
            made: made(last, sent, BootClock.now(), size(&changes)),
            changes,
            version,
            sent,
            direct: true,
        }),
        Ok(Changes::Compacted) => None,
        Err(error) => Some(FeedNews::Failed(error)),
    }
}
