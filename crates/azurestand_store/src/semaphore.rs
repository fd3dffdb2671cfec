//! Leased permits: a distributed semaphore that limits concurrent holders.
//!
//! The permits of one semaphore are stored below one key: `KEY/fence` is the last
//! fencing number, `KEY/holders/NAME` is one holder. A permit is acquired by a
//! transaction on the condition that the number is unchanged since the listing, so
//! two holders never both acquire the last free permit. Between the listing and
//! the transaction holders can only disappear, which frees permits.

mod attempt;
mod message;

use azurestand_types::{Fence, Moment};

use crate::backoff::Backoff;
use crate::error::StoreError;
use crate::key::KeyError;
use crate::lease::{FencedLease, Lease, LeaseTiming};
use crate::store::{Grant, LeaseId, Listing, Renewal};
use crate::transaction::{Cause, Commit};

use attempt::{Finding, Keys};
pub use message::{PermitAction, PermitEvent, PermitUpdate, SemaphoreOptions};

#[derive(Debug)]
enum State {
    /// No permit, and none wanted.
    Idle,
    /// Waiting to retry.
    Waiting { until: Moment },
    /// Listing the holders, possibly with the lease of an attempt that had a conflict
    /// or an unknown outcome.
    Listing { lease: Option<Lease> },
    /// Requesting a lease.
    Granting { asked: Moment, finding: Finding },
    /// Acquiring the permit.
    Committing { lease: Lease, fence: Fence },
    /// Holding the permit, possibly with a renewal that counts once the holder's key is found
    /// under the lease: a restored store may have given the lease's id to another holder.
    Held {
        lease: Lease,
        fence: Fence,
        renewal: Option<Renewal>,
    },
}

/// One holder's side of the semaphore.
#[derive(Debug)]
pub struct Semaphore {
    keys: Keys,
    limit: u32,
    timing: LeaseTiming,
    backoff: Backoff,
    floor: Fence,
    wanted: bool,
    state: State,
}

impl Semaphore {
    /// Creates a holder that has not requested a permit.
    ///
    /// # Errors
    /// Fails when the holder's name can't be part of a key.
    pub fn new(options: SemaphoreOptions) -> Result<Self, KeyError> {
        Ok(Self {
            keys: Keys::new(options.key, &options.holder)?,
            limit: options.limit,
            timing: options.timing,
            backoff: Backoff::new(options.retry, options.seed),
            floor: Fence(0),
            wanted: false,
            state: State::Idle,
        })
    }

    /// The current fenced lease; `None` when no permit is held or its lease has expired.
    pub fn fenced_lease(&self, now: Moment) -> Option<FencedLease> {
        match &self.state {
            State::Held { lease, fence, .. } if lease.is_held(now) => Some(FencedLease {
                fence: *fence,
                until: lease.until(),
            }),
            _ => None,
        }
    }

