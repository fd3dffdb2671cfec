//! The baseline: every node watches the store itself.
//!
//! The nodes of this model decide nothing, so that no state machine stands
//! behind its rows; it runs over the same fake links and store.

use std::time::Duration;

use azurestand_types::Moment;

use super::CENTRES;
use super::links::Links;
use super::rows::{self, ControlRow, Measured, Method, RecoveryRow};
use super::store::{self, BACK_OFF, Store, WATCH_SPAN};
use super::tally::Summary;

/// Bytes of a store call without a document, with its answer.
const CALL_BYTES: f64 = 600.0;

const EDITS: u64 = 8;

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
pub(super) fn measure(nodes: usize, seed: u64) -> ControlRow {
    let times = (0..EDITS).flat_map(|edit| deliver(nodes, edit)).collect();
    let span = WATCH_SPAN.as_secs_f64();
    let steady = Summary {
        calls: nodes as f64 / span,
        node_bytes: CALL_BYTES / span,
        peak_bytes: CALL_BYTES / span,
        link_kbit: CALL_BYTES / span * 8.0 / 1_000.0 * nodes as f64 * 3.0 / 8.0,
        cpu_percent: 0.0,
    };
    rows::control(&Measured {
        method: Method::WatchAll,
        nodes,
        joined: None,
        times,
        steady,
        change_calls: 2 * nodes as u64,
        outage_calls: peak(nodes, seed),
        memory: 0,
    })
}

/// Each node's time from the write until the document has arrived.
fn deliver(nodes: usize, edit: u64) -> Vec<Duration> {
    let mut store = Store::new();
    let mut links = Links::new();
    let size = store::size(&store::config(edit + 2));
    let arrival = |node: usize| {
        let served = store.serve(Moment::START);
        let at = links.store_arrival(served, node % CENTRES, size);
        at.since(Moment::START)
    };
    (0..nodes).map(arrival).collect()
}

/// The most calls in a second when all open their watches again with jittered back-off.
fn peak(nodes: usize, seed: u64) -> u64 {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut seconds = vec![0; 1 + usize::try_from(BACK_OFF.as_secs()).unwrap_or(0)];
    for _ in 0..nodes {
        let pause = BACK_OFF.mul_f64(random.f64());
        // The watch is opened, gives the document, and is opened again.
        seconds[usize::try_from(pause.as_secs()).unwrap_or(0)] += 2;
    }
    seconds.into_iter().max().unwrap_or_default()
}

pub(super) fn recover(nodes: usize, seed: u64) -> RecoveryRow {
    let last = deliver(nodes, 0).into_iter().max().unwrap_or_default();
    let tries = nodes as u64 * 2 / BACK_OFF.as_secs();
    RecoveryRow {
        case: "outage, every node watches",
        nodes,
        down_calls: tries,
        peak_calls: peak(nodes, seed),
        whole_s: Some((BACK_OFF + last).as_secs_f64()),
    }
}
