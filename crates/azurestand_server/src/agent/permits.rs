//! Runs semaphores of the store: the right to give orders, and permits to leave service.

use azurestand_store::{
    BackoffLimits, HttpStore, Key, KeyError, LeaseTiming, PermitAction, PermitEvent, PermitNews,
    Semaphore, SemaphoreOptions, Store,
};
use azurestand_types::Moment;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::node::Node;

const LEASE: Duration = Duration::from_secs(30);
const COMMANDS: usize = 32;

/// What a semaphore is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Wish {
    /// The store's key of the semaphore.
    pub(super) key: String,
    /// How many may hold it.
    pub(super) limit: u32,
}

/// Tells a running semaphore what is wanted.
#[derive(Debug, Clone)]
pub(super) struct Permit(mpsc::Sender<PermitEvent>);

impl Permit {
    /// Starts a semaphore; `tell` hears when it is held or lost.
    pub(super) fn start<F>(node: &Node, wish: &Wish, tell: F) -> Result<Self, KeyError>
    where
        F: Fn(PermitNews) + Send + Sync + 'static,
    {
        let own = node.links.own();
        // At least a tenth of the lease is kept back, since clocks differ a little.
        let Ok(timing) = LeaseTiming::try_from(LEASE) else {
            return Err(KeyError::Malformed(wish.key.clone()));
        };
        let semaphore = Semaphore::new(SemaphoreOptions {
            key: Key::try_from(wish.key.as_str())?,
            holder: format!("{}-{}", own.host, own.incarnation),
            limit: wish.limit,
            timing,
            retry: BackoffLimits::default(),
            seed: own.incarnation.0 ^ u64::from(own.address.port()),
        })?;
        let (commands, events) = mpsc::channel(COMMANDS);
        let runner = Runner {
            node: node.clone(),
            store: node.store.clone(),
            semaphore,
            tell,
        };
        let stop = node.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(runner.run(events)));
        Ok(Self(commands))
    }

    /// Tells the semaphore something, without waiting.
    pub(super) fn tell(&self, event: PermitEvent) {
        let _ = self.0.try_send(event);
    }
}

struct Runner<F> {
    node: Node,
    store: Arc<HttpStore>,
    semaphore: Semaphore,
    tell: F,
}

impl<F> Runner<F>
where
    F: Fn(PermitNews) + Send + Sync + 'static,
{
    async fn run(mut self, mut events: mpsc::Receiver<PermitEvent>) {
        loop {
            let wake = self.semaphore.wake();
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                () = self.sleep(wake) => PermitEvent::Tick,
            };
            self.step(event).await;
        }
    }

    async fn sleep(&self, wake: Option<Moment>) {
        match wake {
            Some(wake) => sleep_until(self.node.clock.instant(wake)).await,
            None => std::future::pending().await,
        }
    }

    /// Feeds one event and what its actions bring, until nothing is left to do.
    async fn step(&mut self, event: PermitEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.node.clock.now();
            for action in self.semaphore.step(now, event) {
                events.extend(self.act(action).await);
            }
        }
    }

    async fn act(&self, action: PermitAction) -> Option<PermitEvent> {
        match action {
            PermitAction::List(scope) => Some(PermitEvent::Listed(self.store.list(&scope).await)),
            PermitAction::Grant(timing) => {
                Some(PermitEvent::Granted(self.store.grant(timing.ttl()).await))
            }
            PermitAction::Commit(transaction) => Some(PermitEvent::Committed(
                self.store.commit(&transaction).await,
            )),
            PermitAction::Keep(lease) => {
                let kept = self.store.keep(lease).await;
                Some(PermitEvent::Kept { lease, kept })
            }
            PermitAction::Release(lease) => {
                // A release that gets lost only means waiting for the lease's end.
                let _ = self.store.release(lease).await;
                None
            }
            PermitAction::Report(news) => {
                (self.tell)(news);
                None
            }
        }
    }
}

/// The longest that an earlier holder of a lease may have held it.
pub(super) const PRIOR_LEASE: Duration = LEASE;
