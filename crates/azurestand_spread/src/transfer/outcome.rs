//! Handles the end of a fetch: the chunk arrives, the fetch fails, or it is cancelled.

use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};

use super::Transfer;
use super::fetch::{Fetch, LinkKind};
use super::peers::Locality;
use crate::event::{Action, Failure, LogMessage, Source, Verified};
use crate::message::{Message, RefuseReason};

/// The first back-off after a failure; each further one doubles it.
const BACK_OFF: Duration = Duration::from_secs(1);

impl Transfer {
    pub(crate) fn handle_fetched(
        &mut self,
        digest: Digest,
        source: &Source,
        outcome: Result<Verified, Failure>,
        now: Moment,
    ) {
        let fetch = self.end_fetch(digest, source);
        match outcome {
            Ok(proof) if proof.digest() == digest => self.accept(proof, source, now),
            Ok(_) | Err(Failure::Corrupt) => self.corrupt(digest, source, now),
            Err(failure) => self.failed(digest, source, fetch, failure, now),
        }
    }

    pub(crate) fn handle_refuse(
        &mut self,
        from: &HostName,
        digest: Digest,
        reason: RefuseReason,
        now: Moment,
    ) {
        let source = Source::Peer(from.clone());
        let failure = match reason {
            RefuseReason::Busy => Failure::Busy,
            RefuseReason::Missing => Failure::Missing,
        };
        if let Some(fetch) = self.end_fetch(digest, &source) {
            self.failed(digest, &source, Some(fetch), failure, now);
        }
    }

    /// Aborts fetches that passed their deadline.
    pub(crate) fn expire(&mut self, now: Moment) {
        for (digest, source) in self.fetches.select(|_, fetch| fetch.deadline <= now) {
            self.abort(digest, &source);
            let from = source.clone();
            self.actions
                .push(Action::Log(LogMessage::Late { digest, from }));
            self.record_failure(&source, now);
        }
    }

    /// Aborts a fetch and cancels the request.
    pub(crate) fn abort(&mut self, digest: Digest, source: &Source) {
        if self.end_fetch(digest, source).is_none() {
            return;
        }
        self.actions.push(Action::Abort {
            digest,
            source: source.clone(),
        });
        if let Source::Peer(host) = source {
            self.send(host, Message::Cancel { digest });
        }
    }

    /// Removes a fetch from all counts.
    fn end_fetch(&mut self, digest: Digest, source: &Source) -> Option<Fetch> {
        let fetch = self.fetches.remove(digest, source)?;
        if !self.fetches.contains(digest) {
            for version in &mut self.versions {
                version.set_in_flight(digest, false);
            }
        }
        let Source::Peer(host) = source else {
            return Some(fetch);
        };
        if let Some(neighbour) = self.peers.get_mut(host) {
            neighbour.pending = neighbour.pending.saturating_sub(1);
            let link = self.cross.get_mut(&neighbour.peer.region);
            if let (Some(link), LinkKind::Cross) = (link, fetch.kind) {
                link.fetches = link.fetches.saturating_sub(1);
            }
        }
        Some(fetch)
    }

    fn accept(&mut self, proof: Verified, source: &Source, now: Moment) {
        let digest = proof.digest();
        let wanted = self.versions.iter().any(|version| version.needs(digest));
        if !wanted {
            if !self.held.contains_key(&digest) {
                self.actions.push(Action::Drop { digest });
            }
            return;
        }
        self.record_success(source, now);
        let locality = self.locality(source);
        let mut length = 0;
        for version in &mut self.versions {
            let Some(index) = version.index_of(digest) else {
                continue;
            };
            length = version.manifest.chunks()[index].length;
            if version.mark_held(digest, now) {
                let bytes = u64::from(length);
                version.received += bytes;
                match (source, locality) {
                    (Source::Origin, _) => version.source_bytes.origin += bytes,
                    (Source::WeightStore, _) => version.source_bytes.store += bytes,
                    (_, Some(Locality::Centre)) => version.source_bytes.centre += bytes,
                    (_, Some(Locality::Region)) => version.source_bytes.region += bytes,
                    (_, Some(Locality::Cross) | None) => version.source_bytes.cross += bytes,
                }
                if locality == Some(Locality::Cross) {
                    version.last_offer = now;
                }
            }
        }
        self.held.insert(digest, length);
        for (digest, other) in self.fetches.select(|flying, _| *flying == digest) {
            self.abort(digest, &other);
        }
        self.complete(now);
    }

