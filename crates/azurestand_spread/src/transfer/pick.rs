//! Chooses what to ask for next, and whom.

use std::time::Duration;

use azurestand_types::{HostName, Moment};

use super::Transfer;
use super::flight::{Flight, Lane};
use super::goal::Goal;
use super::order::Order;
use super::peers::{Neighbour, Place};
use crate::bitmap::Bitmap;
use crate::event::{Action, Note, Source};
use crate::limits::Policy;
use crate::message::Message;

/// Chunks asked of one host at once, so that no host's queue fills from one side.
const ASKED_PER_HOST: usize = 2;

/// Cross-region chunks in flight from one region; the bucket sets the rate.
const CROSS_FLIGHTS: usize = 2;

/// How many expected transfer times pass before a flight counts as late.
const LATE_FACTOR: u32 = 4;

impl Transfer {
    /// Asks for chunks until a bound is reached or nothing more is to be had.
    pub(crate) fn fill(&mut self, now: Moment) {
        if self.goals.iter().all(|goal| goal.missing == 0) {
            return;
        }
        match self.limits.policy {
            Policy::Origin => while self.pick(now, Self::pick_any) {},
            Policy::Ordered => {
                while self.pick(now, Self::pick_upstream) {}
                while self.pick(now, Self::pick_cross) {}
                while self.pick(now, Self::pick_region) {}
                while self.pick(now, Self::pick_centre) {}
                while self.pick(now, Self::pick_again) {}
            }
            Policy::Unordered => {
                while self.pick(now, Self::pick_peer) {}
                while self.pick(now, Self::pick_unheld) {}
            }
        }
    }

    /// Tries the goals in turn, so that two versions at once both move on.
    fn pick<P>(&mut self, now: Moment, picker: P) -> bool
    where
        P: Fn(&mut Self, usize, Moment) -> bool,
    {
        self.salt = self.rng.u64(..);
        let count = self.goals.len();
        for step in 0..count {
            let index = (self.turn + step) % count;
            let room = self.goals[index].missing > 0 && self.has_room(index, now);
            if room && picker(self, index, now) {
                self.turn = (index + 1) % count;
                return true;
            }
        }
        false
    }

    fn has_room(&mut self, index: usize, now: Moment) -> bool {
        let length = self.goals[index].longest;
        let staged = self.flights.bytes();
        let fits = staged == 0 || staged + length <= self.limits.staging;
        fits && self.ingress.ready(now)
    }

    // Baselines.

    fn pick_any(&mut self, index: usize, now: Moment) -> bool {
        self.draw_where(index, now, |_, _| true)
    }

    fn pick_unheld(&mut self, index: usize, now: Moment) -> bool {
        self.draw_where(index, now, |goal, chunk| {
            goal.counts.near(chunk) == 0 && goal.counts.of(Place::Cross)[chunk] == 0
        })
    }

    fn pick_peer(&mut self, index: usize, now: Moment) -> bool {
        if self.flights.count(Lane::Near) + self.flights.count(Lane::Cross) >= self.limits.fetches {
            return false;
        }
        let goal = &self.goals[index];
        let rarity = |chunk| goal.counts.near(chunk) + goal.counts.of(Place::Cross)[chunk];
        let found = self.rarest(index, rarity, |_| true, |_| true, now);
        self.request(index, found, now)
    }

    // The drawing order.

    /// A drawing agent of the region draws its chunks of this home region, and
    /// others when the links between regions would keep the hosts waiting.
    fn pick_upstream(&mut self, index: usize, now: Moment) -> bool {
        if self.flights.count(Lane::Upstream) >= self.limits.draws || !self.upstream.is_ready(now) {
            return false;
        }
        let patience = self.upstream_patience(index);
        let Some(stalled) = self.drawing(index, Scope::Region, patience, now) else {
            return false;
        };
        let relief = self.needs_relief(index, now);
        let goal = &self.goals[index];
        let region = &goal.orders.region;
        let eligible = |goal: &Goal, chunk: usize| {
            goal.counts.near(chunk) == 0 && region.is_turn(chunk, &stalled)
        };
        let abroad = |chunk: usize| goal.counts.of(Place::Cross)[chunk];
        let first = self.find(index, |goal, chunk| {
            goal.orders.is_home(chunk) && abroad(chunk) == 0 && eligible(goal, chunk)
        });
        let second = || {
            self.find(index, |goal, chunk| {
                abroad(chunk) == 0 && eligible(goal, chunk)
            })
        };
        let third = || self.find(index, eligible);
        let chunk = match first {
            Some(chunk) => Some(chunk),
            None if relief => second().or_else(third),
            None => None,
        };
        chunk.is_some_and(|chunk| self.draw(index, chunk, now))
    }

