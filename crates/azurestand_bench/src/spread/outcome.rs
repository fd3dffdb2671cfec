//! What one run gave.

use std::time::Duration;

/// The measures of one run. Copies are bytes carried over the version's length.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Time until the last live host held the newest version, since that was wanted.
    pub time: Duration,
    /// The physical lower bound of that time.
    pub bound: Duration,
    /// Live hosts at the end that held the newest version.
    pub live: usize,
    /// Live hosts at the end.
    pub alive: usize,
    /// Copies of the newest version drawn from the origin.
    pub origin: f64,
    /// The same by region.
    pub regions: Vec<f64>,
    /// Copies of the newest version carried by all links between regions together.
    pub cross: f64,
    /// Processor time of one host's machine, the mean over the hosts.
    pub cpu: Duration,
    /// Bytes of control messages that one host sent, the mean over the hosts.
    pub control: u64,
    /// The same for the host that sent most.
    pub busiest: u64,
    /// How much of the hosts' links, outwards, was used over the time, 0 to 1.
    pub used: f64,
}

impl Outcome {
    /// Time over bound.
    pub fn ratio(&self) -> f64 {
        self.time.as_secs_f64() / self.bound.as_secs_f64()
    }

    /// Control bytes a second of one host, the mean over the hosts.
    pub fn control_rate(&self) -> f64 {
        let control = u32::try_from(self.control).unwrap_or(u32::MAX);
        f64::from(control) / self.time.as_secs_f64()
    }
}
