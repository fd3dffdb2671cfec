//! The body of a response that is still arriving.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::meter::ByteMeter;

/// A body; each part of it that arrives resets the meter of its connection.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    body: Incoming,
    meter: ByteMeter,
}

impl ResponseBody {
    pub(super) fn new(body: Incoming, meter: ByteMeter) -> Self {
        Self { body, meter }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
