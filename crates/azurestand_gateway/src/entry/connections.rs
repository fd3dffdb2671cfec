//! Accepts callers' connections and serves the requests on them.

mod open_request;
mod timer;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::filter::{self, ReceivedRequest};
use super::response::{Body, RequestError};
use super::shared::Shared;
use super::whole;
use crate::log::LogEvent;
use crate::platform::Platform;
use open_request::OpenRequest;
use timer::{ConnectionTimer, Exceeded, TimeLimits, TimedStream};

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
    let head = limits.map_or(DEFAULT_HEAD, |limits| limits.head_bytes.max(MIN_HEAD));
    let mut builder = Builder::new();
    builder.header_read_timeout(None).max_buf_size(head);
    let shared = shared.clone();
    let timer = ConnectionTimer::default();
    let io = TokioIo::new(TimedStream::new(stream, timer.clone()));
    let request_timer = timer.clone();
    let limited = shared.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = shared.clone();
        let request = ReceivedRequest::read(shared.platform.as_ref(), request);
        let open = OpenRequest::begin(request_timer.clone(), request.request.id.clone());
        async move {
            let method = request.head.method.clone();
            let response = open.answer(&method, respond(shared, request)).await;
            Ok::<_, Infallible>(response)
        }
    });
    let connection = graceful.watch(builder.serve_connection(io, service));
    tokio::spawn(async move {
        let exceeded = tokio::select! {
            // What has arrived is read before a limit may close the connection.
            biased;
            // A caller that closes its connection isn't logged.
            _ = connection => return,
            exceeded = timer.exceeded(|| time_limits(&limited)) => exceeded,
        };
        if exceeded == Exceeded::Head {
            LogEvent::HeadLate.log(&[]);
        }
    });
}

/// The limits in force, which a new configuration may change for open connections too.
fn time_limits<P>(shared: &Shared<P>) -> TimeLimits {
    let limits = shared.state().rules.as_ref().map(|rules| rules.limits());
    TimeLimits {
        head: limits.map_or(DEFAULT_HEAD_TIME, |limits| limits.head_time),
        idle: limits.map_or(DEFAULT_IDLE_TIME, |limits| limits.idle_time + IDLE_MARGIN),
    }
}

async fn respond<P>(shared: Arc<Shared<P>>, request: ReceivedRequest) -> Response<Body>
where
    P: Platform,
{
    let version = request.head.version;
    let given_up = shared.given_up();
    let name = request.request.id.clone();
    let mut response = tokio::select! {
        biased;
        response = filter::run(&shared, request) => response,
        () = given_up => filter::error_response(name.as_deref(), RequestError::GivenUp),
    };
    if version < Version::HTTP_11 {
        response = whole::collect(response).await;
    }
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
