//! The fetching of one version of weights, at an agent or at an entry that helps.
//!
//! An entry's link is far wider than that of an agent's machine, which live
//! streams share. So entries draw a version as soon as an agent asks them for
//! it, and agents fetch from the entries of their data centre. Agents draw from
//! each other and from the origin when those don't answer.

#[cfg(test)]
mod tests;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_direct::{Distance, PieceHost, PieceSelector};
use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::client::{CallError, Client};
use crate::clock::BootClock;
use crate::edge::EngineControl;
use crate::log::LogEvent;
use crate::metrics::{self, Level};
use crate::pieces::{self, Purpose, Version};
use crate::settings::GatewaySettings;

/// Pieces that are fetched at the same time.
const FETCHERS: usize = 14;
/// The pause after an attempt that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(60);
/// The pause while there is nothing to fetch.
const IDLE_PAUSE: Duration = Duration::from_millis(40);
/// The pause after a host did not answer.
const LOST_PAUSE: Duration = Duration::from_millis(300);
/// How long an agent relies on helpers that don't answer.
const ANSWER_LIFE: Duration = Duration::from_millis(1_300);
/// How long an agent relies on helpers that have nothing new.
const PROGRESS_LIFE: Duration = Duration::from_secs(4);

/// Which part a host has in spreading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It needs every piece, for the engine beside it.
    Agent,
    /// An entry, which fetches what agents of its data centre ask for.
    Helper,
}

/// A host that takes part in spreading a version.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    spot: PieceHost,
    address: SocketAddr,
    distance: Distance,
    role: Role,
    is_own: bool,
}

impl Host {
    /// The host at `ip`, as the process with these settings sees it.
    pub(crate) fn new(
        settings: &GatewaySettings,
        role: Role,
        ip: IpAddr,
        centre: &Arc<str>,
    ) -> Self {
        let near = *centre == settings.centre;
        Self {
            spot: PieceHost {
                name: ip.to_string().into(),
                centre: centre.clone(),
            },
            address: SocketAddr::new(ip, settings.piece_port()),
            distance: if near { Distance::Near } else { Distance::Far },
            role,
            is_own: ip == settings.ip,
        }
    }

    pub(crate) fn is_own(&self) -> bool {
        self.is_own
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it helps the agents of this data centre.
    fn helps_here(&self) -> bool {
        self.role == Role::Helper && self.distance == Distance::Near
    }
}

/// What a job is made of.
pub(crate) struct Parts<'a, P> {
    pub(crate) role: Role,
    pub(crate) client: Client,
    pub(crate) platform: Arc<P>,
    pub(crate) origin: SocketAddr,
    pub(crate) version: Arc<Version>,
    pub(crate) hosts: &'a [Host],
}

/// What the helpers of a data centre did last.
#[derive(Debug)]
struct Help {
    /// When one of them answered.
    answered: Instant,
    /// When one of them had something new.
    progressed: Instant,
}

impl Help {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            answered: now,
            progressed: now,
        }
    }

    /// Whether they are at work.
    fn lasts(&self) -> bool {
        self.answered.elapsed() < ANSWER_LIFE && self.progressed.elapsed() < PROGRESS_LIFE
    }
}

/// The fetching of one version.
pub(crate) struct Job<P> {
    role: Role,
    client: Client,
    platform: Arc<P>,
    origin: SocketAddr,
    version: Arc<Version>,
    /// What the helpers of this data centre did last; none without helpers.
    help: Mutex<Option<Help>>,
    ended: Notify,
    /// Bounds the fetches at the same time.
    places: Semaphore,
    board: Mutex<PieceSelector>,
    /// Pieces from any source that didn't match their digests.
    spoilt: AtomicUsize,
}

