//! Runs a [`Follow`] against a store, in a task of its own.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;

use azurestand_types::Moment;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::error::StoreError;
use crate::follow::{Follow, FollowAction, FollowEvent, FollowTiming, News};
use crate::key::Scope;
use crate::store::{Store, Watch, WatchEvent};
use crate::transaction::Version;

const NEWS_QUEUED: usize = 64;

/// Follows a scope until it is dropped.
#[derive(Debug)]
pub struct Follower {
    news: mpsc::Receiver<News>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Follows `scope`; `seed` spreads the tries of followers that fail together.
    pub fn start<S>(store: Arc<S>, scope: Scope, timing: FollowTiming, seed: u64) -> Self
    where
        S: Store + 'static,
    {
        let (sender, news) = mpsc::channel(NEWS_QUEUED);
        let run = Run {
            store,
            scope,
            follow: Follow::new(timing, Moment::START, seed),
            clock: Clock::new(Instant::now()),
            watch: None,
            call: None,
            news: sender,
        };
        let task = tokio::spawn(run.drive());
        Self { news, task }
    }

    /// The next news; dropping the future before it is done loses none.
    ///
    /// Waits for ever when the follower's task has ended, which happens only
    /// when the runtime shuts down.
    pub async fn next(&mut self) -> News {
        match self.news.recv().await {
            Some(news) => news,
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

struct Run<S> {
    store: Arc<S>,
    scope: Scope,
    follow: Follow,
    clock: Clock,
    watch: Option<Watch>,
    call: Option<Call>,
    news: mpsc::Sender<News>,
}

impl<S> Run<S>
where
    S: Store + 'static,
{
    async fn drive(mut self) {
        loop {
            let event = self.event().await;
            let now = self.clock.now();
            let mut actions = VecDeque::from(self.follow.step(now, event));
            while let Some(action) = actions.pop_front() {
                if !self.act(action).await {
                    return;
                }
            }
        }
    }

    /// Waits for an answer, the watch or the time, whichever comes first.
    async fn event(&mut self) -> FollowEvent {
        let (clock, wake) = (self.clock, self.follow.wake());
        tokio::select! {
            answer = answer(&mut self.call) => {
                self.call = None;
                self.take(answer)
            }
            event = told(&mut self.watch) => FollowEvent::Watched(event),
            () = clock.sleep_until(wake) => FollowEvent::Tick,
        }
    }

    fn take(&mut self, answer: Answer) -> FollowEvent {
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

    /// Carries an action out; false when nobody listens any more.
    async fn act(&mut self, action: FollowAction) -> bool {
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
            FollowAction::Report(news) => return self.news.send(news).await.is_ok(),
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

async fn told(watch: &mut Option<Watch>) -> WatchEvent {
    match watch {
        Some(watch) => watch.next().await,
        None => std::future::pending().await,
    }
}
