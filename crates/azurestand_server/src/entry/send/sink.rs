//! Where an answer goes: to a caller, or to the entry that passed the request on.

#[cfg(test)]
mod tests;

use std::io;

use axum::body::Body;
use axum::response::Response;
use azurestand_types::{Outcome, RequestId};
use azurestand_wire::{AnswerEnd, AnswerHead, AnswerPart, Body as Message, Outbox};
use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderName, HeaderValue, StatusCode};
use tokio::sync::{mpsc, oneshot};

use crate::agent::{failed, raw, refused};
use crate::entry::answer::{self, OUTCOME_HEADER, REQUEST_HEADER};

/// A whole answer up to this length is held back until its end is known, so
/// that a caller never takes a cut one for whole.
const MAX_HELD_BYTES: usize = 4 * 1024 * 1024;
const BODY_QUEUE: usize = 32;

/// Where the answer goes.
#[derive(Debug)]
pub(in crate::entry) enum Sink {
    /// To a caller.
    Caller(Box<CallerSink>),
    /// To the entry that passed the request on.
    Entry(EntrySink),
}

/// A part of a body that is on its way to a caller.
#[derive(Debug)]
enum Part {
    Bytes(Bytes),
    /// The body is whole. Without this its connection breaks, however the sink ended.
    End,
}

/// The answer to a caller, as far as it has come.
#[derive(Debug)]
pub(in crate::entry) struct CallerSink {
    id: RequestId,
    head: Option<oneshot::Sender<Response>>,
    answer_head: Option<AnswerHead>,
    held: BytesMut,
    body: Option<mpsc::Sender<Part>>,
    stream: bool,
}

/// The way back to another entry.
#[derive(Debug)]
pub(in crate::entry) struct EntrySink {
    id: RequestId,
    outbox: Outbox,
    offset: u64,
}

impl Sink {
    /// A sink for a caller and the answer that its handler waits for.
    pub(in crate::entry) fn caller(id: RequestId) -> (Self, oneshot::Receiver<Response>) {
        let (head, answer) = oneshot::channel();
        let sink = CallerSink {
            id,
            head: Some(head),
            answer_head: None,
            held: BytesMut::new(),
            body: None,
            stream: false,
        };
        (Self::Caller(Box::new(sink)), answer)
    }

    /// A sink for the entry behind `outbox`, which has everything before `offset`.
    pub(in crate::entry) fn entry(id: RequestId, outbox: Outbox, offset: u64) -> Self {
        Self::Entry(EntrySink { id, outbox, offset })
    }

    /// Passes the head on.
    pub(super) async fn begin(&mut self, answer_head: AnswerHead) {
        match self {
            Self::Caller(sink) => sink.begin(answer_head),
            Self::Entry(sink) => {
                let _ = sink.outbox.send(Message::AnswerHead(answer_head)).await;
            }
        }
    }

    /// Passes a part of the body on; false when nobody takes it any more.
    pub(super) async fn pass(&mut self, bytes: Bytes) -> bool {
        match self {
            Self::Caller(sink) => sink.pass(bytes).await,
            Self::Entry(sink) => sink.pass(bytes).await,
        }
    }

    /// Ends the answer.
    pub(super) async fn finish(self, outcome: Outcome) {
        match self {
            Self::Caller(sink) => sink.finish(outcome).await,
            Self::Entry(sink) => {
                let _ = sink.outbox.send(sink.end(outcome)).await;
            }
        }
    }

    /// Completes when nobody waits for the answer any more.
    pub(super) async fn left(&mut self) {
        match self {
            Self::Caller(sink) => sink.left().await,
            Self::Entry(sink) => sink.outbox.closed().await,
        }
    }
}

impl CallerSink {
    fn begin(&mut self, answer_head: AnswerHead) {
        let kind = answer_head
            .headers
            .iter()
            .find(|header| header.name == CONTENT_TYPE.as_str());
        self.stream = kind.is_some_and(|kind| kind.value.starts_with(b"text/event-stream"));
        self.answer_head = Some(answer_head);
        if self.stream {
            self.open();
        }
    }

    /// Answers with a body that is still on its way.
    fn open(&mut self) {
        let (body, parts) = mpsc::channel(BODY_QUEUE);
        self.body = Some(body);
        let body = Body::from_stream(unfold(Some(parts), next_part));
        self.answer(body, None);
    }

    fn answer(&mut self, body: Body, outcome: Option<&'static str>) {
        let (Some(head), Some(answer_head)) = (self.head.take(), &self.answer_head) else {
            return;
        };
        let mut response = Response::new(body);
        let status = u16::try_from(answer_head.status).ok();
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        for header in &answer_head.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            headers.insert(REQUEST_HEADER, id);
        }
        if let Some(outcome) = outcome {
            headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
        }
        if self.stream {
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        }
        let _ = head.send(response);
    }

    async fn pass(&mut self, bytes: Bytes) -> bool {
        if let Some(body) = &self.body {
            return body.send(Part::Bytes(bytes)).await.is_ok();
        }
        self.held.extend_from_slice(&bytes);
        if self.held.len() > MAX_HELD_BYTES {
            self.open();
            let held = self.held.split().freeze();
            return Box::pin(self.pass(held)).await;
        }
        true
    }

    async fn finish(mut self, outcome: Outcome) {
        if let Some(body) = self.body.take() {
            let is_answered = outcome == Outcome::Answered;
            // A stream can say what happened. Another half-sent body can only be broken off,
            // which would take a stream's last event along.
            if !is_answered && self.stream {
                let last = answer::stream_error(outcome, self.id).into();
                let _ = body.send(Part::Bytes(last)).await;
            }
            if is_answered || self.stream {
                let _ = body.send(Part::End).await;
            }
            return;
        }
        if outcome == Outcome::Answered {
            let held = self.held.split().freeze();
            self.answer(Body::from(held), Some("answered"));
        } else if let Some(head) = self.head.take() {
            let _ = head.send(answer::error(outcome, self.id, None));
        }
    }

    async fn left(&mut self) {
        if let Some(body) = &self.body {
            body.closed().await;
        } else if let Some(head) = &mut self.head {
            head.closed().await;
        }
    }
}

/// The next bytes of a body; an error if its sink ended without saying that it is whole.
async fn next_part(
    parts: Option<mpsc::Receiver<Part>>,
) -> Option<(io::Result<Bytes>, Option<mpsc::Receiver<Part>>)> {
    let mut parts = parts?;
    match parts.recv().await {
        Some(Part::Bytes(bytes)) => Some((Ok(bytes), Some(parts))),
        Some(Part::End) => None,
        None => Some((Err(io::ErrorKind::BrokenPipe.into()), None)),
    }
}

impl EntrySink {
    async fn pass(&mut self, bytes: Bytes) -> bool {
        let length = bytes.len() as u64;
        let part = AnswerPart {
            id: raw(self.id),
            offset: self.offset,
            bytes,
        };
        self.offset += length;
        self.outbox.send(Message::AnswerPart(part)).await.is_ok()
    }

    fn end(&self, outcome: Outcome) -> Message {
        match outcome {
            Outcome::Answered => Message::AnswerEnd(AnswerEnd {
                id: raw(self.id),
                length: self.offset,
            }),
            Outcome::NotRun(refusal) => refused(self.id, refusal),
            Outcome::Unknown(why) => failed(self.id, why),
        }
    }
}
