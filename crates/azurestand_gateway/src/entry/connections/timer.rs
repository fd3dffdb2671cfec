//! Detects connections that are idle for too long and callers that send a head too slowly.
//!
//! The HTTP library has a single limit for both, fixed when the connection is opened. The
//! operators set two and may change them at any time, so the entry measures both itself.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a connection may take for the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TimeLimits {
    /// From the first byte of a head to its end.
    pub(super) head: Duration,
    /// Without any request.
    pub(super) idle: Duration,
}

/// Which limit a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exceeded {
    Head,
    Idle,
}

/// What happens on one connection.
#[derive(Debug)]
struct Activity {
    /// The number of requests being handled.
    open_requests: u32,
    /// When the first byte of a still incomplete head arrived.
    head_start: Option<Instant>,
    /// When bytes were last sent or a request last ended.
    idle_since: Instant,
}

/// Measures how long a connection is idle and how long its request heads take to arrive.
#[derive(Debug, Clone)]
pub(super) struct ConnectionTimer {
    activity: Arc<Mutex<Activity>>,
    changed: Arc<Notify>,
}

impl Default for ConnectionTimer {
    fn default() -> Self {
        let activity = Activity {
            open_requests: 0,
            head_start: None,
            idle_since: Instant::now(),
        };
        Self {
            activity: Arc::new(Mutex::new(activity)),
            changed: Arc::default(),
        }
    }
}

impl ConnectionTimer {
    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes have arrived.
    fn record_received(&self) {
        let mut activity = self.activity();
        if activity.open_requests == 0 && activity.head_start.is_none() {
            activity.head_start = Some(Instant::now());
            self.changed.notify_one();
        }
    }

    /// Records that bytes were sent.
    fn record_sent(&self) {
        self.activity().idle_since = Instant::now();
    }

    /// Records that a head is complete and its request is being handled.
    pub(super) fn begin_request(&self) {
        let mut activity = self.activity();
        activity.open_requests += 1;
        activity.head_start = None;
    }

    /// Records that the response has ended.
    pub(super) fn end_request(&self) {
        let mut activity = self.activity();
        activity.open_requests = activity.open_requests.saturating_sub(1);
        activity.idle_since = Instant::now();
        self.changed.notify_one();
    }

    #[cfg(test)]
    pub(super) fn has_open_requests(&self) -> bool {
        self.activity().open_requests > 0
    }

    /// Completes when the connection has exceeded one of the `limits` in force.
    pub(super) async fn exceeded<F>(&self, limits: F) -> Exceeded
    where
        F: Fn() -> TimeLimits,
    {
        let mut known = limits();
        loop {
            let changed = self.changed.notified();
            match self.due(known) {
                None => changed.await,
                Some((at, _)) if at > Instant::now() => {
                    // Either way it is computed anew.
                    let _ = timeout_at(at, changed).await;
                }
                Some((_, exceeded)) => {
                    let current = limits();
                    if current == known {
                        return exceeded;
                    }
                    known = current;
                }
            }
        }
    }

    /// When the next limit is exceeded unless something happens before; none during a request.
    fn due(&self, limits: TimeLimits) -> Option<(Instant, Exceeded)> {
        let activity = self.activity();
        if activity.open_requests > 0 {
            return None;
        }
        let due = match activity.head_start {
            Some(start) => (start + limits.head, Exceeded::Head),
            None => (activity.idle_since + limits.idle, Exceeded::Idle),
        };
        Some(due)
    }
}

/// A connection whose reads and writes drive the timer.
#[derive(Debug)]
pub(super) struct TimedStream<I> {
    inner: I,
    timer: ConnectionTimer,
}

impl<I> TimedStream<I> {
    pub(super) fn new(inner: I, timer: ConnectionTimer) -> Self {
        Self { inner, timer }
    }

    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.timer.record_sent();
        }
    }
}

impl<I> AsyncRead for TimedStream<I>
where
    I: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.record_received();
        }
        read
    }
}

impl<I> AsyncWrite for TimedStream<I>
where
    I: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
