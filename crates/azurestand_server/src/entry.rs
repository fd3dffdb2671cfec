//! The entry: takes callers' requests and finds a target for each.

mod admin;
mod answer;
mod dispatch;
mod filter;
mod fleet;
mod homes;
mod outstanding;
mod relay;
mod send;
mod spill;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::response::Response;
use axum::routing::{any, get};
use azurestand_wire::Role;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::error::ServerError;
use crate::event::Event;
use crate::node::{GossipEvent, Node, Started};
use crate::settings::Settings;

use fleet::Fleet;

/// The longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// How long a caller may take to send its head.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// How long the balancer may take to see that this entry isn't ready any more.
const LEAVE_NOTICE: Duration = Duration::from_millis(600);
/// The end of a stop in which the requests that are still open get an outcome.
const OUTCOME_TIME: Duration = Duration::from_millis(2_500);
/// Outcomes get the time to drain divided by this at most.
const OUTCOME_SHARE: u32 = 4;
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    node: Node,
    fleet: Fleet,
    web: SocketAddr,
    served: tokio::task::JoinHandle<()>,
}

/// What the filters of a request share.
#[derive(Debug, Clone)]
struct Service {
    node: Node,
    fleet: Fleet,
}

impl Entry {
    /// Binds the entry's addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// [`ServerError`] when an address can't be bound.
    pub async fn start(settings: Settings) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(|error| ServerError::Bind(settings.listen, error))?;
        let web = listener.local_addr().map_err(ServerError::Io)?;
        let peers = settings.peers;
        let Started { node, arrivals } = Node::start(settings, Role::Entry)
            .await
            .map_err(|error| ServerError::Bind(peers, error))?;
        let fleet = Fleet::new(&node);
        fleet::start(&node, fleet.clone(), web);
        let service = Arc::new(Service {
            node: node.clone(),
            fleet,
        });
        dispatch::start(service.clone(), arrivals);
        let served = tokio::spawn(serve(listener, routes(service.clone()), node.clone()));
        Event::Started.log(format_args!("entry of {} at {web}", node.settings.host));
        let fleet = service.fleet.clone();
        Ok(Self {
            node,
            fleet,
            web,
            served,
        })
    }

    /// Where other processes reach the entry.
    pub fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Where callers reach the entry.
    pub fn web(&self) -> SocketAddr {
        self.web
    }

    /// The revision of the document in force here.
    pub fn revision(&self) -> azurestand_types::Revision {
        self.node.document.borrow().revision()
    }

    /// Leaves service: not ready at once, then no new connections, every
    /// answer whole, then the end. Gives whether all work ended within the
    /// settings' limit; what didn't ends with an outcome shortly before that.
    pub async fn stop(self) -> bool {
        Event::Stopping.log(&self.node.settings.host);
        let _ = self.node.gossip.send(GossipEvent::Leave).await;
        // Not ready first, since the balancer sends until it has seen that.
        self.node.unready.cancel();
        sleep(LEAVE_NOTICE).await;
        self.node.leaving.cancel();
        let Self {
            node,
            served,
            fleet,
            ..
        } = self;
        let mut idle = pin!(async {
            let _ = served.await;
            while !fleet.relays(|relays| relays.is_idle()) {
                sleep(DRAIN_POLL).await;
            }
        });
        let drain = node.settings.drain;
        let outcome_time = OUTCOME_TIME.min(drain / OUTCOME_SHARE);
        let drained = timeout(drain.saturating_sub(outcome_time), &mut idle)
            .await
            .is_ok();
        if !drained {
            node.closing.cancel();
            let _ = timeout(outcome_time, idle).await;
        }
        let event = if drained {
            Event::Stopped
        } else {
            Event::StopCut
        };
        event.log(&node.settings.host);
        node.end().await;
        drained
    }

    /// Ends at once, as a crash would; for tests and stand-ins.
    pub fn kill(self) {
        self.node.stop.cancel();
        self.served.abort();
        self.node.links.close();
    }
}

fn routes(service: Arc<Service>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(admin::ready))
        .route("/admin/status", get(admin::status))
        .route("/admin/document", get(admin::document))
        .fallback(any(take))
        .with_state(service)
}

async fn take(State(service): State<Arc<Service>>, request: axum::extract::Request) -> Response {
    filter::run(service, request).await
}

/// Serves connections until the entry leaves, then lets open answers end.
async fn serve(listener: TcpListener, routes: Router, node: Node) {
    let graceful = GracefulShutdown::new();
    let open = Arc::new(tokio::sync::Semaphore::new(node.settings.input.requests));
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.leaving.cancelled() => break,
        };
        let Ok((stream, _)) = stream else {
            // Out of descriptors, most likely; some are free again soon.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = open.clone().try_acquire_owned() else {
            // Closing at once tells the balancer to choose another entry.
            continue;
        };
        let connection = connect(stream, routes.clone(), &graceful, &node.stop);
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connect(
    stream: TcpStream,
    routes: Router,
    graceful: &GracefulShutdown,
    stop: &CancellationToken,
) -> impl Future<Output = ()> + use<> {
    let _ = stream.set_nodelay(true);
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(MAX_HEAD_BYTES);
    let service = TowerToHyperService::new(routes);
    let io = TokioIo::new(stream);
    let connection = builder.serve_connection(io, service).into_owned();
    let connection = graceful.watch(connection);
    let stop = stop.clone();
    async move {
        let _ = stop.run_until_cancelled_owned(connection).await;
    }
}
