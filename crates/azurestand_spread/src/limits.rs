//! What a host may use for spreading weights.

use std::time::Duration;

use crate::bucket::Rate;

const MEBIBYTE: u64 = 1024 * 1024;

/// How sources are chosen. The last two exist to be measured against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// One drawing agent a region and chunk, then one a data centre, then peers.
    #[default]
    Ordered,
    /// Every host draws every chunk from the origin.
    Origin,
    /// Every host takes any chunk from any peer, or else from the origin.
    Unordered,
}

/// Link rates, sizes and times that bound a host's transfers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// This host's link, each way.
    pub host: Rate,
    /// The origin's link, all hosts together.
    pub origin: Rate,
    /// The weight store's rate limit, all hosts together; none when there is no weight store.
    pub store: Option<Rate>,
    /// One link between two regions, one way.
    pub cross: Rate,
    /// How much of each link transfers may use when no live traffic flows, in percent.
    pub share: u64,
    /// The most bytes that may be in flight to this host, received but not verified.
    pub staging: u64,
    /// The most chunks in flight to this host from its data centre.
    pub fetches: usize,
    /// The most chunks in flight to this host from the origin and weight store.
    pub draws: usize,
    /// The most uploads accepted and not finished, each for this data centre,
    /// for others of the region and for other regions.
    pub uploads: usize,
    /// How many hosts of a region draw chunks for it, and of a data centre.
    pub drawers: usize,
    /// How many hosts of its data centre this host listens to.
    pub fanout: usize,
    /// What announcements of held chunks may use in the long run; ten seconds' worth can be saved up.
    pub control: Rate,
    /// The least time between two announcements of held chunks.
    pub announce: Duration,
    /// How long a drawing agent may make no progress before the next in order steps in.
    pub deadline: Duration,
    /// How sources are chosen.
    pub policy: Policy,
}

impl Limits {
    /// How often [`Event::Tick`](crate::Event::Tick) is due.
    pub fn tick(&self) -> Duration {
        self.announce / 2
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
            fetches: 6,
            draws: 2,
            uploads: 2,
            drawers: 8,
            fanout: 16,
            control: Rate(6_000),
            announce: Duration::from_millis(200),
            deadline: Duration::from_secs(5),
            policy: Policy::Ordered,
        }
    }
}
