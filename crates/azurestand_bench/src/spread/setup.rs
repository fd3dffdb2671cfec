//! What one run consists of.

use std::time::Duration;

use azurestand_spread::{Limits, Policy, Rate, SpreadLinks, min_duration};

const MEBIBYTE: u64 = 1024 * 1024;

/// How many regions the hosts stand in.
pub(crate) const REGIONS: usize = 3;

/// The region of each of the eight data centres.
pub(crate) const CENTRES: [usize; 8] = [0, 1, 2, 0, 1, 2, 0, 1];

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Part of the chunks that arrive corrupted, 0 to 1.
    pub corrupt: f64,
    /// Hosts that die during the spread, in percent.
    pub dying: usize,
    /// Whether another version is wanted when half the bound has passed.
    pub change: bool,
}

/// One run: hosts, links, content and faults.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Hosts, evenly over three regions and eight data centres.
    pub hosts: usize,
    /// Chunks of the version.
    pub chunks: usize,
    /// Length of a chunk in bytes.
    pub length: u32,
    /// The time in which the origin's link carries four copies and a host's link two.
    pub window: Duration,
    /// A link between two regions, one way.
    pub cross: Rate,
    /// How sources are chosen.
    pub policy: Policy,
    /// Drawing agents a region and data centre.
    pub designated_hosts: usize,
    /// What goes wrong.
    pub faults: Faults,
    /// Given up after this many bounds.
    pub patience: u64,
    /// Seeds the machines and the faults.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            hosts: 270,
            chunks: 256,
            length: 4 * 1024 * 1024,
            window: Duration::from_mins(5),
            cross: Rate::from_megabits(20),
            policy: Policy::Ordered,
            designated_hosts: Limits::default().designated_hosts,
            faults: Faults::default(),
            patience: 8,
            seed: 7,
        }
    }
}

impl Setup {
    /// The version's length in bytes.
    pub fn size(&self) -> u64 {
        self.chunks as u64 * u64::from(self.length)
    }

    /// The rates of the links of this run.
    pub fn links(&self) -> SpreadLinks {
        let copy = self.size() / self.window.as_secs().max(1);
        SpreadLinks {
            host: Rate(2 * copy),
            origin: Rate(4 * copy),
            cross: self.cross,
            regions: REGIONS.min(self.hosts),
        }
    }

    /// The least time in which any system could do it.
    pub fn bound(&self) -> Duration {
        min_duration(self.size(), self.links())
    }

    pub(crate) fn limits(&self) -> Limits {
        let links = self.links();
        Limits {
            host: links.host,
            origin: links.origin,
            cross: links.cross,
            policy: self.policy,
            designated_hosts: self.designated_hosts,
            staging: 256 * MEBIBYTE,
            ..Limits::default()
        }
    }
}
