//! Carries out the claims of idempotency keys: what is run, what is answered
//! from an earlier run, and what goes to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_config::Document;
use azurestand_store::{Commit, HttpStore, Key, Scope, Store, StoreError, Transaction, Version};
use azurestand_target::{
    AdmissionEvent, Arrival, Batch, Claim, CommitResult, Ending, Holder, HomeAction, HomeEvent,
    HomeSettings, Homes, KeyedRequest as ClaimAsk, Record, Shard, ShardContents,
    Version as RecordVersion,
};
use azurestand_types::{
    Digest, HostName, Moment, Outcome, Refusal, RequestId, RequestKey, ServiceName, Uncertainty,
};
use azurestand_wire::{AnswerEnd, AnswerHead, AnswerPart, Body, Header};
use bytes::Bytes;
use prost::Message;

use super::requests::{failed, raw, redirected};
use super::{Controller, Input, tell};
use crate::event::Event;
use crate::node::Node;
use crate::settings::{TargetKind, TargetSettings};

const KEY_PREFIX: &str = "azurestand";
/// How long a planned stop waits for the store to take handed-on shards.
const HAND_ON_LIMIT: Duration = Duration::from_secs(3);

/// An answer as it is kept for repeated requests.
#[derive(Clone, PartialEq, Message)]
struct KeptAnswer {
    #[prost(message, optional, tag = "1")]
    head: Option<AnswerHead>,
    #[prost(bytes = "bytes", tag = "2")]
    body: Bytes,
}

/// What the store said about claims.
#[derive(Debug)]
pub(crate) enum ClaimNews {
    /// A shard was read.
    Read(Shard, Option<ShardContents>),
    /// The write of the batch with this write number was tried.
    Committed(Shard, u64, CommitResult),
}

/// The homes of one service's keys, as this target sees them.
#[derive(Debug)]
pub(super) struct Claims {
    homes: Homes,
    service: ServiceName,
    me: HostName,
    listed: Vec<HostName>,
    /// Requests given to the homes and not yet to admission.
    arrivals: BTreeMap<RequestId, Arrival>,
    /// Requests that the homes gave out to run.
    running: BTreeSet<RequestId>,
    left: Option<Moment>,
    proved: bool,
}

impl Claims {
    /// None for a target whose calls aren't kept from running twice.
    pub(super) fn start(node: &Node, settings: &TargetSettings) -> Option<Self> {
        let TargetKind::Service { service } = &settings.kind else {
            return None;
        };
        let me = HostName::try_from(settings.name.as_str()).ok()?;
        let holder = Holder {
            host: me.clone(),
            incarnation: node.links.own().incarnation,
        };
        let document = node.document();
        Some(Self {
            homes: Homes::new(service, &holder, &home_settings(&document, service)),
            service: service.clone(),
            me,
            listed: Vec::new(),
            arrivals: BTreeMap::new(),
            running: BTreeSet::new(),
            left: None,
            proved: true,
        })
    }
}

fn home_settings(document: &Document, service: &ServiceName) -> HomeSettings {
    let window = document.services().get(service);
    let window = window.map(|service| service.retry_window);
    let default = HomeSettings::default();
    HomeSettings {
        window: window.unwrap_or(default.window),
        ..default
    }
}

impl Controller {
    /// Takes over the homes that the document lists. A home whose data centre
    /// is out hands its shards on.
    pub(super) fn list_homes(&mut self) {
        let document = self.node.document();
        let out = self.out;
        let Some(claims) = &mut self.claims else {
            return;
        };
        let service = document.services().get(&claims.service);
        let listed = service.filter(|_| !out).map(|service| {
            let names = service.homes.iter();
            let homes = names.filter_map(|home| HostName::try_from(home.as_str()).ok());
            homes.collect::<Vec<_>>()
        });
        let listed = listed.unwrap_or_default();
        let settings = home_settings(&document, &claims.service);
        claims.homes.configure(&settings);
        if claims.listed != listed {
            claims.listed.clone_from(&listed);
            self.home(HomeEvent::Listed(listed));
        }
    }

    pub(super) fn claim(&mut self, key: RequestKey, fingerprint: Digest, arrival: Arrival) {
        let ask = ClaimAsk {
            id: arrival.id,
            account: arrival.account.clone(),
            key,
            fingerprint,
            deadline: arrival.deadline,
        };
        if let Some(claims) = &mut self.claims {
            claims.arrivals.insert(arrival.id, arrival);
        }
        self.home(HomeEvent::Arrived(ask));
    }

    pub(super) fn tend_claims(&mut self) {
        self.home(HomeEvent::Tick);
    }

    pub(super) fn leave_claims(&mut self) {
        let now = self.now();
        if let Some(claims) = &mut self.claims {
            claims.left = Some(now);
        }
        self.home(HomeEvent::Stop);
    }

    /// Whether shards still wait to be handed on, as long as it is worth waiting for.
    pub(super) fn holds_claims(&self) -> bool {
        let now = self.now();
        self.claims.as_ref().is_some_and(|claims| {
            let waiting = claims
                .left
                .is_some_and(|left| now.since(left) < HAND_ON_LIMIT);
            waiting && claims.homes.held() > 0
        })
    }

