//! When an engine takes its turn to load a new version.
//!
//! A loading engine takes no requests, so loads are spread over the time that
//! the version may take. Turns follow from the hosts' names alone; nobody asks
//! a third party for leave.

use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

/// How long before a version's bound no request is sent to an older one any more, since
/// a request may wait at a crowded engine before it begins. The last engine begins to
/// load then.
pub const VERSION_MARGIN: Duration = Duration::from_millis(1_400);
/// The longest time between the first and the last turn.
const LONGEST_SPAN: Duration = Duration::from_secs(5);

/// The turn of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTurn {
    /// Engines that go before.
    place: u32,
    /// All engines.
    count: u32,
}

impl LoadTurn {
    /// The turn of `own` among `hosts` for the version with this key.
    pub fn new(own: &Arc<str>, key: &[u8], hosts: &[Arc<str>]) -> Self {
        let names: Vec<&str> = hosts.iter().map(AsRef::as_ref).collect();
        let order = rendezvous::order(key, &names);
        let place = order.iter().position(|name| ***name == **own).unwrap_or(0);
        let number = |value| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            place: number(place),
            count: number(hosts.len()),
        }
    }

    /// When the load may begin, for pieces that were all there at `fetched` and
    /// a version that has to be in use everywhere at `due`.
    pub fn at(self, fetched: Moment, due: Moment) -> Moment {
        let span = (due - VERSION_MARGIN).since(fetched).min(LONGEST_SPAN);
        fetched + span * self.place / self.count.saturating_sub(1).max(1)
    }
}
