//! How long a holder may trust its lease.

use std::time::Duration;

use azurestand_types::{Fence, Moment};
use quick_error::quick_error;

use crate::store::{Grant, Kept, LeaseId};

const SHORTEST_TTL: Duration = Duration::from_secs(2);
const LEAST_MARGIN: Duration = Duration::from_millis(200);
const MARGIN_PART: u32 = 10;
const RENEW_PART: u32 = 3;

quick_error! {
    /// Why a lease can't be used.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LeaseError {
        /// The time to live leaves no room for a margin and a retry.
        TooShort(ttl: Duration) {
            display("a lease of {ttl:?} is too short; use 2 s or more")
        }
    }
}

/// When a lease is renewed and when its holder stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    ttl: Duration,
    margin: Duration,
}

impl LeaseTiming {
    /// The time to live to ask for.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// How long before the store's earliest lapse the holder stops.
    pub fn margin(&self) -> Duration {
        self.margin
    }
}

impl TryFrom<Duration> for LeaseTiming {
    type Error = LeaseError;

    fn try_from(ttl: Duration) -> Result<Self, LeaseError> {
        if ttl < SHORTEST_TTL {
            return Err(LeaseError::TooShort(ttl));
        }
        let margin = (ttl / MARGIN_PART).max(LEAST_MARGIN);
        Ok(Self { ttl, margin })
    }
}

/// The right to act under a fencing number until a moment of the own clock.
///
/// Every order and every write under a lease carries the number. An actor
/// checks the warrant right before it acts, with the time that the act takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warrant {
    /// The fencing number; a later holder's is higher.
    pub fence: Fence,
    /// When the holder stops.
    pub until: Moment,
}

impl Warrant {
    /// Whether an act that takes `span` would be done in time.
    pub fn allows(&self, now: Moment, span: Duration) -> bool {
        now + span < self.until
    }
}

/// A lease as its holder judges it, by its own monotonic clock alone.
///
/// Time counts from before the call was sent. The store starts counting later,
/// so the holder stops first, however long the answer took or the holder slept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    id: LeaseId,
    timing: LeaseTiming,
    until: Moment,
    renew: Moment,
    asked: Option<Moment>,
}

impl Lease {
    /// A lease that was asked for at `asked` and then granted.
    ///
    /// A store may grant less time than was asked for; the lesser counts.
    pub fn granted(timing: LeaseTiming, asked: Moment, grant: Grant) -> Self {
        let mut lease = Self {
            id: grant.lease,
            timing,
            until: asked,
            renew: asked,
            asked: None,
        };
        lease.extend(asked, grant.ttl);
        lease
    }

    /// The store's name of the lease.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// When the holder stops.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Whether the holder may still act.
    pub fn is_held(&self, now: Moment) -> bool {
        now < self.until
    }

    /// When to look at the lease next: to renew it or to stop.
    pub fn wake(&self) -> Moment {
        match self.asked {
            Some(_) => self.until,
            None => self.renew.min(self.until),
        }
    }

    /// Whether to send a call to keep the lease now; the answer goes to
    /// [`Self::kept`], a failure to [`Self::failed`].
    pub fn renews(&mut self, now: Moment) -> bool {
        let due = self.asked.is_none() && now >= self.renew && self.is_held(now);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Takes the store's answer; a lapsed lease ends at once.
    pub fn kept(&mut self, kept: Kept) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        match kept {
            Kept::Kept { ttl } => self.extend(asked, ttl),
            Kept::Lapsed => self.until = self.until.min(asked),
        }
    }

    /// No answer came; try again after `delay`. The lease runs on meanwhile.
    pub fn failed(&mut self, now: Moment, delay: Duration) {
        self.asked = None;
        self.renew = now + delay;
    }

    fn extend(&mut self, asked: Moment, granted: Duration) {
        let ttl = granted.min(self.timing.ttl);
        let margin = self.timing.margin;
        self.until = self.until.max(asked + ttl.saturating_sub(margin));
        self.renew = asked + ttl / RENEW_PART;
    }
}
