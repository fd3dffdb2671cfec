//! HTTP connections to targets, engines, the store and other daemons.
//!
//! A connection is kept for the same life of the same peer only, and carries
//! one call at a time. A call that is given up closes its connection, so that
//! the peer learns of it at once and a late answer meets no other call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_types::Moment;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::BootClock;

/// How long a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection is kept idle where the peer names no time.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Connections are given up this long before the peer closes them.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for one peer.
const IDLE_MOST: usize = 4;

quick_error! {
    /// Why a call gave no answer that can be used.
    #[derive(Debug, Clone)]
    pub enum CallError {
        /// Nothing was sent.
        NotSent(reason: String) {
            display("no connection could be opened ({reason}); check that the peer runs")
        }
        /// The connection broke; the call may have run.
        Broken(reason: String) {
            display("the connection broke ({reason}); check the peer")
        }
        /// No answer came in time; the call may have run.
        Late {
            display("no answer came in time; check the peer")
        }
        /// The answer has a status that the call can't use.
        Status(status: StatusCode) {
            display("the answer has status {status}; check the request")
        }
        /// The answer can't be read.
        Malformed(reason: String) {
            display("the answer can't be read ({reason}); check that the address is the right one")
        }
    }
}

/// A peer and which life of it.
type PeerKey = (SocketAddr, Arc<str>);

/// A connection whose last call has ended.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    abort: AbortHandle,
    since: Moment,
    limit: Duration,
}

/// Connections to any number of peers.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<PeerKey, Vec<Idle>>>>,
}

/// The connection of a call in progress; closed unless it is kept.
#[derive(Debug)]
pub(crate) struct Busy {
    client: Client,
    key: PeerKey,
    sender: Option<SendRequest<Full<Bytes>>>,
    abort: AbortHandle,
    limit: Duration,
}

impl Drop for Busy {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.abort.abort();
        }
    }
}

impl Busy {
    /// Keeps the connection for another call, now that the answer is whole.
    pub(crate) fn keep(mut self) {
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
            since: BootClock.now(),
            limit: self.limit,
        };
        let mut peers = self.client.lock();
        let kept = peers.entry(self.key.clone()).or_default();
        kept.push(idle);
        if kept.len() > IDLE_MOST {
            kept.remove(0).abort.abort();
        }
    }
}

/// How a connection is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// A kept connection will do.
    Kept,
    /// Only a new one, so that no idle close can meet the call.
    Never,
}

impl Client {
    fn lock(&self) -> MutexGuard<'_, HashMap<PeerKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection that the peer has not closed.
    fn take(&self, key: &PeerKey) -> Option<Idle> {
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

    /// Closes the kept connections of all lives but those in `keep`.
    pub(crate) fn forget<F>(&self, gone: F)
    where
        F: Fn(&SocketAddr, &str) -> bool,
    {
        let mut peers = self.lock();
        peers.retain(|(address, life), kept| {
            if !gone(address, life) {
                return true;
            }
            for idle in kept.drain(..) {
                idle.abort.abort();
            }
            false
        });
    }

    async fn connect(&self, key: &PeerKey) -> Result<Busy, CallError> {
        let opening = timeout(CONNECT_LIMIT, TcpStream::connect(key.0));
        let opened = opening.await.map_err(|_| not_sent("no answer"))?;
        let stream = opened.map_err(|error| not_sent(&error.to_string()))?;
        prepare(&stream).map_err(|error| not_sent(&error.to_string()))?;
        let mut builder = Builder::new();
        builder.max_buf_size(64 * 1024);
        let shaken = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| not_sent(&error.to_string()))?;
        let task = tokio::spawn(async move {
            // The call that uses the connection learns of its end.
            let _ = connection.await;
        });
        Ok(Busy {
            client: self.clone(),
            key: key.clone(),
            sender: Some(sender),
            abort: task.abort_handle(),
            limit: IDLE_LIMIT,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        key: &PeerKey,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Busy), CallError> {
        let kept = match reuse {
            Reuse::Kept => self.take(key),
            Reuse::Never => None,
        };
        let mut request = request;
        if let Some(idle) = kept {
            let busy = Busy {
                client: self.clone(),
                key: key.clone(),
                sender: Some(idle.sender),
                abort: idle.abort,
                limit: idle.limit,
            };
            match attempt(busy, request).await {
                Ok(answer) => return Ok(answer),
                // The peer had closed the connection; nothing was sent.
                Err((_, Some(unsent))) => request = *unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let busy = self.connect(key).await?;
        attempt(busy, request).await.map_err(|(error, _)| error)
    }

    /// A whole call with an answer of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no whole answer came within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        most: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let called = self.whole(address, request, Reuse::Kept, most);
        let (answer, busy) = timeout(limit, called)
            .await
            .unwrap_or(Err(CallError::Late))?;
        busy.keep();
        Ok(answer)
    }

    /// Like [`Client::call`], with a limit for the head of the answer and another one for
    /// its body, so that a peer that is at work isn't taken for one that is silent.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no whole answer came in time.
    pub(crate) async fn call_slow(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        head_limit: Duration,
        body_limit: Duration,
        most: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let key = (address, Arc::from(""));
        let sent = timeout(head_limit, self.send(&key, request, Reuse::Kept));
        let (answer, busy) = sent.await.unwrap_or(Err(CallError::Late))?;
        let body = timeout(body_limit, whole_body(answer, most));
        let answer = body.await.unwrap_or(Err(CallError::Late))?;
        busy.keep();
        Ok(answer)
    }

    /// Like [`Client::call`], on a connection of its own that is closed at
    /// once, for a peer that takes few connections.
    ///
    /// # Errors
    ///
    /// [`CallError`] when no whole answer came within `limit`.
    pub async fn call_once(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
        most: usize,
    ) -> Result<Response<Bytes>, CallError> {
        let called = self.whole(address, request, Reuse::Never, most);
        let called = timeout(limit, called).await;
        let (answer, _closed) = called.unwrap_or(Err(CallError::Late))?;
        Ok(answer)
    }

    async fn whole(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        most: usize,
    ) -> Result<(Response<Bytes>, Busy), CallError> {
        let key = (address, Arc::from(""));
        let (answer, busy) = self.send(&key, request, reuse).await?;
        Ok((whole_body(answer, most).await?, busy))
    }
}

async fn whole_body(answer: Response<Incoming>, most: usize) -> Result<Response<Bytes>, CallError> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, most).collect().await;
    let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

type Unsent = Option<Box<Request<Full<Bytes>>>>;

/// Sends on an open connection; gives the request back if nothing of it was sent.
async fn attempt(
    mut busy: Busy,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Busy), (CallError, Unsent)> {
    let Some(sender) = busy.sender.as_mut() else {
        return Err((not_sent("closed"), Some(Box::new(request))));
    };
    match sender.try_send_request(request).await {
        Ok(answer) => {
            busy.limit = idle_limit(answer.headers());
            Ok((answer, busy))
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

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// How long a connection may be kept, by what its peer says.
fn idle_limit(headers: &HeaderMap) -> Duration {
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
    let limit = seconds.map_or(IDLE_LIMIT, Duration::from_secs);
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
