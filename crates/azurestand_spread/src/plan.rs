//! The physical lower bound on the time that a spread takes.

use std::time::Duration;

use crate::bucket::Rate;

/// The links that a spread uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpreadLinks {
    /// A host's link, each way.
    pub host: Rate,
    /// The origin's link.
    pub origin: Rate,
    /// One link between two regions, one way.
    pub cross: Rate,
    /// How many regions take the version.
    pub regions: usize,
}

/// The least time in which `size` bytes can reach every host.
///
/// It is the tightest of three cuts of the network: a host's own link, the origin's
/// link carrying one copy, and the links into the regions, where `r` regions need `r`
/// copies and `r (r - 1)` links add to the origin's. See
/// [docs/SPREADING.md](../../../docs/SPREADING.md).
pub fn min_duration(size: u64, links: SpreadLinks) -> Duration {
    let regions = links.regions.max(1) as u64;
    let inbound = links.origin.0 + regions * (regions - 1) * links.cross.0;
    let host = links.host.duration_of(size);
    let origin = links.origin.duration_of(size);
    let region = Rate(inbound).duration_of(size * regions);
    host.max(origin).max(region)
}
