//! The platform's key-value service: a subset of etcd v3's JSON gateway.

mod gateway;
mod message;
mod meter;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::serve::Listener;
use state::Data;

pub use meter::Calls;
use meter::Meter;

const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The rates above which calls are refused; 0 is unlimited.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOptions {
    /// Reads a second, an opened watch counted as one.
    pub reads: u32,
    /// Writes a second, lease calls counted as writes.
    pub writes: u32,
}

/// Which calls lose their answer from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Losses {
    /// The next so many writes take effect, then the connection is closed.
    pub after_write: u32,
    /// The next so many writes are dropped before they take effect.
    pub before_write: u32,
    /// The next so many reads are not answered.
    pub reads: u32,
}

/// An earlier state of the whole store.
#[derive(Debug, Clone)]
pub struct Snapshot(Data);

#[derive(Debug)]
struct Inner {
    data: Data,
    delay: Duration,
    losses: Losses,
    meter: Meter,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    /// Counts changes, so that waiting watches look again.
    changes: watch::Sender<u64>,
    /// Counts restores, each of which ends all watches.
    restores: watch::Sender<u64>,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    listener: Listener,
    shared: Arc<Shared>,
    lapse: JoinHandle<()>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// Fails when no port of the loopback address can be bound.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner {
                data: Data::new(),
                delay: Duration::ZERO,
                losses: Losses::default(),
                meter: Meter::new(options, Instant::now()),
            }),
            changes: watch::channel(0).0,
            restores: watch::channel(0).0,
        });
        let inner = Arc::clone(&shared);
        let listener =
            Listener::start(move |request| gateway::answer(Arc::clone(&inner), request)).await?;
        let lapse = tokio::spawn(lapse(Arc::clone(&shared)));
        Ok(Self {
            listener,
            shared,
            lapse,
        })
    }

    /// Where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// An outage: connections are closed and refused while `down`. Leases run on.
    pub fn set_down(&self, down: bool) {
        self.listener.set_down(down);
    }

    /// Connections open now go silent; new ones work.
    pub fn hang(&self) {
        self.listener.silence();
    }

    /// Every answer, and every event of a watch, waits this long.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Loses the answers of calls to come.
    pub fn lose(&self, losses: Losses) {
        self.shared.lock().losses = losses;
    }

    /// Sets the rates above which calls are refused.
    pub fn set_limits(&self, options: StoreOptions) {
        self.shared.lock().meter.set_limits(options, Instant::now());
    }

    /// Forgets all history, so that a watch from an older revision is refused.
    pub fn compact(&self) {
        self.shared.lock().data.compact();
    }

    /// The whole state, for a later [`Self::restore`].
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.shared.lock().data.clone())
    }

    /// Goes back to an earlier state; all watches end.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut inner = self.shared.lock();
        inner.data = snapshot.0.clone();
        inner.data.renew_leases(Instant::now());
        drop(inner);
        self.shared.restores.send_modify(|count| *count += 1);
    }

    /// The store's present revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().data.revision
    }

    /// The calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().meter.calls()
    }

    /// Sets the counts of calls back to nothing.
    pub fn forget_calls(&self) {
        self.shared.lock().meter.forget();
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.lapse.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

async fn lapse(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LAPSE_CHECK_INTERVAL).await;
        let wrote = shared.lock().data.lapse(Instant::now());
        if wrote {
            shared.wake_watches();
        }
    }
}
