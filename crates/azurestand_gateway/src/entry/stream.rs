//! Forwards a stream of events; only complete events are forwarded.
//!
//! When a target's stream breaks, another target continues after the last event that the
//! caller has received, where the route allows it. When a target falls silent, it is given up
//! only once another one has taken over, since it may go on at any moment. The response keeps
//! the head from its first target. A stream that can't be continued ends with a broken
//! connection, never as a complete response.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{EventSplitter, Fault, StreamEvent, Target};
use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::task::coop::consume_budget;
use tokio::time::{Instant, timeout, timeout_at};

use super::deliver::{Delivery, OpenResponse, PROVEN_BATCHES, QUARANTINED, REPLACE_INTERVAL};
use super::place::Reservation;
use super::quarantine;
use super::response::{Body, BodyError};
use crate::client::{ActiveConnection, ResponseBody};
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::metrics::{self, Span};
use crate::platform::Platform;

/// Another target is sought for a stream that is idle for this many times the longest pause.
const IDLE_FACTOR: u32 = 4;
/// The shortest idle time after which another target is sought.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A stream is broken when bytes have arrived for this many idle times and completed no event.
const MAX_UNFINISHED_FACTOR: u32 = 2;
/// Why a stream ends whose target was silent until the end of its time.
const SILENT: &str = "silent";
/// Why a stream ends that was open at the end of a planned stop.
const STOPPED: &str = "this entry stops";

