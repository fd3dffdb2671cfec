//! Arbitrary interleavings of sends, drops, duplicates, crashes, restarts,
//! takeovers, pauses, partitions and store faults.

use std::time::Duration;

use azurestand_target::Outage;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::simulation::{Flow, HOSTS, PROCESSES, Reply, RunEnd, Simulation};

/// Few keys, so that they are repeated often.
const KEYS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Ask(u32, usize),
    DeliverRequest(usize),
    DropRequest(usize),
    Revoke(usize),
    DeliverCall(usize),
    LoseAnswer(usize),
    TimeOut(usize),
    DeliverLate(usize),
    DuplicateCall(usize),
    Run(usize),
    RefuseStart(usize),
    End(usize, bool),
    Advance(u64),
    Flow(u64, Flow),
    PartitionHolder(u32),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    Partition(usize, bool),
    StoreUp(bool),
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
        4 => any::<usize>().prop_map(Step::DeliverRequest),
        1 => any::<usize>().prop_map(Step::DropRequest),
        1 => any::<usize>().prop_map(Step::Revoke),
        6 => any::<usize>().prop_map(Step::DeliverCall),
        3 => any::<usize>().prop_map(Step::LoseAnswer),
        3 => any::<usize>().prop_map(Step::TimeOut),
        2 => any::<usize>().prop_map(Step::DeliverLate),
        2 => any::<usize>().prop_map(Step::DuplicateCall),
        3 => any::<usize>().prop_map(Step::Run),
        1 => any::<usize>().prop_map(Step::RefuseStart),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(n, whole)| Step::End(n, whole)),
        4 => (10_u64..2_000).prop_map(Step::Advance),
        1 => host.clone().prop_map(Step::Kill),
        2 => host.clone().prop_map(Step::Restart),
        3 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Pause(host, on)),
        4 => (host.clone(), any::<bool>()).prop_map(|(host, on)| Step::Partition(host, on)),
        2 => (0..KEYS).prop_map(Step::PartitionHolder),
        2 => any::<bool>().prop_map(Step::StoreUp),
        1 => host.prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

fn apply(sim: &mut Simulation, step: &Step) {
    match *step {
        Step::Ask(key, host) => {
            // Most requests are sent to the holder, some to another home.
            let host = sim.holder(key).filter(|_| host > 0).unwrap_or(host);
            sim.submit(key, host);
        }
        Step::DeliverRequest(n) => sim.deliver_request(n),
        Step::DropRequest(n) => sim.drop_request(n),
        Step::Revoke(n) => sim.revoke_nth(n),
        Step::DeliverCall(n) => sim.deliver_call(n, true),
        Step::LoseAnswer(n) => sim.deliver_call(n, false),
        Step::TimeOut(n) => sim.time_out(n),
        Step::DeliverLate(n) => sim.deliver_late(n),
        Step::DuplicateCall(n) => sim.duplicate_call(n),
        Step::Run(n) => sim.run(n),
        Step::RefuseStart(n) => sim.refuse_start(n),
        Step::End(n, true) => sim.end(n, RunEnd::Answered),
        Step::End(n, false) => sim.end(n, RunEnd::Failed),
        Step::Advance(millis) => sim.advance(Duration::from_millis(millis)),
        Step::Flow(millis, flow) => sim.flow(Duration::from_millis(millis), flow),
        Step::PartitionHolder(key) => {
            if let Some(host) = sim.holder(key) {
                sim.processes[host].partitioned = true;
            }
        }
        Step::Kill(host) => sim.kill(host),
        Step::Restart(host) => sim.restart(host),
        Step::Pause(host, on) => sim.pause(host, on),
        Step::Partition(host, on) => sim.processes[host].partitioned = on,
        Step::StoreUp(up) => sim.store_up = up,
        Step::Leave(host) => sim.leave(host),
        Step::Outage(memory) => sim.configure(outage(memory)),
    }
}

fn outage(memory: bool) -> Outage {
    if memory { Outage::Memory } else { Outage::Wait }
}

/// Ends all faults and checks that every shard serves again.
fn recover(sim: &mut Simulation) {
    sim.store_up = true;
    sim.kill(HOSTS);
    for host in 0..HOSTS {
        sim.processes[host].partitioned = false;
        sim.restart(host);
    }
    sim.settle(Duration::from_secs(70));
    let fresh = 1_000..1_016;
    for key in fresh.clone() {
        let holder = sim.holder(key).expect("every shard has a holder again");
        let id = sim.submit(key, holder).unwrap();
        sim.settle(Duration::from_millis(1_500));
        let reply = sim.replies.get(&id);
        let answered = matches!(
            reply,
            Some(Reply::Ended(azurestand_types::Outcome::Answered))
        );
        assert!(
            answered,
            "key {key} isn't served after all faults ended: {reply:?}"
        );
    }
    assert!(fresh.into_iter().all(|key| sim.runs[&key] == 1));
}

fn simulate(memory: bool, settled: bool, steps: &[Step]) -> Simulation {
    let mut sim = Simulation::new(outage(memory));
    if settled {
        sim.settle(Duration::from_secs(3));
    }
    for step in steps {
        apply(&mut sim, step);
    }
    sim
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
    fn no_key_runs_twice_and_no_request_reported_as_not_run_runs(
        memory in any::<bool>(),
        settled in prop::bool::weighted(0.9),
        steps in vec(step(), 1..120),
    ) {
        simulate(memory, settled, &steps);
    }
}

proptest! {
    #![proptest_config(config(42, 100))]

    #[test]
    fn every_shard_is_served_again_once_faults_end(
        memory in any::<bool>(),
        steps in vec(step(), 1..120),
    ) {
        let mut sim = simulate(memory, true, &steps);
        recover(&mut sim);
    }
}
