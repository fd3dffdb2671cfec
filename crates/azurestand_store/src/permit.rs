//! Runs a [`Semaphore`] against a store in a separate task.

use std::sync::Arc;

use azurestand_types::{Fence, Moment};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::key::KeyError;
use crate::lease::FencedLease;
use crate::semaphore::{PermitAction, PermitEvent, Semaphore, SemaphoreOptions};
use crate::store::Store;

const REQUEST_QUEUE_LEN: usize = 16;

/// One holder's permit, requested or held, until it is dropped.
///
/// Dropping it doesn't release the permit, which then ends with its lease. Call
/// [`Self::close`] to release it at once.
#[derive(Debug)]
pub struct Permit {
    requests: mpsc::Sender<PermitEvent>,
    fenced_lease: watch::Receiver<Option<FencedLease>>,
    task: JoinHandle<()>,
}

impl Permit {
    /// Starts without requesting a permit; moments count from `start`.
    ///
    /// # Errors
    /// Fails when the holder's name can't be part of a key.
    pub fn start<S>(
        store: Arc<S>,
        options: SemaphoreOptions,
        start: Instant,
    ) -> Result<Self, KeyError>
    where
        S: Store + 'static,
    {
        let (requests, received) = mpsc::channel(REQUEST_QUEUE_LEN);
        let (published, fenced_lease) = watch::channel(None);
        let runner = Runner {
            store,
            semaphore: Semaphore::new(options)?,
            clock: Clock::new(start),
            requests: received,
            published,
            calls: JoinSet::new(),
        };
        let task = tokio::spawn(runner.run());
        Ok(Self {
            requests,
            fenced_lease,
            task,
        })
    }

    /// Requests a permit, and requests it again whenever it is lost.
    pub async fn request(&self) {
        self.submit(PermitEvent::Requested).await;
    }

    /// Releases the permit and requests no other.
    pub async fn release(&self) {
        self.submit(PermitEvent::Released).await;
    }

    /// Changes the number of permits; held permits are unaffected.
    pub async fn set_limit(&self, limit: u32) {
        self.submit(PermitEvent::LimitChanged(limit)).await;
    }

    /// Reports a fencing number seen elsewhere, for example in an engine's refusal.
    pub async fn observe_fence(&self, fence: Fence) {
        self.submit(PermitEvent::FenceSeen(fence)).await;
    }

    /// The fenced lease that is valid at `now`; check it right before each action.
    pub fn fenced_lease(&self, now: Moment) -> Option<FencedLease> {
        self.fenced_lease
            .borrow()
            .filter(|fenced_lease| now < fenced_lease.until)
    }

    /// Waits until the permit is acquired, extended, released or lost.
    pub async fn changed(&mut self) {
        if self.fenced_lease.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Releases the permit and waits until the call to the store has ended.
    pub async fn close(mut self) {
        let (closed, _) = mpsc::channel(1);
        self.release().await;
        self.requests = closed;
        let _ = (&mut self.task).await;
    }

    async fn submit(&self, event: PermitEvent) {
        // The task ends only with its owner or the runtime.
        let _ = self.requests.send(event).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Runner<S> {
    store: Arc<S>,
    semaphore: Semaphore,
    clock: Clock,
    requests: mpsc::Receiver<PermitEvent>,
    published: watch::Sender<Option<FencedLease>>,
    calls: JoinSet<Option<PermitEvent>>,
}

impl<S> Runner<S>
where
    S: Store + 'static,
{
    async fn run(mut self) {
        let mut open = true;
        while open || !self.calls.is_empty() {
            let (clock, wake) = (self.clock, self.semaphore.wake());
            tokio::select! {
                request = self.requests.recv(), if open => match request {
                    Some(event) => self.step(event),
                    None => open = false,
                },
                Some(answer) = self.calls.join_next() => {
                    if let Ok(Some(event)) = answer {
                        self.step(event);
                    }
                }
                () = clock.sleep_until(wake) => self.step(PermitEvent::Tick),
            }
        }
    }

    fn step(&mut self, event: PermitEvent) {
        let now = self.clock.now();
        for action in self.semaphore.step(now, event) {
            self.execute(action);
        }
        let fenced_lease = self.semaphore.fenced_lease(now);
        self.published.send_if_modified(|published| {
            let changed = *published != fenced_lease;
            *published = fenced_lease;
            changed
        });
    }

    fn execute(&mut self, action: PermitAction) {
        // The owner sees a report as a changed fenced lease.
        if let PermitAction::Report(_) = action {
            return;
        }
        let store = Arc::clone(&self.store);
        self.calls.spawn(async move { call(&*store, action).await });
    }
}

async fn call<S>(store: &S, action: PermitAction) -> Option<PermitEvent>
where
    S: Store,
{
    let event = match action {
        PermitAction::List(scope) => PermitEvent::Listed(store.list(&scope).await),
        PermitAction::Grant(timing) => PermitEvent::Granted(store.grant(timing.ttl()).await),
        PermitAction::Commit(transaction) => {
            PermitEvent::Committed(store.commit(&transaction).await)
        }
        PermitAction::Renew(id) => PermitEvent::Renewed {
            id,
            answer: store.renew(id).await,
        },
        PermitAction::Release(lease) => {
            // A lease that could not be released expires by itself.
            let _ = store.release(lease).await;
            return None;
        }
        PermitAction::Report(_) => return None,
    };
    Some(event)
}
