//! HTTP connections to targets, engines, the store and other daemons.
//!
//! A pooled connection is reused only for the same incarnation of the same peer,
//! and carries one call at a time. Cancelling a call closes its connection, so
//! that the peer notices at once and a late response cannot be taken for the
//! response to another call.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_http::{ByteMeter, CancelFlag, MeteredStream, READ_BUFFER_BYTES, check_status};
use azurestand_types::Moment;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::BootClock;

pub(crate) use azurestand_http::{CollectError, MIN_PART_BYTES, ResponseBody, collect};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection is kept idle if the peer's headers state no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle connections are dropped this long before the peer would close them.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections for each peer.
const MAX_IDLE: usize = 4;

/// The limits of a call whose response may be large.
#[derive(Debug, Clone, Copy)]
pub struct TransferLimits {
    /// The time until the response's head.
    pub head: Duration,
    /// The longest time in which no part of the body arrives.
    pub idle: Duration,
    /// The time until the end of the body.
    pub body: Duration,
    /// The largest body, in bytes.
    pub max_bytes: usize,
}

quick_error! {
    /// Why a call returned no usable response.
    #[derive(Debug, Clone)]
    pub enum CallError {
        /// Nothing was sent.
        NotSent(reason: String) {
            display("no connection could be opened ({reason}); check that the peer runs")
        }
        /// Nothing was sent, since the call was no longer wanted when a connection was open.
        Withheld {
            display("the call was withheld before anything was sent; it is made anew if needed")
        }
        /// The connection broke; the call may have run.
        Broken(reason: String) {
            display("the connection broke ({reason}); check the peer")
        }
        /// The call timed out; it may have run.
        TimedOut {
            display("no answer came in time; check the peer")
        }
        /// The response has a status that the call does not accept.
        Status(status: StatusCode) {
            display("the answer has status {status}; check the request")
        }
        /// The response can't be decoded.
        Malformed(reason: String) {
            display("the answer can't be read ({reason}); check that the address is the right one")
        }
    }
}

/// A peer's address and its incarnation; the incarnation is empty where it doesn't matter.
pub(crate) type PeerKey = (SocketAddr, Arc<str>);

/// A pooled connection without a call in progress.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    abort: AbortHandle,
    meter: ByteMeter,
    cancelled: CancelFlag,
    since: Moment,
    limit: Duration,
}

/// HTTP client with a pool of connections to any number of peers.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<PeerKey, Vec<Idle>>>>,
}

/// The connection of a call in progress; reset on drop, unless [`ActiveConnection::release`] or
/// [`ActiveConnection::close`] is called.
#[derive(Debug)]
pub(crate) struct ActiveConnection {
    client: Client,
    key: PeerKey,
    sender: Option<SendRequest<Full<Bytes>>>,
    abort: AbortHandle,
    meter: ByteMeter,
    cancelled: CancelFlag,
    limit: Duration,
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.cancelled.set();
            self.abort.abort();
        }
    }
}

impl ActiveConnection {
    /// Closes the connection in order; the response must have been read completely.
    fn close(mut self) {
        self.sender = None;
        self.abort.abort();
    }

    /// Returns the connection to the pool; the response must have been read completely.
    pub(crate) fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() || self.limit.is_zero() {
            self.abort.abort();
            return;
        }
        let idle = Idle {
            sender,
            abort: self.abort.clone(),
            meter: self.meter.clone(),
            cancelled: self.cancelled.clone(),
            since: BootClock.now(),
            limit: self.limit,
        };
        let mut peers = self.client.lock();
        let kept = peers.entry(self.key.clone()).or_default();
        kept.push(idle);
        if kept.len() > MAX_IDLE {
            kept.remove(0).abort.abort();
        }
    }
}

/// Whether a call may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// A pooled connection is used if there is one.
    Pooled,
    /// A new connection is opened, which the peer can't close as idle during the call.
    Never,
}

impl Client {
    fn lock(&self) -> MutexGuard<'_, HashMap<PeerKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a pooled connection that the peer has not closed.
    fn take_idle(&self, key: &PeerKey) -> Option<Idle> {
        let now = BootClock.now();
        let mut peers = self.lock();
        let kept = peers.get_mut(key)?;
        while let Some(idle) = kept.pop() {
            let fresh = now.since(idle.since) < idle.limit;
            if fresh && idle.sender.is_ready() {
                return Some(idle);
            }
            idle.abort.abort();
        }
        None
    }