    /// When to send [`PermitEvent::Tick`] at the latest; `None` while only an answer
    /// or a request can change the state.
    pub fn wake(&self) -> Option<Moment> {
        match &self.state {
            State::Waiting { until } => Some(*until),
            State::Held { lease, .. } => Some(lease.wake()),
            _ => None,
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn step(&mut self, now: Moment, event: PermitEvent) -> Vec<PermitAction> {
        let mut actions = Vec::new();
        match event {
            PermitEvent::Requested => self.request(&mut actions),
            PermitEvent::Released => self.release(&mut actions),
            PermitEvent::LimitChanged(limit) => self.limit = limit,
            PermitEvent::FenceSeen(fence) => self.floor = self.floor.max(fence),
            PermitEvent::Listed(listed) => self.listed(now, listed, &mut actions),
            PermitEvent::Granted(granted) => self.granted(now, granted.ok(), &mut actions),
            PermitEvent::Committed(commit) => self.committed(now, commit, &mut actions),
            PermitEvent::Renewed { id, answer } => self.renewed(now, id, answer.ok(), &mut actions),
            PermitEvent::Tick => {}
        }
        self.tick(now, &mut actions);
        actions
    }

    fn request(&mut self, actions: &mut Vec<PermitAction>) {
        self.wanted = true;
        if matches!(self.state, State::Idle) {
            self.list(None, actions);
        }
    }

    fn release(&mut self, actions: &mut Vec<PermitAction>) {
        self.wanted = false;
        match &self.state {
            State::Held { lease, .. } => {
                actions.push(PermitAction::Release(lease.id()));
                self.state = State::Idle;
            }
            State::Waiting { .. } => self.state = State::Idle,
            // The pending answer ends the attempt.
            State::Idle
            | State::Listing { .. }
            | State::Granting { .. }
            | State::Committing { .. } => {}
        }
    }

    fn list(&mut self, lease: Option<Lease>, actions: &mut Vec<PermitAction>) {
        self.state = State::Listing { lease };
        actions.push(PermitAction::List(self.keys.scope()));
    }

    fn listed(
        &mut self,
        now: Moment,
        listed: Result<Listing, StoreError>,
        actions: &mut Vec<PermitAction>,
    ) {
        if matches!(self.state, State::Held { .. }) {
            return self.extend(now, listed, actions);
        }
        let State::Listing { lease } = &self.state else {
            return;
        };
        let lease = lease.filter(|lease| lease.is_held(now));
        let finding =
            listed.map(|listing| self.keys.inspect(&listing, lease.map(|held| held.id())));
        match (finding, lease) {
            (_, lease) if !self.wanted => self.abandon(now, lease, actions),
            (Err(_), lease) => self.abandon(now, lease, actions),
            (Ok(Finding::Own { fence }), Some(lease)) => self.hold(now, lease, fence, actions),
            (Ok(finding), lease) if !finding.has_room(self.limit) => {
                self.abandon(now, lease, actions);
            }
            (Ok(finding), Some(lease)) => self.take(lease, &finding, actions),
            (Ok(finding), None) => {
                self.state = State::Granting {
                    asked: now,
                    finding,
                };
                actions.push(PermitAction::Grant(self.timing));
            }
        }
    }

    /// Ends an attempt, and retries later while a permit is requested.
    ///
    /// Releasing the lease invalidates a commit that is still in flight: the store
    /// rejects writes under a lease that no longer exists.
    fn abandon(&mut self, now: Moment, lease: Option<Lease>, actions: &mut Vec<PermitAction>) {
        if let Some(lease) = lease {
            actions.push(PermitAction::Release(lease.id()));
        }
        self.wait(now);
    }

    fn granted(&mut self, now: Moment, granted: Option<Grant>, actions: &mut Vec<PermitAction>) {
        let State::Granting { asked, finding } = &self.state else {
            return;
        };
        let (asked, finding) = (*asked, finding.clone());
        match granted {
            None => self.wait(now),
            Some(grant) => {
                let lease = Lease::granted(self.timing, asked, grant);
                if self.wanted && lease.is_held(now) {
                    self.take(lease, &finding, actions);
                } else {
                    self.abandon(now, Some(lease), actions);
                }
            }
        }
    }

    fn take(&mut self, lease: Lease, finding: &Finding, actions: &mut Vec<PermitAction>) {
        let (transaction, fence) = self.keys.transaction(finding, lease.id(), self.floor);
        self.state = State::Committing { lease, fence };
        actions.push(PermitAction::Commit(transaction));
    }

    fn committed(&mut self, now: Moment, commit: Commit, actions: &mut Vec<PermitAction>) {
        let State::Committing { lease, fence } = &self.state else {
            return;
        };
        let (lease, fence) = (*lease, *fence);
        match commit {
            _ if !self.wanted => self.abandon(now, Some(lease), actions),
            Commit::Applied { .. } => self.hold(now, lease, fence, actions),
            // Another holder was faster, or the answer was lost: list again at once with
            // the same lease.
            Commit::NotApplied(Cause::Conflict) | Commit::Unknown => {
                self.list(Some(lease), actions);
            }
            Commit::NotApplied(_) => self.abandon(now, Some(lease), actions),
        }
    }

    fn hold(&mut self, now: Moment, lease: Lease, fence: Fence, actions: &mut Vec<PermitAction>) {
        if !lease.is_held(now) {
            return self.abandon(now, Some(lease), actions);
        }
        self.backoff.reset();
        self.state = State::Held {
            lease,
            fence,
            renewal: None,
        };
        let until = lease.until();
        let fenced_lease = FencedLease { fence, until };
        actions.push(PermitAction::Report(PermitUpdate::Held(fenced_lease)));
    }

    fn renewed(
        &mut self,
        now: Moment,
        id: LeaseId,
        renewal: Option<Renewal>,
        actions: &mut Vec<PermitAction>,
    ) {
        let State::Held {
            lease,
            renewal: unproved,
            ..
        } = &mut self.state
        else {
            return;
        };
        if lease.id() != id {
            return;
        }
        match renewal {
            None => lease.renewal_failed(now, self.backoff.delay()),
            Some(Renewal::Expired) => lease.handle_renewal(Renewal::Expired),
            Some(renewed) => {
                *unproved = Some(renewed);
                actions.push(PermitAction::List(self.keys.scope()));
            }
        }
    }

    /// Extends the lease by a renewal if the listing has the holder's key under it.
    fn extend(
        &mut self,
        now: Moment,
        listed: Result<Listing, StoreError>,
        actions: &mut Vec<PermitAction>,
    ) {
        let State::Held {
            lease,
            fence,
            renewal,
        } = &mut self.state
        else {
            return;
        };
        let Some(renewal) = renewal.take() else {
            return;
        };
        let Ok(listing) = listed else {
            lease.renewal_failed(now, self.backoff.delay());
            return;
        };
        if self.keys.inspect(&listing, Some(lease.id())) != (Finding::Own { fence: *fence }) {
            // The lease isn't released, since it may be another holder's by now.
            actions.push(PermitAction::Report(PermitUpdate::Lost));
            self.wait(now);
            return;
        }
        self.backoff.reset();
        let before = lease.until();
        lease.handle_renewal(renewal);
        let (fence, until) = (*fence, lease.until());
        if until > before && lease.is_held(now) {
            let fenced_lease = FencedLease { fence, until };
            actions.push(PermitAction::Report(PermitUpdate::Held(fenced_lease)));
        }
    }

    fn wait(&mut self, now: Moment) {
        self.state = if self.wanted {
            State::Waiting {
                until: now + self.backoff.delay(),
            }
        } else {
            State::Idle
        };
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<PermitAction>) {
        match &mut self.state {
            State::Waiting { until } if now >= *until => self.list(None, actions),
            State::Held { lease, .. } if !lease.is_held(now) => {
                actions.push(PermitAction::Release(lease.id()));
                actions.push(PermitAction::Report(PermitUpdate::Lost));
                self.wait(now);
            }
            State::Held { lease, .. } => {
                let renew = lease
                    .start_renewal(now)
                    .then(|| PermitAction::Renew(lease.id()));
                actions.extend(renew);
            }
            _ => {}
        }
    }
}
