//! How long the holder of a lease may rely on it.

use std::time::Duration;

use azurestand_types::{Fence, Moment};
use quick_error::quick_error;

use crate::store::{Grant, LeaseId, Renewal};

const MIN_TTL: Duration = Duration::from_secs(2);
const MIN_MARGIN: Duration = Duration::from_millis(200);
const MARGIN_DIVISOR: u32 = 10;
const RENEW_DIVISOR: u32 = 3;

quick_error! {
    /// Why a lease can't be used.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LeaseError {
        /// The time to live is too short for a safety margin and a retry.
        TooShort(ttl: Duration) {
            display("a lease of {ttl:?} is too short; use 2 s or more")
        }
    }
}

/// The time to live and the safety margin of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    ttl: Duration,
    margin: Duration,
}

impl LeaseTiming {
    /// The time to live to request.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// How long before the lease's earliest expiry in the store the holder stops.
    pub fn margin(&self) -> Duration {
        self.margin
    }
}

impl TryFrom<Duration> for LeaseTiming {
    type Error = LeaseError;

    fn try_from(ttl: Duration) -> Result<Self, LeaseError> {
        if ttl < MIN_TTL {
            return Err(LeaseError::TooShort(ttl));
        }
        let margin = (ttl / MARGIN_DIVISOR).max(MIN_MARGIN);
        Ok(Self { ttl, margin })
    }
}

/// Permission to act under a fencing number until a moment of the local clock.
///
/// Every order and every write under a lease carries the number. The holder checks
/// it right before each action, with the time that the action takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedLease {
    /// The fencing number; each later holder has a higher one.
    pub fence: Fence,
    /// When the holder stops.
    pub until: Moment,
}

impl FencedLease {
    /// Whether an action that takes `span` would finish before the end.
    pub fn allows(&self, now: Moment, span: Duration) -> bool {
        now + span < self.until
    }
}

/// A lease from its holder's point of view, timed by the local monotonic clock alone.
///
/// Time counts from before the call was sent. The store starts counting later,
/// so the holder stops first, however long the answer took or the holder was paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    id: LeaseId,
    timing: LeaseTiming,
    until: Moment,
    renew: Moment,
    asked: Option<Moment>,
}

impl Lease {
    /// Creates a lease that was requested at `asked` and then granted.
    ///
    /// A store may grant less time than requested; the shorter time applies.
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

    /// The lease's id in the store.
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

    /// When the lease next needs action: a renewal or its end.
    pub fn wake(&self) -> Moment {
        match self.asked {
            Some(_) => self.until,
            None => self.renew.min(self.until),
        }
    }

    /// Whether to send a call to renew the lease now; the answer goes to
    /// [`Self::handle_renewal`], a failure to [`Self::renewal_failed`].
    pub fn start_renewal(&mut self, now: Moment) -> bool {
        let due = self.asked.is_none() && now >= self.renew && self.is_held(now);
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Applies the store's answer; an expired lease ends at once.
    pub fn handle_renewal(&mut self, renewal: Renewal) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        match renewal {
            Renewal::Renewed { ttl } => self.extend(asked, ttl),
            Renewal::Expired => self.until = self.until.min(asked),
        }
    }

    /// Records that no answer came and schedules a retry after `delay`. The lease
    /// keeps its end.
    pub fn renewal_failed(&mut self, now: Moment, delay: Duration) {
        self.asked = None;
        self.renew = now + delay;
    }

    fn extend(&mut self, asked: Moment, granted: Duration) {
        let ttl = granted.min(self.timing.ttl);
        let margin = self.timing.margin;
        self.until = self.until.max(asked + ttl.saturating_sub(margin));
        self.renew = asked + ttl / RENEW_DIVISOR;
    }
}