    /// Closes the pooled connections to all peers for which `gone` returns true.
    pub(crate) fn close_idle<F>(&self, gone: F)
    where
        F: Fn(&SocketAddr, &str) -> bool,
    {
        let mut peers = self.lock();
        peers.retain(|(address, incarnation), kept| {
            if !gone(address, incarnation) {
                return true;
            }
            for idle in kept.drain(..) {
                idle.abort.abort();
            }
            false
        });
    }

    async fn connect(&self, key: &PeerKey) -> Result<ActiveConnection, CallError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(key.0));
        let connected = connecting
            .await
            .map_err(|_| not_sent("no answer in time"))?;
        let stream = connected.map_err(|error| not_sent(&error.to_string()))?;
        configure(&stream).map_err(|error| not_sent(&error.to_string()))?;
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let stream = MeteredStream::new(stream);
        let meter = stream.meter();
        let cancelled = stream.cancel_flag();
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error.to_string()))?;
        let task = tokio::spawn(async move {
            // The call that uses the connection gets its error.
            let _ = connection.await;
        });
        Ok(ActiveConnection {
            client: self.clone(),
            key: key.clone(),
            sender: Some(sender),
            abort: task.abort_handle(),
            meter,
            cancelled,
            limit: IDLE_TIMEOUT,
        })
    }

    /// Whether nothing listens at `address`; false if that isn't known after `limit`.
    pub(crate) async fn is_refused(&self, address: SocketAddr, limit: Duration) -> bool {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        connected.is_ok_and(|result| result.is_err_and(refused))
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        key: &PeerKey,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(Response<ResponseBody>, ActiveConnection), CallError> {
        self.send_if(key, request, reuse, || true).await
    }

    /// Like [`Client::send`], if `may_send` still returns true when a connection is open.
    ///
    /// # Errors
    ///
    /// [`CallError::Withheld`] if it returns false; nothing was sent then.
    pub(crate) async fn send_if<F>(
        &self,
        key: &PeerKey,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        may_send: F,
    ) -> Result<(Response<ResponseBody>, ActiveConnection), CallError>
    where
        F: Fn() -> bool + Send,
    {
        let pooled = match reuse {
            Reuse::Pooled => self.take_idle(key),
            Reuse::Never => None,
        };
        let mut request = request;
        if !may_send() {
            return Err(CallError::Withheld);
        }
        if let Some(idle) = pooled {
            let connection = ActiveConnection {
                client: self.clone(),
                key: key.clone(),
                sender: Some(idle.sender),
                abort: idle.abort,
                meter: idle.meter,
                cancelled: idle.cancelled,
                limit: idle.limit,
            };
            match attempt(connection, request).await {
                Ok(answer) => return Ok(answer),
                // The peer had closed the connection; nothing was sent.
                Err((_, Some(unsent))) => request = *unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let connection = self.connect(key).await?;
        if !may_send() {
            return Err(CallError::Withheld);
        }
        attempt(connection, request)
            .await
            .map_err(|(error, _)| error)
    }

    /// Sends a request and reads the response, with a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the response was not complete within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let called = self.exchange(address, request, Reuse::Pooled, max_bytes, || true);
        let (answer, connection) = timeout(limit, called)
            .await
            .unwrap_or(Err(CallError::TimedOut))?;
        connection.release();
        Ok(answer)
    }

    /// Like [`Client::call`], with separate timeouts for the parts of a large response, so that
    /// a peer that is still sending isn't taken for one that doesn't respond.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the response was not complete in time.
    pub async fn call_large(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: TransferLimits,
    ) -> Result<Response<Bytes>, CallError> {
        let key = (address, Arc::from(""));
        let sent = timeout(limits.head, self.send(&key, request, Reuse::Pooled));
        let (answer, connection) = sent.await.unwrap_or(Err(CallError::TimedOut))?;
        let body = timeout(limits.body, read_large_body(answer, limits));
        let answer = body.await.unwrap_or(Err(CallError::TimedOut))?;
        connection.release();
        Ok(answer)
    }

    /// Like [`Client::call`], on a new connection that is closed right after
    /// the call, for a peer that accepts few connections.
    ///
    /// # Errors
    ///
    /// [`CallError`] when the response was not complete within `limit`.
    pub async fn call_once(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, CallError> {
        self.call_once_before(address, request, limit, max_bytes, None)
            .await
    }

    /// Like [`Client::call_once`], if a connection is open before `expires_at`.
    ///
    /// # Errors
    ///
    /// [`CallError::Withheld`] if it isn't; nothing was sent then. Else as [`Client::call_once`].
    pub async fn call_once_before(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
        expires_at: Option<Moment>,
    ) -> Result<Response<Bytes>, CallError> {
        let may_send = || expires_at.is_none_or(|at| BootClock.now() < at);
        let called = self.exchange(address, request, Reuse::Never, max_bytes, may_send);
        let called = timeout(limit, called).await;
        let (answer, connection) = called.unwrap_or(Err(CallError::TimedOut))?;
        connection.close();
        Ok(answer)
    }

    async fn exchange<F>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        max_bytes: usize,
        may_send: F,
    ) -> Result<(Response<Bytes>, ActiveConnection), CallError>
    where
        F: Fn() -> bool + Send,
    {
        let key = (address, Arc::from(""));
        let (answer, connection) = self.send_if(&key, request, reuse, may_send).await?;
        Ok((read_body(answer, max_bytes).await?, connection))
    }
}

async fn read_body(
    answer: Response<ResponseBody>,
    max_bytes: usize,
) -> Result<Response<Bytes>, CallError> {
    let (head, body) = answer.into_parts();
    let body = collect(body, max_bytes, MIN_PART_BYTES, |_| true).await;
    let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
    Ok(Response::from_parts(head, body.freeze()))
}

/// Reads a body for as long as its parts arrive in time.
async fn read_large_body(
    answer: Response<ResponseBody>,
    limits: TransferLimits,
) -> Result<Response<Bytes>, CallError> {
    let (head, mut body) = answer.into_parts();
    let mut bytes = BytesMut::new();
    let mut counted = 0;
    loop {
        let part = timeout(limits.idle, body.frame()).await;
        let Some(part) = part.map_err(|_| CallError::TimedOut)? else {
            return Ok(Response::from_parts(head, bytes.freeze()));
        };
        let part = part.map_err(|failure| CallError::Broken(failure.to_string()))?;
        let data = part.into_data().unwrap_or_default();
        counted += data.len().max(MIN_PART_BYTES);
        if counted > limits.max_bytes {
            let error = CollectError::TooLarge(limits.max_bytes);
            return Err(CallError::Broken(error.to_string()));
        }
        bytes.extend_from_slice(&data);
    }
}

/// The request, if nothing of it was sent.
type Unsent = Option<Box<Request<Full<Bytes>>>>;

/// Sends on an open connection; returns the request with the error if nothing of it was sent.
async fn attempt(
    mut connection: ActiveConnection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<ResponseBody>, ActiveConnection), (CallError, Unsent)> {
    let Some(sender) = connection.sender.as_mut() else {
        return Err((not_sent("closed"), Some(Box::new(request))));
    };
    connection.meter.reset();
    match sender.try_send_request(request).await {
        Ok(answer) => {
            if let Err(error) = check_status(answer.status()) {
                return Err((CallError::Broken(error.to_string()), None));
            }
            connection.limit = idle_timeout(answer.headers());
            let meter = connection.meter.clone();
            let answer = answer.map(|body| ResponseBody::new(body, meter));
            Ok((answer, connection))
        }
        Err(mut error) => {
            let unsent = error.take_message().map(Box::new);
            let reason = error.into_error().to_string();
            let error = match unsent {
                Some(_) => CallError::NotSent(reason),
                None => CallError::Broken(reason),
            };
            Err((error, unsent))
        }
    }
}

fn not_sent(reason: &str) -> CallError {
    CallError::NotSent(reason.to_owned())
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// How long a connection may stay idle according to the peer's response headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes {
        return Duration::ZERO;
    }
    let named = text(header::HeaderName::from_static("keep-alive"));
    let seconds = named.and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        let part = parts.find_map(|part| part.strip_prefix("timeout="))?;
        part.parse().ok()
    });
    let limit = seconds.map_or(IDLE_TIMEOUT, Duration::from_secs);
    limit.saturating_sub(IDLE_MARGIN)
}

/// A request for `path` at `address`.
pub fn plain_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
