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

/// What a bucket gives after it has not been used for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// Several calls at once, this many intervals deep.
    Burst { depth: Duration },
    /// One call after a random part of an interval, so that processes that are
    /// woken by one cause don't call together.
    Spread,
}

/// A token bucket, kept as the moment at which it will be full again.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    shape: Shape,
    full: Moment,
    /// The place that a refused caller was told to wait for.
    promised: Option<Moment>,
    rng: fastrand::Rng,
}

impl Bucket {
    /// A bucket of `rate` calls a second and `burst` calls at once.
    ///
    /// It starts empty but for a random part of one call, so that processes
    /// that start together don't call together. With a `burst` of 0 that also
    /// holds after each time of rest, at the cost of half an interval's wait.
    pub fn new(rate: f64, burst: u32, now: Moment, mut rng: fastrand::Rng) -> Self {
        let interval = interval(rate);
        let phase = interval.mul_f64(rng.f64());
        let (shape, full) = if burst == 0 {
            (Shape::Spread, now + phase)
        } else {
            let depth = interval * (burst - 1);
            (Shape::Burst { depth }, now + depth + phase)
        };
        Self {
            interval,
            shape,
            full,
            promised: None,
            rng,
        }
    }

    /// Changes the rate from now on and keeps the present fill.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        let factor = interval(rate).div_duration_f64(self.interval);
        self.full = now + self.full.since(now).mul_f64(factor);
        self.interval = interval(rate);
        self.promised = None;
        if let Shape::Burst { depth } = &mut self.shape {
            *depth = depth.mul_f64(factor);
        }
    }

    /// Takes the next free place and tells when it comes, unless that is more
    /// than `patience` away.
    ///
    /// # Errors
    /// Fails without taking a place when the wait would be too long.
    pub fn reserve(&mut self, now: Moment, patience: Duration) -> Result<Moment, OverBudget> {
        let start = self.start(now);
        let wait = start.since(now);
        if wait > patience {
            self.promised = Some(start);
            return Err(OverBudget { wait });
        }
        self.promised = None;
        self.full = match self.shape {
            Shape::Burst { .. } => self.full.max(now) + self.interval,
            Shape::Spread => start + self.interval,
        };
        Ok(start)
    }

    /// When the next call may start.
    fn start(&mut self, now: Moment) -> Moment {
        match (self.shape, self.promised) {
            (Shape::Burst { depth }, _) => (self.full.max(now) - depth).max(now),
            // A caller that comes much later may have been woken with others.
            (Shape::Spread, Some(promised)) if promised + self.interval > now => promised.max(now),
            (Shape::Spread, _) if self.full > now => self.full,
            (Shape::Spread, _) => now + self.interval.mul_f64(self.rng.f64()),
        }
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
    /// Calls at `rates`, with up to `burst` at once of either kind; 0 spreads
    /// calls that have one cause, as [`Bucket::new`] tells.
    ///
    /// `seed` spreads the calls of processes that start or wake together.
    pub fn new(rates: Rates, burst: u32, now: Moment, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            reads: Bucket::new(rates.reads, burst, now, rng.fork()),
            writes: Bucket::new(rates.writes, burst, now, rng.fork()),
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
