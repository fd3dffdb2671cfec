//! Tracks each request from its complete head to the end of its response.

#[cfg(test)]
mod tests;

use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use azurestand_types::Moment;
use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use super::timer::ConnectionTimer;
use crate::clock::BootClock;
use crate::entry::response::{Body, BodyError, RequestError};
use crate::log::{LogEvent, millis};

/// A request that is being handled; it is open until dropped. One that is dropped before its
/// response has ended was cut off, which is logged.
#[derive(Debug)]
pub(super) struct OpenRequest {
    timer: ConnectionTimer,
    id: Option<Arc<str>>,
    began: Moment,
    has_ended: bool,
}

impl OpenRequest {
    /// Begins a request whose head has arrived.
    pub(super) fn begin(timer: ConnectionTimer, id: Option<Arc<str>>) -> Self {
        timer.begin_request();
        Self {
            timer,
            id,
            began: BootClock.now(),
            has_ended: false,
        }
    }

    /// The response that `handling` returns. If it panics, the caller is told that the request
    /// may have run; its connection would else end without an answer.
    pub(super) async fn answer<F>(self, method: &Method, handling: F) -> Response<Body>
    where
        F: Future<Output = Response<Body>>,
    {
        let response = AssertUnwindSafe(handling).catch_unwind().await;
        let response = response.unwrap_or_else(|_| {
            self.log(LogEvent::Panicked);
            RequestError::Unknown.response()
        });
        self.track(method, response)
    }

    /// Keeps the request open until the body of its response has ended.
    fn track(mut self, method: &Method, response: Response<Body>) -> Response<Body> {
        let status = response.status();
        let has_body = method != Method::HEAD
            && status != StatusCode::NO_CONTENT
            && status != StatusCode::NOT_MODIFIED;
        response.map(|inner| {
            self.has_ended = !has_body || inner.is_end_stream();
            let request = Some(self);
            TrackedBody { inner, request }.boxed_unsync()
        })
    }

    fn log(&self, event: LogEvent) {
        event.log(&[
            ("request", self.id.as_deref().unwrap_or("-").into()),
            ("waited_ms", millis(BootClock.now().since(self.began))),
        ]);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.timer.end_request();
        if std::thread::panicking() {
            self.log(LogEvent::Panicked);
        } else if !self.has_ended {
            self.log(LogEvent::CutOff);
        }
    }
}

/// The body of a response with its request, until the last bytes have been taken from it.
struct TrackedBody {
    inner: Body,
    request: Option<OpenRequest>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(context);
        let has_ended = match &frame {
            Poll::Ready(Some(Ok(_))) => self.inner.is_end_stream(),
            Poll::Ready(None | Some(Err(_))) => true,
            Poll::Pending => false,
        };
        if has_ended && let Some(mut request) = self.request.take() {
            request.has_ended = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
