//! Arbitrary interleavings of sends, drops, duplicates, deaths, restarts,
//! takeovers, pauses, partitions and store faults.

use std::time::Duration;

use azurestand_target::Outage;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{Ended, Fate, Flow, HOSTS, PROCESSES, World};

/// Few keys, so that they are repeated often.
const KEYS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Ask(u32, usize),
    DeliverAsk(usize),
    DropAsk(usize),
    Revoke(usize),
    Call(usize),
    LoseAnswer(usize),
    TimeOut(usize),
    Late(usize),
    DoubleCall(usize),
    Run(usize),
    RefuseStart(usize),
    End(usize, bool),
    Advance(u64),
    Flow(u64, Flow),
    CutHolder(u32),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    Cut(usize, bool),
    Up(bool),
    Leave(usize),
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..PROCESSES;
    let flow = prop_oneof![
        4 => Just(Flow::Whole),
        1 => Just(Flow::Failing),
        1 => Just(Flow::Refusing),
        1 => Just(Flow::Stuck),
    ];
    prop_oneof![
        16 => (0..KEYS, host.clone()).prop_map(|(key, host)| Step::Ask(key, host)),
        16 => (50_u64..1_500, flow).prop_map(|(millis, flow)| Step::Flow(millis, flow)),
        4 => (4_000_u64..6_500).prop_map(|millis| Step::Flow(millis, Flow::Whole)),
        4 => any::<usize>().prop_map(Step::DeliverAsk),
        1 => any::<usize>().prop_map(Step::DropAsk),
        1 => any::<usize>().prop_map(Step::Revoke),
        6 => any::<usize>().prop_map(Step::Call),
        3 => any::<usize>().prop_map(Step::LoseAnswer),
        3 => any::<usize>().prop_map(Step::TimeOut),
        2 => any::<usize>().prop_map(Step::Late),
        2 => any::<usize>().prop_map(Step::DoubleCall),
        3 => any::<usize>().prop_map(Step::Run),
        1 => any::<usize>().prop_map(Step::RefuseStart),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, whole)| Step::End(n, whole)),
        4 => (10_u64..2_000).prop_map(Step::Advance),
        1 => host.clone().prop_map(Step::Kill),
        2 => host.clone().prop_map(Step::Restart),
        3 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Pause(host, on)),
        4 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Cut(host, on)),
        2 => (0..KEYS).prop_map(Step::CutHolder),
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
        Step::Late(n) => world.deliver_late(n),
        Step::DoubleCall(n) => world.double_call(n),
        Step::Run(n) => world.run(n),
        Step::RefuseStart(n) => world.refuse_start(n),
        Step::End(n, true) => world.end(n, Ended::Answered),
        Step::End(n, false) => world.end(n, Ended::Failed),
        Step::Advance(millis) => world.advance(Duration::from_millis(millis)),
        Step::Flow(millis, flow) => world.flow(Duration::from_millis(millis), flow),
        Step::CutHolder(key) => {
            if let Some(host) = world.holder(key) {
                world.processes[host].cut = true;
            }
        }
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
    world.kill(HOSTS);
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

fn play(memory: bool, settled: bool, steps: &[Step]) -> World {
    let mut world = World::new(outage(memory));
    if settled {
        world.settle(Duration::from_secs(3));
    }
    for step in steps {
        take(&mut world, step);
    }
    world
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(41, 1_500))]

    #[test]
    fn no_key_runs_twice_and_nothing_called_not_run_runs(
        memory in any::<bool>(),
        settled in prop::bool::weighted(0.9),
        steps in vec(step(), 1..120),
    ) {
        play(memory, settled, &steps);
    }
}

proptest! {
    #![proptest_config(config(42, 100))]

    #[test]
    fn every_shard_is_served_again_once_faults_end(
        memory in any::<bool>(),
        steps in vec(step(), 1..120),
    ) {
        let mut world = play(memory, true, &steps);
        recover(&mut world);
    }
}
