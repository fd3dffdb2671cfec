//! The store's return, after an outage and after a restart of the whole fleet.

use std::time::Duration;

use super::fleet::Fleet;
use super::rows::RecoveryRow;
use super::store::BACK_OFF;

const OUTAGE: Duration = Duration::from_secs(45);
const PATIENCE: Duration = Duration::from_mins(1);

/// The store goes away twice: first under a running fleet, then while every process
/// restarts, so that nobody holds a document. Each time an edit comes with its return.
pub(super) fn measure(entries: usize, agents: usize, seed: u64) -> Vec<RecoveryRow> {
    let mut fleet = Fleet::new(entries, agents, seed);
    fleet.write(1);
    fleet.run(Duration::from_secs(15));
    fleet.store.down = true;
    fleet.drop_watches();
    let outage = recovered("outage", &mut fleet, 2);
    fleet.store.down = true;
    fleet.restart(2);
    let restart = recovered("outage, whole fleet restarted", &mut fleet, 3);
    vec![outage, restart]
}

fn recovered(case: &'static str, fleet: &mut Fleet, revision: u64) -> RecoveryRow {
    fleet.tally.reset();
    fleet.run(OUTAGE);
    let down_calls = fleet.tally.peak_calls;
    fleet.store.down = false;
    fleet.tally.reset();
    fleet.write(revision);
    let whole = fleet.run_until(PATIENCE, |fleet| fleet.in_force(revision));
    fleet.run(BACK_OFF);
    RecoveryRow {
        case,
        nodes: fleet.nodes.len(),
        down_calls,
        peak_calls: fleet.tally.peak_calls,
        whole_s: whole.map(|whole| whole.as_secs_f64()),
    }
}
