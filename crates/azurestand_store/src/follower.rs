//! Runs a [`Follow`] against a store, in a separate task.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;

use azurestand_types::Moment;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::error::StoreError;
use crate::follow::{Follow, FollowAction, FollowEvent, FollowTiming, FollowUpdate};
use crate::key::Scope;
use crate::store::{Store, Watch, WatchEvent};
use crate::transaction::Version;

const UPDATE_QUEUE_LEN: usize = 64;

/// Follows a scope until it is dropped.
#[derive(Debug)]
pub struct Follower {
    updates: mpsc::Receiver<FollowUpdate>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Follows `scope`; `seed` randomizes the retries of followers that fail together.
    pub fn start<S>(store: Arc<S>, scope: Scope, timing: FollowTiming, seed: u64) -> Self
    where
        S: Store + 'static,
    {
        let (sender, updates) = mpsc::channel(UPDATE_QUEUE_LEN);
        let runner = Runner {
            store,
            scope,
            follow: Follow::new(timing, Moment::START, seed),
            clock: Clock::new(Instant::now()),
            watch: None,
            call: None,
            updates: sender,
        };
        let task = tokio::spawn(runner.run());
        Self { updates, task }
    }

    /// Returns the next update. Cancel safe: dropping the future loses none.
    ///
    /// Waits forever when the follower's task has ended, which happens only
    /// when the runtime shuts down.
    pub async fn next(&mut self) -> FollowUpdate {
        match self.updates.recv().await {
            Some(update) => update,
            None => std::future::pending().await,
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

enum Answer {
    Event(FollowEvent),
    Watch(Result<Watch, StoreError>),
}

type Call = Pin<Box<dyn Future<Output = Answer> + Send>>;

struct Runner<S> {
    store: Arc<S>,
    scope: Scope,
    follow: Follow,
    clock: Clock,
    watch: Option<Watch>,
    call: Option<Call>,
    updates: mpsc::Sender<FollowUpdate>,
}

impl<S> Runner<S>
where
    S: Store + 'static,
{
    async fn run(mut self) {
        loop {
            let event = self.event().await;
            let now = self.clock.now();
            let mut actions = VecDeque::from(self.follow.step(now, event));
            while let Some(action) = actions.pop_front() {
                if !self.execute(action).await {
                    return;
                }
            }
        }
    }

    /// Waits for an answer, a watch event or the wake time, whichever comes first.
    async fn event(&mut self) -> FollowEvent {
        let (clock, wake) = (self.clock, self.follow.wake());
        tokio::select! {
            answer = answer(&mut self.call) => {
                self.call = None;
                self.handle_answer(answer)
            }
            event = watch_event(&mut self.watch) => FollowEvent::Watched(event),
            () = clock.sleep_until(wake) => FollowEvent::Tick,
        }
    }

    fn handle_answer(&mut self, answer: Answer) -> FollowEvent {
        match answer {
            Answer::Event(event) => event,
            Answer::Watch(Ok(watch)) => {
                let version = watch.version();
                self.watch = Some(watch);
                FollowEvent::Opened(Ok(version))
            }
            Answer::Watch(Err(error)) => FollowEvent::Opened(Err(error)),
        }
    }

    /// Executes an action; returns false when the receiver was dropped.
    async fn execute(&mut self, action: FollowAction) -> bool {
        let (store, scope) = (Arc::clone(&self.store), self.scope.clone());
        match action {
            FollowAction::List => {
                self.call = Some(Box::pin(async move {
                    Answer::Event(FollowEvent::Listed(store.list(&scope).await))
                }));
            }
            FollowAction::Probe => {
                self.call = Some(Box::pin(async move {
                    Answer::Event(FollowEvent::Probed(store.versions(&scope).await))
                }));
            }
            FollowAction::Open => {
                self.call = Some(Box::pin(async move {
                    Answer::Watch(store.watch(&scope, Version(0)).await)
                }));
            }
            FollowAction::Close => self.watch = None,
            FollowAction::Report(update) => return self.updates.send(update).await.is_ok(),
        }
        true
    }
}

async fn answer(call: &mut Option<Call>) -> Answer {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}

async fn watch_event(watch: &mut Option<Watch>) -> WatchEvent {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}
