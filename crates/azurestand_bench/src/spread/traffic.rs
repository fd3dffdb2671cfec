//! Chunks on their way over up to three links.

use azurestand_spread::{Event, Source, Verified};
use azurestand_types::{Digest, HostName};

use super::link::Passage;
use super::setup::REGIONS;
use super::world::{CROSS_DELAY, Flow, Happening, World};

impl World<'_> {
    fn flow(&mut self, from: Option<usize>, to: usize, digest: Digest) -> usize {
        let flow = self.flows.len();
        self.flows.push(Flow {
            from,
            to,
            digest,
            stopped: false,
        });
        self.moving.insert((to, digest, from), flow);
        flow
    }

    pub(crate) fn fetch(&mut self, to: usize, digest: Digest) {
        let flow = self.flow(None, to, digest);
        let bytes = u64::from(self.setup.length);
        if self.is_newest(digest) {
            self.drawn[self.hosts[to].region] += bytes;
        }
        let passage = self.origin.pass(bytes, self.now);
        let entry = self.hosts[to].down.entry(bytes, passage);
        self.at(entry + CROSS_DELAY, Happening::Down(flow, passage));
    }

    pub(crate) fn upload(&mut self, from: usize, to: &HostName, digest: Digest) {
        let to = self.names[to];
        let flow = self.flow(Some(from), to, digest);
        let bytes = u64::from(self.setup.length);
        let passage = self.hosts[from].up.pass(bytes, self.now);
        let (a, b) = (self.hosts[from].region, self.hosts[to].region);
        let delay = self.delay(from, to);
        if a == b {
            let entry = self.hosts[to].down.entry(bytes, passage);
            self.at(entry + delay, Happening::Down(flow, passage));
            self.at(passage.end, Happening::Sent(flow));
        } else {
            let entry = self.cross[a * REGIONS + b].entry(bytes, passage);
            self.at(entry + delay, Happening::Cross(flow, passage));
        }
    }

    pub(crate) fn pass_cross(&mut self, flow: usize, before: Passage) {
        let Flow {
            from: Some(from),
            to,
            digest,
            ..
        } = self.flows[flow]
        else {
            return;
        };
        let bytes = u64::from(self.setup.length);
        if self.is_newest(digest) {
            self.crossed += bytes;
        }
        let (a, b) = (self.hosts[from].region, self.hosts[to].region);
        let mut passage = self.cross[a * REGIONS + b].pass(bytes, self.now);
        passage.end = passage.end.max(before.end);
        let entry = self.hosts[to].down.entry(bytes, passage);
        self.at(entry.max(self.now), Happening::Down(flow, passage));
        self.at(passage.end, Happening::Sent(flow));
    }

    pub(crate) fn pass_down(&mut self, flow: usize, before: Passage) {
        let to = self.flows[flow].to;
        let bytes = u64::from(self.setup.length);
        let passage = self.hosts[to].down.pass(bytes, self.now);
        self.at(passage.end.max(before.end), Happening::Arrive(flow));
    }

    pub(crate) fn arrive(&mut self, index: usize) {
        let flow = &self.flows[index];
        let (from, to, digest) = (flow.from, flow.to, flow.digest);
        let lost = from.is_some_and(|from| !self.hosts[from].alive);
        if flow.stopped || lost {
            return;
        }
        self.moving.remove(&(to, digest, from));
        let corrupt = self.rng.f64() < self.setup.faults.corrupt;
        let outcome = if corrupt {
            Verified::check(digest, b"corrupted")
        } else {
            Ok(self.proofs[&digest])
        };
        let source = match from {
            Some(from) => Source::Peer(self.hosts[from].peer.host.clone()),
            None => Source::Origin,
        };
        let event = Event::Fetched {
            digest,
            source,
            outcome,
        };
        self.feed(to, event);
    }

    pub(crate) fn sent(&mut self, flow: usize) {
        let Flow {
            from: Some(from),
            to,
            digest,
            ..
        } = self.flows[flow]
        else {
            return;
        };
        let to = self.hosts[to].peer.host.clone();
        self.feed(from, Event::Uploaded { to, digest });
    }

    pub(crate) fn abort(&mut self, to: usize, digest: Digest, source: &Source) {
        let from = match source {
            Source::Peer(host) => Some(self.names[host]),
            Source::Origin | Source::WeightStore => None,
        };
        if let Some(flow) = self.moving.remove(&(to, digest, from)) {
            self.flows[flow].stopped = true;
        }
    }
}