    /// Whether the links between regions would deliver later than this host's own link.
    fn needs_relief(&self, index: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        if now.since(goal.offered) > self.cross_patience(index) {
            return true;
        }
        let links = goal.orders.region_count() - 1;
        let rate = self.cross_rate().0 * links as u64;
        let absent = |chunk: &usize| !goal.have.get(*chunk) && goal.counts.near(*chunk) == 0;
        let count = (0..goal.len()).filter(absent).count() as u64;
        let cross = crate::Rate(rate).time(count * goal.longest);
        let own = self.ingress.rate().time(goal.missing_bytes());
        cross > own
    }

    /// A drawing agent of the region fetches what another region holds and this one doesn't.
    fn pick_cross(&mut self, index: usize, now: Moment) -> bool {
        let patience = self.cross_patience(index);
        let Some(stalled) = self.drawing(index, Scope::Region, patience, now) else {
            return false;
        };
        let open: Vec<_> = self
            .cross
            .iter_mut()
            .filter_map(|(region, link)| {
                (link.flights < CROSS_FLIGHTS && link.bucket.ready(now)).then(|| region.clone())
            })
            .collect();
        if open.is_empty() {
            return false;
        }
        let goal = &self.goals[index];
        let rarity = |chunk| goal.counts.of(Place::Cross)[chunk];
        let wanted =
            |chunk| goal.counts.near(chunk) == 0 && goal.orders.region.is_turn(chunk, &stalled);
        let usable = |neighbour: &Neighbour| {
            neighbour.place == Place::Cross && open.contains(&neighbour.peer.region)
        };
        let found = self.rarest(index, rarity, wanted, usable, now);
        self.request(index, found, now)
    }

    /// A drawing agent of the data centre fetches what the region holds and the data centre doesn't.
    fn pick_region(&mut self, index: usize, now: Moment) -> bool {
        if self.flights.count(Lane::Near) >= self.limits.fetches {
            return false;
        }
        let patience = self.near_patience(index);
        let Some(stalled) = self.drawing(index, Scope::Centre, patience, now) else {
            return false;
        };
        let goal = &self.goals[index];
        let rarity = |chunk| goal.counts.of(Place::Region)[chunk];
        let wanted = |chunk| {
            goal.counts.of(Place::Centre)[chunk] == 0 && goal.orders.centre.is_turn(chunk, &stalled)
        };
        let usable = |neighbour: &Neighbour| neighbour.place == Place::Region;
        let found = self.rarest(index, rarity, wanted, usable, now);
        self.request(index, found, now)
    }

    /// Any host fetches what its data centre holds, rarest first.
    fn pick_centre(&mut self, index: usize, now: Moment) -> bool {
        if self.flights.count(Lane::Near) >= self.limits.fetches {
            return false;
        }
        let goal = &self.goals[index];
        let rarity = |chunk| goal.counts.of(Place::Centre)[chunk];
        let usable = |neighbour: &Neighbour| neighbour.place == Place::Centre;
        let found = self.rarest(index, rarity, |_| true, usable, now);
        self.request(index, found, now)
    }

    /// Near the end, asks a second host for a chunk that is taking long.
    fn pick_again(&mut self, index: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        if goal.missing > 2 * self.limits.fetches
            || self.flights.count(Lane::Near) >= self.limits.fetches
        {
            return false;
        }
        let slow = self.near_time(index) * 2;
        let late = self.flights.select(|digest, flight| {
            flight.lane == Lane::Near
                && now.since(flight.since) > slow
                && goal.needs(*digest)
                && self.flights.get(*digest).len() == 1
        });
        for (digest, source) in late {
            let Some(chunk) = goal.place(digest) else {
                continue;
            };
            let other = |neighbour: &Neighbour| {
                neighbour.place != Place::Cross
                    && source != Source::Peer(neighbour.peer.host.clone())
            };
            let holders = self.holders(index, other, now);
            if let Some(host) = self.holder(&holders, chunk) {
                return self.request(index, Some((chunk, host)), now);
            }
        }
        false
    }

    // Shared steps.

    /// Which drawing agents are stalled, or none when this host has no part in drawing.
    fn drawing(
        &self,
        index: usize,
        scope: Scope,
        patience: Duration,
        now: Moment,
    ) -> Option<Vec<bool>> {
        let goal = &self.goals[index];
        let order: &Order = match scope {
            Scope::Region => &goal.orders.region,
            Scope::Centre => &goal.orders.centre,
        };
        let waited = now.since(goal.grown.max(order.since)) > patience.mul_f64(self.jitter);
        if !order.is_drawer() && !waited {
            return None;
        }
        Some(order.stalled(patience, now))
    }

