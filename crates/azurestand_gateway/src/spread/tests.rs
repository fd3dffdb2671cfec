//! Agents and entries on loopback, with an origin that counts the pieces that it serves.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use azurestand_direct::Distance;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::{Download, DownloadParams, Host, PieceHost, Role};
use crate::client::{CallError, Client};
use crate::pieces::{self, Pacer, PieceStore, Purpose, StagingStatus, Version};
use crate::platform::{EngineControl, EngineState, Manifest, ManifestQuery, Order, OrderReply};

const COUNT: usize = 12;
/// A test that would otherwise never end fails after this time.
const TEST_LIMIT: Duration = Duration::from_mins(1);

fn piece(number: usize) -> Bytes {
    format!("piece {number}").into()
}

/// An origin that counts the pieces that it serves; the first ones may be corrupt.
#[derive(Debug, Default)]
struct Origin {
    served: AtomicUsize,
    /// The number of further pieces that are corrupt.
    corrupt: AtomicUsize,
}

impl EngineControl for Origin {
    async fn state(&self, _engine: SocketAddr) -> Result<EngineState, CallError> {
        Err(CallError::TimedOut)
    }

    async fn order(&self, _engine: SocketAddr, _order: &Order) -> Result<OrderReply, CallError> {
        Err(CallError::TimedOut)
    }

    async fn stage(
        &self,
        _engine: SocketAddr,
        _model: &str,
        _number: usize,
        _piece: Bytes,
    ) -> Result<(), CallError> {
        Err(CallError::TimedOut)
    }

    async fn staged(
        &self,
        _engine: SocketAddr,
        _model: &str,
        number: usize,
    ) -> Result<Option<Bytes>, CallError> {
        Ok(Some(piece(number)))
    }

    async fn manifest(
        &self,
        _origin: SocketAddr,
        _query: &ManifestQuery,
    ) -> Result<Manifest, CallError> {
        Err(CallError::TimedOut)
    }

    async fn piece(
        &self,
        _origin: SocketAddr,
        _model: &str,
        _version: u64,
        number: usize,
    ) -> Result<Bytes, CallError> {
        self.served.fetch_add(1, Ordering::Relaxed);
        let corrupt = self.corrupt.load(Ordering::Relaxed);
        if corrupt > 0 {
            self.corrupt.store(corrupt - 1, Ordering::Relaxed);
            return Ok(Bytes::from_static(b"corrupt"));
        }
        Ok(piece(number))
    }
}

/// Counts the requests by hosts whose engines need a version; the own engine may hold every
/// version.
#[derive(Default)]
struct Requests {
    count: AtomicUsize,
    is_staged: bool,
}

impl StagingStatus for Requests {
    fn holds(&self, _model: &str, _version: u64) -> bool {
        self.is_staged
    }

    fn record_request(&self, _model: &str, _version: u64) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }
}

fn version() -> Arc<Version> {
    let digest = |number| Sha256::digest(piece(number)).into();
    Arc::new(Version::new(Manifest {
        model: "m".into(),
        version: 2,
        digests: (0..COUNT).map(digest).collect(),
    }))
}

fn host(role: Role, name: &str, address: SocketAddr, is_own: bool) -> Host {
    Host {
        peer: PieceHost {
            name: name.into(),
            centre: "north".into(),
        },
        address,
        distance: Distance::Near,
        role,
        is_own,
    }
}

fn unreachable() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1)
}

fn download(
    role: Role,
    origin: &Arc<Origin>,
    version: &Arc<Version>,
    hosts: &[Host],
) -> Arc<Download<Origin>> {
    Arc::new(Download::new(DownloadParams {
        role,
        client: Client::default(),
        platform: origin.clone(),
        origin: azurestand_direct::Origin {
            address: unreachable(),
            centre: "north".into(),
            piece_time: Duration::ZERO,
        },
        link_rate: 1e9,
        version: version.clone(),
        hosts,
        trusts_entries: true,
    }))
}

/// Serves the pieces of `version` as another process would.
async fn serve(version: Arc<Version>) -> SocketAddr {
    let requests = Arc::new(Requests::default());
    serve_and_count(Some(version), &requests).await
}

async fn serve_and_count(version: Option<Arc<Version>>, requests: &Arc<Requests>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let piece_store = Arc::new(PieceStore::default());
    if let Some(version) = version {
        piece_store.add(version);
    }
    let origin = Arc::new(Origin::default());
    let pacer = Pacer::new(1e9);
    tokio::spawn(pieces::serve(
        listener,
        piece_store,
        requests.clone(),
        origin,
        Some(unreachable()),
        pacer,
        axum::Router::new(),
    ));
    address
}

#[tokio::test]
async fn an_agent_fetches_all_pieces_from_an_entry_and_none_from_the_origin() {
    let entry_origin = Arc::new(Origin::default());
    let entry_version = version();
    let entry = serve(entry_version.clone()).await;
    let own = [host(Role::Entry, "entry", entry, true)];
    let entry_run =
        tokio::spawn(download(Role::Entry, &entry_origin, &entry_version, &own).run(own.to_vec()));
    let agent_origin = Arc::new(Origin::default());
    let wanted = version();
    let hosts = [
        host(Role::Agent, "agent", unreachable(), true),
        host(Role::Entry, "entry", entry, false),
    ];
    download(Role::Agent, &agent_origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    entry_run.await.unwrap();
    assert_eq!(wanted.missing(), 0);
    assert_eq!(entry_origin.served.load(Ordering::Relaxed), COUNT);
    assert_eq!(agent_origin.served.load(Ordering::Relaxed), 0);
}

/// Guards against entries that fetch nothing from the origin while they wait for each other's
/// lists of pieces.
#[tokio::test]
async fn entries_fetch_from_the_origin_while_other_entries_respond() {
    let origin = Arc::new(Origin::default());
    let other = version();
    other.add(0, piece(0));
    let neighbour = serve(other).await;
    let wanted = version();
    let hosts = [
        host(Role::Entry, "own", unreachable(), true),
        host(Role::Entry, "other", neighbour, false),
    ];
    let download = download(Role::Entry, &origin, &wanted, &hosts);
    let run = tokio::spawn(download.clone().run(hosts.to_vec()));
    // The pieces assigned to this entry, and later those that the other one doesn't fetch.
    while wanted.missing() > 1 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        assert!(!download.relies_on_entries());
    }
    run.abort();
    assert!(wanted.piece(0).is_none());
}

