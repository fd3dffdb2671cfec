//! Accepts callers' connections and serves the requests on them.

mod head_timer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::filter;
use super::response::Body;
use super::shared::Shared;
use super::whole;
use crate::log::LogEvent;
use crate::platform::Platform;
use head_timer::{HeadTimer, TimedStream};

/// How long a connection may stay idle while no configuration is known.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(20);
/// Added to the operators' idle limit, so that the connection isn't closed while a caller's
/// request that was sent within the limit is still on its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// How long a request head may take to arrive while no configuration is known.
const DEFAULT_HEAD_TIME: Duration = Duration::from_secs(3);
/// The largest request head while no configuration is known, in bytes.
const DEFAULT_HEAD: usize = 32 * 1024;
/// The smallest read buffer that the HTTP server accepts, in bytes.
const MIN_HEAD: usize = 8 * 1024;
/// How long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections until the entry closes, then waits for the open responses to end.
pub(crate) async fn serve<P>(shared: Arc<Shared<P>>, listener: TcpListener)
where
    P: Platform,
{
    let graceful = GracefulShutdown::new();
    let mut closing = shared.closing();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(&shared, stream, &graceful),
            // Most likely out of file descriptors; some will soon be free again.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection<P>(shared: &Arc<Shared<P>>, stream: TcpStream, graceful: &GracefulShutdown)
where
    P: Platform,
{
    // A socket that rejects an option can still serve requests.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let limits = shared.state().rules.as_ref().map(|rules| rules.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIME, |limits| limits.idle_time + IDLE_MARGIN);
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.head_bytes.max(MIN_HEAD));
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head);
    let head_time = limits.map_or(DEFAULT_HEAD_TIME, |limits| limits.head_time);
    let shared = shared.clone();
    let timer = HeadTimer::default();
    let io = TokioIo::new(TimedStream::new(stream, timer.clone()));
    let request_timer = timer.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, request_timer) = (shared.clone(), request_timer.clone());
        async move {
            request_timer.begin_request();
            let response = respond(shared, request).await;
            request_timer.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = graceful.watch(builder.serve_connection(io, service));
    tokio::spawn(async move {
        tokio::select! {
            // A caller that closes its connection isn't logged.
            _ = connection => {}
            () = timer.head_late(head_time) => LogEvent::HeadLate.log(&[]),
        }
    });
}

async fn respond<P>(shared: Arc<Shared<P>>, request: Request<Incoming>) -> Response<Body>
where
    P: Platform,
{
    let version = request.version();
    let mut response = filter::run(&shared, request).await;
    if version < Version::HTTP_11 {
        response = whole::collect(response).await;
    }
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
