//! The connection under a call: limits the bytes that a peer may send without completing a
//! part of a response, and resets a connection whose call is cancelled.
//!
//! The HTTP client bounds the length of a head, but reads any number of interim responses
//! before it, and any number of zeros or spaces in the size of a chunk.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::READ_BUFFER_BYTES;

/// The most bytes that a peer may send without completing a head or a part of a body:
/// four read buffers, since two of them may be read ahead of what was taken.
const MAX_INCOMPLETE_BYTES: usize = 4 * READ_BUFFER_BYTES;

/// Counts the bytes that arrived since a part of a response was last completed.
#[derive(Debug, Clone, Default)]
pub struct ByteMeter(Arc<AtomicUsize>);

impl ByteMeter {
    /// Records that a part is complete, or that a call begins.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INCOMPLETE_BYTES
    }
}

/// Tells whether the call on a connection was cancelled.
#[derive(Debug, Clone, Default)]
pub struct CancelFlag(Arc<AtomicBool>);

impl CancelFlag {
    /// Records that the call was cancelled; the connection is closed next.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection whose reads fail once its meter is exceeded, and that is reset on drop if its
/// call was cancelled.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: ByteMeter,
    cancelled: CancelFlag,
}

impl MeteredStream {
    /// Meters a connection that has just been opened.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            meter: ByteMeter::default(),
            cancelled: CancelFlag::default(),
        }
    }

    /// The meter that its calls reset.
    pub fn meter(&self) -> ByteMeter {
        self.meter.clone()
    }

    /// The flag that a cancelled call sets.
    pub fn cancel_flag(&self) -> CancelFlag {
        self.cancelled.clone()
    }
}

/// A pooling client passes the meter on in the extensions of each response.
impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter())
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.cancelled.is_set() {
            // What a cut holds up of the request would otherwise arrive when it ends. If the
            // option fails, the connection is closed in order.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_exceeded() {
            let text = format!("over {MAX_INCOMPLETE_BYTES} bytes complete no part of a response");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.meter.add(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
