//! Fetches one version of weights, for an agent or an entry.
//!
//! An entry's link has far more bandwidth than that of an agent's machine, which is shared
//! with live streams. So entries fetch a version as soon as an agent requests it from them,
//! and agents fetch from the entries of their data centre. If those don't respond, agents
//! fetch from each other and from the origin.

mod digests;
#[cfg(test)]
mod tests;

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_direct::{Distance, Origin, PieceHost, PieceSelector};
use bytes::Bytes;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::client::{CallError, Client};
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::metrics::{self, Level};
use crate::pieces::{self, Pacer, Purpose, Version};
use crate::platform::EngineControl;
use crate::settings::GatewaySettings;

pub(crate) use digests::{DigestQuery, fetch_manifest};

/// Maximum number of concurrent fetches of an entry.
const ENTRY_FETCHES: usize = 14;
/// The same of an agent, whose link is slow and shared with live streams.
const AGENT_FETCHES: usize = 10;
/// The share of its link on which an agent fetches pieces, so that requests to the engine
/// don't queue behind them.
const RECEIVE_SHARE: f64 = 0.9;
/// The pause after a failed attempt.
const FAILED_PAUSE: Duration = Duration::from_millis(60);
/// The pause while there is nothing to fetch.
const IDLE_PAUSE: Duration = Duration::from_millis(40);
/// The pause before it is checked again whether a host has to be asked for its pieces.
const ASK_PAUSE: Duration = Duration::from_millis(250);
/// The pause after a host didn't respond.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(300);
/// How long an agent relies on entries that don't respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How long an agent relies on entries that get no further pieces.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(4);

/// The role of a host in the distribution of weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// An agent, which needs every piece for the engine beside it.
    Agent,
    /// An entry, which fetches what agents of its data centre request.
    Entry,
}

/// A host that takes part in the distribution of a version.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    peer: PieceHost,
    address: SocketAddr,
    distance: Distance,
    role: Role,
    is_own: bool,
}

