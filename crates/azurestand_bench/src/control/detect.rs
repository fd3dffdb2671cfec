//! How fast killed hosts are found while messages get lost, and how often live ones are doubted.

use std::time::Duration;

use azurestand_membership::State;
use azurestand_types::{HostName, Moment};

use super::fleet::Fleet;
use super::rows::{DetectionRow, median};

const LOSS: f64 = 0.01;
const KILLS: usize = 10;
const CALM: Duration = Duration::from_mins(1);
const PATIENCE: Duration = Duration::from_secs(30);

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
pub(super) fn measure(nodes: usize, seed: u64) -> DetectionRow {
    let (entries, agents) = super::split(nodes);
    let mut fleet = Fleet::new(entries, agents, seed);
    fleet.loss = LOSS;
    fleet.write(1);
    fleet.run(Duration::from_secs(20));

    fleet.changes.clear();
    fleet.run(CALM);
    let mut doubted: Vec<_> = fleet
        .changes
        .iter()
        .filter(|(_, _, _, state)| *state == State::Suspect)
        .map(|(moment, _, host, _)| (host, moment.as_micros() / 5_000_000))
        .collect();
    doubted.sort();
    doubted.dedup();
    let doubts = doubted.len() as f64 / nodes as f64 * 3_600.0 / CALM.as_secs_f64();
    let died = |change: &&(Moment, usize, HostName, State)| change.3 == State::Dead;
    let false_deaths = fleet.changes.iter().filter(died).count() as u64;

    let (mut suspected, mut dead) = (Vec::new(), Vec::new());
    for _ in 0..KILLS {
        let (first, last) = kill(&mut fleet);
        suspected.push(first);
        dead.push(last);
    }
    suspected.sort();
    dead.sort();
    DetectionRow {
        nodes,
        loss_percent: LOSS * 100.0,
        killed: KILLS,
        suspect_s: median(&suspected).as_secs_f64(),
        dead_s: median(&dead).as_secs_f64(),
        dead_max_s: dead.last().copied().unwrap_or_default().as_secs_f64(),
        doubts,
        false_deaths,
    }
}

/// Kills a random host without a word; tells when it was first suspected, and when
/// its whole data centre had it as dead.
fn kill(fleet: &mut Fleet) -> (Duration, Duration) {
    let live: Vec<_> = (0..fleet.nodes.len())
        .filter(|n| fleet.nodes[*n].alive)
        .collect();
    let victim = live[fleet.random.usize(..live.len())];
    fleet.nodes[victim].alive = false;
    let name = fleet.nodes[victim].member.identity().host.clone();
    let centre = fleet.nodes[victim].centre;
    let start = fleet.now;
    fleet.changes.clear();
    let known = |fleet: &Fleet| {
        let local = fleet
            .nodes
            .iter()
            .filter(|node| node.alive && node.centre == centre);
        local
            .into_iter()
            .all(|node| node.member.view().state(&name) == Some(State::Dead))
    };
    let last = fleet.run_until(PATIENCE, known).unwrap_or(PATIENCE);
    let first = fleet.changes.iter().find(|change| change.2 == name);
    let first = first.map_or(PATIENCE, |change| change.0.since(start));
    (first, last)
}
