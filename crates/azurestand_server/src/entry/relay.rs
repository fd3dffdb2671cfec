//! Takes requests that entries of other data centres pass on.
//!
//! To the other entry this one looks like an agent: a request asked for twice
//! runs once, and an answer can be taken up again after a link was lost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_route::Choice;
use azurestand_types::{
    AccountName, ModelName, Moment, Priority, Refusal, RequestId, RequestKey, ServiceName,
    TargetName, Uncertainty,
};
use azurestand_wire::{Body, Outbox, TargetRequest};
use http::Method;
use tokio::sync::mpsc;

use super::Service;
use super::filter::{Classified, Place, Subject};
use super::outstanding::Answer;
use super::send::{Carrier, Origin, Sink};
use crate::agent::{failed, refused};

/// How long a passed-on request is remembered after its last message.
const MEMORY: Duration = Duration::from_mins(2);

/// A request of another entry.
#[derive(Debug)]
pub(super) struct Relay {
    account: AccountName,
    choice: Option<Choice>,
    answers: mpsc::UnboundedSender<Answer>,
    heard: Moment,
}

/// The requests of other entries, for a while.
#[derive(Debug, Default)]
pub(super) struct Relays(BTreeMap<RequestId, Relay>);

impl Relays {
    /// Notes which target a request was sent to.
    pub(super) fn choose(&mut self, id: RequestId, choice: &Choice) {
        if let Some(relay) = self.0.get_mut(&id) {
            relay.choice = Some(choice.clone());
        }
    }

    /// Drops requests that nobody asked about for long.
    pub(super) fn forget_old(&mut self, now: Moment) {
        self.0
            .retain(|_, relay| !relay.answers.is_closed() || now.since(relay.heard) < MEMORY);
    }

    /// Whether no request of another entry is on its way.
    pub(super) fn is_idle(&self) -> bool {
        self.0.values().all(|relay| relay.answers.is_closed())
    }

    fn tell(&self, id: RequestId, answer: Answer) -> bool {
        let relay = self.0.get(&id);
        relay.is_some_and(|relay| relay.answers.send(answer).is_ok())
    }
}

/// Takes a message of another entry.
pub(super) fn take(service: &Arc<Service>, body: Body, outbox: Outbox) {
    let fleet = &service.fleet;
    match body {
        Body::TargetRequest(request) => take_request(service, *request, outbox),
        Body::Resume(resume) => {
            if let Ok(id) = RequestId::try_from(&resume.id[..]) {
                take_resume(service, id, &resume, outbox);
            }
        }
        Body::Cancel(cancel) => {
            if let Ok(id) = RequestId::try_from(&cancel.id[..]) {
                fleet.relays(|relays| relays.tell(id, Answer::Left));
            }
        }
        Body::Revoke(revoke) => {
            let Ok(id) = RequestId::try_from(&revoke.id[..]) else {
                return;
            };
            if !fleet.relays(|relays| relays.tell(id, Answer::Expired)) {
                outbox.offer(failed(id, Uncertainty::Unreachable));
            }
        }
        _ => (),
    }
}

fn take_request(service: &Arc<Service>, request: TargetRequest, outbox: Outbox) {
    let Ok(id) = RequestId::try_from(&request.id[..]) else {
        return;
    };
    // An earlier life of this entry may have passed it on to a target.
    if request.incarnation != service.node.links.own().incarnation.0 {
        outbox.offer(failed(id, Uncertainty::Unreachable));
        return;
    }
    if service.fleet.relays(|relays| relays.0.contains_key(&id)) {
        resume_known(service, id, 0, &request.account, outbox);
        return;
    }
    match read(id, request) {
        Some(request) => start(service, request, outbox, 0),
        None => {
            outbox.offer(refused(id, Refusal::Malformed));
        }
    }
}

/// Takes an answer up that this entry passed on, or that a target here has for a
/// caller who first came through another entry. The agent checks the account.
fn take_resume(
    service: &Arc<Service>,
    id: RequestId,
    resume: &azurestand_wire::Resume,
    outbox: Outbox,
) {
    if service.fleet.relays(|relays| relays.0.contains_key(&id)) {
        resume_known(service, id, resume.offset, &resume.account, outbox);
        return;
    }
    let target = TargetName::try_from(resume.target.as_str());
    let account = AccountName::try_from(resume.account.as_str());
    let (Ok(target), Ok(account)) = (target, account) else {
        outbox.offer(failed(id, Uncertainty::Unreachable));
        return;
    };
    let offset = resume.offset;
    let centre = service.node.links.own().centre.clone();
    let place = Place {
        id,
        target,
        centre,
        offset,
    };
    let request = Classified {
        place: Some(place),
        ..blank(id, account)
    };
    start(service, request, outbox, offset);
}

fn start(service: &Arc<Service>, request: Classified, outbox: Outbox, offset: u64) {
    let sink = Sink::entry(request.id, outbox, offset);
    let (id, account) = (request.id, request.account.clone());
    let carrier = Carrier::new(service.clone(), request, Origin::Entry, sink);
    let answers = carrier.answers();
    let heard = service.node.clock.now();
    service.fleet.relays(|relays| {
        let relay = relays.0.entry(id).or_insert(Relay {
            account,
            choice: None,
            answers: answers.clone(),
            heard,
        });
        relay.answers = answers;
        relay.heard = heard;
    });
    tokio::spawn(carrier.run());
}

/// Takes the answer up where the other entry left it.
fn resume_known(service: &Arc<Service>, id: RequestId, offset: u64, account: &str, outbox: Outbox) {
    let known = service.fleet.relays(|relays| {
        let relay = relays.0.get(&id)?;
        (relay.account.as_str() == account).then(|| (relay.account.clone(), relay.choice.clone()))
    });
    // Without a choice nobody can tell any more whether it reached a target.
    let Some((account, Some(choice))) = known else {
        outbox.offer(failed(id, Uncertainty::Unreachable));
        return;
    };
    let request = Classified {
        place: Some(Place {
            id,
            target: choice.target,
            centre: service.node.links.own().centre.clone(),
            offset,
        }),
        ..blank(id, account)
    };
    start(service, request, outbox, offset);
}

/// A request of which only the answer is still wanted.
fn blank(id: RequestId, account: AccountName) -> Classified {
    Classified {
        id,
        account,
        priority: Priority(0),
        subject: Subject::None,
        idempotent: false,
        key: None,
        patience: MEMORY,
        hops: 1,
        place: None,
        method: Method::GET,
        path: String::new(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    }
}

fn read(id: RequestId, request: TargetRequest) -> Option<Classified> {
    let subject = if request.service {
        Subject::Service(ServiceName::try_from(request.subject).ok()?)
    } else {
        Subject::Model(ModelName::try_from(request.subject).ok()?)
    };
    let key = match request.idempotency_key.as_str() {
        "" => None,
        raw => Some(RequestKey::try_from(raw).ok()?),
    };
    Some(Classified {
        id,
        account: AccountName::try_from(request.account).ok()?,
        priority: Priority(u8::try_from(request.priority).unwrap_or(u8::MAX)),
        subject,
        idempotent: request.idempotent,
        key,
        patience: Duration::from_millis(request.timeout_ms),
        // Whoever passes a request on counts at least one hop.
        hops: request.hops.max(1),
        place: None,
        method: Method::from_bytes(request.method.as_bytes()).ok()?,
        path: request.path,
        headers: request.headers,
        body: request.body,
    })
}
