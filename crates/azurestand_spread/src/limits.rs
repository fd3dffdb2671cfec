//! Limits on what a host uses for spreading weights.

use std::time::Duration;

use crate::bucket::Rate;

const MEBIBYTE: u64 = 1024 * 1024;

/// How sources are chosen. `Origin` and `Unordered` are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// One designated host per region and chunk fetches it into the region, then one
    /// per data centre into the data centre, then hosts fetch from peers.
    #[default]
    Ordered,
    /// Every host fetches every chunk from the origin.
    Origin,
    /// Every host fetches any chunk from any peer, or else from the origin.
    Unordered,
}

/// Link rates, sizes and times that bound a host's transfers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// This host's link, each way.
    pub host: Rate,
    /// The origin's link, all hosts together.
    pub origin: Rate,
    /// The weight store's rate limit, all hosts together; none if there is no weight
    /// store.
    pub store: Option<Rate>,
    /// One link between two regions, one way.
    pub cross: Rate,
    /// The most of each link that transfers may use when there is no live traffic, in
    /// percent.
    pub share: u64,
    /// The most bytes that may be in flight to this host, received but not verified.
    pub staging: u64,
    /// The most chunks in flight to this host from its region, or from all peers under
    /// [`Policy::Unordered`].
    pub near_fetches: usize,
    /// The most chunks in flight to this host from the origin and weight store.
    pub upstream_fetches: usize,
    /// The most uploads accepted and not finished; counted separately for this data
    /// centre, for others of the region and for other regions.
    pub uploads: usize,
    /// How many designated hosts a region has, and each data centre; they fetch chunks
    /// for it.
    pub designated_hosts: usize,
    /// How many hosts of its data centre this host subscribes to.
    pub fanout: usize,
    /// The long-term rate of announcements of held chunks; ten seconds' worth can be
    /// saved up.
    pub control_rate: Rate,
    /// The least time between two announcements of held chunks.
    pub announce_interval: Duration,
    /// How long a designated host may make no progress before the next in the order
    /// takes over.
    pub stall_timeout: Duration,
    /// How sources are chosen.
    pub policy: Policy,
}

impl Limits {
    /// How often [`Event::Tick`](crate::Event::Tick) is due.
    pub fn tick(&self) -> Duration {
        self.announce_interval / 2
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            host: Rate::from_megabits(1_000),
            origin: Rate::from_megabits(2_000),
            store: None,
            cross: Rate::from_megabits(20),
            share: 98,
            staging: 64 * MEBIBYTE,
            near_fetches: 6,
            upstream_fetches: 2,
            uploads: 2,
            designated_hosts: 8,
            fanout: 16,
            control_rate: Rate(6_000),
            announce_interval: Duration::from_millis(200),
            stall_timeout: Duration::from_secs(5),
            policy: Policy::Ordered,
        }
    }
}
