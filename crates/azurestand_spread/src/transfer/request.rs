//! Requests a chosen chunk and sets the fetch's time-out.

use std::time::Duration;

use azurestand_types::{HostName, Moment};

use super::Transfer;
use super::fetch::{Fetch, LinkKind};
use super::pick::CROSS_FETCHES;
use crate::event::{Action, LogMessage, Source};
use crate::limits::Policy;
use crate::message::Message;

/// A fetch is late after this many times its expected duration.
const TIMEOUT_FACTOR: u32 = 4;

impl Transfer {
    pub(crate) fn fetch_upstream(&mut self, index: usize, chunk: usize, now: Moment) -> bool {
        let version = &self.versions[index];
        let piece = version.manifest.chunks()[chunk];
        let takes_over =
            version.orders.region.is_designated() && !version.orders.region.is_first(chunk);
        let length = u64::from(piece.length);
        let Some(source) = self.upstream.take(length, self.store_slow, now) else {
            return false;
        };
        if takes_over && self.limits.policy == Policy::Ordered {
            self.actions.push(Action::Log(LogMessage::TookOver {
                digest: piece.digest,
            }));
        }
        let deadline = self.upstream_timeout(index);
        self.start_fetch(
            index,
            chunk,
            source.clone(),
            LinkKind::Upstream,
            deadline,
            now,
        );
        self.actions.push(Action::Fetch {
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
        let piece = self.versions[index].manifest.chunks()[chunk];
        let near = self.near_timeout(index);
        let cross = self.cross_timeout(index);
        let Some(neighbour) = self.peers.get_mut(&host) else {
            return false;
        };
        neighbour.pending += 1;
        let kind = LinkKind::from(neighbour.locality);
        if let Some(link) = self.cross.get_mut(&neighbour.peer.region)
            && kind == LinkKind::Cross
        {
            link.bucket.take(u64::from(piece.length), now);
            link.fetches += 1;
        }
        let timeout = if kind == LinkKind::Cross { cross } else { near };
        self.start_fetch(index, chunk, Source::Peer(host.clone()), kind, timeout, now);
        let digest = piece.digest;
        self.send(&host, Message::Request { digest });
        true
    }

    fn start_fetch(
        &mut self,
        index: usize,
        chunk: usize,
        source: Source,
        kind: LinkKind,
        timeout: Duration,
        now: Moment,
    ) {
        let piece = self.versions[index].manifest.chunks()[chunk];
        self.ingress.take(u64::from(piece.length), now);
        let fetch = Fetch {
            source,
            kind,
            length: piece.length,
            started: now,
            deadline: now + timeout,
        };
        self.fetches.add(piece.digest, fetch);
        for version in &mut self.versions {
            version.set_in_flight(piece.digest, true);
        }
    }

    /// The time that a chunk from this region takes to wait in a full queue and travel.
    pub(crate) fn near_time(&self, index: usize) -> Duration {
        let queue = self.limits.uploads as u64 + 1;
        self.limits
            .host
            .duration_of(self.versions[index].longest * queue)
    }

    pub(crate) fn near_timeout(&self, index: usize) -> Duration {
        let expected = self.near_time(index) * TIMEOUT_FACTOR;
        expected.max(self.limits.stall_timeout)
    }

    pub(crate) fn cross_timeout(&self, index: usize) -> Duration {
        let bytes = self.versions[index].longest * CROSS_FETCHES as u64;
        let designated = self.versions[index].orders.region.designated.len();
        let expected = self.cross_rate().divide(designated).duration_of(bytes) * TIMEOUT_FACTOR;
        expected.clamp(self.limits.stall_timeout, self.limits.stall_timeout * 20)
    }

    /// The time-out of an upstream fetch, which may wait behind those of all designated
    /// hosts.
    pub(crate) fn upstream_timeout(&self, index: usize) -> Duration {
        let version = &self.versions[index];
        let designated = match self.limits.policy {
            Policy::Ordered => self.limits.designated_hosts * version.orders.region_count(),
            Policy::Origin | Policy::Unordered => self.peers.names().count() + 1,
        };
        let bytes = version.longest * (designated * self.limits.upstream_fetches) as u64;
        let expected = self.limits.origin.duration_of(bytes) * TIMEOUT_FACTOR;
        expected.max(self.limits.stall_timeout)
    }
}
