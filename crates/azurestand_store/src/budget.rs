//! How often a process may call the store.

use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;

const MICROS_PER_SECOND: f64 = 1e6;
const SLOWEST_INTERVAL: Duration = Duration::from_hours(1);

/// The call would come too soon; it may be made after `wait`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("the call is over budget; wait {wait:?}")]
pub struct OverBudget {
    /// The time until the call is within the budget.
    pub wait: Duration,
}

/// Calls a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Reads a second; opening a watch is one.
    pub reads: f64,
    /// Writes a second; each lease call is one.
    pub writes: f64,
}

/// One process's part of a data centre's rates, by weight.
///
/// The parts add up to the whole while the weights in use add up to at most
/// `total`, so that no process needs to ask another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// What all processes of the data centre may do together.
    pub centre: Rates,
    /// The weight of this process.
    pub weight: u32,
    /// The weight of all processes of the data centre.
    pub total: u32,
}

impl Share {
    /// The rates of this process.
    pub fn rates(&self) -> Rates {
        let total = self.total.max(self.weight).max(1);
        let part = f64::from(self.weight) / f64::from(total);
        Rates {
            reads: self.centre.reads * part,
            writes: self.centre.writes * part,
        }
    }
}

/// A token bucket, kept as the moment at which it will be full again.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    depth: Duration,
    full: Moment,
}

impl Bucket {
    /// A bucket of `rate` calls a second and `burst` calls at once.
    ///
    /// It starts empty but for a random part of one call, so that processes
    /// that start together don't call together.
    pub fn new(rate: f64, burst: u32, now: Moment, rng: &mut fastrand::Rng) -> Self {
        let interval = interval(rate);
        let depth = interval * burst.saturating_sub(1);
        let full = now + depth + interval.mul_f64(rng.f64());
        Self {
            interval,
            depth,
            full,
        }
    }

    /// Changes the rate from now on and keeps the present fill.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        let old = self.interval;
        let missing = self.full.since(now).div_duration_f64(old);
        let burst = self.depth.div_duration_f64(old);
        self.interval = interval(rate);
        self.depth = self.interval.mul_f64(burst);
        self.full = now + self.interval.mul_f64(missing);
    }

    /// Takes the next free place and tells when it comes, unless that is more
    /// than `patience` away.
    ///
    /// # Errors
    /// Fails without taking a place when the wait would be too long.
    pub fn reserve(&mut self, now: Moment, patience: Duration) -> Result<Moment, OverBudget> {
        let full = self.full.max(now);
        let start = (full - self.depth).max(now);
        let wait = start.since(now);
        if wait > patience {
            return Err(OverBudget { wait });
        }
        self.full = full + self.interval;
        Ok(start)
    }
}

fn interval(rate: f64) -> Duration {
    if rate <= 1.0 / SLOWEST_INTERVAL.as_secs_f64() {
        return SLOWEST_INTERVAL;
    }
    Duration::from_secs_f64(1.0 / rate).max(Duration::from_secs_f64(1.0 / MICROS_PER_SECOND))
}

/// The buckets of one process.
#[derive(Debug, Clone)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
}

impl Budget {
    /// Calls at `rates`, with up to `burst` at once of either kind.
    ///
    /// `seed` spreads the first calls of processes that start together.
    pub fn new(rates: Rates, burst: u32, now: Moment, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            reads: Bucket::new(rates.reads, burst, now, &mut rng),
            writes: Bucket::new(rates.writes, burst, now, &mut rng),
        }
    }

    /// Changes the rates, as when the number of processes has changed.
    pub fn set_rates(&mut self, rates: Rates, now: Moment) {
        self.reads.set_rate(rates.reads, now);
        self.writes.set_rate(rates.writes, now);
    }

    /// Takes a place for a read; see [`Bucket::reserve`].
    ///
    /// # Errors
    /// Fails when the wait would be longer than `patience`.
    pub fn read(&mut self, now: Moment, patience: Duration) -> Result<Moment, OverBudget> {
        self.reads.reserve(now, patience)
    }

    /// Takes a place for a write; see [`Bucket::reserve`].
    ///
    /// # Errors
    /// Fails when the wait would be longer than `patience`.
    pub fn write(&mut self, now: Moment, patience: Duration) -> Result<Moment, OverBudget> {
        self.writes.reserve(now, patience)
    }
}
