//! One HTTP listener whose connections can be cut, refused or silenced.

mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

use axum::body::Body;
use http::{Request, Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use wire::Wire;

/// Tells the listener to close the connection without an answer.
#[derive(Debug)]
pub(crate) struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Closed {}

pub(crate) type Answer = Result<Response<Body>, Closed>;

/// A running listener; dropping it closes every connection.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    down: watch::Sender<bool>,
    silenced: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds a free port of the loopback address and answers by `handle`.
    pub(crate) async fn start<H, F>(handle: H) -> io::Result<Self>
    where
        H: Fn(Request<Body>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let socket = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = socket.local_addr()?;
        let (down, _) = watch::channel(false);
        let silenced = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(socket, down.clone(), Arc::clone(&silenced), handle));
        Ok(Self {
            address,
            down,
            silenced,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// While down, open connections are closed and new ones too, at once.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Connections open now stay open and carry nothing more in either
    /// direction, as when a device on the way has forgotten them.
    pub(crate) fn silence(&self) {
        self.silenced.fetch_add(1, Relaxed);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H, F>(
    socket: TcpListener,
    down: watch::Sender<bool>,
    silenced: Arc<AtomicU64>,
    handle: H,
) where
    H: Fn(Request<Body>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = socket.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if *down.borrow() {
            continue;
        }
        let wire = Wire::new(stream, Arc::clone(&silenced));
        connections.spawn(converse(wire, down.subscribe(), handle.clone()));
    }
}

async fn converse<H, F>(wire: Wire<TcpStream>, mut down: watch::Receiver<bool>, handle: H)
where
    H: Fn(Request<Body>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let service = service_fn(move |request: Request<_>| handle(request.map(Body::new)));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(wire), service);
    tokio::select! {
        _ = connection => {}
        _ = down.wait_for(|down| *down) => {}
    }
}

/// A JSON answer.
pub(crate) fn json<T>(status: StatusCode, body: &T) -> Response<Body>
where
    T: serde::Serialize,
{
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// A header's text, when the request carries it.
pub(crate) fn header(request: &Request<Body>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
