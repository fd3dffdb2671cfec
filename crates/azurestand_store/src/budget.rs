//! How often a process may call the store.

use std::time::Duration;

use azurestand_types::Moment;
use derive_more::Display;

const MICROS_PER_SECOND: f64 = 1e6;
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// The call exceeds the rate limit; it may be made after `wait`.
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

/// One process's share of a data centre's rates, by weight.
///
/// The shares don't exceed the whole as long as the weights in use add up to at
/// most `total`, so processes need no coordination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// The rates of all processes of the data centre together.
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

/// What a bucket allows after an idle time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// Several calls at once, this many intervals deep.
    Burst { depth: Duration },
    /// One call after a random part of an interval, so that processes that are
    /// triggered by one cause don't call together.
    Spread,
}

/// A token bucket, kept as the moment at which it will be full again.
#[derive(Debug, Clone)]
pub struct Bucket {
    interval: Duration,
    shape: Shape,
    full: Moment,
    /// The slot that a rejected caller was given to wait for.
    offered: Option<Moment>,
    rng: fastrand::Rng,
}

impl Bucket {
    /// A bucket of `rate` calls a second and `burst` calls at once.
    ///
    /// It starts empty but for a random part of one call, so that processes
    /// that start together don't call together. With a `burst` of 0 that also
    /// holds after each idle time, at the cost of half an interval's wait.
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
            offered: None,
            rng,
        }
    }

    /// Changes the rate and keeps the current fill level.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        let factor = interval(rate).div_duration_f64(self.interval);
        self.full = now + self.full.since(now).mul_f64(factor);
        self.interval = interval(rate);
        self.offered = None;
        if let Shape::Burst { depth } = &mut self.shape {
            *depth = depth.mul_f64(factor);
        }
    }

    /// Reserves the next free slot and returns its time, unless that is more than
    /// `max_wait` away.
    ///
    /// # Errors
    /// Fails without reserving a slot when the wait would be too long.
    pub fn reserve(&mut self, now: Moment, max_wait: Duration) -> Result<Moment, OverBudget> {
        let start = self.start(now);
        let wait = start.since(now);
        if wait > max_wait {
            self.offered = Some(start);
            return Err(OverBudget { wait });
        }
        self.offered = None;
        self.full = match self.shape {
            Shape::Burst { .. } => self.full.max(now) + self.interval,
            Shape::Spread => start + self.interval,
        };
        Ok(start)
    }

    /// When the next call may start.
    fn start(&mut self, now: Moment) -> Moment {
        match (self.shape, self.offered) {
            (Shape::Burst { depth }, _) => (self.full.max(now) - depth).max(now),
            // A caller that returns much later may have been triggered together with others.
            (Shape::Spread, Some(offered)) if offered + self.interval > now => offered.max(now),
            (Shape::Spread, _) if self.full > now => self.full,
            (Shape::Spread, _) => now + self.interval.mul_f64(self.rng.f64()),
        }
    }
}

fn interval(rate: f64) -> Duration {
    if rate <= 1.0 / MAX_INTERVAL.as_secs_f64() {
        return MAX_INTERVAL;
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
    /// calls that have one cause, as [`Bucket::new`] describes.
    ///
    /// `seed` spreads the calls of processes that start or become active together.
    pub fn new(rates: Rates, burst: u32, now: Moment, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            reads: Bucket::new(rates.reads, burst, now, rng.fork()),
            writes: Bucket::new(rates.writes, burst, now, rng.fork()),
        }
    }

    /// Changes the rates, for example when the number of processes has changed.
    pub fn set_rates(&mut self, rates: Rates, now: Moment) {
        self.reads.set_rate(rates.reads, now);
        self.writes.set_rate(rates.writes, now);
    }

    /// Reserves a slot for a read; see [`Bucket::reserve`].
    ///
    /// # Errors
    /// Fails when the wait would be longer than `max_wait`.
    pub fn read(&mut self, now: Moment, max_wait: Duration) -> Result<Moment, OverBudget> {
        self.reads.reserve(now, max_wait)
    }

    /// Reserves a slot for a write; see [`Bucket::reserve`].
    ///
    /// # Errors
    /// Fails when the wait would be longer than `max_wait`.
    pub fn write(&mut self, now: Moment, max_wait: Duration) -> Result<Moment, OverBudget> {
        self.writes.reserve(now, max_wait)
    }
}
