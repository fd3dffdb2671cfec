//! Chooses what to ask for next, and whom.

use std::time::Duration;

use azurestand_types::Moment;

use super::Transfer;
use super::flight::Lane;
use super::goal::Goal;
use super::order::Order;
use super::peers::{Neighbour, Place};
use crate::event::Source;
use crate::limits::Policy;

/// Cross-region chunks in flight from one region; the bucket sets the rate.
pub(crate) const CROSS_FLIGHTS: usize = 2;

/// Announcement intervals that a host waits for the first answers of the others.
const SETTLE_FACTOR: u32 = 5;

impl Transfer {
    /// Asks for chunks until a bound is reached or nothing more is to be had.
    pub(crate) fn fill(&mut self, now: Moment) {
        if self.goals.iter().all(|goal| goal.missing == 0) {
            return;
        }
        match self.limits.policy {
            Policy::Origin => while self.pick(now, Self::pick_any) {},
            Policy::Ordered => {
                self.settle(now);
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

    /// Lets a version's drawing begin once the other hosts have said what they
    /// hold, so that a host which comes late doesn't draw what is there already.
    fn settle(&mut self, now: Moment) {
        for goal in &mut self.goals {
            if goal.settled {
                continue;
            }
            let id = goal.id();
            let is_silent = |neighbour: &Neighbour| {
                neighbour.subscribed.contains_key(&id) && !neighbour.heard.contains_key(&id)
            };
            let answered = self.viewed && !self.peers.active().any(is_silent);
            let waited = now.since(goal.begun) >= self.limits.announce * SETTLE_FACTOR;
            goal.settled = answered || waited;
        }
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
        if !goal.settled || (!order.is_drawer() && !waited) {
            return None;
        }
        Some(order.stalled(patience, now))
    }

    pub(crate) fn is_stuck(&self, index: usize, now: Moment) -> bool {
        let goal = &self.goals[index];
        now.since(goal.grown) > self.limits.deadline.mul_f64(self.jitter)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Region,
    Centre,
}
