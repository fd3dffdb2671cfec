//! The entry: accepts callers' requests and sends each directly to a target.
//!
//! A request passes the checks of [`filter`]. [`deliver`] then chooses a target with
//! [`place`] and sends the request there; [`stream`] forwards event streams.

mod admission;
mod barred;
mod call;
mod connections;
mod deliver;
mod exchange;
mod filter;
mod memory;
mod place;
mod quarantine;
mod reports;
mod response;
mod shared;
mod status;
mod store_updates;
mod stream;
mod weights;
mod whole;
mod withdrawal;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Rules, StopPlan};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::client::Client;
use crate::clock::BootClock;
use crate::error::GatewayError;
use crate::log::LogEvent;
use crate::platform::Platform;
use crate::settings::GatewaySettings;

use shared::Shared;

/// How long the last answers may take to be written once open requests are given up.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// A running entry.
#[derive(Debug)]
pub struct DirectEntry<P> {
    shared: Arc<Shared<P>>,
    address: SocketAddr,
    ready: SocketAddr,
    server: tokio::task::JoinHandle<()>,
}

impl<P> DirectEntry<P>
where
    P: Platform,
{
    /// Binds the entry's addresses and starts serving requests.
    ///
    /// # Errors
    ///
    /// [`GatewayError`] when an address is missing or can't be bound.
    pub async fn start(
        settings: GatewaySettings,
        platform: Arc<P>,
        client: Client,
    ) -> Result<Self, GatewayError> {
        let listen = settings
            .listen
            .ok_or(GatewayError::Missing("address for callers"))?;
        let ready = settings
            .ready
            .ok_or(GatewayError::Missing("address for the balancer"))?;
        let listener = bind(listen).await?;
        let probe_listener = bind(ready).await?;
        let (address, ready) = (local_address(&listener)?, local_address(&probe_listener)?);
        let (shared, changed_parts) = Shared::new(settings, platform, client);
        let shared = Arc::new(shared);
        store_updates::start(&shared);
        reports::start(&shared).await?;
        exchange::start(&shared, changed_parts).await?;
        weights::start(&shared).await?;
        status::start(&shared, probe_listener);
        let server = tokio::spawn(connections::serve(shared.clone(), listener));
        LogEvent::Started.log(&[
            ("name", shared.settings.name.as_ref().into()),
            ("address", address.to_string().into()),
        ]);
        Ok(Self {
            shared,
            address,
            ready,
            server,
        })
    }

    /// The address at which callers reach this entry.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address at which the balancer checks readiness.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// The operators' rules in force at this entry.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.shared.state().rules.clone()
    }

    /// The number of parts of prompts that this entry refuses since they crash targets.
    pub fn quarantined_parts(&self) -> usize {
        let (_suspected, quarantined) = self.shared.state().quarantine.counts(BootClock.now());
        quarantined
    }

    /// Stops gracefully: reports not ready at once, then accepts no new connections and
    /// completes the open responses. Requests that are open at the end are given up, each with
    /// an answer or a log line. Returns whether none was.
    pub async fn stop(self) -> bool {
        LogEvent::Stopping.log(&[]);
        let plan = StopPlan::new(BootClock.now(), self.shared.settings.bounds.now().grace);
        self.shared.drain(plan);
        sleep(plan.closes_at.since(BootClock.now())).await;
        self.shared.close();
        let mut server = self.server;
        let time_left = plan.ends_at.since(BootClock.now());
        // A task that panicked has no open responses left.
        let completed = timeout(time_left, &mut server).await.is_ok();
        if !completed {
            self.shared.give_up();
            let _ = timeout(FLUSH_TIME, server).await;
        }
        LogEvent::Stopped.log(&[("whole", completed.into())]);
        completed
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| GatewayError::Bind(address, error))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, GatewayError> {
    listener.local_addr().map_err(GatewayError::Io)
}
