//! Asks for a chosen chunk and sets how long it may take.

use std::time::Duration;

use azurestand_types::{HostName, Moment};

use super::Transfer;
use super::flight::{Flight, Lane};
use super::pick::CROSS_FLIGHTS;
use crate::event::{Action, Note, Source};
use crate::limits::Policy;
use crate::message::Message;

/// How many expected transfer times pass before a flight counts as late.
const LATE_FACTOR: u32 = 4;

impl Transfer {
    pub(crate) fn draw(&mut self, index: usize, chunk: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        let piece = goal.manifest.chunks()[chunk];
        let stepped = goal.orders.region.is_drawer() && !goal.orders.region.is_first(chunk);
        let length = u64::from(piece.length);
        let Some(source) = self.upstream.take(length, self.hurried, now) else {
            return false;
        };
        if stepped && self.limits.policy == Policy::Ordered {
            self.out.push(Action::Log(Note::Stepped {
                digest: piece.digest,
            }));
        }
        let deadline = self.upstream_patience(index);
        self.launch(index, chunk, source.clone(), Lane::Upstream, deadline, now);
        self.out.push(Action::Fetch {
            digest: piece.digest,
            source,
            rate: self.ingress.rate(),
        });
        true
    }

    pub(crate) fn request(
        &mut self,
        index: usize,
        found: Option<(usize, HostName)>,
        now: Moment,
    ) -> bool {
        let Some((chunk, host)) = found else {
            return false;
        };
        let piece = self.goals[index].manifest.chunks()[chunk];
        let near = self.near_patience(index);
        let cross = self.cross_patience(index);
        let Some(neighbour) = self.peers.get_mut(&host) else {
            return false;
        };
        neighbour.asked += 1;
        let lane = Lane::from(neighbour.place);
        if let Some(link) = self.cross.get_mut(&neighbour.peer.region)
            && lane == Lane::Cross
        {
            link.bucket.take(u64::from(piece.length), now);
            link.flights += 1;
        }
        let patience = if lane == Lane::Cross { cross } else { near };
        self.launch(
            index,
            chunk,
            Source::Peer(host.clone()),
            lane,
            patience,
            now,
        );
        let digest = piece.digest;
        self.send(&host, Message::Request { digest });
        true
    }

    fn launch(
        &mut self,
        index: usize,
        chunk: usize,
        source: Source,
        lane: Lane,
        patience: Duration,
        now: Moment,
    ) {
        let piece = self.goals[index].manifest.chunks()[chunk];
        self.ingress.take(u64::from(piece.length), now);
        let flight = Flight {
            source,
            lane,
            length: piece.length,
            since: now,
            deadline: now + patience,
        };
        self.flights.add(piece.digest, flight);
        for goal in &mut self.goals {
            goal.set_busy(piece.digest, true);
        }
    }

    /// How long a chunk from this region may wait in a full queue and travel.
    pub(crate) fn near_time(&self, index: usize) -> Duration {
        let queue = self.limits.uploads as u64 + 1;
        self.limits.host.time(self.goals[index].longest * queue)
    }

    pub(crate) fn near_patience(&self, index: usize) -> Duration {
        let expected = self.near_time(index) * LATE_FACTOR;
        expected.max(self.limits.deadline)
    }

    pub(crate) fn cross_patience(&self, index: usize) -> Duration {
        let bytes = self.goals[index].longest * CROSS_FLIGHTS as u64;
        let drawers = self.goals[index].orders.region.drawers.len();
        let expected = self.cross_rate().split(drawers).time(bytes) * LATE_FACTOR;
        expected.clamp(self.limits.deadline, self.limits.deadline * 20)
    }

    /// How long a draw may wait behind those of all other drawing agents.
    pub(crate) fn upstream_patience(&self, index: usize) -> Duration {
        let goal = &self.goals[index];
        let drawers = match self.limits.policy {
            Policy::Ordered => self.limits.drawers * goal.orders.region_count(),
            Policy::Origin | Policy::Unordered => self.peers.names().count() + 1,
        };
        let bytes = goal.longest * (drawers * self.limits.draws) as u64;
        let expected = self.limits.origin.time(bytes) * LATE_FACTOR;
        expected.max(self.limits.deadline)
    }
}
