//! Tracks each request from its complete head to the end of its response.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use super::timer::ConnectionTimer;
use crate::entry::response::{Body, BodyError};

/// A request that is being handled; it is open until dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    timer: ConnectionTimer,
}

impl OpenRequest {
    /// Begins a request whose head has arrived.
    pub(super) fn begin(timer: ConnectionTimer) -> Self {
        timer.begin_request();
        Self { timer }
    }

    /// Keeps the request open until the body of its response has ended.
    pub(super) fn track(self, response: Response<Body>) -> Response<Body> {
        response.map(|inner| {
            let request = Some(self).filter(|_| !inner.is_end_stream());
            TrackedBody { inner, request }.boxed_unsync()
        })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.timer.end_request();
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
        if has_ended {
            self.request = None;
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
