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
    for nodes in sizes {
        report.control.push(measure(*nodes, SEED));
        report.control.push(baseline::measure(*nodes, SEED));
    }
    let (entries, agents) = if short { (19, 45) } else { PLANNED };
    let larger = if short { sizes } else { &sizes[2..] };
    for nodes in larger {
        report.detection.push(detect::measure(*nodes, SEED));
    }
    report.recovery.push(recover::outage(entries, agents, SEED));
    report
        .recovery
        .push(recover::restart(entries, agents, SEED));
    report
        .recovery
        .push(baseline::recover(entries + agents, SEED));
    report
}

/// Measures one fleet of real members.
pub fn measure(nodes: usize, seed: u64) -> ControlRow {
    const EDITS: u64 = 12;
    const STEADY: Duration = Duration::from_secs(30);
    let before = tally::resident_bytes();
    let (entries, agents) = split(nodes);
    let mut fleet = Fleet::new(entries, agents, seed);
    fleet.write(1);
    let joined = fleet.run_until(Duration::from_mins(2), Fleet::complete);
    fleet.run(Duration::from_secs(20));
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
        fleet.run(Duration::from_millis(1_700 + 137 * revision));
    }
    fleet.tally.reset();
    fleet.run(Duration::from_secs(5));
    fleet.fail_store(Duration::from_mins(1));
    let after = fleet.tally.peak_calls;
    rows::control(&rows::Measured {
        method: Method::Hubs,
        nodes,
        joined,
        times,
        steady,
        change_calls: calls,
        outage_calls: after,
        memory,
    })
}

/// Entries and agents in the planned proportion, at least two entries a data centre.
fn split(nodes: usize) -> (usize, usize) {
    let (entries, agents) = PLANNED;
    let least = (nodes / 2).min(2 * CENTRES);
    let share = (nodes * entries / (entries + agents)).max(least);
    (share, nodes - share)
}