    pub(crate) fn is_stuck(&self, index: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        now.since(goal.grown) > self.limits.deadline.mul_f64(self.jitter)
    }

    /// The rarest open chunk that a usable host offers, ties broken at random.
    fn rarest<R, W, U>(
        &self,
        index: usize,
        rarity: R,
        wanted: W,
        usable: U,
        now: Moment,
    ) -> Option<(usize, HostName)>
    where
        R: Fn(usize) -> u16,
        W: Fn(usize) -> bool,
        U: Fn(&Neighbour) -> bool,
    {
        let goal = &self.goals[index];
        let holders = self.holders(index, usable, now);
        let mut open = Bitmap::new(goal.len());
        for (_, bits) in &holders {
            open.join(bits);
        }
        open.subtract(&goal.have);
        open.subtract(&goal.busy);
        let chunks = open.ones(self.offset(goal.len()));
        let chunk = chunks
            .filter(|&chunk| wanted(chunk))
            .min_by_key(|&chunk| rarity(chunk))?;
        let host = self.holder(&holders, chunk)?;
        Some((chunk, host))
    }

    /// The usable hosts that may be asked now, with what they hold.
    fn holders<U>(&self, index: usize, usable: U, now: Moment) -> Vec<(&Neighbour, &Bitmap)>
    where
        U: Fn(&Neighbour) -> bool,
    {
        let id = self.goals[index].id();
        self.peers
            .active()
            .filter(|neighbour| neighbour.asked < ASKED_PER_HOST && neighbour.is_ready(now))
            .filter_map(|neighbour| Some((neighbour, &neighbour.heard.get(&id)?.bits)))
            .filter(|(neighbour, _)| usable(neighbour))
            .collect()
    }

    /// The host that offers a chunk, has failed least and is asked for least.
    fn holder(&self, holders: &[(&Neighbour, &Bitmap)], chunk: usize) -> Option<HostName> {
        let offers = holders.iter().filter(|(_, bits)| bits.get(chunk));
        let best = offers.min_by_key(|(neighbour, _)| {
            let rank = neighbour.rank(self.salt);
            (neighbour.strikes, neighbour.asked, rank)
        });
        best.map(|(neighbour, _)| neighbour.peer.host.clone())
    }

    /// Where a search over the chunks starts, so that hosts don't all take the first.
    fn offset(&self, length: usize) -> usize {
        usize::try_from(self.salt >> 32).unwrap_or(0) % length
    }

    fn find<T>(&self, index: usize, test: T) -> Option<usize>
    where
        T: Fn(&Goal, usize) -> bool,
    {
        let goal = &self.goals[index];
        let start = self.offset(goal.len());
        (0..goal.len())
            .map(|step| (start + step) % goal.len())
            .find(|&chunk| goal.open(chunk) && test(goal, chunk))
    }

    fn draw_where<T>(&mut self, index: usize, now: Moment, test: T) -> bool
    where
        T: Fn(&Goal, usize) -> bool,
    {
        if self.flights.count(Lane::Upstream) >= self.limits.draws || !self.upstream.is_ready(now) {
            return false;
        }
        let chunk = self.find(index, test);
        chunk.is_some_and(|chunk| self.draw(index, chunk, now))
    }

    fn draw(&mut self, index: usize, chunk: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        let piece = goal.manifest.chunks()[chunk];
        let stepped = goal.orders.region.is_drawer() && !goal.orders.region.is_first(chunk);
        let length = u64::from(piece.length);
        let Some(source) = self.upstream.take(length, now) else {
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

    fn request(&mut self, index: usize, found: Option<(usize, HostName)>, now: Moment) -> bool {
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
    fn near_time(&self, index: usize) -> Duration {
        let queue = self.limits.uploads as u64 + 1;
        self.limits.host.time(self.goals[index].longest * queue)
    }

    fn near_patience(&self, index: usize) -> Duration {
        let expected = self.near_time(index) * LATE_FACTOR;
        expected.max(self.limits.deadline)
    }

    fn cross_patience(&self, index: usize) -> Duration {
        let bytes = self.goals[index].longest * CROSS_FLIGHTS as u64;
        let drawers = self.goals[index].orders.region.drawers.len();
        let expected = self.cross_rate().split(drawers).time(bytes) * LATE_FACTOR;
        expected.clamp(self.limits.deadline, self.limits.deadline * 20)
    }

    fn upstream_patience(&self, index: usize) -> Duration {
        let goal = &self.goals[index];
        let drawers = self.limits.drawers * goal.orders.region_count();
        let bytes = goal.longest * (drawers * self.limits.draws) as u64;
        let expected = self.limits.origin.time(bytes) * LATE_FACTOR;
        expected.clamp(self.limits.deadline, self.limits.deadline * 20)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Region,
    Centre,
}
