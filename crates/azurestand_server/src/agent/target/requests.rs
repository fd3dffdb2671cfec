//! What entries ask of a target.

use azurestand_target::{AdmissionEvent, Arrival, Retention, RevokeResult, SendResult, Stamp};
use azurestand_types::{
    AccountName, Digest, Incarnation, Moment, Priority, Refusal, RequestId, RequestKey, Uncertainty,
};
use azurestand_wire::{Body, Failed, Outbox, Refused, Revoked, TargetRequest};
use bytes::Bytes;
use quick_error::quick_error;

use super::answers::{Reader, Request};
use super::{Controller, tell};
use crate::codes;
use crate::event::Event;

quick_error! {
    /// Why a request was refused unread.
    #[derive(Debug)]
    pub enum RequestError {
        /// A field can't be read.
        Field(name: &'static str) {
            display("the ask's {name} is malformed; run the same version on all hosts")
        }
    }
}

/// The parts of a request that decisions need, checked.
#[derive(Debug)]
struct Checked {
    id: RequestId,
    account: AccountName,
    priority: Priority,
    stamp: Stamp,
    pinned: Option<Digest>,
    key: Option<RequestKey>,
}

impl TryFrom<&TargetRequest> for Checked {
    type Error = RequestError;

    fn try_from(request: &TargetRequest) -> Result<Self, RequestError> {
        let pinned = match request.weights.len() {
            0 => None,
            _ => Some(
                Digest::try_from(&request.weights[..])
                    .map_err(|_| RequestError::Field("weights"))?,
            ),
        };
        let key = match request.idempotency_key.as_str() {
            "" => None,
            raw => Some(RequestKey::try_from(raw).map_err(|_| RequestError::Field("key"))?),
        };
        Ok(Self {
            id: RequestId::try_from(&request.id[..]).map_err(|_| RequestError::Field("id"))?,
            account: AccountName::try_from(request.account.as_str())
                .map_err(|_| RequestError::Field("account"))?,
            priority: Priority(u8::try_from(request.priority).unwrap_or(u8::MAX)),
            stamp: Stamp {
                incarnation: Incarnation(request.incarnation),
                at: Moment::from_micros(request.agent_time),
            },
            pinned,
            key,
        })
    }
}

pub(crate) fn refused(id: RequestId, refusal: Refusal) -> Body {
    Body::Refused(Refused {
        id: raw(id),
        reason: codes::from_refusal(refusal),
        after: 0,
        redirect: String::new(),
    })
}

/// Another home holds the key; the entry is to ask that one.
pub(super) fn redirected(id: RequestId, home: String) -> Body {
    Body::Refused(Refused {
        id: raw(id),
        reason: codes::from_refusal(Refusal::Busy),
        after: 0,
        redirect: home,
    })
}

pub(crate) fn failed(id: RequestId, why: Uncertainty) -> Body {
    Body::Failed(Failed {
        id: raw(id),
        reason: codes::from_uncertainty(why),
    })
}

pub(crate) fn raw(id: RequestId) -> Bytes {
    Bytes::copy_from_slice(&id.0.to_be_bytes())
}

impl Controller {
    pub(super) fn request(&mut self, request: TargetRequest, outbox: &Outbox) {
        let checked = match Checked::try_from(&request) {
            Ok(checked) => checked,
            Err(error) => {
                Event::Refused.log(&error);
                return;
            }
        };
        let id = checked.id;
        let now = self.now();
        let keep = match &checked.key {
            Some(_) => Retention::All,
            None => Retention::Unread,
        };
        match self.exchanges.send(now, id, checked.stamp, keep) {
            SendResult::Fresh => self.arrive(request, checked, outbox),
            SendResult::Attached => self.attach(id, 0, outbox.clone()),
            SendResult::Revoked => tell(outbox, refused(id, Refusal::Revoked)),
            SendResult::Stale => tell(outbox, failed(id, Uncertainty::Unreachable)),
            SendResult::Full => tell(outbox, refused(id, Refusal::Busy)),
        }
    }

    fn arrive(&mut self, request: TargetRequest, checked: Checked, outbox: &Outbox) {
        let id = checked.id;
        let patience = std::time::Duration::from_millis(request.timeout_ms);
        let deadline = self.now() + patience;
        let reader = Reader::new(outbox.clone(), 0);
        let keyed = checked.key.clone().filter(|_| self.claims.is_some());
        let print = keyed.is_some().then(|| fingerprint(&request));
        self.requests
            .insert(id, Request::new(request, deadline, reader));
        let arrival = Arrival {
            id,
            account: checked.account,
            weight: 1,
            priority: checked.priority,
            deadline,
            pinned: checked.pinned,
        };
        match (keyed, print) {
            (Some(key), Some(print)) => self.claim(key, print, arrival),
            _ => self.admit(AdmissionEvent::Arrived(arrival)),
        }
    }

    pub(super) fn resume(&mut self, id: RequestId, offset: u64, account: &str, outbox: Outbox) {
        let known = self.requests.get(&id);
        // A foreign account learns no more than that nothing is to be had.
        if known.is_none_or(|request| request.account() != account) {
            tell(&outbox, failed(id, Uncertainty::Unreachable));
            return;
        }
        self.attach(id, offset, outbox);
    }

    fn attach(&mut self, id: RequestId, offset: u64, outbox: Outbox) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.reader = Some(Reader::new(outbox, offset));
        }
        self.pump(id);
    }

    pub(super) fn revoke(&mut self, id: RequestId, stamp: Stamp, outbox: &Outbox) {
        let now = self.now();
        let started = match self.exchanges.revoke(now, id, stamp) {
            RevokeResult::NeverRuns | RevokeResult::NotRun => false,
            RevokeResult::Started | RevokeResult::Stale => true,
            RevokeResult::Waiting => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.revoker = Some(outbox.clone());
                }
                if !self.revoke_claim(id) {
                    self.admit(AdmissionEvent::Revoke(id));
                }
                return;
            }
        };
        tell(outbox, revoked(id, started));
    }

    pub(super) fn answer_revoke(&mut self, id: RequestId, started: bool) {
        let request = self.requests.get_mut(&id);
        if let Some(outbox) = request.and_then(|request| request.revoker.take()) {
            tell(&outbox, revoked(id, started));
        }
    }
}

/// What tells one request with a key from another with the same key.
fn fingerprint(request: &TargetRequest) -> Digest {
    let mut content = Vec::with_capacity(request.body.len() + request.path.len() + 32);
    for part in [
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ] {
        content.extend_from_slice(&(part.len() as u64).to_le_bytes());
        content.extend_from_slice(part);
    }
    Digest::of(&content)
}

fn revoked(id: RequestId, started: bool) -> Body {
    Body::Revoked(Revoked {
        id: raw(id),
        started,
    })
}
