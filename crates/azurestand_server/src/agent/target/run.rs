//! One call to a target, from its start to its end.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use azurestand_http::{BodyFailure, ResponseBody};
use azurestand_types::RequestId;
use azurestand_wire::{Header, TargetRequest};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout, timeout_at};

use super::Input;
use crate::agent::sse::Stamper;
use crate::client::{CallError, HttpClient, request};
use crate::event::Event;

/// An engine that streams gives no token for this long only when it has lost the stream.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
const MAX_RESUMES: u32 = 3;
/// How long after its deadline a call may keep its place on an engine that isn't
/// warm; a connection that went silent would keep it for ever.
const LATE_LIMIT: Duration = Duration::from_secs(5);
/// Frames between processes stay small, so that no answer delays another.
const MAX_PART_BYTES: usize = 64 * 1024;

/// What a call brings.
#[derive(Debug)]
pub(crate) enum RunEvent {
    /// The answer's head.
    Head {
        /// The HTTP status.
        status: StatusCode,
        /// Headers to pass on.
        headers: Vec<Header>,
    },
    /// A piece of the body.
    Bytes(Bytes),
    /// The caller's time ended; the call goes on.
    Late,
    /// The call ended.
    Done(RunEnd),
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The target sent the answer's end.
    Whole,
    /// No connection came about, so the target did not run it.
    Unreached,
    /// The engine says that it has no room and did not run it.
    Overloaded,
    /// The call broke off.
    Broken,
    /// It did not end within [`LATE_LIMIT`] after the caller's time.
    Late,
}

/// What a call needs.
pub(crate) struct Run {
    pub(crate) id: RequestId,
    pub(crate) message: TargetRequest,
    pub(crate) address: SocketAddr,
    pub(crate) engine: bool,
    pub(crate) deadline: Instant,
    pub(crate) stamper: Stamper,
    /// Bytes that may be read ahead of the reader; one permit is one byte.
    pub(crate) window: std::sync::Arc<Semaphore>,
    pub(crate) events: mpsc::Sender<Input>,
}

impl Run {
    /// Makes the call and reports what it brings; dropping the future cancels the call.
    pub(crate) async fn carry_out(mut self, client: HttpClient) {
        let (id, events) = (self.id, self.events.clone());
        let deadline = self.deadline;
        let mut call = pin!(self.call(&client));
        let end = if let Ok(end) = timeout_at(deadline, &mut call).await {
            end
        } else {
            tell(&events, id, RunEvent::Late).await;
            let rest = timeout(LATE_LIMIT, call).await;
            rest.unwrap_or(RunEnd::Late)
        };
        tell(&events, id, RunEvent::Done(end)).await;
    }

    async fn tell(&self, event: RunEvent) {
        tell(&self.events, self.id, event).await;
    }

    async fn call(&mut self, client: &HttpClient) -> RunEnd {
        let response = match client.send(self.request()).await {
            Ok(response) => response,
            Err(CallError::Refused(_)) => return RunEnd::Unreached,
            Err(_) => return RunEnd::Broken,
        };
        let (head, body) = response.into_parts();
        if self.engine && is_overload(head.status) {
            return RunEnd::Overloaded;
        }
        let stream = is_stream(&head.headers);
        let headers = keep_headers(&head.headers);
        let status = head.status;
        self.tell(RunEvent::Head { status, headers }).await;
        self.relay(body, stream, client).await
    }

    fn request(&self) -> http::Request<http_body_util::Full<Bytes>> {
        let method = Method::from_bytes(self.message.method.as_bytes()).unwrap_or(Method::POST);
        let mut request = request(
            method,
            self.address,
            &self.message.path,
            self.message.body.clone(),
        );
        let headers = request.headers_mut();
        for header in &self.message.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        set(headers, "x-request-id", &self.id.to_string());
        set(headers, "x-priority", &self.message.priority.to_string());
        if !self.message.idempotency_key.is_empty() {
            set(headers, "idempotency-key", &self.message.idempotency_key);
        }
        request
    }

    async fn relay(&mut self, mut body: ResponseBody, stream: bool, client: &HttpClient) -> RunEnd {
        let mut offset = 0_u64;
        let mut resumes = 0;
        loop {
            let frame = match self.next(&mut body, stream).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Err(_) if resumes < MAX_RESUMES => {
                    resumes += 1;
                    match self.resume(client, offset).await {
                        Some(taken) => body = taken,
                        None => return RunEnd::Broken,
                    }
                    continue;
                }
                Ok(Some(Err(_))) | Err(_) => return RunEnd::Broken,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            offset += data.len() as u64;
            let data = if stream {
                self.stamper.push(&data)
            } else {
                data
            };
            self.pass(data).await;
        }
        if stream && !self.stamper.is_at_boundary() {
            return RunEnd::Broken;
        }
        if stream {
            let rest = self.stamper.flush();
            self.pass(rest).await;
        }
        RunEnd::Whole
    }

    /// Takes a silent engine's stream up on a new connection.
    async fn resume(&self, client: &HttpClient, offset: u64) -> Option<ResponseBody> {
        let path = format!("/admin/streams/{}?from={offset}", self.id);
        let request = request(Method::GET, self.address, &path, Bytes::new());
        let sent = timeout(SILENCE_LIMIT, client.send(request)).await;
        let response = sent.ok()?.ok()?;
        Event::Resumed.log(format_args!(
            "{} at its engine, from byte {offset}",
            self.id
        ));
        (response.status() == StatusCode::OK).then(|| response.into_body())
    }

    async fn next(
        &self,
        body: &mut ResponseBody,
        stream: bool,
    ) -> Result<Option<Result<hyper::body::Frame<Bytes>, BodyFailure>>, tokio::time::error::Elapsed>
    {
        if stream && self.engine {
            return timeout(SILENCE_LIMIT, body.frame()).await;
        }
        Ok(body.frame().await)
    }

    /// Passes data on as far as the reader keeps up.
    async fn pass(&self, mut data: Bytes) {
        while !data.is_empty() {
            let part = data.split_to(data.len().min(MAX_PART_BYTES));
            let count = u32::try_from(part.len()).unwrap_or(u32::MAX);
            let Ok(permits) = self.window.acquire_many(count).await else {
                return;
            };
            permits.forget();
            self.tell(RunEvent::Bytes(part)).await;
        }
    }
}

async fn tell(events: &mpsc::Sender<Input>, id: RequestId, event: RunEvent) {
    let _ = events.send(Input::Run { id, event }).await;
}

fn is_overload(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

fn is_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.starts_with(b"text/event-stream"))
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Headers about the connection to the target don't concern the caller.
fn keep_headers(headers: &HeaderMap) -> Vec<Header> {
    let dropped = [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH];
    let kept = headers.iter().filter(|(name, _)| !dropped.contains(name));
    kept.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}
