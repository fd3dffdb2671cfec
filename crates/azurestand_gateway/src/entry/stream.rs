//! Forwards a stream of events; only complete events are forwarded.
//!
//! When a target's stream breaks or stalls, another target continues after the last event
//! that the caller has received, where the route allows it. The response keeps the head
//! from its first target. A stream that can't be continued ends with a broken connection,
//! never as a complete response.

use std::pin::Pin;
use std::time::Duration;

use azurestand_direct::{EventSplitter, Fault};
use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use super::deliver::{Delivery, OpenResponse, PROVEN_BATCHES, QUARANTINED};
use super::place::Reservation;
use super::quarantine;
use super::response::{Body, BodyError};
use crate::client::{ActiveConnection, ResponseBody};
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::metrics::{self, Span};
use crate::platform::Platform;

/// A stream is resumed at another target when idle for this many times the longest pause.
const IDLE_FACTOR: u32 = 4;
/// The shortest idle time after which a stream is resumed at another target.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

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
}

/// The result of reading from a body.
enum Chunk {
    Bytes(Bytes),
    End,
    Broken(String),
    /// A part of the prompt was quarantined before the target had written anything.
    Quarantined,
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
        quarantined: None,
    };
    forwarder.set_source(opened);
    let chunks = unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next_events().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(forwarder))),
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
        self.source = Some(Source {
            is_delimited: opened.is_delimited(),
            body: opened.body,
            connection: opened.connection,
            reservation: opened.reservation,
            version: opened.response.version,
        });
    }

    /// The next complete events; none at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, BodyError> {
        let mut idle_at = self.idle_at();
        loop {
            let Some(source) = self.source.as_mut() else {
                return Ok(None);
            };
            let read = read_chunk_until(&mut source.body, idle_at);
            let chunk = match self.quarantined.as_mut() {
                Some(quarantined) => tokio::select! {
                    biased;
                    () = quarantined => Chunk::Quarantined,
                    chunk = read => chunk,
                },
                None => read.await,
            };
            match chunk {
                Chunk::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => return Ok(Some(self.forward(&events))),
                    Err(error) => {
                        self.resume(&error.to_string()).await?;
                        idle_at = self.idle_at();
                    }
                },
                Chunk::End if self.is_complete().await => {
                    self.finish();
                    return Ok(None);
                }
                Chunk::End => {
                    self.resume("the stream ended early").await?;
                    idle_at = self.idle_at();
                }
                Chunk::Broken(why) => {
                    self.resume(&why).await?;
                    idle_at = self.idle_at();
                }
                Chunk::Quarantined => return Err(self.withdraw()),
            }
        }
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

    /// When the stream counts as idle unless the caller gets another event before.
    fn idle_at(&self) -> Instant {
        Instant::now() + self.idle_timeout.min(self.delivery.call.time_left())
    }

    fn forward(&mut self, events: &[azurestand_direct::StreamEvent]) -> Bytes {
        if let Some(source) = self.source.as_mut() {
            source.reservation.record_first_byte();
        }
        self.delivery.written.batches += 1;
        if self.delivery.written.batches == PROVEN_BATCHES {
            self.quarantined = None;
            quarantine::record_written(&self.delivery.shared, &self.delivery.call);
        }
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
        LogEvent::Placed.log(&[
            ("request", self.delivery.call.id().into()),
            ("target", reservation.target.id.as_ref().into()),
            ("first_ms", millis(waited)),
            ("expected_ms", millis(reservation.expected)),
            ("sent_ms", millis(reservation.age())),
            ("assumed_version", reservation.version.into()),
            ("version", version.into()),
            ("version_left_ms", left.map(millis).into()),
        ]);
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

    /// Resumes the stream at another target after the last event that the caller has.
    async fn resume(&mut self, why: &str) -> Result<(), BodyError> {
        let Some(source) = self.source.take() else {
            return Err(why.into());
        };
        let target = source.reservation.target.clone();
        drop(source);
        self.splitter.discard_partial();
        let fault = if why == "silent" {
            Fault::Silent
        } else {
            Fault::Failed
        };
        if self.delivery.call.time_left().is_zero() {
            return Err(self.abort(why));
        }
        let failed = match fault {
            Fault::Silent => self.delivery.failed(&target, fault, why),
            _ => self.delivery.broke(&target, fault, why).await,
        };
        if failed.is_err() {
            return Err(self.abort(why));
        }
        self.delivery.last_event = self
            .splitter
            .last()
            .or(self.delivery.call.request.last_event);
        self.delivery.constraints.allow_late = true;
        match self.delivery.open().await {
            Ok(opened) if self.is_continued_by(&opened) => {
                LogEvent::Resumed.log(&[
                    ("request", self.delivery.call.id().into()),
                    ("target", opened.reservation.target.id.as_ref().into()),
                    ("after", self.delivery.last_event.into()),
                ]);
                self.set_source(opened);
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

/// Reads until `idle_at`, also if bytes that complete no new event keep arriving.
async fn read_chunk_until(body: &mut ResponseBody, idle_at: Instant) -> Chunk {
    let silent = || Chunk::Broken("silent".to_owned());
    if Instant::now() >= idle_at {
        return silent();
    }
    let chunk = timeout_at(idle_at, read_chunk(body)).await;
    chunk.unwrap_or_else(|_| silent())
}

async fn read_chunk(body: &mut ResponseBody) -> Chunk {
    loop {
        match body.frame().await {
            None => return Chunk::End,
            Some(Err(error)) => return Chunk::Broken(error.to_string()),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Chunk::Bytes(bytes);
                }
            }
        }
    }
}