    /// Takes a request back that the homes have not given out; false if they have.
    pub(super) fn revoke_claim(&mut self, id: RequestId) -> bool {
        let waits = self
            .claims
            .as_ref()
            .is_some_and(|claims| claims.arrivals.contains_key(&id));
        if waits {
            self.home(HomeEvent::Revoke(id));
        }
        waits
    }

    /// Tells the homes how a request ended that they gave out.
    pub(super) fn settle_claim(&mut self, id: RequestId) {
        let Some(outcome) = self.exchanges.outcome(id) else {
            return;
        };
        let Some(claims) = &mut self.claims else {
            return;
        };
        if !claims.running.remove(&id) {
            return;
        }
        let answer = self.kept_answer(id);
        self.home(HomeEvent::Finished {
            id,
            outcome,
            answer,
        });
    }

    fn kept_answer(&self, id: RequestId) -> Option<Bytes> {
        let body = self.exchanges.complete_answer(id)?;
        let head = self.requests.get(&id)?.head.clone();
        let kept = KeptAnswer { head, body };
        Some(kept.encode_to_vec().into())
    }

    pub(super) fn take_claim_news(&mut self, news: ClaimNews) {
        match news {
            ClaimNews::Read(shard, Some(loaded)) => self.home(HomeEvent::Loaded(shard, loaded)),
            ClaimNews::Read(shard, None) => self.home(HomeEvent::ReadFailed(shard)),
            ClaimNews::Committed(shard, beat, committed) => {
                self.home(HomeEvent::Committed(shard, beat, committed));
            }
        }
    }

    fn home(&mut self, event: HomeEvent) {
        let now = self.now();
        let Some(claims) = &mut self.claims else {
            return;
        };
        for action in claims.homes.handle(now, event) {
            self.carry_home(action);
        }
    }

    fn carry_home(&mut self, action: HomeAction) {
        match action {
            HomeAction::Run(id) => self.run_claimed(id),
            HomeAction::Attach { id, first } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.first = Some(first);
                }
                self.forget_arrival(id);
                self.pump(id);
            }
            HomeAction::Answer { id, outcome, body } => self.answer_again(id, outcome, body),
            HomeAction::Refuse(id, refusal) => self.refuse_claim(id, refusal),
            HomeAction::Redirect(id, home) => self.redirect(id, &home),
            HomeAction::Revoked(id) => {
                self.forget_arrival(id);
                self.end(id, Ending::NotRun(Refusal::Revoked));
                self.answer_revoke(id, false);
            }
            HomeAction::Running(id) => self.answer_revoke(id, true),
            HomeAction::Commit(shard, batch) => self.commit_claims(shard, batch),
            HomeAction::Read { shard, claims } => self.read_claims(shard, claims),
        }
    }

    fn forget_arrival(&mut self, id: RequestId) -> Option<Arrival> {
        self.claims.as_mut()?.arrivals.remove(&id)
    }

    fn run_claimed(&mut self, id: RequestId) {
        let Some(arrival) = self.forget_arrival(id) else {
            return;
        };
        if let Some(claims) = &mut self.claims {
            claims.running.insert(id);
        }
        self.admit(AdmissionEvent::Arrived(arrival));
    }

    fn refuse_claim(&mut self, id: RequestId, refusal: Refusal) {
        self.forget_arrival(id);
        let proved = refusal != Refusal::Unproved;
        if let Some(claims) = &mut self.claims
            && claims.proved != proved
        {
            claims.proved = proved;
            let event = if proved {
                Event::ClaimsProved
            } else {
                Event::ClaimsUnproved
            };
            event.log(format_args!("{} of {}", claims.me, claims.service));
        }
        self.end(id, Ending::NotRun(refusal));
    }

    fn redirect(&mut self, id: RequestId, home: &HostName) {
        self.forget_arrival(id);
        let reader = self.requests.get_mut(&id);
        if let Some(reader) = reader.and_then(|request| request.reader.take()) {
            tell(reader.outbox(), redirected(id, home.to_string()));
        }
        self.end(id, Ending::NotRun(Refusal::Busy));
    }

    /// Gives a repeated request what its key's first run came to.
    fn answer_again(&mut self, id: RequestId, outcome: Outcome, body: Option<Bytes>) {
        self.forget_arrival(id);
        let reader = self.requests.get_mut(&id);
        let reader = reader.and_then(|request| request.reader.take());
        if let Some(reader) = reader {
            for message in replay(id, outcome, body) {
                tell(reader.outbox(), message);
            }
        }
        // This request itself runs nothing; its reader has been told all there is.
        self.end(id, Ending::Unknown(Uncertainty::Unreachable));
    }

    fn commit_claims(&self, shard: Shard, batch: Batch) {
        let (store, own) = (self.node.store.clone(), self.own.clone());
        let Some(claims) = &self.claims else { return };
        let service = claims.service.clone();
        tokio::spawn(async move {
            let committed = commit(&store, &service, shard, &batch).await;
            let news = ClaimNews::Committed(shard, batch.record.write_number, committed);
            let _ = own.send(Input::Claims(news)).await;
        });
    }

    fn read_claims(&self, shard: Shard, batches: bool) {
        let (store, own) = (self.node.store.clone(), self.own.clone());
        let Some(claims) = &self.claims else { return };
        let service = claims.service.clone();
        tokio::spawn(async move {
            let loaded = load(&store, &service, shard, batches).await;
            let loaded = loaded.inspect_err(log_unreadable).ok();
            let _ = own
                .send(Input::Claims(ClaimNews::Read(shard, loaded)))
                .await;
        });
    }
}