impl Host {
    /// The host at `ip`, from the point of view of the process with these settings.
    pub(crate) fn new(
        settings: &GatewaySettings,
        role: Role,
        ip: IpAddr,
        centre: &Arc<str>,
    ) -> Self {
        let near = *centre == settings.centre;
        Self {
            peer: PieceHost {
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

    pub(crate) fn peer(&self) -> &PieceHost {
        &self.peer
    }

    /// Whether it is an entry of this data centre.
    pub(crate) fn is_local_entry(&self) -> bool {
        self.role == Role::Entry && self.distance == Distance::Near
    }
}

/// Parameters of a [`Download`].
pub(crate) struct DownloadParams<'a, P> {
    pub(crate) role: Role,
    pub(crate) client: Client,
    pub(crate) platform: Arc<P>,
    pub(crate) origin: Origin,
    /// The rate of this host's link, in bytes a second.
    pub(crate) link_rate: f64,
    pub(crate) version: Arc<Version>,
    pub(crate) hosts: &'a [Host],
    /// Whether an agent relies on the entries of its data centre from the start, or not until
    /// they have further pieces.
    pub(crate) trusts_entries: bool,
}

/// The latest activity of the entries of this data centre.
#[derive(Debug)]
struct EntryActivity {
    /// When one of them last responded; none if they are known not to.
    responded: Option<Instant>,
    /// When one of them last had different pieces than before; none if they are known not to
    /// get further ones.
    progressed: Option<Instant>,
}

impl EntryActivity {
    /// The activity of entries that are assumed to respond and make progress, or not to.
    fn new(is_assumed: bool) -> Self {
        let now = is_assumed.then(Instant::now);
        Self {
            responded: now,
            progressed: now,
        }
    }

    /// Whether they respond and make progress, so that agents rely on them.
    fn is_recent(&self) -> bool {
        let is_within =
            |at: Option<Instant>, limit| at.is_some_and(|at: Instant| at.elapsed() < limit);
        is_within(self.responded, RESPONSE_TIMEOUT) && is_within(self.progressed, PROGRESS_TIMEOUT)
    }
}

/// The download of one version.
pub(crate) struct Download<P> {
    role: Role,
    client: Client,
    platform: Arc<P>,
    origin: SocketAddr,
    version: Arc<Version>,
    /// The latest activity of the entries of this data centre; none at an entry or if there
    /// are no such entries.
    activity: Mutex<Option<EntryActivity>>,
    finished: Notify,
    /// Limits concurrent fetches.
    permits: Semaphore,
    /// Limits the rate of an agent's fetches; none at an entry.
    pacer: Option<Pacer>,
    board: Mutex<PieceSelector>,
    /// The number of pieces, from any source, that didn't match their digests.
    corrupt: AtomicUsize,
}

impl<P> Download<P>
where
    P: EngineControl,
{
    pub(crate) fn new(params: DownloadParams<'_, P>) -> Self {
        let manifest = &params.version.manifest;
        let key = format!("{}/{}", manifest.model, manifest.version);
        let count = manifest.digests.len();
        // Hosts of one role divide the fetching from the origin among themselves.
        let peers = params.hosts.iter().filter(|host| host.role == params.role);
        let peers: Vec<_> = peers.map(|host| host.peer.clone()).collect();
        let own = params.hosts.iter().find(|host| host.is_own);
        let own = own.map(|host| host.peer.clone());
        let own = own.unwrap_or_else(|| PieceHost {
            name: "".into(),
            centre: "".into(),
        });
        let rng = fastrand::Rng::new();
        let board = PieceSelector::new(BootClock.now(), &key, count, &own, &peers, rng);
        let mut board = board.with_piece_time(params.origin.piece_time);
        let available = (0..count).filter(|number| params.version.piece(*number).is_some());
        available.for_each(|number| board.record_arrival(number));
        let has_entries =
            params.role == Role::Agent && params.hosts.iter().any(Host::is_local_entry);
        let activity = has_entries.then(|| EntryActivity::new(params.trusts_entries));
        let (fetches, pacer) = match params.role {
            Role::Agent => {
                let pacer = Pacer::new(params.link_rate * RECEIVE_SHARE);
                (AGENT_FETCHES, Some(pacer))
            }
            Role::Entry => (ENTRY_FETCHES, None),
        };
        Self {
            role: params.role,
            client: params.client,
            platform: params.platform,
            origin: params.origin.address,
            version: params.version,
            activity: Mutex::new(activity),
            finished: Notify::new(),
            permits: Semaphore::new(fetches),
            pacer,
            board: Mutex::new(board),
            corrupt: AtomicUsize::new(0),
        }
    }

    fn board(&self) -> MutexGuard<'_, PieceSelector> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn activity(&self) -> MutexGuard<'_, Option<EntryActivity>> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an entry of this data centre responded; `is_new` if its pieces changed.
    fn record_response(&self, is_new: bool) {
        if let Some(activity) = self.activity().as_mut() {
            activity.responded = Some(Instant::now());
            if is_new {
                activity.progressed = activity.responded;
            }
        }
    }

    /// Fetches pieces from `hosts` and the origin until the download is finished.
    pub(crate) async fn run(self: Arc<Self>, hosts: Vec<Host>)
    where
        P: 'static,
    {
        let mut tasks = JoinSet::new();
        for host in hosts.into_iter().filter(|host| !host.is_own) {
            if self.role == Role::Entry && host.role == Role::Agent {
                continue;
            }
            let download = self.clone();
            tasks.spawn(async move { download.fetch_from_host(&host).await });
        }
        let download = self.clone();
        tasks.spawn(async move { download.fetch_from_origin().await });
        self.wait_until_finished().await;
        // Tasks that still wait for a peer's list of pieces would wait in vain.
        tasks.shutdown().await;
    }

    /// Whether the version is complete, or more corrupt pieces came than it has pieces, so
    /// that no further attempts are made.
    fn is_finished(&self) -> bool {
        let count = self.version.manifest.digests.len();
        self.version.missing() == 0 || self.corrupt.load(Ordering::Relaxed) > count
    }

    /// Returns when the download is finished.
    async fn wait_until_finished(&self) {
        loop {
            let finished = self.finished.notified();
            if self.is_finished() {
                return;
            }
            finished.await;
        }
    }

    /// Completes when this agent no longer relies on the entries of its data centre.
    pub(crate) async fn until_unreliable(&self) {
        while self.relies_on_entries() {
            sleep(ASK_PAUSE).await;
        }
    }

    /// Whether this agent relies on the entries of its data centre; false at an entry.
    fn relies_on_entries(&self) -> bool {
        self.activity()
            .as_ref()
            .is_some_and(EntryActivity::is_recent)
    }

    /// The piece to fetch next from a host that has the pieces marked in `available`.
    fn next_piece(&self, host: &Host, available: &[bool]) -> Option<usize> {
        let mut board = self.board();
        if self.role == Role::Entry && host.distance == Distance::Near {
            // Agents fetch directly from each entry of their data centre, so entries of the same
            // data centre needn't have the same pieces.
            board.record_holdings(&host.peer.name, host.distance, available);
            return None;
        }
        board.next_from_peer(BootClock.now(), &host.peer.name, host.distance, available)
    }

    /// Records that it is unknown which pieces a host has.
    fn clear_pieces(&self, host: &Host) {
        self.board()
            .record_holdings(&host.peer.name, host.distance, &[]);
    }

    /// How long until it is checked again whether to ask the host for its pieces; none if it
    /// is to be asked now.
    fn pause_before(&self, host: &Host) -> Option<Duration> {
        let is_gated = match self.role {
            Role::Agent if host.is_local_entry() => false,
            Role::Agent if self.relies_on_entries() => return Some(ASK_PAUSE),
            Role::Agent => host.role == Role::Agent && host.distance == Distance::Far,
            Role::Entry => true,
        };
        let is_needed = !is_gated || {
            let board = self.board();
            board.should_ask(BootClock.now(), &host.peer.name)
        };
        (!is_needed).then_some(ASK_PAUSE)
    }

    /// Waits until a further piece may be fetched.
    async fn admit(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        // The semaphore is never closed.
        let permit = self.permits.acquire().await.ok();
        if let Some(pacer) = &self.pacer {
            pacer.wait(bytes).await;
        }
        permit
    }

    /// Fetches pieces that one host has, one at a time.
    async fn fetch_from_host(&self, host: &Host) {
        let manifest = &self.version.manifest;
        let purpose = match self.role {
            Role::Agent => Purpose::Load,
            Role::Entry => Purpose::PassOn,
        };
        let mut available = Vec::new();
        while !self.is_finished() {
            if let Some(pause) = self.pause_before(host) {
                sleep(pause).await;
                continue;
            }
            if let Some(number) = self.next_piece(host, &available) {
                let permit = self.admit(self.version.piece_bytes()).await;
                let fetched =
                    pieces::fetch_piece(&self.client, host.address, manifest, number, purpose)
                        .await;
                drop(permit);
                if fetched.is_err() {
                    // The host may have restarted and have other pieces or none.
                    available.clear();
                    self.clear_pieces(host);
                }
                self.handle_result(number, &host.peer.name, fetched).await;
                continue;
            }
            let known = available.iter().filter(|has| **has).count();
            match pieces::list_pieces(&self.client, host.address, manifest, known, purpose).await {
                Ok(list) => {
                    if host.is_local_entry() {
                        self.record_response(list != available);
                    }
                    if list == available {
                        sleep(IDLE_PAUSE).await;
                    }
                    available = list;
                }
                Err(error) => {
                    available.clear();
                    self.clear_pieces(host);
                    let is_reachable = matches!(error, CallError::Status(_));
                    sleep(if is_reachable {
                        IDLE_PAUSE
                    } else {
                        UNREACHABLE_PAUSE
                    })
                    .await;
                }
            }
        }
    }

    /// Fetches from the origin the pieces that are assigned to this host.
    async fn fetch_from_origin(&self) {
        let manifest = &self.version.manifest;
        while !self.is_finished() {
            let next = if self.relies_on_entries() {
                None
            } else {
                self.board().next_from_origin(BootClock.now())
            };
            let Some(number) = next else {
                sleep(IDLE_PAUSE).await;
                continue;
            };
            let permit = self.permits.acquire().await;
            let call = self
                .platform
                .piece(self.origin, &manifest.model, manifest.version, number);
            let fetched = call.await;
            drop(permit);
            if fetched.is_err() {
                self.board().record_origin_failure(BootClock.now());
            }
            self.handle_result(number, "origin", fetched).await;
        }
    }

    /// Handles the result of a fetch.
    async fn handle_result(&self, number: usize, source: &str, fetched: Result<Bytes, CallError>) {
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
            self.corrupt.fetch_add(1, Ordering::Relaxed);
            self.finished.notify_one();
            LogEvent::PieceSpoilt.log(&[("number", number.into()), ("source", source.into())]);
            sleep(FAILED_PAUSE).await;
            return;
        }
        self.board().record_arrival(number);
        let missing = u32::try_from(self.version.missing()).unwrap_or(u32::MAX);
        metrics::set(Level::Missing, f64::from(missing));
        if self.is_finished() {
            self.finished.notify_one();
        }
    }
}
