//! When an engine starts to load a new version.
//!
//! A loading engine serves no requests, so loads are spread over the time within which
//! the version has to be in use. The order follows from the hosts' names alone and needs
//! no coordinator.

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

/// How long before a version's bound requests stop being sent to older versions, since
/// a request may wait at a busy engine before it begins. The last engine starts to load
/// at that time.
pub const VERSION_MARGIN: Duration = Duration::from_millis(1_400);
/// The maximum time between the first and the last load.
const MAX_SPAN: Duration = Duration::from_secs(5);

/// The place of one host in the order of loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTurn {
    /// The number of engines that load before this one.
    position: u32,
    /// The number of all engines.
    count: u32,
}

impl LoadTurn {
    /// The turn of the host `own` among `hosts` for the version with this key.
    pub fn new(own: &Arc<str>, key: &[u8], hosts: &[Arc<str>]) -> Self {
        let names: Vec<&str> = hosts.iter().map(AsRef::as_ref).collect();
        let order = rendezvous::order(key, &names);
        let position = order.iter().position(|name| ***name == **own).unwrap_or(0);
        let saturated = |value| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            position: saturated(position),
            count: saturated(hosts.len()),
        }
    }

    /// The time at which the load may start, when all pieces had arrived at `fetched` and
    /// the version has to be in use everywhere at `due`.
    pub fn start_time(self, fetched: Moment, due: Moment) -> Moment {
        let span = (due - VERSION_MARGIN).since(fetched).min(MAX_SPAN);
        fetched + span * self.position / self.count.saturating_sub(1).max(1)
    }
}
