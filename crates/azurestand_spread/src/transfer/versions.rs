//! Starts and stops the transfer of versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_types::{Digest, Moment};

use super::Transfer;
use super::version::VersionState;
use crate::event::{Action, LogMessage};
use crate::manifest::Manifest;

/// How many chunks' worth of tokens the bucket of a host's link saves up.
const BURST_CHUNKS: u64 = 2;

impl Transfer {
    /// Starts and stops versions; chunks that a new version shares are kept.
    pub(crate) fn set_wanted(&mut self, manifests: Vec<Arc<Manifest>>, now: Moment) {
        let wanted: BTreeMap<_, _> = manifests
            .into_iter()
            .map(|manifest| (manifest.digest(), manifest))
            .collect();
        self.stop(&wanted);
        for (id, manifest) in wanted {
            if self.versions.iter().all(|version| version.id() != id) {
                self.start(manifest, now);
            }
        }
        self.discard();
        self.reorder(now);
        self.complete(now);
        self.subscribe(now);
    }

    fn stop(&mut self, wanted: &BTreeMap<Digest, Arc<Manifest>>) {
        for version in &self.versions {
            let digest = version.id();
            if !wanted.contains_key(&digest) && version.missing > 0 {
                self.actions
                    .push(Action::Log(LogMessage::Stopped { digest }));
            }
        }
        self.versions
            .retain(|version| wanted.contains_key(&version.id()));
        for neighbour in self.peers.iter_mut() {
            neighbour.announced.retain(|id, _| wanted.contains_key(id));
            neighbour
                .outbound_subs
                .retain(|id, _| wanted.contains_key(id));
        }
    }

    fn start(&mut self, manifest: Arc<Manifest>, now: Moment) {
        let mut version = VersionState::new(manifest, now);
        for chunk in version.manifest.clone().chunks() {
            if self.held.contains_key(&chunk.digest) {
                version.mark_held(chunk.digest, now);
            }
            if self.fetches.contains(chunk.digest) {
                version.set_in_flight(chunk.digest, true);
            }
        }
        self.versions.push(version);
        self.set_bursts();
    }

    /// Sizes the buckets to save up enough for the time between two events.
    fn set_bursts(&mut self) {
        let longest = self.versions.iter().map(|version| version.longest).max();
        let burst = longest.unwrap_or(0) * BURST_CHUNKS;
        self.ingress.set_burst(burst);
        self.egress.set_burst(burst);
    }

    /// Aborts fetches and drops chunks that no wanted version needs.
    fn discard(&mut self) {
        let versions = &self.versions;
        let needed = |digest: &Digest| versions.iter().any(|version| version.needs(*digest));
        for (digest, source) in self.fetches.select(|digest, _| !needed(digest)) {
            self.abort(digest, &source);
        }
        let versions = &self.versions;
        let kept = |digest: &Digest| versions.iter().any(|version| version.contains(*digest));
        let freed: Vec<_> = self
            .held
            .keys()
            .copied()
            .filter(|digest| !kept(digest))
            .collect();
        for digest in freed {
            self.held.remove(&digest);
            self.uploads.drop_chunk(digest);
            self.actions.push(Action::Drop { digest });
        }
    }
}