/// The state of a stream that is being forwarded.
struct Forwarder<P> {
    delivery: Delivery<P>,
    /// The status and media type that the caller was told.
    status: StatusCode,
    media_type: Option<String>,
    source: Option<Source<P>>,
    splitter: EventSplitter,
    events: u64,
    /// When events were last forwarded.
    last_forward: Option<Instant>,
    idle_timeout: Duration,
    /// For how long bytes have arrived that completed no event.
    unfinished: Duration,
    /// Completes when a part of the prompt is quarantined; none once the target has gone on
    /// writing the answer.
    quarantined: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

/// The target that currently sends the stream.
struct Source<P> {
    body: ResponseBody,
    connection: ActiveConnection,
    reservation: Reservation<P>,
    /// The version of the weights that the target names.
    version: Option<u64>,
    /// Whether the head tells how the body ends, rather than the end of the connection.
    is_delimited: bool,
    /// Whether its silence since its last event was recorded.
    is_silent: bool,
}

/// The result of reading from a body.
enum Read {
    /// At least one complete event.
    Events(Vec<StreamEvent>),
    End,
    Broken(String),
    /// No event was completed for the idle time.
    Silent,
    /// A part of the prompt was quarantined before the target had written anything.
    Quarantined,
}

/// How the search for a target in place of a silent one ended.
enum Race {
    /// Another target goes on; its first events, if they are here.
    TakenOver(Option<Read>),
    /// The target stays; what it has sent meanwhile, if anything.
    Stayed(Option<Read>),
}

/// The response for a stream whose head, with a successful status, has arrived.
pub(crate) fn start<P>(delivery: Delivery<P>, opened: OpenResponse<P>) -> Response<Body>
where
    P: Platform,
{
    let headers = delivery.shared.platform.response_headers(&opened.head);
    let status = opened.head.status;
    let gap_target = match delivery.call.route.kind {
        azurestand_direct::RouteKind::Streaming { gap_target, .. } => gap_target,
        _ => Duration::ZERO,
    };
    let mut forwarder = Forwarder {
        splitter: EventSplitter::after(delivery.last_event),
        delivery,
        status,
        media_type: media_type(&opened.head.headers),
        source: None,
        events: 0,
        last_forward: None,
        idle_timeout: (gap_target * IDLE_FACTOR).max(MIN_IDLE_TIMEOUT),
        unfinished: Duration::ZERO,
        quarantined: None,
    };
    forwarder.set_source(opened);
    let given_up = Box::pin(forwarder.delivery.shared.given_up());
    let chunks = unfold(Some((forwarder, given_up)), |state| async move {
        let (mut forwarder, mut given_up) = state?;
        let next = tokio::select! {
            biased;
            next = forwarder.next_events() => next,
            () = given_up.as_mut() => Err(forwarder.abort(STOPPED)),
        };
        match next {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some((forwarder, given_up)))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    // A resumed response may differ in length.
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

impl<P> Forwarder<P>
where
    P: Platform,
{
    fn set_source(&mut self, opened: OpenResponse<P>) {
        self.delivery.constraints.required_version =
            opened.response.version.or(opened.reservation.version);
        let call = &self.delivery.call;
        let parts = call.request.parts.clone();
        let quarantined = quarantine::until_quarantined(self.delivery.shared.clone(), parts);
        self.quarantined = Some(Box::pin(quarantined));
        self.unfinished = Duration::ZERO;
        self.source = Some(Source {
            is_delimited: opened.is_delimited(),
            body: opened.body,
            connection: opened.connection,
            reservation: opened.reservation,
            version: opened.response.version,
            is_silent: false,
        });
    }

    /// The next complete events; none at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let mut read = self.read().await;
            if matches!(read, Read::Silent) {
                read = match self.replace_silent().await? {
                    Some(read) => read,
                    None => continue,
                };
            }
            match read {
                Read::Events(events) => return Ok(Some(self.forward(&events))),
                Read::End if self.is_complete().await => {
                    self.finish();
                    return Ok(None);
                }
                Read::End => self.resume("the stream ended early").await?,
                Read::Broken(why) => self.resume(&why).await?,
                Read::Silent => {}
                Read::Quarantined => return Err(self.withdraw()),
            }
        }
    }

    /// Reads from the current target until it has completed an event or counts as silent.
    async fn read(&mut self) -> Read {
        let began = Instant::now();
        let left = self.delivery.patience_left();
        let Some(source) = self.source.as_mut() else {
            return Read::End;
        };
        let idle_time = if source.is_silent {
            REPLACE_INTERVAL
        } else {
            self.idle_timeout
        };
        let idle_at = began + idle_time.min(left);
        let mut has_bytes = false;
        let read = read_events(&mut source.body, &mut self.splitter, &mut has_bytes);
        let read = timeout_at(idle_at, read);
        let read = match self.quarantined.as_mut() {
            Some(quarantined) => tokio::select! {
                biased;
                () = quarantined => return Read::Quarantined,
                read = read => read,
            },
            None => read.await,
        };
        if read.is_ok() {
            self.unfinished = Duration::ZERO;
        } else if has_bytes {
            self.unfinished += began.elapsed();
        }
        if self.unfinished >= self.idle_timeout * MAX_UNFINISHED_FACTOR {
            return Read::Broken("its event doesn't end".to_owned());
        }
        read.unwrap_or(Read::Silent)
    }

    /// Whether a stream that has ended is complete: it ends between events, and, if only the end
    /// of its connection tells its end, after at least one of a target that is still there.
    async fn is_complete(&mut self) -> bool {
        let Some(source) = self.source.as_ref() else {
            return false;
        };
        if !self.splitter.is_at_boundary() || source.is_delimited {
            return self.splitter.is_at_boundary();
        }
        let target = source.reservation.target.clone();
        let has_written = self.delivery.written.batches > 0;
        has_written && !quarantine::has_ended(&self.delivery.shared, &target).await
    }

    fn forward(&mut self, events: &[StreamEvent]) -> Bytes {
        if let Some(source) = self.source.as_mut() {
            source.reservation.record_first_byte();
            source.is_silent = false;
        }
        self.delivery.written.batches += 1;
        if self.delivery.written.batches == PROVEN_BATCHES {
            self.quarantined = None;
            quarantine::record_written(&self.delivery.shared, &self.delivery.call);
        }
        self.delivery.last_progress = BootClock.now();
        let now = Instant::now();
        if let Some(last_forward) = self.last_forward.replace(now) {
            metrics::time(Span::Pause, now - last_forward);
        }
        if self.events == 0 {
            let waited = self.delivery.call.waited();
            metrics::time(Span::FirstToken, waited);
            self.log_begin(waited);
        }
        self.events += u64::try_from(events.len()).unwrap_or_default();
        let parts: Vec<&[u8]> = events.iter().map(|event| &event.bytes[..]).collect();
        Bytes::from(parts.concat())
    }

    /// Logs the first event, `waited` after the request arrived, and on which weights it
    /// began: those that the entry assumed when it chose the target, and those that the
    /// target names.
    fn log_begin(&self, waited: Duration) {
        let Some(source) = self.source.as_ref() else {
            return;
        };
        let reservation = &source.reservation;
        let version = source.version.or(reservation.version);
        let (left, late) = self.version_left(version);
        let mut fields = vec![
            ("request", self.delivery.call.id().into()),
            ("target", reservation.target.id.as_ref().into()),
            ("first_ms", millis(waited)),
            ("expected_ms", millis(reservation.expected)),
            ("sent_ms", millis(reservation.age())),
            ("assumed_version", reservation.version.into()),
            ("version", version.into()),
            ("version_left_ms", left.map(millis).into()),
        ];
        let call = &self.delivery.call;
        fields.extend(call.placement_inputs(&reservation.target));
        LogEvent::Placed.log(&fields);
        if let Some(left) = left {
            metrics::time(Span::VersionLeft, left);
        }
        if let Some(late) = late {
            LogEvent::BegunLate.log(&[
                ("request", self.delivery.call.id().into()),
                ("target", reservation.target.id.as_ref().into()),
                ("version", version.into()),
                ("late_ms", millis(late)),
            ]);
        }
    }

    /// How long requests may still begin on this version, and how long they no longer may;
    /// both are none if no later version is named.
    fn version_left(&self, version: Option<u64>) -> (Option<Duration>, Option<Duration>) {
        let model = self.delivery.call.request.model.as_deref();
        let until = model
            .zip(version)
            .and_then(|(model, version)| self.delivery.shared.useful_until(model, version));
        let now = BootClock.now();
        let left = until.map(|until| until.since(now));
        let late = until.map(|until| now.since(until));
        (left, late.filter(|late| !late.is_zero()))
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            quarantine::record_written(&self.delivery.shared, &self.delivery.call);
            let mut state = self.delivery.shared.state();
            state.placement.record_success(&source.reservation.target);
            drop(state);
            metrics::time(Span::Whole, self.delivery.call.waited());
            LogEvent::Answered.log(&[
                ("request", self.delivery.call.id().into()),
                ("target", source.reservation.target.id.as_ref().into()),
                ("events", self.events.into()),
                ("waited_ms", millis(self.delivery.call.waited())),
            ]);
            source.connection.release();
        }
    }

    /// Resumes a broken stream at another target after the last event that the caller has.
    async fn resume(&mut self, why: &str) -> Result<(), BodyError> {
        let Some(source) = self.source.take() else {
            return Err(why.into());
        };
        let target = source.reservation.target.clone();
        drop(source);
        if self.delivery.call.time_left().is_zero() {
            return Err(self.abort(why));
        }
        let failed = self.delivery.broke(&target, Fault::Failed, why).await;
        if failed.is_err() {
            return Err(self.abort(why));
        }
        self.resume_after_last_event();
        match self.delivery.open().await {
            Ok(opened) if self.is_continued_by(&opened) => {
                self.continue_at(opened);
                Ok(())
            }
            Ok(opened) => {
                let status = opened.head.status;
                Err(self.abort(&format!(
                    "an answer with status {status} continues no stream"
                )))
            }
            Err(error) => Err(self.abort(&error.to_string())),
        }
    }

    /// Seeks another target for a stream whose target is silent; returns what that one has
    /// sent meanwhile, or that it broke off, unless another target has taken over. Returns none
    /// as well if no other target can take over from one that is still silent.
    async fn replace_silent(&mut self) -> Result<Option<Read>, BodyError> {
        if self.delivery.patience_left().is_zero() {
            return Err(self.abort(SILENT));
        }
        let Some(source) = self.source.as_mut() else {
            return Ok(None);
        };
        let target = source.reservation.target.clone();
        if !std::mem::replace(&mut source.is_silent, true) {
            self.delivery.record_silence(&target);
        }
        self.resume_after_last_event();
        if !self.delivery.reserve_other(&target) {
            return Ok(None);
        }
        self.delivery.leave(&target);
        let written = self.delivery.written;
        let Some(source) = self.source.as_mut() else {
            return Ok(None);
        };
        let mut broken = None;
        let goes_on = read_next(&mut source.body, &mut self.splitter);
        let raced = {
            let mut opening = pin!(self.delivery.open());
            tokio::select! {
                biased;
                read = goes_on => match read {
                    // The silent target broke off; the other one is on its way.
                    Read::Broken(why) => {
                        broken = Some(why);
                        Ok(opening.as_mut().await)
                    }
                    read => Err(read),
                },
                opened = opening.as_mut() => Ok(opened),
            }
        };
        let raced = match raced {
            Ok(Ok(opened)) if self.is_continued_by(&opened) => {
                if let Some(why) = broken {
                    self.delivery.record_fault(&target, Fault::Failed, &why);
                    self.continue_at(opened);
                    return Ok(None);
                }
                self.race(&target, opened).await
            }
            Ok(_) => Race::Stayed(broken.map(Read::Broken)),
            Err(read) => Race::Stayed(Some(read)),
        };
        match raced {
            Race::TakenOver(read) => Ok(read),
            Race::Stayed(read) => {
                self.delivery.stay(written);
                Ok(read)
            }
        }
    }

    /// Waits for the next event of the `silent` target or the first one of the other target,
    /// whose head alone doesn't show that it goes on sooner.
    async fn race(&mut self, silent: &Arc<Target>, mut opened: OpenResponse<P>) -> Race {
        let left = self.delivery.patience_left();
        let Some(source) = self.source.as_mut() else {
            return Race::Stayed(None);
        };
        let mut splitter = self.splitter.clone();
        splitter.discard_partial();
        let goes_on = read_next(&mut source.body, &mut self.splitter);
        let takes_over = read_next(&mut opened.body, &mut splitter);
        let target = opened.reservation.target.clone();
        let raced = timeout(left, async {
            tokio::select! {
                biased;
                read = goes_on => Err(read),
                read = takes_over => Ok(read),
            }
        });
        match raced.await {
            Ok(Ok(Read::Events(events))) => {
                self.continue_at(opened);
                self.splitter = splitter;
                Race::TakenOver(Some(Read::Events(events)))
            }
            Ok(Ok(read)) => {
                let why = match read {
                    Read::Broken(why) => why,
                    _ => "the stream ended before its first event".to_owned(),
                };
                drop(opened);
                self.delivery.record_if_crashed(&target).await;
                self.delivery.record_fault(&target, Fault::Failed, &why);
                self.delivery.leave(&target);
                Race::Stayed(None)
            }
            Ok(Err(Read::Broken(why))) => {
                self.delivery.record_fault(silent, Fault::Failed, &why);
                self.continue_at(opened);
                self.splitter = splitter;
                Race::TakenOver(None)
            }
            Ok(Err(read)) => Race::Stayed(Some(read)),
            Err(_) => Race::Stayed(None),
        }
    }

    fn resume_after_last_event(&mut self) {
        let before = self.delivery.call.request.last_event;
        self.delivery.last_event = self.splitter.last().or(before);
        self.delivery.constraints.allow_late = true;
    }

    fn continue_at(&mut self, opened: OpenResponse<P>) {
        LogEvent::Resumed.log(&[
            ("request", self.delivery.call.id().into()),
            ("target", opened.reservation.target.id.as_ref().into()),
            ("after", self.delivery.last_event.into()),
        ]);
        self.splitter.discard_partial();
        self.set_source(opened);
    }

    /// Whether a response goes on with the stream that the caller was told of.
    fn is_continued_by(&self, opened: &OpenResponse<P>) -> bool {
        let head = &opened.head;
        head.status == self.status && media_type(&head.headers) == self.media_type
    }

    /// Cancels the request at its target, which would crash.
    fn withdraw(&mut self) -> BodyError {
        if let Some(source) = self.source.take() {
            let target = &source.reservation.target;
            self.delivery.log_withdrawn(target, QUARANTINED);
        }
        self.abort(QUARANTINED)
    }

    fn abort(&self, why: &str) -> BodyError {
        LogEvent::Broken.log(&[
            ("request", self.delivery.call.id().into()),
            ("why", why.into()),
            ("events", self.events.into()),
            ("waited_ms", millis(self.delivery.call.waited())),
        ]);
        why.into()
    }
}

/// The media type without its parameters, in lower case.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    let name = value.split(';').next().unwrap_or(value);
    Some(name.trim().to_ascii_lowercase())
}

/// Reads until an event is complete.
async fn read_next(body: &mut ResponseBody, splitter: &mut EventSplitter) -> Read {
    read_events(body, splitter, &mut false).await
}

/// Reads until an event is complete, and tells whether any bytes have arrived.
async fn read_events(
    body: &mut ResponseBody,
    splitter: &mut EventSplitter,
    has_bytes: &mut bool,
) -> Read {
    if let Err(error) = splitter.check() {
        return Read::Broken(error.to_string());
    }
    loop {
        let bytes = match body.frame().await {
            None => return Read::End,
            Some(Err(error)) => return Read::Broken(error.to_string()),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        *has_bytes |= !bytes.is_empty();
        match splitter.push(&bytes) {
            Ok(events) if events.is_empty() => consume_budget().await,
            Ok(events) => return Read::Events(events),
            Err(error) => return Read::Broken(error.to_string()),
        }
    }
}
