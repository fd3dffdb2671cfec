//! The body of a response that is still arriving, and its collection into memory.

use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::meter::ByteMeter;

/// Why a body could not be collected.
#[derive(Debug, Display)]
pub enum CollectError {
    /// The connection broke, or the bytes are no body.
    #[display("{_0}")]
    Broken(String),
    /// The body is larger than the call allows.
    #[display("the body exceeds {_0} bytes")]
    TooLarge(usize),
    /// Other bodies take up the memory for bodies.
    #[display("no memory is left for a body of this size")]
    NoMemory,
}

/// Collects a body of at most `max_bytes` bytes, of which each part counts as `min_part` at
/// least. Before the bytes grow to a new length, `reserve` says whether there is memory for that.
///
/// # Errors
///
/// [`CollectError`] when the body breaks off or isn't taken.
pub async fn collect<B, R>(
    mut body: B,
    max_bytes: usize,
    min_part: usize,
    mut reserve: R,
) -> Result<BytesMut, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
    R: FnMut(usize) -> bool,
{
    // The parts share the read buffers, which are larger; so they are copied.
    let mut bytes = BytesMut::new();
    let mut counted = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        counted += data.len().max(min_part);
        let length = bytes.len() + data.len();
        if counted > max_bytes.max(min_part) || length > max_bytes {
            return Err(CollectError::TooLarge(max_bytes));
        }
        if !reserve(length) {
            return Err(CollectError::NoMemory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Why a body is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct BodyFailure(Arc<str>);

impl From<&hyper::Error> for BodyFailure {
    fn from(error: &hyper::Error) -> Self {
        match error.source() {
            Some(cause) => Self(format!("{error}: {cause}").into()),
            None => Self(error.to_string().into()),
        }
    }
}

/// A body; each part of it that arrives resets the meter of its connection.
///
/// A body that has failed stays failed, however often it is polled: the HTTP library reports an
/// error once and the end of the body after it.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    meter: ByteMeter,
    failure: Option<BodyFailure>,
}

impl ResponseBody {
    /// The body of a response whose head has just arrived.
    pub fn new(body: Incoming, meter: ByteMeter) -> Self {
        meter.reset();
        Self {
            body,
            meter,
            failure: None,
        }
    }

    /// Why no further part of the body arrives, unless it has ended as a whole.
    fn find_failure(
        &self,
        frame: Option<&Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<BodyFailure> {
        match frame {
            Some(Ok(_)) => None,
            Some(Err(error)) => Some(BodyFailure::from(error)),
            None => {
                let missing = self.body.size_hint().lower();
                let text = || format!("{missing} bytes of the body are missing");
                (missing > 0).then(|| BodyFailure(text().into()))
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        if let Some(failure) = &self.failure {
            return Poll::Ready(Some(Err(failure.clone())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.meter.reset();
        self.failure = self.find_failure(frame.as_ref());
        if let Some(failure) = &self.failure {
            return Poll::Ready(Some(Err(failure.clone())));
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|error| BodyFailure::from(&error))))
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