impl<P> Job<P>
where
    P: EngineControl,
{
    pub(crate) fn new(parts: Parts<'_, P>) -> Self {
        let manifest = &parts.version.manifest;
        let key = format!("{}/{}", manifest.model, manifest.version);
        let count = manifest.digests.len();
        // Hosts of one role share the drawing among themselves.
        let peers = parts.hosts.iter().filter(|host| host.role == parts.role);
        let peers: Vec<_> = peers.map(|host| host.spot.clone()).collect();
        let own = parts.hosts.iter().find(|host| host.is_own);
        let own = own.map(|host| host.spot.clone());
        let own = own.unwrap_or_else(|| PieceHost {
            name: "".into(),
            centre: "".into(),
        });
        let rng = fastrand::Rng::new();
        let mut board = PieceSelector::new(BootClock.now(), &key, count, &own, &peers, rng);
        let here = (0..count).filter(|number| parts.version.piece(*number).is_some());
        here.for_each(|number| board.record_arrival(number));
        let is_helped = parts.role == Role::Agent && parts.hosts.iter().any(Host::helps_here);
        let help = is_helped.then(Help::new);
        Self {
            role: parts.role,
            client: parts.client,
            platform: parts.platform,
            origin: parts.origin,
            version: parts.version,
            help: Mutex::new(help),
            ended: Notify::new(),
            places: Semaphore::new(FETCHERS),
            board: Mutex::new(board),
            spoilt: AtomicUsize::new(0),
        }
    }

    pub(crate) fn version(&self) -> Arc<Version> {
        self.version.clone()
    }

    fn board(&self) -> MutexGuard<'_, PieceSelector> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn help(&self) -> MutexGuard<'_, Option<Help>> {
        self.help.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a helper of this data centre answered.
    fn note_help(&self, is_new: bool) {
        if let Some(help) = self.help().as_mut() {
            help.answered = Instant::now();
            if is_new {
                help.progressed = help.answered;
            }
        }
    }

    /// Takes over a piece that lies beside the engine, if it is genuine.
    pub(crate) fn take_over(&self, number: usize, piece: Bytes) {
        if self.version.add(number, piece) {
            self.board().record_arrival(number);
        }
    }

    /// Fetches from `hosts` and the origin until there is nothing left to do.
    pub(crate) async fn run(self: Arc<Self>, hosts: Vec<Host>)
    where
        P: 'static,
    {
        let mut tasks = JoinSet::new();
        for host in hosts.into_iter().filter(|host| !host.is_own) {
            if self.role == Role::Helper && host.role == Role::Agent {
                continue;
            }
            let job = self.clone();
            tasks.spawn(async move { job.pull(&host).await });
        }
        let job = self.clone();
        tasks.spawn(async move { job.draw().await });
        self.over().await;
        // Whoever still waits for news of a peer waits in vain.
        tasks.shutdown().await;
    }

    /// Whether there is nothing left to do, or nothing that can be done.
    fn is_over(&self) -> bool {
        let count = self.version.manifest.digests.len();
        self.version.missing() == 0 || self.spoilt.load(Ordering::Relaxed) > count
    }

    /// Comes back when there is nothing left to do.
    async fn over(&self) {
        loop {
            let ended = self.ended.notified();
            if self.is_over() {
                return;
            }
            ended.await;
        }
    }

    /// Whether the helpers of this data centre are at work.
    fn is_helped(&self) -> bool {
        self.help().as_ref().is_some_and(Help::lasts)
    }

    /// The piece to fetch from a host that has those marked in `have`.
    fn next(&self, host: &Host, have: &[bool]) -> Option<usize> {
        let mut board = self.board();
        if self.role == Role::Helper && host.distance == Distance::Near {
            // Agents fetch from each helper what that one has.
            board.record_holdings(&host.spot.name, host.distance, have);
            return None;
        }
        board.next_from_peer(BootClock.now(), &host.spot.name, host.distance, have)
    }

    /// Takes in that a host has no pieces as far as is known.
    fn forget(&self, host: &Host) {
        self.board()
            .record_holdings(&host.spot.name, host.distance, &[]);
    }

    /// Fetches from one host whatever it has, piece by piece.
    async fn pull(&self, host: &Host) {
        let manifest = &self.version.manifest;
        let purpose = match self.role {
            Role::Agent => Purpose::Load,
            Role::Helper => Purpose::PassOn,
        };
        let mut have = Vec::new();
        while !self.is_over() {
            if !host.helps_here() && self.is_helped() {
                sleep(IDLE_PAUSE).await;
                continue;
            }
            if let Some(number) = self.next(host, &have) {
                let place = self.places.acquire().await;
                let fetched =
                    pieces::fetch(&self.client, host.address, manifest, number, purpose).await;
                drop(place);
                if fetched.is_err() {
                    // It may have started again, with other pieces or none.
                    have.clear();
                    self.forget(host);
                }
                self.take(number, &host.spot.name, fetched).await;
                continue;
            }
            let known = have.iter().filter(|had| **had).count();
            match pieces::ask(&self.client, host.address, manifest, known, purpose).await {
                Ok(more) => {
                    if host.helps_here() {
                        self.note_help(more != have);
                    }
                    if more == have {
                        sleep(IDLE_PAUSE).await;
                    }
                    have = more;
                }
                Err(error) => {
                    have.clear();
                    self.forget(host);
                    let is_there = matches!(error, CallError::Status(_));
                    sleep(if is_there { IDLE_PAUSE } else { LOST_PAUSE }).await;
                }
            }
        }
    }

    /// Draws from the origin what falls to this host.
    async fn draw(&self) {
        let manifest = &self.version.manifest;
        while !self.is_over() {
            let next = if self.is_helped() {
                None
            } else {
                self.board().next_from_origin(BootClock.now())
            };
            let Some(number) = next else {
                sleep(IDLE_PAUSE).await;
                continue;
            };
            let place = self.places.acquire().await;
            let drawing =
                self.platform
                    .piece(self.origin, &manifest.model, manifest.version, number);
            let drawn = drawing.await;
            drop(place);
            if drawn.is_err() {
                self.board().record_origin_failure(BootClock.now());
            }
            self.take(number, "origin", drawn).await;
        }
    }

    /// Takes in how a fetch ended.
    async fn take(&self, number: usize, source: &str, fetched: Result<Bytes, CallError>) {
        let piece = match fetched {
            Ok(piece) => piece,
            Err(error) => {
                self.board().record_failure(number);
                LogEvent::PieceFailed.log(&[
                    ("number", number.into()),
                    ("source", source.into()),
                    ("why", error.to_string().into()),
                ]);
                sleep(FAILED_PAUSE).await;
                return;
            }
        };
        if !self.version.add(number, piece) {
            self.board().record_failure(number);
            self.spoilt.fetch_add(1, Ordering::Relaxed);
            self.ended.notify_one();
            LogEvent::PieceSpoilt.log(&[("number", number.into()), ("source", source.into())]);
            sleep(FAILED_PAUSE).await;
            return;
        }
        self.board().record_arrival(number);
        let missing = u32::try_from(self.version.missing()).unwrap_or(u32::MAX);
        metrics::set(Level::Missing, f64::from(missing));
        if self.is_over() {
            self.ended.notify_one();
        }
    }
}
