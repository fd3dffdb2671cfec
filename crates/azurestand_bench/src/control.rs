//! What membership and dissemination cost at size, in virtual time.
//!
//! Real state machines of [`azurestand_membership`] run in one process over a
//! small fake of the links and the store. Processor time is measured, time on
//! the links is computed. [docs/MEMBERSHIP.md](../../../docs/MEMBERSHIP.md)
//! reads the figures.

mod baseline;
mod detect;
mod fleet;
mod links;
mod recover;
mod rows;
mod store;
mod tally;

use std::panic::resume_unwind;
use std::thread::{self, ScopedJoinHandle};
use std::time::Duration;

pub use rows::{ControlRow, DetectionRow, Method, RecoveryRow, Report};

use fleet::Fleet;

/// How many data centres the fleet is spread over.
pub const CENTRES: usize = 8;

/// The entries and agents that the deployment is planned to reach.
pub const PLANNED: (usize, usize) = (370, 890);

/// The fleets that are measured in full.
pub const SIZES: [usize; 4] = [16, 64, 256, 640];

const SEED: u64 = 5;

/// Measures every size, the baseline beside it, detection and recovery.
///
/// The short run leaves out the larger fleets.
pub fn run(short: bool) -> Report {
    let sizes: &[usize] = if short { &SIZES[..2] } else { &SIZES };
    let mut report = Report::default();
    let mut kept = Vec::new();
    for nodes in sizes {
        let (row, fleet) = measure_fleet(*nodes, SEED);
        report.control.push(row);
        kept.push(fleet);
        report.control.push(baseline::measure(*nodes, SEED));
    }
    drop(kept);
    // Processor time and memory are measured above, one fleet at a time; what
    // follows measures virtual time alone and may share the machine.
    let larger = if short { sizes } else { &sizes[2..] };
    let (entries, agents) = if short { (19, 45) } else { PLANNED };
    thread::scope(|scope| {
        let detect = |nodes: &usize| {
            let nodes = *nodes;
            scope.spawn(move || detect::measure(nodes, SEED))
        };
        let detections: Vec<_> = larger.iter().map(detect).collect();
        let recovery = scope.spawn(move || recover::measure(entries, agents, SEED));
        let rows = detections.into_iter().map(join);
        report.detection = rows.collect();
        report.recovery = join(recovery);
    });
    report
        .recovery
        .push(baseline::recover(entries + agents, SEED));
    report
}

fn join<R>(row: ScopedJoinHandle<'_, R>) -> R {
    row.join().unwrap_or_else(|panic| resume_unwind(panic))
}

/// Measures one fleet of real members.
pub fn measure(nodes: usize, seed: u64) -> ControlRow {
    measure_fleet(nodes, seed).0
}

/// Measures a fleet and hands it back, so that its memory stays in use while a larger
/// one is measured.
fn measure_fleet(nodes: usize, seed: u64) -> (ControlRow, Fleet) {
    const EDITS: u64 = 8;
    // Statuses go on spreading for a while after all started at once.
    const SETTLE: Duration = Duration::from_secs(40);
    const STEADY: Duration = Duration::from_secs(20);
    let before = tally::resident_bytes();
    let (entries, agents) = split(nodes);
    let mut fleet = Fleet::new(entries, agents, seed);
    fleet.write(1);
    let joined = fleet.run_until(Duration::from_mins(2), Fleet::complete);
    fleet.run(SETTLE);
    let memory = tally::resident_bytes().saturating_sub(before);

    fleet.tally.reset();
    fleet.run(STEADY);
    let steady = fleet.tally.summary(STEADY, nodes);

    let mut times = Vec::new();
    let mut calls = 0;
    for revision in 2..2 + EDITS {
        fleet.tally.reset();
        times.extend(fleet.edit(revision));
        calls = calls.max(fleet.tally.store_calls);
        fleet.run(Duration::from_millis(1_000 + 137 * revision));
    }
    fleet.tally.reset();
    fleet.run(Duration::from_secs(5));
    fleet.fail_store(Duration::from_secs(40));
    let after = fleet.tally.peak_calls;
    let row = rows::control(&rows::Measured {
        method: Method::Hubs,
        nodes,
        joined,
        times,
        steady,
        change_calls: calls,
        outage_calls: after,
        memory,
    });
    (row, fleet)
}

/// Entries and agents in the planned proportion, at least two entries a data centre.
fn split(nodes: usize) -> (usize, usize) {
    let (entries, agents) = PLANNED;
    let least = (nodes / 2).min(2 * CENTRES);
    let share = (nodes * entries / (entries + agents)).max(least);
    (share, nodes - share)
}
