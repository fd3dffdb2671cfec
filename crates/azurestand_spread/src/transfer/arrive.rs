//! What happens when a chunk arrives, doesn't, or is no longer wanted.

use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment};

use super::Transfer;
use super::flight::{Flight, Lane};
use super::peers::Place;
use crate::event::{Action, Failure, Note, Source, Verified};
use crate::message::{Message, Reason};

/// The first back-off after a failure; each further one doubles it.
const BACK_OFF: Duration = Duration::from_secs(1);

impl Transfer {
    pub(crate) fn fetched(
        &mut self,
        digest: Digest,
        source: &Source,
        outcome: Result<Verified, Failure>,
        now: Moment,
    ) {
        let flight = self.land(digest, source);
        match outcome {
            Ok(proof) if proof.digest() == digest => self.accept(proof, source, now),
            Ok(_) | Err(Failure::Corrupt) => self.corrupt(digest, source, now),
            Err(failure) => self.failed(digest, source, flight, failure, now),
        }
    }

    pub(crate) fn refused(&mut self, from: &HostName, digest: Digest, reason: Reason, now: Moment) {
        let source = Source::Peer(from.clone());
        let failure = match reason {
            Reason::Busy => Failure::Busy,
            Reason::Missing => Failure::Missing,
        };
        if let Some(flight) = self.land(digest, &source) {
            self.failed(digest, &source, Some(flight), failure, now);
        }
    }

    /// Gives up flights that take too long.
    pub(crate) fn expire(&mut self, now: Moment) {
        for (digest, source) in self.flights.select(|_, flight| flight.deadline <= now) {
            self.abort(digest, &source);
            let from = source.clone();
            self.out.push(Action::Log(Note::Late { digest, from }));
            self.punish(&source, now);
        }
    }

    /// Stops a flight and takes back the request.
    pub(crate) fn abort(&mut self, digest: Digest, source: &Source) {
        if self.land(digest, source).is_none() {
            return;
        }
        self.out.push(Action::Abort {
            digest,
            source: source.clone(),
        });
        if let Source::Peer(host) = source {
            self.send(host, Message::Cancel { digest });
        }
    }

    /// Ends a flight in the books.
    fn land(&mut self, digest: Digest, source: &Source) -> Option<Flight> {
        let flight = self.flights.remove(digest, source)?;
        if !self.flights.contains(digest) {
            for goal in &mut self.goals {
                goal.set_busy(digest, false);
            }
        }
        let Source::Peer(host) = source else {
            return Some(flight);
        };
        if let Some(neighbour) = self.peers.get_mut(host) {
            neighbour.asked = neighbour.asked.saturating_sub(1);
            let link = self.cross.get_mut(&neighbour.peer.region);
            if let (Some(link), Lane::Cross) = (link, flight.lane) {
                link.flights = link.flights.saturating_sub(1);
            }
        }
        Some(flight)
    }

    fn accept(&mut self, proof: Verified, source: &Source, now: Moment) {
        let digest = proof.digest();
        let wanted = self.goals.iter().any(|goal| goal.needs(digest));
        if !wanted {
            if !self.held.contains_key(&digest) {
                self.out.push(Action::Drop { digest });
            }
            return;
        }
        self.reward(source, now);
        let place = self.place(source);
        let mut length = 0;
        for goal in &mut self.goals {
            let Some(index) = goal.place(digest) else {
                continue;
            };
            length = goal.manifest.chunks()[index].length;
            if goal.hold(digest, now) {
                let bytes = u64::from(length);
                goal.received += bytes;
                match (source, place) {
                    (Source::Origin, _) => goal.sourced.origin += bytes,
                    (Source::WeightStore, _) => goal.sourced.store += bytes,
                    (_, Some(Place::Centre)) => goal.sourced.centre += bytes,
                    (_, Some(Place::Region)) => goal.sourced.region += bytes,
                    (_, Some(Place::Cross) | None) => goal.sourced.cross += bytes,
                }
                if place == Some(Place::Cross) {
                    goal.offered = now;
                }
            }
        }
        self.held.insert(digest, length);
        for (digest, other) in self.flights.select(|flying, _| *flying == digest) {
            self.abort(digest, &other);
        }
        self.complete(now);
    }

    fn corrupt(&mut self, digest: Digest, source: &Source, now: Moment) {
        for goal in &mut self.goals {
            if let Some(index) = goal.place(digest) {
                goal.sourced.corrupt += u64::from(goal.manifest.chunks()[index].length);
            }
        }
        let from = source.clone();
        self.out.push(Action::Log(Note::Corrupt { digest, from }));
        self.punish(source, now);
    }

    fn failed(
        &mut self,
        digest: Digest,
        source: &Source,
        flight: Option<Flight>,
        failure: Failure,
        now: Moment,
    ) {
        if let Some(flight) = flight {
            self.ingress.refund(u64::from(flight.length));
            self.refund_cross(source, &flight);
        }
        match (source, failure) {
            (Source::Peer(host), Failure::Busy) => self.rest(host, now),
            (Source::Peer(host), Failure::Missing) => self.correct(host, digest),
            _ => self.punish(source, now),
        }
    }

    fn refund_cross(&mut self, source: &Source, flight: &Flight) {
        let Source::Peer(host) = source else {
            return;
        };
        let region = self.peers.get(host).map(|peer| peer.peer.region.clone());
        let link = region.and_then(|region| self.cross.get_mut(&region));
        if let (Some(link), Lane::Cross) = (link, flight.lane) {
            link.bucket.refund(u64::from(flight.length));
        }
    }

    /// Leaves a busy host alone for about the time of one chunk.
    fn rest(&mut self, host: &HostName, now: Moment) {
        let longest = self.goals.iter().map(|goal| goal.longest).max();
        let span = self.limits.host.time(longest.unwrap_or(0));
        let span = span.mul_f64(0.5 + self.rng.f64());
        if let Some(neighbour) = self.peers.get_mut(host) {
            neighbour.resting = now + span;
        }
    }

    fn punish(&mut self, source: &Source, now: Moment) {
        match source {
            Source::Peer(host) => {
                if let Some(neighbour) = self.peers.get_mut(host) {
                    neighbour.strike(BACK_OFF, now);
                }
                self.disbelieve(host);
            }
            upstream => self.upstream.fail(upstream, BACK_OFF, now),
        }
    }

    fn reward(&mut self, source: &Source, _now: Moment) {
        match source {
            Source::Peer(host) => {
                if let Some(neighbour) = self.peers.get_mut(host) {
                    neighbour.succeed();
                }
            }
            upstream => self.upstream.succeed(upstream),
        }
    }

    fn place(&self, source: &Source) -> Option<Place> {
        match source {
            Source::Peer(host) => self.peers.get(host).map(|neighbour| neighbour.place),
            _ => None,
        }
    }

    /// Reports versions whose last chunk is here.
    ///
    /// # Panics
    ///
    /// Panics, in release builds too, if a chunk of a version counted as
    /// complete was never verified: loading mixed weights is worse than a restart.
    pub(crate) fn complete(&mut self, now: Moment) {
        for goal in &mut self.goals {
            if goal.missing > 0 || goal.ended.is_some() {
                continue;
            }
            let held = &self.held;
            let mut chunks = goal.manifest.chunks().iter();
            assert!(
                chunks.all(|chunk| held.contains_key(&chunk.digest)),
                "version {} counted as complete without each chunk verified",
                goal.id(),
            );
            goal.ended = Some(now);
            self.out.push(Action::Complete {
                manifest: goal.manifest.clone(),
            });
        }
    }
}
