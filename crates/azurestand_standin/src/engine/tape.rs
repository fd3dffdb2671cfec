//! A stream in the making, which a reader on another connection can take up.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use tokio::sync::{Notify, watch};

/// How far a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Open,
    Whole,
    Broken,
}

/// What a stream has brought so far.
#[derive(Debug)]
pub(super) struct Tape {
    bytes: Mutex<Vec<u8>>,
    end: watch::Sender<End>,
    readers: AtomicUsize,
    left: Notify,
}

impl Tape {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            bytes: Mutex::default(),
            end: watch::channel(End::Open).0,
            readers: AtomicUsize::new(0),
            left: Notify::new(),
        })
    }

    pub(super) fn push(&self, bytes: &[u8]) {
        self.bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend_from_slice(bytes);
        self.end.send_modify(|_| {});
    }

    pub(super) fn close(&self, whole: bool) {
        let end = if whole { End::Whole } else { End::Broken };
        self.end.send_replace(end);
    }

    /// Completes when the last reader has gone. One who takes the stream up on
    /// another connection comes before it lets the silent one go.
    pub(super) async fn abandoned(&self) {
        while self.readers.load(Ordering::Relaxed) > 0 {
            self.left.notified().await;
        }
    }

    fn after(&self, offset: usize) -> Bytes {
        let bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        Bytes::copy_from_slice(bytes.get(offset..).unwrap_or_default())
    }

    /// The stream from `offset` on.
    pub(super) fn response(self: &Arc<Self>, offset: usize) -> Response<Body> {
        let reader = Reader::new(Arc::clone(self), offset);
        let parts = stream::unfold(Some(reader), |reader| async { reader?.next().await });
        let mut response = Response::new(Body::from_stream(parts));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

struct Reader {
    tape: Arc<Tape>,
    end: watch::Receiver<End>,
    offset: usize,
}

impl Reader {
    fn new(tape: Arc<Tape>, offset: usize) -> Self {
        tape.readers.fetch_add(1, Ordering::Relaxed);
        let end = tape.end.subscribe();
        Self { tape, end, offset }
    }

    async fn next(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        loop {
            let end = *self.end.borrow_and_update();
            let part = self.tape.after(self.offset);
            if !part.is_empty() {
                self.offset += part.len();
                return Some((Ok(part), Some(self)));
            }
            match end {
                End::Whole => return None,
                End::Broken => return Some((Err(io::ErrorKind::BrokenPipe.into()), None)),
                End::Open => (),
            }
            if self.end.changed().await.is_err() {
                return None;
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.tape.readers.fetch_sub(1, Ordering::Relaxed);
        self.tape.left.notify_one();
    }
}
