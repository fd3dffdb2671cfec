//! Sends a request to targets until its outcome is determined.
//!
//! - A non-idempotent request goes to another target only after a definitive refusal,
//!   and only if no other target may have run it.
//! - An idempotent request goes to another target after any failure, within its number
//!   of attempts, its deadline and the retry budget.
//! - A request that a target may have run is never reported as not run.

mod failure;

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Fault, Incarnation, LimitNotice, RouteKind, Target};
use azurestand_types::Moment;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Request, Response, StatusCode, response};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use super::barred;
use super::call::Call;
use super::exchange::{Topic, log_limit};
use super::memory;
use super::place::{Constraints, Reservation, obstacle, place, try_place};
use super::quarantine;
use super::response::{Body, RequestError, full};
use super::shared::Shared;
use super::stream;
use super::withdrawal::until_expired;
use crate::client::{ActiveConnection, CallError, PeerKey, ResponseBody, Reuse};
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::metrics::{self, Span};
use crate::platform::{NamedPause, Platform, RequestContext, ResponseHead};

/// The largest response that isn't a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Another target is sought after this many times the expected time to the first byte.
const HEAD_TIMEOUT_FACTOR: u32 = 3;
/// The shortest wait for a response head before another target is sought.
const MIN_HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The interval at which another target is sought in place of a silent one.
pub(crate) const REPLACE_INTERVAL: Duration = Duration::from_millis(100);
/// The `Retry-After` of a request that a target refused or that could not be sent to any.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Why a request is cancelled at its target when a part of its prompt is quarantined.
pub(crate) const QUARANTINED: &str = "a part of its prompt crashes targets";
/// The batches of events after which a target has gone on writing an answer.
pub(crate) const PROVEN_BATCHES: u32 = 2;

/// A response whose head has arrived.
pub(crate) struct OpenResponse<P> {
    pub(crate) head: response::Parts,
    pub(crate) body: ResponseBody,
    pub(crate) connection: ActiveConnection,
    pub(crate) reservation: Reservation<P>,
    pub(crate) response: ResponseHead,
}

impl<P> OpenResponse<P> {
    /// Whether the head tells how the body ends, rather than the end of the connection.
    pub(crate) fn is_delimited(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether it states that the target has not run the request to which it responds.
    fn is_refusal(&self) -> bool {
        self.response.not_run || self.head.status == StatusCode::MISDIRECTED_REQUEST
    }
}

/// What a target has written of the answer to one attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Written {
    /// Whether the head has arrived.
    head: bool,
    /// Reads that completed at least one event.
    pub(crate) batches: u32,
}

/// What is sent to a target, and over which connection.
struct Attempt {
    key: PeerKey,
    request: Request<Full<Bytes>>,
    reuse: Reuse,
}

/// A request with the state of its attempts.
pub(crate) struct Delivery<P> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) call: Call,
    pub(crate) constraints: Constraints,
    /// The last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    sends: u32,
    connect_failures: u32,
    /// Targets that ended under the request before they had written anything of the answer.
    ended_targets: u32,
    /// What the target of the current attempt has written.
    pub(crate) written: Written,
    /// Whether a target may have run the request.
    maybe_ran: bool,
    /// When the caller last got an event, or its request arrived.
    pub(crate) last_progress: Moment,
    /// The target of the next attempt, reserved when the last one was silent.
    replacement: Option<Reservation<P>>,
}

/// Sends the request and returns the response for its caller.
pub(crate) async fn run<P>(shared: Arc<Shared<P>>, call: Call) -> Response<Body>
where
    P: Platform,
{
    shared.state().retries.earn();
    let last_event = call.request.last_event;
    let last_progress = call.arrived;
    let mut delivery = Delivery {
        shared,
        call,
        constraints: Constraints::default(),
        last_event,
        sends: 0,
        connect_failures: 0,
        ended_targets: 0,
        written: Written::default(),
        maybe_ran: false,
        last_progress,
        replacement: None,
    };
    let is_stream = delivery.call.route.kind.is_stream();
    loop {
        let opened = match delivery.open().await {
            Ok(opened) => opened,
            Err(error) => return delivery.error_response(error),
        };
        if is_stream && opened.head.status.is_success() {
            return stream::start(delivery, opened);
        }
        match delivery.read_whole(opened).await {
            Ok(Some(response)) => return response,
            Ok(None) => {}
            Err(error) => return delivery.error_response(error),
        }
    }
}

