//! The origin of weights: chunks and manifests behind one slow link.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::serve::{Answer, Closed, Listener, empty, header};

const SLICE_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 256 << 20;
const REGION_HEADER: &str = "x-azurestand-region";

/// How an origin behaves from the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct OriginOptions {
    /// The link's rate in bytes a second, shared by all downloads; 0 is unlimited.
    pub rate: u64,
}

/// What the origin has sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Served {
    /// Bytes of chunks sent.
    pub chunks: u64,
    /// Bytes of manifests sent.
    pub manifests: u64,
    /// Bytes of chunks by the requester's region; "" for requests that name none.
    pub regions: BTreeMap<String, u64>,
    /// Downloads of chunks begun.
    pub downloads: u64,
    /// Bodies that were corrupted on purpose.
    pub corrupted: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Bytes>,
    rate: u64,
    free: Option<Instant>,
    corrupt: u64,
    served: Served,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    stalled: watch::Sender<bool>,
}

/// A running origin.
#[derive(Debug)]
pub struct Origin {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Origin {
    /// Starts an origin on a free port.
    ///
    /// # Errors
    /// Fails when no port of the loopback address can be bound.
    pub async fn start(options: OriginOptions) -> io::Result<Self> {
        let state = State {
            rate: options.rate,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            stalled: watch::channel(false).0,
        });
        let inner = Arc::clone(&shared);
        let listener = Listener::start(move |request| answer(Arc::clone(&inner), request)).await?;
        Ok(Self { listener, shared })
    }

    /// Where the origin listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the link's rate in bytes a second; 0 is unlimited.
    pub fn set_rate(&self, rate: u64) {
        self.lock().rate = rate;
    }

    /// Stops or resumes all downloads without closing a connection.
    pub fn set_stalled(&self, stalled: bool) {
        self.shared.stalled.send_replace(stalled);
    }

    /// Flips a byte in every `nth` chunk sent; 0 corrupts none.
    pub fn corrupt_every(&self, nth: u64) {
        self.lock().corrupt = nth;
    }

    /// Closes and refuses connections while `down`.
    pub fn set_down(&self, down: bool) {
        self.listener.set_down(down);
    }

    /// What has been sent so far.
    pub fn served(&self) -> Served {
        self.lock().served.clone()
    }

    /// Sets the records of bytes sent back to nothing.
    pub fn forget_served(&self) {
        self.lock().served = Served::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.lock()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link has carried `length` more bytes.
    async fn carry(&self, length: usize) {
        let mut stalled = self.stalled.subscribe();
        let _ = stalled.wait_for(|stalled| !stalled).await;
        let until = reserve(&mut self.lock(), length);
        tokio::time::sleep_until(until).await;
        // A stall that began meanwhile holds back bytes already on the link.
        let _ = stalled.wait_for(|stalled| !stalled).await;
    }
}

fn reserve(state: &mut State, length: usize) -> Instant {
    let now = Instant::now();
    if state.rate == 0 {
        return now;
    }
    let nanos = length as u128 * 1_000_000_000 / u128::from(state.rate);
    let span = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
    let until = state.free.map_or(now, |free| free.max(now)) + span;
    state.free = Some(until);
    until
}

async fn answer(shared: Arc<Shared>, request: Request<Body>) -> Answer {
    let path = request.uri().path().to_owned();
    let kind = path.strip_prefix('/').and_then(|rest| rest.split_once('/'));
    let Some(("chunks" | "manifests", hex)) = kind else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    if hex.len() != 64 || !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(empty(StatusCode::BAD_REQUEST));
    }
    match *request.method() {
        Method::PUT => put(&shared, path, request).await,
        Method::GET => Ok(get(&shared, &path, &request)),
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn put(shared: &Shared, path: String, request: Request<Body>) -> Answer {
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| Closed)?;
    shared.lock().objects.insert(path, body);
    Ok(empty(StatusCode::NO_CONTENT))
}

fn get(shared: &Arc<Shared>, path: &str, request: &Request<Body>) -> Response<Body> {
    let region = header(request, REGION_HEADER).unwrap_or_default();
    let chunk = path.starts_with("/chunks/");
    let Some(body) = body(&mut shared.lock(), path, chunk) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let length = body.len();
    let download = Download {
        shared: Arc::clone(shared),
        region: chunk.then_some(region),
        body,
    };
    let slices = stream::unfold(download, Download::next);
    let mut response = Response::new(Body::from_stream(slices));
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length.into());
    response
}

fn body(state: &mut State, path: &str, chunk: bool) -> Option<Bytes> {
    let body = state.objects.get(path)?.clone();
    if !chunk {
        return Some(body);
    }
    state.served.downloads += 1;
    let corrupt = state.corrupt > 0 && state.served.downloads.is_multiple_of(state.corrupt);
    if !corrupt || body.is_empty() {
        return Some(body);
    }
    state.served.corrupted += 1;
    let mut bytes = body.to_vec();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    Some(bytes.into())
}

struct Download {
    shared: Arc<Shared>,
    region: Option<String>,
    body: Bytes,
}

impl Download {
    async fn next(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.body.is_empty() {
            return None;
        }
        let length = SLICE_BYTES.min(self.body.len());
        let slice = self.body.split_to(length);
        self.shared.carry(length).await;
        self.count(length as u64);
        Some((Ok(slice), self))
    }

    fn count(&self, length: u64) {
        let served = &mut self.shared.lock().served;
        match &self.region {
            Some(region) => {
                served.chunks += length;
                *served.regions.entry(region.clone()).or_default() += length;
            }
            None => served.manifests += length,
        }
    }
}
