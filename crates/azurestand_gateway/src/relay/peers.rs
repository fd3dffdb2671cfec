//! The entries that a daemon calls for updates of the store.

#[cfg(test)]
mod tests;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_store::{Change, Era, Position, Scope, Snapshot, Version};
use azurestand_types::{Moment, rendezvous};
use bytes::Bytes;
use http::Method;
use prost::Message;

use super::message::{KeyScope, UpdateRequest, UpdateResponse};
use super::server::UPDATES_PATH;
use crate::client::{CallError, Client, TransferLimits, plain_request};
use crate::clock::BootClock;
use crate::feed::{ChangeTime, FeedUpdate, Progress};

/// Timeout until the head of a response. An entry that reads the store responds sooner. It
/// leaves enough time to call the store, so that changes made meanwhile take effect in time.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The longest time in which no part of a response's body arrives.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the body of a response. Many daemons may fetch a large configuration from an entry
/// with a narrow link at the same moment.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout until the head of a response of an entry that is called because another one did not
/// respond in time.
const SECOND_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of entries in a row that don't respond, or can't be reached, before the store
/// is called.
const MAX_SILENT: u32 = 2;
/// The largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long an entry isn't called after a call failed.
const BACKOFF: Duration = Duration::from_secs(3);
/// Maximum number of entries that are called before the store. It is large enough that some of
/// them reach the store while many don't: a whole data centre that reads the store by itself
/// fills its link.
const MAX_PEERS: usize = 8;

/// The entries of one data centre that a daemon may call.
pub(crate) struct Peers<F> {
    client: Client,
    /// The data centre, which determines the order of its entries.
    centre: Arc<str>,
    /// The daemon's own address, if it is an entry.
    own: Option<IpAddr>,
    port: u16,
    known: F,
    /// Entries that aren't called until the given time.
    backoff: Vec<(IpAddr, Moment)>,
    /// The peer of the last response, and the response's number.
    last: Option<(IpAddr, u64)>,
    /// The number of entries that did not respond since the last response of any.
    silent: u32,
}

impl<F> Peers<F>
where
    F: Fn() -> Vec<IpAddr>,
{
    /// `known` returns the entries of the data centre that are known to be running; `own` is
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
            backoff: Vec::new(),
            last: None,
            silent: 0,
        }
    }

    /// Whether any other entry is known.
    pub(crate) fn has_any(&self) -> bool {
        (self.known)().iter().any(|ip| Some(*ip) != self.own)
    }

    /// The entry to call now; none if the store is to be called. If the store has just failed,
    /// this may also be an entry that itself calls this one.
    pub(crate) fn next(&mut self, now: Moment, store_failed: bool) -> Option<IpAddr> {
        self.backoff.retain(|(_, until)| now < *until);
        let known = (self.known)();
        let order = order(&self.centre, self.own, &known, store_failed);
        let is_available = |ip: &IpAddr| self.backoff.iter().all(|(other, _)| other != ip);
        let next = order.into_iter().take(MAX_PEERS).find(is_available);
        if next.is_none() {
            self.silent = 0;
        }
        next
    }

    /// Excludes `peer` from calls for [`BACKOFF`].
    fn back_off(&mut self, now: Moment, peer: IpAddr) {
        self.backoff.push((peer, now + BACKOFF));
    }

    /// Requests from `peer` the changes after those of `progress`, or all values.
    ///
    /// # Errors
    ///
    /// [`CallError`] if it returns no updates; it isn't called again for a while. After some
    /// time-outs in a row the other entries aren't called either, since little time is left.
    pub(crate) async fn request_updates(
        &mut self,
        peer: IpAddr,
        scope: &Scope,
        progress: Progress,
    ) -> Result<FeedUpdate, CallError> {
        let request = UpdateRequest {
            scope: Some(KeyScope::from(scope)),
            after: progress.known().map(|known| known.version.0),
            number: self.last_number(peer),
            era: progress.latest().era.0,
            latest: progress.latest().version.0,
        };
        let sent = BootClock.now();
        let response = self.call(peer, &request).await;
        if let Err(error) = &response {
            self.record_failure(BootClock.now(), peer, error);
        }
        let response = response?;
        self.silent = 0;
        self.last = Some((peer, response.number));
        let update = decode(sent, response, progress);
        if update.is_err() {
            self.back_off(BootClock.now(), peer);
        }
        update
    }

    /// The number of the last response of `peer`, after which it waits for an update. After a
    /// silent entry there is no time to wait, so it is as if `peer` had never responded.
    fn last_number(&self, peer: IpAddr) -> u64 {
        let last = self.last.filter(|(ip, _)| *ip == peer && self.silent == 0);
        last.map_or(0, |(_, number)| number)
    }

    /// Excludes `peer` from calls for a while, and all others if too many in a row are silent.
    fn record_failure(&mut self, now: Moment, peer: IpAddr, error: &CallError) {
        self.back_off(now, peer);
        match error {
            CallError::TimedOut | CallError::NotSent(_) => self.silent += 1,
            CallError::Withheld
            | CallError::Broken(_)
            | CallError::Status(_)
            | CallError::Malformed(_) => {}
        }
        if self.silent >= MAX_SILENT {
            self.silent = 0;
            for other in (self.known)() {
                self.back_off(now, other);
            }
        }
    }

    async fn call(
        &self,
        peer: IpAddr,
        updates: &UpdateRequest,
    ) -> Result<UpdateResponse, CallError> {
        let address = SocketAddr::new(peer, self.port);
        let body = Bytes::from(updates.encode_to_vec());
        let request = plain_request(Method::POST, address, UPDATES_PATH, body);
        let limits = TransferLimits {
            head: if self.silent == 0 {
                RESPONSE_TIMEOUT
            } else {
                SECOND_TIMEOUT
            },
            idle: IDLE_TIMEOUT,
            body: BODY_TIMEOUT,
            max_bytes: MAX_RESPONSE_BYTES,
        };
        let call = self.client.call_large(address, request, limits);
        let response = call.await?;
        if !response.status().is_success() {
            return Err(CallError::Status(response.status()));
        }
        let decoded = UpdateResponse::decode(response.into_body());
        decoded.map_err(|error| CallError::Malformed(error.to_string()))
    }
}

