//! The measured cases of the pure policy.

use std::time::Duration;

use azurestand_route::Allowance;
use azurestand_types::Moment;

use super::target::Nature;
use super::world::{Answered, Setup, Stream, World};
use super::{BurstRow, CentreRow, OverloadRow, Policy, PrefixRow, RetryRow};

/// An allowance that never binds, so that admission alone decides.
const AMPLE: Allowance = Allowance {
    rate: 1e6,
    burst: 1e6,
    concurrency: 1_000_000,
};
/// The slots and the queue of a target as the document has them by default,
/// but one slot more while it is cold.
const COLD: u32 = 2;
const WARM: u32 = 32;
const QUEUE: usize = 64;
const SMALL_ACCOUNTS: usize = 5;
const SMALL_RATE: f64 = 20.0;

fn warm(service: Duration) -> Nature {
    Nature {
        cold: WARM,
        warm: WARM,
        service,
        queue: QUEUE,
        refuses: false,
    }
}

fn capacity(natures: &[Nature]) -> f64 {
    let working = natures.iter().filter(|nature| !nature.refuses);
    working
        .map(|nature| f64::from(nature.warm) / nature.service.as_secs_f64())
        .sum()
}

fn setup(policy: Policy, natures: Vec<Nature>, seconds: u64) -> Setup {
    Setup {
        policy,
        centres: 1,
        entries: 4,
        natures,
        streams: Vec::new(),
        allowance: AMPLE,
        patience: Duration::from_secs(1),
        groups: 0,
        gaps: 0.0,
        outage: None,
        // The last requests have their time too.
        end: seconds_in(seconds + 2),
        seed: 11,
    }
}

fn seconds_in(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1_000)
}

fn stream(account: usize, rate: f64, seconds: u64) -> Stream {
    Stream {
        account,
        rate,
        from: Moment::from_millis(100),
        until: seconds_in(seconds),
    }
}

/// 370 entries send 2 000 requests to eight cold targets in half a second.
pub fn burst(policy: Policy) -> BurstRow {
    let cold = Nature {
        cold: COLD,
        warm: WARM,
        service: Duration::from_millis(100),
        queue: QUEUE,
        refuses: false,
    };
    let mut setup = setup(policy, vec![cold; 8], 12);
    setup.entries = 370;
    setup.patience = Duration::from_secs(5);
    setup.streams = vec![Stream {
        account: 0,
        rate: 4_000.0,
        from: Moment::from_millis(100),
        until: Moment::from_millis(600),
    }];
    let world = World::new(setup).run();
    BurstRow {
        policy,
        entries: 370,
        requests: world.firsts,
        over_limit: world.targets.iter().map(|target| target.over).sum(),
        answered: share(world.answered.len() as u64, world.firsts),
        sends: world.sends,
    }
}

/// One large account asks for nearly twice what all targets can do beside five small ones.
pub fn overload(policy: Policy, seconds: u64) -> OverloadRow {
    let natures = vec![warm(Duration::from_millis(50)); 4];
    let capacity = capacity(&natures);
    let small = (1..=SMALL_ACCOUNTS).map(|n| stream(n, SMALL_RATE, seconds));
    let small: Vec<_> = small.collect();
    let mut alone = setup(policy, natures.clone(), seconds);
    alone.streams.clone_from(&small);
    let unloaded = World::new(alone).run();

    let mut both = setup(policy, natures, seconds);
    #[expect(clippy::cast_precision_loss, reason = "five")]
    let large = 2.0 * capacity - SMALL_RATE * SMALL_ACCOUNTS as f64;
    both.streams = small;
    both.streams.push(stream(0, large, seconds));
    let loaded = World::new(both).run();
    // The first second fills queues.
    let from = Moment::from_millis(1_000);
    let measured = from..seconds_in(seconds);
    let good = loaded
        .answered
        .iter()
        .filter(|answer| measured.contains(&answer.at));
    let span = seconds_in(seconds).since(from).as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    let goodput = good.count() as f64 / span / capacity;
    let small_offered = loaded.offered(|account| account > 0);
    let small_answered = loaded.answered.iter().filter(|answer| answer.account > 0);
    OverloadRow {
        policy,
        load: 2.0,
        goodput,
        small_answered: share(small_answered.count() as u64, small_offered),
        small_p95_ms: p95(&loaded.answered, |answer| answer.account > 0),
        unloaded_p95_ms: p95(&unloaded.answered, |answer| answer.account > 0),
        over_limit: loaded.targets.iter().map(|target| target.over).sum(),
    }
}

