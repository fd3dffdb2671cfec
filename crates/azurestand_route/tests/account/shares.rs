use std::time::Duration;

use azurestand_route::{
    AccountDemand, AccountLimits, Allowance, Demand, Level, MAX_DEMANDS, QueueAccess,
};
use azurestand_types::{HostName, Moment, Refusal};

use crate::world::{World, account};

const ALLOWANCE: Allowance = Allowance {
    rate: 80.0,
    burst: 8.0,
    concurrency: 40,
};

fn run(world: &mut World, seconds: u64) -> usize {
    let before = world.admitted.len();
    for _ in 0..seconds * 10 {
        world.step(&[12, 0, 0, 0, 0, 0, 0, 0], Duration::from_millis(80));
    }
    world.admitted.len() - before
}

/// All requests of the account come to one of eight entries, which gets most of the
/// rate.
#[test]
fn the_share_follows_demand() {
    let mut world = World::new(8, ALLOWANCE, Duration::from_secs(1), 1);
    run(&mut world, 40);
    let rate = run(&mut world, 10) / 10;
    assert!(rate >= 70, "{rate} of 80 a second");
}

/// An entry must not use a share that the others don't know of.
#[test]
fn without_exchanged_demands_the_split_is_equal() {
    let mut world = World::new(8, ALLOWANCE, Duration::from_secs(1), 1);
    world.drop_demands();
    run(&mut world, 40);
    let rate = run(&mut world, 10) / 10;
    assert!((9..=11).contains(&rate), "{rate} of 80 a second");
}

/// Each account has token buckets of its own.
#[test]
fn a_flood_of_one_account_does_not_limit_another() {
    let mut limits = AccountLimits::default();
    let small = Allowance {
        rate: 2.0,
        burst: 2.0,
        concurrency: 2,
    };
    let mut served = 0;
    for n in 0..10_000 {
        let now = Moment::from_millis(n);
        if limits.admit(now, &account(0), ALLOWANCE, 1).is_ok() {
            limits.release(&account(0));
        }
        if n % 1_000 == 0 && limits.admit(now, &account(1), small, 1).is_ok() {
            limits.release(&account(1));
            served += 1;
        }
    }
    assert_eq!(served, 10);
}

/// A faulty peer must not cause unbounded memory use or take an unbounded share.
#[test]
fn an_oversized_demand_is_truncated() {
    let mut limits = AccountLimits::default();
    let demands = (0..1_000).map(|n| AccountDemand {
        account: account(n),
        level: Level::new(255),
    });
    let peer = HostName::try_from("peer").unwrap();
    limits.apply_demand(Moment::START, &peer, Demand(demands.collect()), 2);
    assert!(limits.share(&account(0), 2) < 0.001);
    let beyond = account(MAX_DEMANDS);
    assert!((limits.share(&beyond, 2) - 0.5).abs() < 1e-9);
}

#[test]
fn requests_over_the_concurrency_are_refused() {
    let mut limits = AccountLimits::default();
    let allowance = Allowance {
        rate: 1e6,
        burst: 1e6,
        concurrency: 3,
    };
    let admitted = (0..5)
        .map(|_| limits.admit(Moment::START, &account(0), allowance, 1))
        .collect::<Vec<_>>();
    assert_eq!(admitted[2], Ok(()));
    assert_eq!(admitted[3], Err(Refusal::OverLimit));
    limits.release(&account(0));
    let again = limits.admit(Moment::START, &account(0), allowance, 1);
    assert_eq!(again, Ok(()));
}

/// The queue access decides how much of a queue the account may fill.
#[test]
fn an_accounts_standing_follows_its_requests_in_flight() {
    let mut limits = AccountLimits::default();
    assert_eq!(
        limits.queue_access(&account(0)),
        QueueAccess::Full,
        "no request in flight yet"
    );
    for _ in 0..5 {
        let admitted = limits.admit(Moment::START, &account(0), ALLOWANCE, 1);
        assert_eq!(admitted, Ok(()));
    }
    let admitted = limits.admit(Moment::START, &account(1), ALLOWANCE, 1);
    assert_eq!(admitted, Ok(()));
    assert_eq!(limits.queue_access(&account(0)), QueueAccess::Half);
    assert_eq!(limits.queue_access(&account(1)), QueueAccess::Full);
    (0..5).for_each(|_| limits.release(&account(0)));
    assert_eq!(limits.queue_access(&account(0)), QueueAccess::Full);
}
