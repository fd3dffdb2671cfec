//! Runs a [`Semaphore`] against a store, in a task of its own.

use std::sync::Arc;

use azurestand_types::{Fence, Moment};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::key::KeyError;
use crate::lease::Warrant;
use crate::semaphore::{PermitAction, PermitEvent, Semaphore, SemaphoreOptions};
use crate::store::Store;

const WISHES_QUEUED: usize = 16;

/// One holder's permit, wanted or held, until it is dropped.
///
/// Dropping it gives nothing back: the permit then ends with its lease. Call
/// [`Self::close`] to give it back at once.
#[derive(Debug)]
pub struct Permit {
    wishes: mpsc::Sender<PermitEvent>,
    warrant: watch::Receiver<Option<Warrant>>,
    task: JoinHandle<()>,
}

impl Permit {
    /// Starts without wanting a permit; moments count from `start`.
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
        let (wishes, received) = mpsc::channel(WISHES_QUEUED);
        let (told, warrant) = watch::channel(None);
        let run = Run {
            store,
            semaphore: Semaphore::new(options)?,
            clock: Clock::new(start),
            wishes: received,
            told,
            calls: JoinSet::new(),
        };
        let task = tokio::spawn(run.drive());
        Ok(Self {
            wishes,
            warrant,
            task,
        })
    }

    /// Asks for a permit, now and again whenever it is lost.
    pub async fn want(&self) {
        self.tell(PermitEvent::Wanted).await;
    }

    /// Gives the permit back and asks for none.
    pub async fn finish(&self) {
        self.tell(PermitEvent::Done).await;
    }

    /// Changes the number of permits; held ones stay.
    pub async fn set_limit(&self, limit: u32) {
        self.tell(PermitEvent::LimitChanged(limit)).await;
    }

    /// Tells of a fencing number seen elsewhere, as in an engine's refusal.
    pub async fn see_fence(&self, fence: Fence) {
        self.tell(PermitEvent::FenceSeen(fence)).await;
    }

    /// The right to act at `now`; ask right before each act.
    pub fn warrant(&self, now: Moment) -> Option<Warrant> {
        self.warrant.borrow().filter(|warrant| now < warrant.until)
    }

    /// Waits until the permit is taken, extended, given back or lost.
    pub async fn changed(&mut self) {
        if self.warrant.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Gives the permit back and waits until the store has been told.
    pub async fn close(mut self) {
        let (closed, _) = mpsc::channel(1);
        self.finish().await;
        self.wishes = closed;
        let _ = (&mut self.task).await;
    }

    async fn tell(&self, event: PermitEvent) {
        // The task ends only with its owner or the runtime.
        let _ = self.wishes.send(event).await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Run<S> {
    store: Arc<S>,
    semaphore: Semaphore,
    clock: Clock,
    wishes: mpsc::Receiver<PermitEvent>,
    told: watch::Sender<Option<Warrant>>,
    calls: JoinSet<Option<PermitEvent>>,
}

impl<S> Run<S>
where
    S: Store + 'static,
{
    async fn drive(mut self) {
        let mut open = true;
        while open || !self.calls.is_empty() {
            let (clock, wake) = (self.clock, self.semaphore.wake());
            tokio::select! {
                wish = self.wishes.recv(), if open => match wish {
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
            self.act(action);
        }
        let warrant = self.semaphore.warrant(now);
        self.told.send_if_modified(|told| {
            let changed = *told != warrant;
            *told = warrant;
            changed
        });
    }

    fn act(&mut self, action: PermitAction) {
        // News reach the owner as a changed warrant.
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
        PermitAction::Keep(lease) => PermitEvent::Kept {
            lease,
            kept: store.keep(lease).await,
        },
        PermitAction::Release(lease) => {
            // A lease that could not be released lapses by itself.
            let _ = store.release(lease).await;
            return None;
        }
        PermitAction::Report(_) => return None,
    };
    Some(event)
}