    fn corrupt(&mut self, digest: Digest, source: &Source, now: Moment) {
        for version in &mut self.versions {
            if let Some(index) = version.index_of(digest) {
                version.source_bytes.corrupt += u64::from(version.manifest.chunks()[index].length);
            }
        }
        let from = source.clone();
        self.actions
            .push(Action::Log(LogMessage::Corrupt { digest, from }));
        self.record_failure(source, now);
    }

    fn failed(
        &mut self,
        digest: Digest,
        source: &Source,
        fetch: Option<Fetch>,
        failure: Failure,
        now: Moment,
    ) {
        if let Some(fetch) = fetch {
            self.ingress.refund(u64::from(fetch.length));
            self.refund_cross(source, &fetch);
        }
        match (source, failure) {
            (Source::Peer(host), Failure::Busy) => self.pause_peer(host, now),
            (Source::Peer(host), Failure::Missing) => self.clear_announced(host, digest),
            _ => self.record_failure(source, now),
        }
    }

    fn refund_cross(&mut self, source: &Source, fetch: &Fetch) {
        let Source::Peer(host) = source else {
            return;
        };
        let region = self.peers.get(host).map(|peer| peer.peer.region.clone());
        let link = region.and_then(|region| self.cross.get_mut(&region));
        if let (Some(link), LinkKind::Cross) = (link, fetch.kind) {
            link.bucket.refund(u64::from(fetch.length));
        }
    }

    /// Asks a busy host nothing for about the time that one chunk takes.
    fn pause_peer(&mut self, host: &HostName, now: Moment) {
        let longest = self.versions.iter().map(|version| version.longest).max();
        let span = self.limits.host.duration_of(longest.unwrap_or(0));
        let span = span.mul_f64(0.5 + self.rng.f64());
        if let Some(neighbour) = self.peers.get_mut(host) {
            neighbour.paused_until = now + span;
        }
    }

    fn record_failure(&mut self, source: &Source, now: Moment) {
        match source {
            Source::Peer(host) => {
                if let Some(neighbour) = self.peers.get_mut(host) {
                    neighbour.record_failure(BACK_OFF, now);
                }
                self.discard_announced(host);
            }
            upstream => self.upstream.record_failure(upstream, BACK_OFF, now),
        }
    }

    fn record_success(&mut self, source: &Source, _now: Moment) {
        match source {
            Source::Peer(host) => {
                if let Some(neighbour) = self.peers.get_mut(host) {
                    neighbour.record_success();
                }
            }
            upstream => self.upstream.record_success(upstream),
        }
    }

    fn locality(&self, source: &Source) -> Option<Locality> {
        match source {
            Source::Peer(host) => self.peers.get(host).map(|neighbour| neighbour.locality),
            _ => None,
        }
    }

    /// Reports versions whose last chunk was verified.
    ///
    /// # Panics
    ///
    /// Panics, in release builds too, if a chunk of a version counted as complete was
    /// never verified: loading mixed weights is worse than a restart.
    pub(crate) fn complete(&mut self, now: Moment) {
        for version in &mut self.versions {
            if version.missing > 0 || version.completed.is_some() {
                continue;
            }
            let held = &self.held;
            let mut chunks = version.manifest.chunks().iter();
            assert!(
                chunks.all(|chunk| held.contains_key(&chunk.digest)),
                "version {} counted as complete without each chunk verified",
                version.id(),
            );
            version.completed = Some(now);
            self.actions.push(Action::Complete {
                manifest: version.manifest.clone(),
            });
        }
    }
}
