//! A fleet stays under the store's rate limits, whatever triggers its calls at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use azurestand_store::{Backoff, BackoffLimits, Bucket, Budget, Rates, Share};
use azurestand_types::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PROCESSES: u32 = 370 + 890;
const CENTRES: u32 = 8;
const READS: usize = 2_000;
const WRITES: usize = 300;
/// The number of reads, and also of writes, that each process has to do.
const CALLS: u32 = 3;
const SECOND: Duration = Duration::from_secs(1);

/// Four fifths of the store's rates, divided evenly.
fn share() -> Share {
    let part = 0.8 / f64::from(CENTRES);
    Share {
        centre: Rates {
            reads: 2_000.0 * part,
            writes: 300.0 * part,
        },
        weight: 1,
        total: PROCESSES.div_ceil(CENTRES),
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Read,
    Write,
}

/// A process that has reads and writes to do and retries until they succeed.
struct Client {
    budget: Budget,
    backoff: BTreeMap<Kind, Backoff>,
    owed: BTreeMap<Kind, u32>,
}

/// The most calls in any second, tracked with a sliding window.
#[derive(Default)]
struct Peak {
    window: VecDeque<Moment>,
    most: usize,
}

impl Peak {
    fn count(&mut self, now: Moment) {
        self.window.push_back(now);
        while self
            .window
            .front()
            .is_some_and(|at| now.since(*at) >= SECOND)
        {
            self.window.pop_front();
        }
        self.most = self.most.max(self.window.len());
    }
}

struct Report {
    reads: usize,
    writes: usize,
    done: Moment,
}

/// Runs the fleet: after an idle time all processes start at once, and the store
/// answers no call before `up`.
fn run(rest: Duration, up: Moment) -> Report {
    let rates = share().rates();
    let mut clients: Vec<_> = (0..PROCESSES).map(|n| client(n, rates)).collect();
    let mut queue = BinaryHeap::new();
    let begin = Moment::START + rest;
    for n in 0..clients.len() {
        queue.push(Reverse((begin, n, Kind::Read)));
        queue.push(Reverse((begin, n, Kind::Write)));
    }
    let mut peaks = BTreeMap::from([
        (Kind::Read, Peak::default()),
        (Kind::Write, Peak::default()),
    ]);
    let mut done = begin;
    while let Some(Reverse((now, n, kind))) = queue.pop() {
        let client = &mut clients[n];
        let place = match kind {
            Kind::Read => client.budget.read(now, Duration::ZERO),
            Kind::Write => client.budget.write(now, Duration::ZERO),
        };
        let next = if let Err(over) = place {
            Some(over.wait)
        } else {
            peaks.get_mut(&kind).unwrap().count(now);
            client.call(kind, now >= up)
        };
        match next {
            Some(wait) => queue.push(Reverse((now + wait, n, kind))),
            None => done = done.max(now),
        }
    }
    Report {
        reads: peaks[&Kind::Read].most,
        writes: peaks[&Kind::Write].most,
        done,
    }
}

fn client(n: u32, rates: Rates) -> Client {
    let seed = u64::from(n);
    let backoff = |salt| Backoff::new(BackoffLimits::default(), seed * 2 + salt);
    Client {
        budget: Budget::new(rates, 0, Moment::START, seed),
        backoff: BTreeMap::from([(Kind::Read, backoff(0)), (Kind::Write, backoff(1))]),
        owed: BTreeMap::from([(Kind::Read, CALLS), (Kind::Write, CALLS)]),
    }
}

impl Client {
    /// Makes a call and returns the wait before the next one; `None` when all calls are done.
    fn call(&mut self, kind: Kind, up: bool) -> Option<Duration> {
        let backoff = self.backoff.get_mut(&kind).unwrap();
        if !up {
            return Some(backoff.delay());
        }
        backoff.reset();
        let owed = self.owed.get_mut(&kind).unwrap();
        *owed -= 1;
        (*owed > 0).then_some(Duration::ZERO)
    }
}

fn check(case: &str, rest: Duration, up: Moment) {
    let report = run(rest, up);
    println!(
        "{case}: at most {} reads and {} writes in a second, all done after {:?}",
        report.reads,
        report.writes,
        report.done.since(up)
    );
    assert!(report.reads < READS);
    assert!(report.writes < WRITES);
}

#[test]
fn a_fleet_recovers_from_an_hour_of_outage_under_the_rates() {
    let up = Moment::from_millis(3_600_000);
    check("after an outage", Duration::ZERO, up);
}

#[test]
fn a_fleet_that_starts_together_stays_under_the_rates() {
    check("starting together", Duration::ZERO, Moment::START);
}

#[test]
fn an_idle_fleet_triggered_by_one_cause_stays_under_the_rates() {
    let rest = Duration::from_mins(1);
    check("woken together", rest, Moment::START + rest);
}

#[test]
fn shares_of_any_weights_add_up_to_the_centre() {
    let weights = [1, 1, 5, 20];
    let centre = Rates {
        reads: 200.0,
        writes: 30.0,
    };
    let rates = weights.map(|weight| {
        Share {
            centre,
            weight,
            total: 27,
        }
        .rates()
    });
    let reads: f64 = rates.iter().map(|rates| rates.reads).sum();
    assert!((reads - 200.0).abs() < 1e-9);
}

#[test]
fn a_changed_rate_keeps_what_was_spent() {
    let rng = fastrand::Rng::with_seed(1);
    let now = Moment::from_millis(60_000);
    let mut bucket = Bucket::new(1.0, 1, Moment::START, rng);
    assert_eq!(bucket.reserve(now, Duration::ZERO), Ok(now));
    bucket.set_rate(10.0, now);
    let wait = bucket.reserve(now, Duration::ZERO).unwrap_err().wait;
    assert_eq!(wait, Duration::from_millis(100));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(34), cases: 256, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No time window contains more calls than burst and rate allow.
    #[test]
    fn a_bucket_never_gives_more_than_burst_and_rate(
        rate in 1_u32..50,
        burst in 0_u32..10,
        gaps in prop::collection::vec(0_u64..300, 1..200),
        patience in 0_u64..500,
        seed in any::<u64>(),
    ) {
        let rng = fastrand::Rng::with_seed(seed);
        let mut bucket = Bucket::new(f64::from(rate), burst, Moment::START, rng);
        let mut now = Moment::START;
        let mut places = Vec::new();
        for gap in gaps {
            now = now + Duration::from_millis(gap);
            places.extend(bucket.reserve(now, Duration::from_millis(patience)));
        }
        for (first, from) in places.iter().enumerate() {
            for (last, until) in places.iter().enumerate().skip(first) {
                let span = until.since(*from).as_secs_f64();
                let allowed = f64::from(burst.max(1)) + span * f64::from(rate) + 1e-3;
                prop_assert!(f64::from(u32::try_from(last - first + 1).unwrap()) <= allowed + 1e-6);
            }
        }
    }

    /// Delays stay between the limits and don't converge to one value.
    #[test]
    fn delays_stay_between_the_limits_and_apart(seed in any::<u64>()) {
        let limits = BackoffLimits::default();
        let mut backoff = Backoff::new(limits, seed);
        let delays: Vec<_> = (0..50).map(|_| backoff.delay()).collect();
        prop_assert!(delays.iter().all(|delay| (limits.base..=limits.cap).contains(delay)));
        let capped = delays.iter().filter(|delay| **delay == limits.cap).count();
        prop_assert!(capped < 5);
    }
}
