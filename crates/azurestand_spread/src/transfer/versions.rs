//! Which versions this host works towards.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_types::{Digest, Moment};

use super::Transfer;
use super::goal::Goal;
use crate::event::{Action, Note};
use crate::manifest::Manifest;

/// Chunks' worth of tokens that a host link's bucket saves up.
const BURST_CHUNKS: u64 = 2;

impl Transfer {
    /// Starts and stops versions; chunks that a new version shares are kept.
    pub(crate) fn want(&mut self, manifests: Vec<Arc<Manifest>>, now: Moment) {
        let wanted: BTreeMap<_, _> = manifests
            .into_iter()
            .map(|manifest| (manifest.digest(), manifest))
            .collect();
        self.stop(&wanted);
        for (id, manifest) in wanted {
            if self.goals.iter().all(|goal| goal.id() != id) {
                self.start(manifest, now);
            }
        }
        self.discard();
        self.reorder(now);
        self.complete(now);
        self.subscribe(now);
    }

    fn stop(&mut self, wanted: &BTreeMap<Digest, Arc<Manifest>>) {
        for goal in &self.goals {
            let digest = goal.id();
            if !wanted.contains_key(&digest) && goal.missing > 0 {
                self.out.push(Action::Log(Note::Stopped { digest }));
            }
        }
        self.goals.retain(|goal| wanted.contains_key(&goal.id()));
        for neighbour in self.peers.iter_mut() {
            neighbour.heard.retain(|id, _| wanted.contains_key(id));
            neighbour.subscribed.retain(|id, _| wanted.contains_key(id));
        }
    }

    fn start(&mut self, manifest: Arc<Manifest>, now: Moment) {
        let mut goal = Goal::new(manifest, now);
        for chunk in goal.manifest.clone().chunks() {
            if self.held.contains_key(&chunk.digest) {
                goal.hold(chunk.digest, now);
            }
            if self.flights.contains(chunk.digest) {
                goal.set_busy(chunk.digest, true);
            }
        }
        self.goals.push(goal);
        self.set_bursts();
    }

    /// Lets the buckets save up enough to bridge the time between two events.
    fn set_bursts(&mut self) {
        let longest = self.goals.iter().map(|goal| goal.longest).max();
        let burst = longest.unwrap_or(0) * BURST_CHUNKS;
        self.ingress.set_burst(burst);
        self.egress.set_burst(burst);
    }

    /// Stops flights and frees chunks that no wanted version needs.
    fn discard(&mut self) {
        let goals = &self.goals;
        let needed = |digest: &Digest| goals.iter().any(|goal| goal.needs(*digest));
        for (digest, source) in self.flights.select(|digest, _| !needed(digest)) {
            self.abort(digest, &source);
        }
        let goals = &self.goals;
        let kept = |digest: &Digest| goals.iter().any(|goal| goal.contains(*digest));
        let freed: Vec<_> = self
            .held
            .keys()
            .copied()
            .filter(|digest| !kept(digest))
            .collect();
        for digest in freed {
            self.held.remove(&digest);
            self.uploads.drop_chunk(digest);
            self.out.push(Action::Drop { digest });
        }
    }
}
