//! This process's part of the store's rates.
//!
//! The store takes so many calls a second from the whole deployment. Each data
//! centre gets an even part, and a home of idempotency keys a larger one of
//! that, since it writes while it serves; see docs/STORE.md.

use std::collections::BTreeSet;
use std::time::Duration;

use azurestand_store::{HttpOptions, Rates, Share};
use azurestand_types::Incarnation;
use tokio::time::interval;

use super::Node;
use crate::settings::{Settings, TargetKind};

/// Reads a second that all processes together may make.
const READS: f64 = 1_700.0;
/// Writes a second that all processes together may make.
const WRITES: f64 = 280.0;
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a call may wait for its turn; longer than the time between two turns.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// A home of idempotency keys writes while it serves.
const HOME_WEIGHT: u32 = 8;
/// Homes that a data centre is taken to have, since agents don't hear who is one.
const HOMES: u32 = 4;
const FOLLOW_INTERVAL: Duration = Duration::from_secs(5);

/// The store's options for a process that knows of no other yet.
pub(super) fn options(settings: &Settings, incarnation: Incarnation) -> HttpOptions {
    HttpOptions {
        addresses: settings.store.clone(),
        timeout: TIMEOUT,
        max_wait: MAX_WAIT,
        share: share(settings, 1, 1),
        burst: 0,
        seed: incarnation.0,
    }
}

/// Divides anew as the live view changes.
pub(super) async fn follow(node: Node) {
    let mut ticks = interval(FOLLOW_INTERVAL);
    loop {
        ticks.tick().await;
        let own = node.links.own().centre.clone();
        let neighbours = node.neighbours();
        let present = neighbours
            .0
            .values()
            .filter(|other| other.state.is_present());
        let centres = present.clone().map(|other| &other.record.identity.centre);
        let near = centres.clone().filter(|centre| **centre == own).count();
        let centres = centres.collect::<BTreeSet<_>>().len();
        node.store.set_share(share(&node.settings, centres, near));
    }
}

fn share(settings: &Settings, centres: usize, near: usize) -> Share {
    let count = |count: usize| u32::try_from(count.max(1)).unwrap_or(u32::MAX);
    let part = f64::from(count(centres));
    let serves = |target: &crate::settings::TargetSettings| {
        matches!(target.kind, TargetKind::Service { .. })
    };
    let home = settings.targets.iter().any(serves);
    let total = count(near) + HOMES * HOME_WEIGHT;
    Share {
        centre: Rates {
            reads: READS / part,
            writes: WRITES / part,
        },
        weight: if home { HOME_WEIGHT } else { 1 },
        total,
    }
}