/// Guards against entries of different data centres that keep fetching a version which no
/// agent needs any more, because a fetch by an entry counts as an agent's request.
#[tokio::test]
async fn only_fetches_by_agents_count_as_requests_for_a_version() {
    let complete = version();
    (0..COUNT).for_each(|number| assert!(complete.add(number, piece(number))));
    let requests = Arc::new(Requests::default());
    let address = serve_and_count(Some(complete), &requests).await;
    for (role, is_counted) in [(Role::Entry, false), (Role::Agent, true)] {
        let (origin, wanted) = (Arc::new(Origin::default()), version());
        let mut other = host(Role::Entry, "other", address, false);
        other.distance = Distance::Far;
        let hosts = [host(role, "own", unreachable(), true), other];
        download(role, &origin, &wanted, &hosts)
            .run(hosts.to_vec())
            .await;
        assert_eq!(wanted.missing(), 0);
        assert_eq!(
            requests.count.load(Ordering::Relaxed) > 0,
            is_counted,
            "{role:?}"
        );
    }
}

/// An agent drops the pieces of the version that its engine has loaded; they remain staged.
#[tokio::test]
async fn a_loaded_version_is_served_from_the_staged_pieces() {
    let requests = Arc::new(Requests {
        is_staged: true,
        ..Requests::default()
    });
    let address = serve_and_count(None, &requests).await;
    let (origin, wanted) = (Arc::new(Origin::default()), version());
    let hosts = [
        host(Role::Agent, "own", unreachable(), true),
        host(Role::Agent, "other", address, false),
    ];
    // No piece can come from the origin, which serves corrupt ones only.
    origin.corrupt.store(usize::MAX, Ordering::Relaxed);
    download(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
}

#[tokio::test]
async fn an_agent_without_reachable_entries_fetches_from_the_origin() {
    let origin = Arc::new(Origin::default());
    let wanted = version();
    let hosts = [
        host(Role::Agent, "agent", unreachable(), true),
        host(Role::Entry, "entry", unreachable(), false),
    ];
    download(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
    assert_eq!(origin.served.load(Ordering::Relaxed), COUNT);
}

#[tokio::test]
async fn a_corrupt_piece_is_fetched_again() {
    let origin = Arc::new(Origin::default());
    origin.corrupt.store(3, Ordering::Relaxed);
    let wanted = version();
    let hosts = [host(Role::Agent, "agent", unreachable(), true)];
    download(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
    assert_eq!(origin.served.load(Ordering::Relaxed), COUNT + 3);
}

/// Serves a list of all pieces once and then nothing, as a host that restarts.
async fn serve_list_once() -> SocketAddr {
    let responses = Arc::new(AtomicUsize::new(0));
    let list = async move || {
        if responses.fetch_add(1, Ordering::Relaxed) == 0 {
            Ok("1".repeat(COUNT))
        } else {
            Err(StatusCode::NOT_FOUND)
        }
    };
    let routes = Router::new()
        .route("/have/{model}/{version}/{known}", get(list.clone()))
        .route("/look/{model}/{version}/{known}", get(list));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

/// Guards against a host that requests pieces endlessly from a host which lost them in a
/// restart, and from no other source, because it still has the earlier list of pieces.
#[tokio::test]
async fn pieces_that_a_host_has_lost_are_fetched_from_another_source() {
    for role in [Role::Agent, Role::Entry] {
        let (origin, wanted) = (Arc::new(Origin::default()), version());
        let mut other = host(role, "other", serve_list_once().await, false);
        other.distance = Distance::Far;
        let hosts = [host(role, "own", unreachable(), true), other];
        let download = download(role, &origin, &wanted, &hosts);
        let ended = timeout(TEST_LIMIT, download.run(hosts.to_vec())).await;
        assert!(ended.is_ok(), "{role:?}");
        assert_eq!(wanted.missing(), 0);
    }
}

/// A host passed on a list that lacked digests, and all hosts that asked it took the version for
/// complete without its last pieces.
#[tokio::test]
async fn a_host_s_list_with_another_number_of_pieces_is_refused() {
    let address = serve(version()).await;
    let client = Client::default();
    for (pieces, is_wanted) in [(COUNT, true), (COUNT - 1, false), (COUNT + 1, false)] {
        let query = ManifestQuery {
            model: "m".into(),
            version: Some(2),
            pieces,
        };
        let fetched = pieces::fetch_digests(&client, address, &query, 2, Purpose::Load).await;
        assert_eq!(fetched.is_ok(), is_wanted, "{pieces}");
    }
    let mut longer = version().manifest.clone();
    longer.digests.push([0; 32]);
    let listed = pieces::list_pieces(&client, address, &longer, 0, Purpose::Load).await;
    assert!(listed.is_err(), "{listed:?}");
}
