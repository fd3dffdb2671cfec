//! Agents and helping entries on loopback, with an origin that counts.

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

use super::{Host, Job, Parts, PieceHost, Role};
use crate::client::{CallError, Client};
use crate::edge::{EngineControl, EngineState, Manifest, Order, OrderReply};
use crate::pieces::{self, Pacer, Shelf, Staged, Version};

const COUNT: usize = 12;
/// After this a test is red that would else never end.
const TEST_LIMIT: Duration = Duration::from_mins(1);

fn piece(number: usize) -> Bytes {
    format!("piece {number}").into()
}

/// An origin that counts what it gives, and may give rubbish.
#[derive(Debug, Default)]
struct Origin {
    given: AtomicUsize,
    spoils: AtomicUsize,
}

impl EngineControl for Origin {
    async fn state(&self, _engine: SocketAddr) -> Result<EngineState, CallError> {
        Err(CallError::Late)
    }

    async fn order(&self, _engine: SocketAddr, _order: &Order) -> Result<OrderReply, CallError> {
        Err(CallError::Late)
    }

    async fn stage(
        &self,
        _engine: SocketAddr,
        _model: &str,
        _number: usize,
        _piece: Bytes,
    ) -> Result<(), CallError> {
        Err(CallError::Late)
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
        _model: &str,
        _version: Option<u64>,
    ) -> Result<Manifest, CallError> {
        Err(CallError::Late)
    }

    async fn piece(
        &self,
        _origin: SocketAddr,
        _model: &str,
        _version: u64,
        number: usize,
    ) -> Result<Bytes, CallError> {
        self.given.fetch_add(1, Ordering::Relaxed);
        let spoils = self.spoils.load(Ordering::Relaxed);
        if spoils > 0 {
            self.spoils.store(spoils - 1, Ordering::Relaxed);
            return Ok(Bytes::from_static(b"rubbish"));
        }
        Ok(piece(number))
    }
}

/// Counts what other hosts need of this one; its engine may hold every version.
#[derive(Default)]
struct Questions {
    count: AtomicUsize,
    is_staged: bool,
}

impl Staged for Questions {
    fn holds(&self, _model: &str, _version: u64) -> bool {
        self.is_staged
    }

    fn asked(&self, _model: &str, _version: u64) {
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
        spot: PieceHost {
            name: name.into(),
            centre: "north".into(),
        },
        address,
        distance: Distance::Near,
        role,
        is_own,
    }
}

fn nowhere() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1)
}

fn job(
    role: Role,
    origin: &Arc<Origin>,
    version: &Arc<Version>,
    hosts: &[Host],
) -> Arc<Job<Origin>> {
    Arc::new(Job::new(Parts {
        role,
        client: Client::default(),
        platform: origin.clone(),
        origin: nowhere(),
        version: version.clone(),
        hosts,
    }))
}

/// Serves the pieces of `version` as another process would.
async fn serve(version: Arc<Version>) -> SocketAddr {
    let questions = Arc::new(Questions::default());
    serve_and_count(Some(version), &questions).await
}

async fn serve_and_count(version: Option<Arc<Version>>, questions: &Arc<Questions>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shelf = Arc::new(Shelf::default());
    if let Some(version) = version {
        shelf.add(version);
    }
    let origin = Arc::new(Origin::default());
    let pacer = Pacer::new(1e9);
    tokio::spawn(pieces::serve(
        listener,
        shelf,
        questions.clone(),
        origin,
        Some(nowhere()),
        pacer,
        axum::Router::new(),
    ));
    address
}

#[tokio::test]
async fn an_agent_fetches_from_a_helper_and_leaves_the_origin_alone() {
    let drawn = Arc::new(Origin::default());
    let helped = version();
    let helper = serve(helped.clone()).await;
    let own = [host(Role::Helper, "helper", helper, true)];
    let helping = tokio::spawn(job(Role::Helper, &drawn, &helped, &own).run(own.to_vec()));
    let spared = Arc::new(Origin::default());
    let wanted = version();
    let hosts = [
        host(Role::Agent, "agent", nowhere(), true),
        host(Role::Helper, "helper", helper, false),
    ];
    job(Role::Agent, &spared, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    helping.await.unwrap();
    assert_eq!(wanted.missing(), 0);
    assert_eq!(drawn.given.load(Ordering::Relaxed), COUNT);
    assert_eq!(spared.given.load(Ordering::Relaxed), 0);
}

/// Entries kept each other from drawing while they waited for one another's news.
#[tokio::test]
async fn helpers_draw_while_other_helpers_tell_news() {
    let origin = Arc::new(Origin::default());
    let other = version();
    other.add(0, piece(0));
    let neighbour = serve(other).await;
    let wanted = version();
    let hosts = [
        host(Role::Helper, "own", nowhere(), true),
        host(Role::Helper, "other", neighbour, false),
    ];
    let job = job(Role::Helper, &origin, &wanted, &hosts);
    let run = tokio::spawn(job.clone().run(hosts.to_vec()));
    // Whatever falls to this helper, and later what the other one doesn't draw.
    while wanted.missing() > 1 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        assert!(!job.is_helped());
    }
    run.abort();
    assert!(wanted.piece(0).is_none());
}

