//! Arbitrary interleavings of sends, drops, duplicates, deaths, restarts,
//! takeovers, pauses, partitions and store faults.

use std::time::Duration;

use azurestand_target::Outage;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{Ended, Fate, HOSTS, World};

#[derive(Debug, Clone)]
enum Step {
    Ask(u32, usize),
    DeliverAsk(usize),
    DropAsk(usize),
    Revoke(usize),
    Call(usize),
    LoseAnswer(usize),
    TimeOut(usize),
    DoubleCall(usize),
    Run(usize),
    RefuseStart(usize),
    End(usize, bool),
    Advance(u64),
    Settle(u64),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    Cut(usize, bool),
    Up(bool),
    Leave(usize),
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        8 => (0_u32..24, host.clone()).prop_map(|(key, host)| Step::Ask(key, host)),
        8 => any::<usize>().prop_map(Step::DeliverAsk),
        1 => any::<usize>().prop_map(Step::DropAsk),
        1 => any::<usize>().prop_map(Step::Revoke),
        12 => any::<usize>().prop_map(Step::Call),
        3 => any::<usize>().prop_map(Step::LoseAnswer),
        3 => any::<usize>().prop_map(Step::TimeOut),
        2 => any::<usize>().prop_map(Step::DoubleCall),
        5 => any::<usize>().prop_map(Step::Run),
        1 => any::<usize>().prop_map(Step::RefuseStart),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(n, whole)| Step::End(n, whole)),
        6 => (10_u64..2_000).prop_map(Step::Advance),
        3 => (500_u64..8_000).prop_map(Step::Settle),
        1 => (20_000_u64..26_000).prop_map(Step::Settle),
        1 => host.clone().prop_map(Step::Kill),
        2 => host.clone().prop_map(Step::Restart),
        3 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Pause(host, on)),
        3 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Cut(host, on)),
        2 => any::<bool>().prop_map(Step::Up),
        1 => host.prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

fn take(world: &mut World, step: &Step) {
    match *step {
        Step::Ask(key, host) => {
            // Most callers are sent to the holder; some entries guess wrong.
            let host = world.holder(key).filter(|_| host > 0).unwrap_or(host);
            world.ask(key, host);
        }
        Step::DeliverAsk(n) => world.deliver_ask(n),
        Step::DropAsk(n) => world.drop_ask(n),
        Step::Revoke(n) => world.revoke(n),
        Step::Call(n) => world.deliver_call(n, true),
        Step::LoseAnswer(n) => world.deliver_call(n, false),
        Step::TimeOut(n) => world.time_out(n),
        Step::DoubleCall(n) => world.double_call(n),
        Step::Run(n) => world.run(n),
        Step::RefuseStart(n) => world.refuse_start(n),
        Step::End(n, true) => world.end(n, Ended::Answered),
        Step::End(n, false) => world.end(n, Ended::Failed),
        Step::Advance(millis) => world.advance(Duration::from_millis(millis)),
        Step::Settle(millis) => world.settle(Duration::from_millis(millis)),
        Step::Kill(host) => world.kill(host),
        Step::Restart(host) => world.restart(host),
        Step::Pause(host, on) => world.pause(host, on),
        Step::Cut(host, on) => world.processes[host].cut = on,
        Step::Up(up) => world.up = up,
        Step::Leave(host) => world.leave(host),
        Step::Outage(memory) => world.configure(outage(memory)),
    }
}

fn outage(memory: bool) -> Outage {
    if memory { Outage::Memory } else { Outage::Wait }
}

/// Brings everything back, and checks that every shard serves again.
fn recover(world: &mut World) {
    world.up = true;
    for host in 0..HOSTS {
        world.processes[host].cut = false;
        world.restart(host);
    }
    world.settle(Duration::from_secs(70));
    let fresh = 1_000..1_016;
    for key in fresh.clone() {
        let holder = world.holder(key).expect("every shard has a holder again");
        let id = world.ask(key, holder).unwrap();
        world.settle(Duration::from_millis(1_500));
        let fate = world.fates.get(&id);
        let answered = matches!(fate, Some(Fate::Told(azurestand_types::Outcome::Answered)));
        assert!(
            answered,
            "key {key} isn't served after all faults ended: {fate:?}"
        );
    }
    assert!(fresh.into_iter().all(|key| world.runs[&key] == 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_runs_twice_and_nothing_called_not_run_runs(
        memory in any::<bool>(),
        settled in any::<bool>(),
        steps in vec(step(), 1..250),
    ) {
        let mut world = World::new(outage(memory));
        if settled {
            world.settle(Duration::from_secs(3));
        }
        for step in &steps {
            take(&mut world, step);
        }
        recover(&mut world);
    }
}
