//! Whom a daemon asks for news of the store.

#[cfg(test)]
mod tests;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_store::{Change, Listing, Scope, Version};
use azurestand_types::{Moment, rendezvous};
use bytes::Bytes;
use http::Method;
use prost::Message;

use super::message::{KeyScope, NewsAnswer, NewsQuestion};
use super::server::NEWS_PATH;
use crate::client::{CallError, Client, plain_request};
use crate::clock::BootClock;
use crate::feed::FeedNews;

/// How long an answer may take to begin. An entry that reads the store answers sooner; the
/// store is asked early enough for what was changed meanwhile to be in force in time.
pub(crate) const NEWS_LIMIT: Duration = Duration::from_millis(1_600);
/// How long the rest of an answer may take.
const BODY_LIMIT: Duration = Duration::from_secs(1);
/// The largest answer, in bytes.
const MAX_NEWS_BYTES: usize = 16 << 20;
/// An entry that gave no news isn't asked for this long.
const REST: Duration = Duration::from_secs(3);
/// Entries that are asked before the store.
const MOST_ASKED: usize = 2;

/// The entries of one data centre that a daemon may ask.
pub(crate) struct Peers<F> {
    client: Client,
    /// The data centre, by which the order is made.
    centre: Arc<str>,
    /// The daemon's own address, if it is an entry.
    own: Option<IpAddr>,
    port: u16,
    known: F,
    resting: Vec<(IpAddr, Moment)>,
    /// The peer of the last answer, and the answer's number.
    last: Option<(IpAddr, u64)>,
}

impl<F> Peers<F>
where
    F: Fn() -> Vec<IpAddr>,
{
    /// `known` gives the entries of the data centre that are known to live; `own` is
    /// none for an agent.
    pub(crate) fn new(
        client: Client,
        centre: Arc<str>,
        own: Option<IpAddr>,
        port: u16,
        known: F,
    ) -> Self {
        Self {
            client,
            centre,
            own,
            port,
            known,
            resting: Vec::new(),
            last: None,
        }
    }

    /// Whether any other entry is known.
    pub(crate) fn has_any(&self) -> bool {
        (self.known)().iter().any(|ip| Some(*ip) != self.own)
    }

    /// The entry to ask now; none when the store is to be asked. If the store has just
    /// failed, an entry that would else ask this one will do.
    pub(crate) fn next(&mut self, now: Moment, store_failed: bool) -> Option<IpAddr> {
        self.resting.retain(|(_, until)| now < *until);
        let known = (self.known)();
        let order = order(&self.centre, self.own, &known, store_failed);
        let is_awake = |ip: &IpAddr| self.resting.iter().all(|(other, _)| other != ip);
        order.into_iter().take(MOST_ASKED).find(is_awake)
    }

    /// Doesn't ask `peer` for a while.
    fn rest(&mut self, now: Moment, peer: IpAddr) {
        self.resting.push((peer, now + REST));
    }

    /// Asks `peer` for changes after `after`, or for all values.
    ///
    /// # Errors
    ///
    /// [`CallError`] when it has no news; it isn't asked again for a while. After a call
    /// without an answer no other entry is asked either, since time is short.
    pub(crate) async fn ask(
        &mut self,
        peer: IpAddr,
        scope: &Scope,
        after: Option<Version>,
    ) -> Result<FeedNews, CallError> {
        let last = self.last.filter(|(ip, _)| *ip == peer);
        let question = NewsQuestion {
            scope: Some(KeyScope::from(scope)),
            after: after.map(|version| version.0),
            number: last.map_or(0, |(_, number)| number),
        };
        let sent = BootClock.now();
        let answer = self.call(peer, &question).await;
        if let Err(error) = &answer {
            let now = BootClock.now();
            self.rest(now, peer);
            if matches!(error, CallError::Late) {
                for other in (self.known)() {
                    self.rest(now, other);
                }
            }
        }
        let answer = answer?;
        self.last = Some((peer, answer.number));
        read(sent, answer)
    }

    async fn call(&self, peer: IpAddr, question: &NewsQuestion) -> Result<NewsAnswer, CallError> {
        let address = SocketAddr::new(peer, self.port);
        let body = Bytes::from(question.encode_to_vec());
        let request = plain_request(Method::POST, address, NEWS_PATH, body);
        let called =
            self.client
                .call_slow(address, request, NEWS_LIMIT, BODY_LIMIT, MAX_NEWS_BYTES);
        let answer = called.await?;
        if !answer.status().is_success() {
            return Err(CallError::Status(answer.status()));
        }
        let decoded = NewsAnswer::decode(answer.into_body());
        decoded.map_err(|error| CallError::Malformed(error.to_string()))
    }
}

/// The entries to ask, the first one first: those before `own`, or all others if
/// `all` is set.
fn order(centre: &str, own: Option<IpAddr>, known: &[IpAddr], all: bool) -> Vec<IpAddr> {
    let score = |ip: &IpAddr| rendezvous::score(centre.as_bytes(), &ip.to_string());
    let mut scored: Vec<_> = known.iter().map(|ip| (score(ip), *ip)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.dedup();
    let mine = own.map(|ip| (score(&ip), ip));
    let before = |one: &(u64, IpAddr)| mine.is_none_or(|mine| *one > mine);
    let is_other = |one: &(u64, IpAddr)| Some(one.1) != own;
    let asked = scored
        .into_iter()
        .filter(|one| is_other(one) && (all || before(one)));
    asked.map(|(_, ip)| ip).collect()
}

/// Reads an answer to a question that was sent at `sent`. The peer's moments count from
/// the question's arrival there, which was later.
fn read(sent: Moment, answer: NewsAnswer) -> Result<FeedNews, CallError> {
    let changes = answer.changes.into_iter().map(Change::try_from);
    let changes: Result<Vec<Change>, _> = changes.collect();
    let changes = changes.map_err(|error| CallError::Malformed(error.to_string()))?;
    let version = Version(answer.version);
    let proof = moment(sent, answer.proof);
    let made = answer.made.map(|offset| moment(sent, offset));
    if !answer.whole {
        return Ok(FeedNews::Changed {
            changes,
            version,
            sent: proof,
            made,
            direct: false,
        });
    }
    let values = changes.into_iter().filter_map(|change| match change {
        Change::Put(entry) => Some(entry),
        Change::Deleted { .. } => None,
    });
    Ok(FeedNews::Whole {
        listing: Listing {
            entries: values.collect(),
            version,
        },
        sent: proof,
        made: None,
        direct: false,
    })
}

/// The moment `offset` milliseconds after `start`, or before it if negative.
fn moment(start: Moment, offset: i64) -> Moment {
    let time = Duration::from_millis(offset.unsigned_abs());
    if offset < 0 {
        start - time
    } else {
        start + time
    }
}