/// Entries in different data centres kept each other at a version that no agent
/// wanted any more: a piece fetched from one another counted as an agent's wish.
#[tokio::test]
async fn what_helpers_fetch_from_each_other_is_no_agent_s_wish() {
    let whole = version();
    (0..COUNT).for_each(|number| assert!(whole.add(number, piece(number))));
    let questions = Arc::new(Questions::default());
    let address = serve_and_count(Some(whole), &questions).await;
    for (role, is_wish) in [(Role::Helper, false), (Role::Agent, true)] {
        let (origin, wanted) = (Arc::new(Origin::default()), version());
        let mut other = host(Role::Helper, "other", address, false);
        other.distance = Distance::Far;
        let hosts = [host(role, "own", nowhere(), true), other];
        job(role, &origin, &wanted, &hosts)
            .run(hosts.to_vec())
            .await;
        assert_eq!(wanted.missing(), 0);
        assert_eq!(
            questions.count.load(Ordering::Relaxed) > 0,
            is_wish,
            "{role:?}"
        );
    }
}

/// An agent forgets the pieces that its engine has loaded; they lie beside it.
#[tokio::test]
async fn what_an_engine_has_loaded_is_given_to_others_from_beside_it() {
    let questions = Arc::new(Questions {
        is_staged: true,
        ..Questions::default()
    });
    let address = serve_and_count(None, &questions).await;
    let (origin, wanted) = (Arc::new(Origin::default()), version());
    let hosts = [
        host(Role::Agent, "own", nowhere(), true),
        host(Role::Agent, "other", address, false),
    ];
    // Nobody draws: the origin gives rubbish only.
    origin.spoils.store(usize::MAX, Ordering::Relaxed);
    job(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
}

#[tokio::test]
async fn an_agent_whose_helpers_are_gone_draws_itself() {
    let origin = Arc::new(Origin::default());
    let wanted = version();
    let hosts = [
        host(Role::Agent, "agent", nowhere(), true),
        host(Role::Helper, "helper", nowhere(), false),
    ];
    job(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
    assert_eq!(origin.given.load(Ordering::Relaxed), COUNT);
}

#[tokio::test]
async fn a_spoilt_piece_is_drawn_again() {
    let origin = Arc::new(Origin::default());
    origin.spoils.store(3, Ordering::Relaxed);
    let wanted = version();
    let hosts = [host(Role::Agent, "agent", nowhere(), true)];
    job(Role::Agent, &origin, &wanted, &hosts)
        .run(hosts.to_vec())
        .await;
    assert_eq!(wanted.missing(), 0);
    assert_eq!(origin.given.load(Ordering::Relaxed), COUNT + 3);
}

/// Serves a list of all pieces once, and then nothing, as a host that starts again.
async fn serve_a_restart() -> SocketAddr {
    let told = Arc::new(AtomicUsize::new(0));
    let list = async move || {
        if told.fetch_add(1, Ordering::Relaxed) == 0 {
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

/// Entries restarted in turn while a version spread. Whoever had heard what they held asked
/// them for it for ever, and drew it from nowhere else.
#[tokio::test]
async fn what_a_host_has_lost_is_fetched_elsewhere() {
    for role in [Role::Agent, Role::Helper] {
        let (origin, wanted) = (Arc::new(Origin::default()), version());
        let mut other = host(role, "other", serve_a_restart().await, false);
        other.distance = Distance::Far;
        let hosts = [host(role, "own", nowhere(), true), other];
        let job = job(role, &origin, &wanted, &hosts);
        let ended = timeout(TEST_LIMIT, job.run(hosts.to_vec())).await;
        assert!(ended.is_ok(), "{role:?}");
        assert_eq!(wanted.missing(), 0);
    }
}
