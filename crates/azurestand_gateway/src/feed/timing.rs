//! When changes were made, as far as a process can tell that follows the store.
//!
//! The store gives no times. A process knows up to when it missed nothing and when a
//! response arrived; in between it, the entry that relays updates, or the store may have
//! failed or stalled.

#[cfg(test)]
mod tests;

use std::time::Duration;

use azurestand_store::{Era, Position};
use azurestand_types::Moment;
use derive_more::Display;

use super::FeedUpdate;
use crate::clock::BootClock;

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

/// How much earlier than by this process's clock the store may end a wait.
const WAIT_MARGIN: Duration = Duration::from_millis(50);
/// How long calls are short after the store came back from an older copy.
const DOUBT_TIME: Duration = Duration::from_secs(3);

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
    /// Unknown: this is the first update of this process.
    #[display("found")]
    AtStart,
    /// Unknown: the store had failed for a while before the update.
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
pub(super) struct Exchange {
    sent: Moment,
    pub(super) received: Moment,
    /// How long the store was asked to wait for a change.
    wait: Duration,
    /// Whether this process stalled between the two.
    has_stalled: bool,
}

impl Exchange {
    /// The call that was sent at `sent` and whose response has just arrived.
    pub(super) fn ended(sent: Moment, wait: Duration, has_stalled: bool) -> Self {
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

    /// The time up to which the store certainly had no later change than those in the
    /// response. An empty response that took the whole wait shows that there was none during
    /// the wait, which began no sooner than the call.
    pub(super) fn proved_at(self, is_empty: bool) -> Moment {
        let has_waited = self.received.since(self.sent) >= self.wait;
        if is_empty && has_waited && self.is_prompt() {
            self.sent + self.wait.saturating_sub(WAIT_MARGIN)
        } else {
            self.sent
        }
    }

    /// The time up to which nothing is missing after the response.
    pub(super) fn complete_at(self) -> Moment {
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
    /// The store's position after the last update; none if the next call is for all values.
    known: Option<Position>,
    /// The store's position after the last update, also if the next call is for all values.
    latest: Option<Position>,
    /// Until when calls are short, since the store came back from an older copy.
    doubt_end: Moment,
    /// When the call that returned the last update was sent; nothing was missing up to then.
    proof: Option<Moment>,
    /// When the response with the last update left the store, as far as known; nothing was
    /// missing up to then. None after a failed call.
    last: Option<Moment>,
    /// When the first call to the store failed since the last update.
    failing_since: Option<Moment>,
}

impl Progress {
    /// The store's position after the last update; none if the next call is for all values.
    pub(crate) fn known(self) -> Option<Position> {
        self.known
    }

    /// The store's position after the last update; the default one before any.
    pub(crate) fn latest(self) -> Position {
        self.latest.unwrap_or_default()
    }

    /// Whether the store has just come back from an older copy.
    pub(super) fn is_in_doubt(self, now: Moment) -> bool {
        now < self.doubt_end
    }

    /// Whether the store came back from an older copy if it is at `position` now.
    fn is_restart(self, position: Position) -> bool {
        self.latest
            .is_some_and(|latest| !latest.continues_to(position))
    }

    /// Whether a listing at `position` may lack acknowledged changes: the store came back from
    /// an older copy since the last update. Before the first update that can't be ruled out for
    /// a store that names eras.
    pub(crate) fn may_lack_changes(self, position: Position) -> bool {
        match self.latest {
            Some(_) => self.is_restart(position),
            None => position.era > Era::default(),
        }
    }

    /// Whether an update through an entry that leads to `position` may follow the last one. An
    /// entry may lag behind; of the store's history it proves only that of a later era.
    pub(crate) fn accepts(self, position: Position) -> bool {
        position >= self.latest()
    }

    /// Records that the changes since the last update are no longer available; the next call
    /// is for all values.
    pub(crate) fn record_compaction(&mut self) {
        self.known = None;
    }

    /// Records that the relaying entry did not respond. It is unknown what changed meanwhile.
    pub(super) fn record_relay_failure(&mut self) {
        self.last = None;
    }

    /// The age of the proof that nothing was missing; none without one.
    pub(super) fn proof_age(self, now: Moment) -> Option<Duration> {
        self.proof.map(|proof| now.since(proof))
    }

    /// Whether the last call to the store failed.
    pub(super) fn is_store_failing(self) -> bool {
        self.failing_since.is_some()
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
    pub(super) fn time_of(self, call: Exchange, bytes: usize) -> ChangeTime {
        let at = call.change_time(self.last, bytes);
        at.map_or_else(|| self.change_time(call.received), ChangeTime::Known)
    }

    /// Records an update up to which nothing is missing at `last`.
    pub(crate) fn record(&mut self, update: &FeedUpdate, last: Moment) {
        let Some((position, called_at)) = update.position().zip(update.called_at()) else {
            return;
        };
        let doubt_end = if self.is_restart(position) {
            called_at + DOUBT_TIME
        } else {
            self.doubt_end
        };
        *self = Self {
            doubt_end,
            known: Some(position),
            latest: Some(position),
            proof: Some(called_at),
            last: Some(last),
            failing_since: None,
        };
    }

    /// Records that the store failed at `now`; the next call is for all values.
    pub(crate) fn record_store_failure(&mut self, now: Moment) {
        self.known = None;
        self.last = None;
        self.failing_since.get_or_insert(now);
    }
}
