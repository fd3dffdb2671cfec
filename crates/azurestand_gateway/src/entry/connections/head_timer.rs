//! Detects callers that send a request head too slowly.
//!
//! The HTTP library has a single limit for the idle time before a head and for its arrival.
//! The operators set two, so bytes that arrive while no request is open start a separate
//! timer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The state of the next request head on one connection.
#[derive(Debug, Default)]
struct Arrival {
    /// The number of requests being handled.
    open_requests: u32,
    /// When the first byte of a still incomplete head arrived.
    head_start: Option<Instant>,
}

/// Measures how long the request heads of one connection take to arrive.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadTimer {
    arrival: Arc<Mutex<Arrival>>,
    head_started: Arc<Notify>,
}

impl HeadTimer {
    fn arrival(&self) -> MutexGuard<'_, Arrival> {
        self.arrival.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes have arrived.
    fn record_bytes(&self) {
        let mut arrival = self.arrival();
        if arrival.open_requests == 0 && arrival.head_start.is_none() {
            arrival.head_start = Some(Instant::now());
            self.head_started.notify_one();
        }
    }

    /// Records that a head is complete and its request is being handled.
    pub(super) fn begin_request(&self) {
        let mut arrival = self.arrival();
        arrival.open_requests += 1;
        arrival.head_start = None;
    }

    /// Records that the response has ended.
    pub(super) fn end_request(&self) {
        let mut arrival = self.arrival();
        arrival.open_requests = arrival.open_requests.saturating_sub(1);
    }

    /// Completes when a head has not arrived completely within `limit`.
    pub(super) async fn head_late(&self, limit: Duration) {
        loop {
            self.head_started.notified().await;
            let Some(head_start) = self.arrival().head_start else {
                continue;
            };
            sleep_until(head_start + limit).await;
            if self.arrival().head_start == Some(head_start) {
                return;
            }
        }
    }
}

/// A connection whose reads drive the timer.
#[derive(Debug)]
pub(super) struct TimedStream<I> {
    inner: I,
    timer: HeadTimer,
}

impl<I> TimedStream<I> {
    pub(super) fn new(inner: I, timer: HeadTimer) -> Self {
        Self { inner, timer }
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
            self.timer.record_bytes();
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
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
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