impl<P> Delivery<P>
where
    P: Platform,
{
    /// Sends the request to targets until one returns the head of a usable response.
    pub(crate) async fn open(&mut self) -> Result<OpenResponse<P>, RequestError> {
        loop {
            if self.call.time_left().is_zero() {
                return Err(self.expiry_error());
            }
            let reservation = match self.replacement.take() {
                Some(reservation) => reservation,
                None => place(&self.shared, &self.call, &self.constraints).await?,
            };
            let target = reservation.target.clone();
            let expiry = self.expiry(&reservation);
            let parts = self.call.request.parts.clone();
            let quarantined = quarantine::until_quarantined(self.shared.clone(), parts);
            let patience = patience(&reservation);
            let shared = self.shared.clone();
            let Attempt {
                key,
                request,
                reuse,
            } = self.begin_attempt(&reservation);
            let residency = self.call.residency.clone();
            let may_send = || obstacle(&shared, &residency, &target).is_none();
            let sent = tokio::select! {
                biased;
                sent = shared.client.send_if(&key, request, reuse, may_send) => sent,
                () = expiry => {
                    self.log_withdrawn(&target, "it had not begun when its weights expired");
                    self.try_another(&target)?;
                    continue;
                }
                () = quarantined => {
                    self.log_withdrawn(&target, QUARANTINED);
                    return Err(RequestError::Unknown);
                }
                () = self.replace_silent(&target, patience) => {
                    self.timed_out(&target, reservation.age())?;
                    continue;
                }
            };
            match sent {
                Ok((response, connection)) => {
                    let opened = self.receive(response, connection, reservation);
                    if let Some(opened) = self.check_response(opened)? {
                        return Ok(opened);
                    }
                }
                Err(CallError::Withheld) => {
                    reservation.cancel();
                    self.withheld(&target)?;
                }
                Err(CallError::NotSent(reason)) => {
                    reservation.cancel();
                    self.unsent(&target, &reason)?;
                }
                Err(error) => {
                    drop(reservation);
                    self.broke(&target, Fault::Unreachable, &error.to_string())
                        .await?;
                }
            }
        }
    }

    /// Completes when the request may no longer begin at the reserved target. The head of a
    /// stream comes with its first token; other responses may have begun without one.
    fn expiry(&self, reservation: &Reservation<P>) -> impl Future<Output = ()> + use<P> {
        let is_stream = self.call.route.kind.is_stream();
        let model = self.call.request.model.clone().filter(|_| is_stream);
        let weights = model.zip(reservation.version);
        let shared = self.shared.clone();
        async move {
            match weights {
                Some((model, version)) => until_expired(shared, model, version).await,
                None => pending().await,
            }
        }
    }

    fn expiry_error(&self) -> RequestError {
        if self.sends > 0 {
            RequestError::TimedOut
        } else {
            RequestError::Expired
        }
    }

    /// How long it is of use to wait at a silent target. While this entry stops, silence ends
    /// no answer: its caller can't be sent here again.
    pub(crate) fn patience_left(&self) -> Duration {
        let left = self.call.time_left();
        if self.shared.is_draining() {
            return left;
        }
        let gap = self.call.longest_gap();
        let gap_end = gap.map(|gap| self.last_progress + gap);
        gap_end.map_or(left, |end| end.since(BootClock.now()).min(left))
    }

    /// Completes when another target is reserved in place of a silent one, or the time is
    /// over. The silent one may still answer until then.
    async fn replace_silent(&mut self, target: &Arc<Target>, patience: Duration) {
        sleep(patience.min(self.patience_left())).await;
        if self.may_try_another() && !self.patience_left().is_zero() {
            self.record_silence(target);
        }
        while !self.patience_left().is_zero() {
            if self.reserve_other(target) {
                return;
            }
            sleep(REPLACE_INTERVAL.min(self.patience_left())).await;
        }
    }

    /// Reserves another target for the next attempt, if one is free and the request may go
    /// there; returns whether it is reserved.
    pub(crate) fn reserve_other(&mut self, target: &Target) -> bool {
        // A reservation counts as a send, so none is made that can't be used.
        if !self.may_try_another() || !self.shared.state().retries.has_one() {
            return false;
        }
        let mut constraints = self.constraints.clone();
        constraints.avoid.push(target.id.clone());
        let Some(reservation) = try_place(&self.shared, &self.call, &constraints) else {
            return false;
        };
        if !self.spend_retry() {
            return false;
        }
        self.replacement = Some(reservation);
        true
    }

    /// Goes on with a target that had `written` this before another one was sought.
    pub(crate) fn stay(&mut self, written: Written) {
        self.replacement = None;
        self.written = written;
    }

    fn begin_attempt(&mut self, reservation: &Reservation<P>) -> Attempt {
        self.sends += 1;
        self.written = Written::default();
        let target = &reservation.target;
        let account = self.call.account.as_ref();
        let context = RequestContext {
            time_left: self.call.caller_time_left(),
            target: &target.id,
            account: account.map(|account| account.name.as_ref()),
            version: reservation.required_version,
            priority: Some(self.call.stated_priority()),
            last_event: self.last_event,
        };
        let headers = self
            .shared
            .platform
            .request_headers(&self.call.head, &context);
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.head.method.clone();
        *request.uri_mut() = origin_form(&self.call.head.uri);
        *request.headers_mut() = headers;
        let reuse = match self.call.route.kind {
            RouteKind::NonIdempotent => Reuse::Never,
            RouteKind::Idempotent | RouteKind::Streaming { .. } => Reuse::Pooled,
        };
        Attempt {
            key: (target.address, incarnation(target)),
            request,
            reuse,
        }
    }

    fn receive(
        &mut self,
        response: Response<ResponseBody>,
        connection: ActiveConnection,
        reservation: Reservation<P>,
    ) -> OpenResponse<P> {
        let target = &reservation.target;
        let (head, body) = response.into_parts();
        self.written.head = true;
        let response = self.shared.platform.read_response(&head);
        let is_own = response.id == self.call.request.id;
        if is_own {
            self.record_limit(target, &response);
        }
        barred::record_answer(&self.shared, target, &response, is_own);
        if let Some(load) = response.load.filter(|_| is_own) {
            let now = BootClock.now();
            let mut state = self.shared.state();
            state.placement.record_load(now, target, load);
        }
        OpenResponse {
            head,
            body,
            connection,
            reservation,
            response,
        }
    }

    /// Records the rate limit that an answer of `target` names, and tells other entries if it
    /// is another one than before. A refusal without a limit says nothing.
    fn record_limit(&self, target: &Target, response: &ResponseHead) {
        let limit = response.rate_limit;
        if response.not_run && limit.is_none() {
            return;
        }
        let now = BootClock.now();
        let mut state = self.shared.state();
        if state.placement.record_limit(now, target, limit) {
            drop(state);
            let notice = LimitNotice {
                target: target.id.clone(),
                started_at: target.started_at,
                limit,
                observed_at: now,
            };
            log_limit(&notice, "own");
            self.shared.exchange.tell(Topic::Limit(notice));
        }
    }

    /// Returns the response if it is usable, none if another target is to be tried.
    fn check_response(
        &mut self,
        opened: OpenResponse<P>,
    ) -> Result<Option<OpenResponse<P>>, RequestError> {
        let target = opened.reservation.target.clone();
        let status = opened.head.status;
        if opened.is_refusal() {
            if !self.is_refused_by(&opened.response) {
                self.failed(
                    &target,
                    Fault::Failed,
                    "the target's refusal is for another request",
                )?;
                return Ok(None);
            }
            let fault = if status == StatusCode::MISDIRECTED_REQUEST {
                Fault::Changed
            } else {
                Fault::Refused
            };
            self.record_fault(&target, fault, status.as_str());
            self.constraints.avoid.push(target.id.clone());
            opened.reservation.cancel();
            if self.has_attempts_left() && self.spend_retry() {
                return Ok(None);
            }
            return Err(self.target_refused());
        }
        if !self.is_genuine(&opened) {
            self.failed(
                &target,
                Fault::Failed,
                "the target's answer is unsealed, encoded or for another request",
            )?;
            return Ok(None);
        }
        if status.is_server_error() {
            // A target that names a time has refused, even if it may have run the request.
            let fault = match opened.response.pause {
                NamedPause::For(_) => Fault::Refused,
                NamedPause::None | NamedPause::Malformed => Fault::Failed,
            };
            self.record_fault(&target, fault, status.as_str());
            if self.may_repeat() && self.spend_retry() {
                self.maybe_ran = true;
                self.constraints.avoid.push(target.id.clone());
                return Ok(None);
            }
        }
        Ok(Some(opened))
    }

    /// Whether a refusal is one of this request: it names its id. A target may write the
    /// refusal of an earlier request once more while it runs this one.
    fn is_refused_by(&self, response: &ResponseHead) -> bool {
        let id = self.call.request.id.as_ref();
        id.is_some() && response.id.as_ref() == id
    }

    /// Whether the response belongs to this request, carries a valid seal and is unencoded.
    fn is_genuine(&self, opened: &OpenResponse<P>) -> bool {
        let encoded = opened
            .head
            .headers
            .contains_key(http::header::CONTENT_ENCODING);
        opened.response.has_seal && opened.response.id == self.call.request.id && !encoded
    }

    /// Reads the body of a response that isn't a stream; none if another target is to be
    /// tried.
    async fn read_whole(
        &mut self,
        opened: OpenResponse<P>,
    ) -> Result<Option<Response<Body>>, RequestError> {
        let target = opened.reservation.target.clone();
        let is_delimited = opened.is_delimited();
        let body = memory::collect_response(opened.body, MAX_RESPONSE_BYTES);
        match timeout(self.call.time_left(), body).await {
            Ok(Ok(_)) if !is_delimited && quarantine::has_ended(&self.shared, &target).await => {
                self.broke(&target, Fault::Failed, "the answer ended with its target")
                    .await?;
                Ok(None)
            }
            Ok(Ok(bytes)) => {
                opened.connection.release();
                Ok(Some(self.finish(&opened.head, &target, bytes)))
            }
            Ok(Err(error)) => {
                self.broke(&target, Fault::Failed, &error.to_string())
                    .await?;
                Ok(None)
            }
            Err(_) => Err(RequestError::TimedOut),
        }
    }

    fn finish(&self, head: &response::Parts, target: &Arc<Target>, bytes: Bytes) -> Response<Body> {
        metrics::time(Span::Whole, self.call.waited());
        if head.status.is_success() {
            quarantine::record_written(&self.shared, &self.call);
            self.shared.state().placement.record_success(target);
        }
        let mut fields = vec![
            ("request", self.call.id().into()),
            ("target", target.id.as_ref().into()),
            ("status", head.status.as_u16().into()),
            ("sends", self.sends.into()),
            ("waited_ms", millis(self.call.waited())),
        ];
        fields.extend(self.call.placement_inputs(target));
        LogEvent::Answered.log(&fields);
        let mut response = Response::new(full(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.platform.response_headers(head);
        response
    }
}

/// How long to wait for the head of a response before another target is sought.
fn patience<P>(reservation: &Reservation<P>) -> Duration {
    (reservation.expected * HEAD_TIMEOUT_FACTOR).max(MIN_HEAD_TIMEOUT)
}

/// Identifies the incarnation of a target; a connection is reused for one incarnation only.
fn incarnation(target: &Target) -> Arc<str> {
    Incarnation::from(target).to_string().into()
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(http::Uri::default, http::Uri::from)
}