/// Two of six targets refuse everything, yet report room.
pub fn retries(policy: Policy, seconds: u64) -> RetryRow {
    let mut natures = vec![warm(Duration::from_millis(50)); 6];
    natures[0].refuses = true;
    natures[1].refuses = true;
    let rate = capacity(&natures) * 0.5;
    let mut setup = setup(policy, natures, seconds);
    setup.streams = vec![stream(0, rate, seconds)];
    let world = World::new(setup).run();
    RetryRow {
        policy,
        refusing: 1.0 / 3.0,
        amplification: ratio(world.sends, world.firsts),
        answered: share(world.answered.len() as u64, world.firsts),
    }
}

/// 200 groups of prompts over eight targets that hold 40 groups each.
pub fn prefix(policy: Policy, gaps: f64, seconds: u64) -> PrefixRow {
    let mut setup = setup(policy, vec![warm(Duration::from_millis(100)); 8], seconds);
    setup.groups = 200;
    setup.gaps = gaps;
    setup.streams = vec![stream(0, 640.0, seconds)];
    let world = World::new(setup).run();
    let hits = world.targets.iter().map(|target| target.hits).sum();
    let runs = world.targets.iter().map(|target| target.runs).sum();
    PrefixRow {
        policy,
        gaps,
        hits: share(hits, runs),
        p95_ms: p95(&world.answered, |_| true),
    }
}

/// One of three data centres goes out for six seconds under 60% of the whole load.
pub fn centre(policy: Policy) -> CentreRow {
    const OUT: Moment = Moment::from_millis(4_000);
    const BACK: Moment = Moment::from_millis(10_000);
    let natures = vec![warm(Duration::from_millis(500)); 4];
    let rate = capacity(&natures) * 3.0 * 0.6;
    let mut setup = setup(policy, natures, 16);
    setup.centres = 3;
    setup.entries = 2;
    setup.patience = Duration::from_secs(5);
    setup.outage = Some((1, OUT, BACK));
    setup.streams = vec![stream(0, rate, 14)];
    let world = World::new(setup).run();
    let began = |answer: &Answered| answer.at - answer.latency;
    let during = |at: Moment| (OUT..BACK).contains(&at);
    let answered = world.answered.iter().filter(|answer| during(began(answer)));
    let offered = world.offered_during(OUT, BACK);
    CentreRow {
        policy,
        load: 0.6,
        answered: share(answered.count() as u64, offered),
        gap_ms: longest_gap(&world.answered, OUT, seconds_in(14)),
        sends: ratio(world.sends, world.firsts),
    }
}

/// The longest time without an answer to a caller of the data centre that goes out.
fn longest_gap(answered: &[Answered], from: Moment, until: Moment) -> f64 {
    let own = answered.iter().filter(|answer| answer.centre == 1);
    let times = own.map(|answer| answer.at);
    let mut last = from;
    let mut longest = Duration::ZERO;
    for at in times.filter(|at| (from..until).contains(at)).chain([until]) {
        longest = longest.max(at.since(last));
        last = at;
    }
    millis(longest)
}

fn p95<F>(answered: &[Answered], counts: F) -> f64
where
    F: Fn(&Answered) -> bool,
{
    let counted = answered.iter().filter(|answer| counts(answer));
    let mut latencies: Vec<_> = counted.map(|answer| answer.latency).collect();
    latencies.sort();
    let place = latencies.len() * 95 / 100;
    millis(latencies.get(place).copied().unwrap_or_default())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn share(part: u64, whole: u64) -> f64 {
    ratio(part, whole)
}
