//! The settings that a daemon needs before it can reach the store.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use azurestand_direct::LeastShare;

/// The time and retry limits that operators set for all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A revoked key is rejected everywhere after this.
    pub revoke: Duration,
    /// A new configuration is in force everywhere after this.
    pub apply: Duration,
    /// A planned stop is aborted after this.
    pub grace: Duration,
    /// New weights are in use everywhere after this.
    pub version: Duration,
    /// Retries per request, on average over all entries.
    pub retry_share: f64,
    /// How often requests of each level of urgency are served at least where engines have too
    /// little capacity; none if requests don't compete by priority.
    pub least_share: Option<LeastShare>,
}

/// The current bounds; reloading the settings changes them in a running process.
#[derive(Debug, Clone)]
pub struct LiveBounds(Arc<Mutex<Bounds>>);

impl From<Bounds> for LiveBounds {
    fn from(bounds: Bounds) -> Self {
        Self(Arc::new(Mutex::new(bounds)))
    }
}

impl LiveBounds {
    /// The current bounds.
    pub fn now(&self) -> Bounds {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the bounds; returns whether they changed.
    pub fn set(&self, bounds: Bounds) -> bool {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let differs = *current != bounds;
        *current = bounds;
        differs
    }
}

/// The engine beside an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalEngine {
    /// The engine's address.
    pub address: SocketAddr,
    /// The service that it is a target of.
    pub service: Arc<str>,
}

/// The validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This process's name.
    pub name: Arc<str>,
    /// Its address.
    pub ip: IpAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// The region of each data centre.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// The address for callers; entries only.
    pub listen: Option<SocketAddr>,
    /// The address for the load balancer's readiness check; entries only.
    pub ready: Option<SocketAddr>,
    /// The path of the readiness check.
    pub ready_path: Arc<str>,
    /// The first of the ports for traffic between daemons, the same on all hosts; 0 for any.
    pub peer_port: u16,
    /// The bandwidth of its host's link, in bytes per second.
    pub link_rate: f64,
    /// The engine beside it; agents only.
    pub engine: Option<LocalEngine>,
    /// The operators' bounds.
    pub bounds: LiveBounds,
}

impl GatewaySettings {
    /// The UDP port for reports between daemons.
    pub(crate) fn report_port(&self) -> u16 {
        self.peer_port
    }

    /// The UDP port for notices between entries.
    pub(crate) fn notice_port(&self) -> u16 {
        match self.peer_port {
            // Any free port, for tests only, since other processes can't know it.
            0 => 0,
            first => first + 2,
        }
    }

    /// The TCP port at which agents and entries serve pieces of weights.
    pub(crate) fn piece_port(&self) -> u16 {
        match self.peer_port {
            // Any free port, for tests only, since other processes can't know it.
            0 => 0,
            first => first + 1,
        }
    }
}