/// The entries to call, in the order of calls: those that precede `own`, so that no two
/// entries wait for each other, or all others if `all` is set.
fn order(centre: &str, own: Option<IpAddr>, known: &[IpAddr], all: bool) -> Vec<IpAddr> {
    let score = |ip: &IpAddr| rendezvous::score(centre.as_bytes(), &ip.to_string());
    let mut scored: Vec<_> = known.iter().map(|ip| (score(ip), *ip)).collect();
    scored.sort_unstable_by(|one, other| other.cmp(one));
    scored.dedup();
    let own_score = own.map(|ip| (score(&ip), ip));
    let before = |one: &(u64, IpAddr)| own_score.is_none_or(|own| *one > own);
    let is_other = |one: &(u64, IpAddr)| Some(one.1) != own;
    let selected = scored
        .into_iter()
        .filter(|one| is_other(one) && (all || before(one)));
    selected.map(|(_, ip)| ip).collect()
}

/// Decodes the response to a request that was sent at `sent`. The peer's times count from
/// the arrival of the request there, which was later. An update that doesn't follow the last
/// one of `progress` is an error: the peer lags behind.
pub(super) fn decode(
    sent: Moment,
    response: UpdateResponse,
    progress: Progress,
) -> Result<FeedUpdate, CallError> {
    let fallback = progress.change_time(BootClock.now());
    let changes = response.changes.into_iter().map(Change::try_from);
    let changes: Result<Vec<Change>, _> = changes.collect();
    let changes = changes.map_err(|error| CallError::Malformed(error.to_string()))?;
    let position = Position::new(Era(response.era), Version(response.version));
    let follows = progress
        .known()
        .is_some_and(|known| known.continues_to(position));
    if !progress.accepts(position) || !response.whole && !follows {
        let latest = progress.latest();
        let text = format!("the updates lead to {position}, but {latest} is known");
        return Err(CallError::Malformed(text));
    }
    let proof = moment(sent, response.proof);
    let changed_at = response.changed_at.map(|offset| moment(sent, offset));
    let changed = changed_at.map_or(fallback, ChangeTime::Known);
    if !response.whole {
        return Ok(FeedUpdate::Changed {
            changes,
            position,
            called_at: proof,
            changed,
            from_store: false,
        });
    }
    let values = changes.into_iter().filter_map(|change| match change {
        Change::Put(entry) => Some(entry),
        Change::Deleted { .. } => None,
    });
    Ok(FeedUpdate::Snapshot {
        snapshot: Snapshot {
            entries: values.collect(),
            position,
        },
        called_at: proof,
        changed: fallback,
        from_store: false,
        restarted: progress.may_lack_changes(position),
    })
}

/// The time `offset` milliseconds after `start`, or before it if negative.
fn moment(start: Moment, offset: i64) -> Moment {
    let time = Duration::from_millis(offset.unsigned_abs());
    if offset < 0 {
        start - time
    } else {
        start + time
    }
}