fn replay(id: RequestId, outcome: Outcome, body: Option<Bytes>) -> Vec<Body> {
    if let Outcome::Unknown(why) = outcome {
        return vec![failed(id, why)];
    }
    let kept = body.and_then(|body| KeptAnswer::decode(body).ok());
    let kept = kept.unwrap_or_else(gone);
    let length = kept.body.len() as u64;
    let mut head = kept.head.unwrap_or_default();
    head.id = raw(id);
    head.headers.push(Header {
        name: "x-azurestand-replayed".into(),
        value: Bytes::from_static(b"true"),
    });
    let part = AnswerPart {
        id: raw(id),
        offset: 0,
        bytes: kept.body,
    };
    let end = AnswerEnd {
        id: raw(id),
        length,
    };
    vec![
        Body::AnswerHead(head),
        Body::AnswerPart(part),
        Body::AnswerEnd(end),
    ]
}

/// What a repeated request gets when its first run's answer isn't kept any more.
fn gone() -> KeptAnswer {
    let body = r#"{"outcome":"answered","message":"this key ran once before; its answer is no longer kept"}"#;
    KeptAnswer {
        head: Some(AnswerHead {
            id: Bytes::new(),
            status: 200,
            headers: vec![Header {
                name: "content-type".into(),
                value: Bytes::from_static(b"application/json"),
            }],
        }),
        body: Bytes::from_static(body.as_bytes()),
    }
}

fn store_key(name: &str) -> Result<Key, StoreError> {
    let key = Key::try_from(format!("{KEY_PREFIX}/{name}"));
    key.map_err(|error| StoreError::Malformed(error.to_string()))
}

async fn commit(
    store: &HttpStore,
    service: &ServiceName,
    shard: Shard,
    batch: &Batch,
) -> CommitResult {
    let Ok(transaction) = write(service, shard, batch) else {
        return CommitResult::NotApplied;
    };
    match store.commit(&transaction).await {
        Commit::Applied { version } => CommitResult::Applied(RecordVersion(version.0)),
        Commit::NotApplied(azurestand_store::Cause::Conflict) => CommitResult::NotApplied,
        // Not tried, so nothing changed; the home reads before it tries again.
        Commit::NotApplied(_) | Commit::Unknown => CommitResult::Unknown,
    }
}

fn write(service: &ServiceName, shard: Shard, batch: &Batch) -> Result<Transaction, StoreError> {
    let record = store_key(&shard.record_key(service))?;
    let mut transaction = match batch.expected_version {
        Some(version) => Transaction::new().when_unchanged(record.clone(), Version(version.0)),
        None => Transaction::new().when_absent(record.clone()),
    };
    transaction = transaction.put(record, batch.record.encode());
    if !batch.claims.is_empty() {
        let key = store_key(&shard.batch_key(service, batch.record.write_number))?;
        transaction = transaction.put(key, Claim::encode(&batch.claims));
    }
    for beat in &batch.dropped_batches {
        transaction = transaction.delete(store_key(&shard.batch_key(service, *beat))?);
    }
    Ok(transaction)
}

async fn load(
    store: &HttpStore,
    service: &ServiceName,
    shard: Shard,
    batches: bool,
) -> Result<ShardContents, StoreError> {
    let key = store_key(&shard.record_key(service))?;
    let record = match store.read(&key).await? {
        Some(found) => {
            let record = Record::decode(&found.value).map_err(unreadable)?;
            Some((record, RecordVersion(found.version.0)))
        }
        None => None,
    };
    let mut loaded = ShardContents {
        record,
        batches: Vec::new(),
    };
    if batches {
        let prefix = shard.batch_prefix(service);
        let below = Scope::Below(store_key(prefix.trim_end_matches('/'))?);
        for entry in store.list(&below).await?.entries {
            let beat = u64::from_str_radix(entry.key.last(), 16).map_err(unreadable)?;
            let claims = Claim::decode(entry.value).map_err(unreadable)?;
            loaded.batches.push((beat, claims));
        }
        loaded.batches.sort_by_key(|(beat, _)| *beat);
    }
    Ok(loaded)
}

fn unreadable<E>(error: E) -> StoreError
where
    E: std::fmt::Display,
{
    StoreError::Malformed(error.to_string())
}

/// An outage is logged by the document's watch; a value that can't be read only here.
fn log_unreadable(error: &StoreError) {
    if matches!(error, StoreError::Malformed(_)) {
        Event::ClaimsUnproved.log(error);
    }
}
