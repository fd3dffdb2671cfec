//! Tells the daemons of a data centre what this entry reads in the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use azurestand_store::{Scope, Version};
use azurestand_types::Moment;
use prost::Message;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::log::{NewsLog, Noted};
use super::message::{NewsAnswer, NewsQuestion};
use crate::clock::BootClock;
use crate::feed::FeedNews;

/// Where news are asked for.
pub(crate) const NEWS_PATH: &str = "/news";
/// How long a caller is kept waiting for news. While the store answers, they come sooner.
const NEWS_WAIT: Duration = Duration::from_millis(1_500);

/// What one entry passes on.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    inner: Mutex<Inner>,
    moved: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    log: NewsLog,
    /// Counts what came from the store.
    number: u64,
    /// When the call to the store that brought the last of it was sent; none if the
    /// last news came from elsewhere, or none came.
    proof: Option<Moment>,
}

impl Relay {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what this entry has heard. Only what comes from the store itself is
    /// passed on, so that no two entries wait for each other.
    pub(crate) fn take(&self, news: &FeedNews) {
        let mut inner = self.lock();
        inner.proof = match news {
            FeedNews::Whole { listing, sent, .. } => {
                inner.log.replace(listing);
                Some(*sent)
            }
            FeedNews::Changed {
                changes,
                version,
                sent,
                made,
                ..
            } => {
                inner.log.extend(changes, *version, *made);
                Some(*sent)
            }
            FeedNews::Failed(_) => None,
        };
        let is_direct = match news {
            FeedNews::Whole { direct, .. } | FeedNews::Changed { direct, .. } => *direct,
            FeedNews::Failed(_) => false,
        };
        inner.proof = inner.proof.filter(|_| is_direct);
        inner.number += 1;
        drop(inner);
        self.moved.notify_waiters();
    }

    /// Waits until something came after answer `number`; gives when the call that brought
    /// it was sent, or none if this entry doesn't read the store now.
    async fn moved(&self, number: u64) -> Option<Moment> {
        loop {
            let moved = self.moved.notified();
            {
                let inner = self.lock();
                let proof = inner.proof?;
                if inner.number != number {
                    return Some(proof);
                }
            }
            moved.await;
        }
    }

    fn tell(&self, question: &Question, proof: Moment) -> Option<NewsAnswer> {
        let inner = self.lock();
        let version = inner.log.version();
        let from = |moment| offset(question.arrived, moment);
        let mut answer = NewsAnswer {
            version: version.0,
            number: inner.number,
            proof: from(proof),
            ..NewsAnswer::default()
        };
        let changes = match question.after {
            Some(after) if after > version => return None,
            Some(after) => inner.log.since(&question.scope, after),
            None => None,
        };
        if let Some(changes) = changes {
            answer.made = first_made(&changes).map(from);
            answer.changes = changes.into_iter().map(|noted| noted.change).collect();
        } else {
            answer.whole = true;
            answer.changes = inner.log.all(&question.scope);
        }
        Some(answer)
    }
}

/// A question that has been read.
struct Question {
    arrived: Moment,
    scope: Scope,
    after: Option<Version>,
}

/// When the first of the changes was made, if that is known of all.
fn first_made(changes: &[Noted]) -> Option<Moment> {
    let made: Option<Vec<Moment>> = changes.iter().map(|noted| noted.made).collect();
    made?.into_iter().min()
}

/// Milliseconds from `start` to `moment`, rounded down.
fn offset(start: Moment, moment: Moment) -> i64 {
    let whole = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    if moment >= start {
        whole(moment.since(start))
    } else {
        -whole(start.since(moment)) - 1
    }
}

/// Answers a question for news as soon as there are any.
pub(crate) async fn answer(
    State(relay): State<Arc<Relay>>,
    body: Bytes,
) -> Result<Bytes, StatusCode> {
    let arrived = BootClock.now();
    let raw = NewsQuestion::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let scope = Scope::try_from(raw.scope.unwrap_or_default());
    let question = Question {
        arrived,
        scope: scope.map_err(|_| StatusCode::BAD_REQUEST)?,
        after: raw.after.map(Version),
    };
    let moved = timeout(NEWS_WAIT, relay.moved(raw.number)).await;
    let proof = moved.ok().flatten();
    let proof = proof.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let told = relay.tell(&question, proof);
    let told = told.ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(told.encode_to_vec().into())
}
