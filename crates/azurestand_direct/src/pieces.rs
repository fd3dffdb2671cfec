//! Which piece of weights an agent fetches next, and from which host.
//!
//! Rendezvous hashing ranks the hosts for each piece, so all agents derive the same
//! order without exchanging messages. The first host of all fetches the piece from the
//! origin, and the first host of each data centre fetches it from another data centre:
//! one copy leaves the origin and one enters each data centre. Hosts report which pieces
//! they have. A piece that has not arrived after some time is fetched by the next host
//! in the order.
//!
//! The origin sends one piece after the other: fetched all at once, the pieces would share
//! its link and arrive together at the end, and nothing could be passed on meanwhile. And a
//! host asks only those hosts for their pieces from which it may have to fetch, or in place
//! of which it may have to step in, so that the connections of a host depend on the number
//! of pieces and not on that of hosts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

/// How long an agent fetches only from hosts of its own data centre before it asks
/// other data centres or the origin.
const NEAR_ONLY_TIME: Duration = Duration::from_millis(80);
/// How much longer each further host in the order waits before it fetches a piece from
/// another data centre or from the origin itself.
const RANK_DELAY: Duration = Duration::from_millis(1_300);
/// How long before a host may have to fetch a piece it asks others whether they have it.
const ASK_LEAD: Duration = Duration::from_millis(600);
/// The number of hosts in the order of a piece that are remembered. When all of them have
/// had their time, any host may be asked for the piece.
const KNOWN_RANKS: usize = 4;
/// A fetch that has taken longer no longer blocks another fetch of the same piece.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A host that takes part in the distribution of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceHost {
    /// The host's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// Where another host is, relative to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the same data centre.
    Near,
    /// In another one.
    Far,
}

/// The first hosts in the order for one piece, and how many precede this host.
#[derive(Debug, Clone, Default)]
struct HostOrder {
    first: Vec<Arc<str>>,
    own_rank: u32,
}

impl HostOrder {
    /// The order of these hosts, the first one first, for a host with `own_score`.
    fn new<'a, I>(own_score: u64, hosts: I) -> Self
    where
        I: Iterator<Item = &'a (u64, &'a PieceHost)> + Clone,
    {
        let preceding = hosts.clone().filter(|(score, _)| *score > own_score);
        let first = hosts.take(KNOWN_RANKS).map(|(_, host)| host.name.clone());
        Self {
            first: first.collect(),
            own_rank: u32::try_from(preceding.count()).unwrap_or(u32::MAX),
        }
    }

    /// Whether `host` is one of the first `count`; any host is if there may be more of them
    /// than are remembered.
    fn is_among(&self, host: &Arc<str>, count: usize) -> bool {
        count > KNOWN_RANKS || self.first.iter().take(count).any(|first| first == host)
    }

    /// Whether `host` is known to precede this host or to be the next one, which steps in for
    /// it, such as while it restarts.
    fn may_act_before(&self, host: &Arc<str>) -> bool {
        let preceding = usize::try_from(self.own_rank).unwrap_or(usize::MAX);
        let asked = self.first.iter().take(preceding.saturating_add(2));
        asked.into_iter().any(|first| first == host)
    }
}

/// The state of one piece.
#[derive(Debug, Clone)]
struct Piece {
    arrived: bool,
    /// When the fetch in progress started; none without one.
    fetch_start: Option<Moment>,
    /// The order in which hosts fetch it from the origin.
    origin_order: HostOrder,
    /// The order in which hosts of this data centre fetch it from another one.
    near_order: HostOrder,
    /// Hosts of this data centre that have it.
    near_holders: u32,
    /// Hosts of other data centres that have it.
    far_holders: u32,
}

impl Piece {
    fn holders(&mut self, distance: Distance) -> &mut u32 {
        match distance {
            Distance::Near => &mut self.near_holders,
            Distance::Far => &mut self.far_holders,
        }
    }
}

/// The pieces that another host reported last, and where it counted as being then.
#[derive(Debug, Clone)]
struct Holdings {
    distance: Distance,
    have: Vec<bool>,
}

impl Holdings {
    fn has(&self, number: usize) -> bool {
        self.have.get(number).copied().unwrap_or_default()
    }
}

/// The pieces of one version at one host.
#[derive(Debug, Clone)]
pub struct PieceSelector {
    pieces: Vec<Piece>,
    /// The pieces of each other host, as last reported.
    reported: BTreeMap<Arc<str>, Holdings>,
    /// When the distribution started here.
    started: Moment,
    /// How long the origin's link takes for one piece.
    piece_time: Duration,
    /// When the origin last failed.
    origin_failure: Option<Moment>,
    rng: fastrand::Rng,
}

impl PieceSelector {
    /// Creates the selector of host `own` among `hosts`, for the `count` pieces of the
    /// version with this key.
    pub fn new(
        now: Moment,
        key: &str,
        count: usize,
        own: &PieceHost,
        hosts: &[PieceHost],
        rng: fastrand::Rng,
    ) -> Self {
        let is_near = |(_, host): &&(u64, &PieceHost)| host.centre == own.centre;
        let piece = |number: usize| {
            let key = format!("{key}/{number}");
            let score = |host: &PieceHost| rendezvous::score(key.as_bytes(), &host.name);
            let mut scored: Vec<_> = hosts.iter().map(|host| (score(host), host)).collect();
            scored.sort_unstable_by_key(|(score, _)| Reverse(*score));
            Piece {
                arrived: false,
                fetch_start: None,
                origin_order: HostOrder::new(score(own), scored.iter()),
                near_order: HostOrder::new(score(own), scored.iter().filter(is_near)),
                near_holders: 0,
                far_holders: 0,
            }
        };
        Self {
            pieces: (0..count).map(piece).collect(),
            reported: BTreeMap::new(),
            started: now,
            piece_time: Duration::ZERO,
            origin_failure: None,
            rng,
        }
    }

    /// Sets how long the origin's link takes for one piece, so that hosts fetch one after the
    /// other.
    #[must_use]
    pub fn with_piece_time(mut self, piece_time: Duration) -> Self {
        self.piece_time = piece_time;
        self
    }

    /// When the origin should be sending the piece.
    fn slot(&self, number: usize) -> Moment {
        let preceding = u32::try_from(number).unwrap_or(u32::MAX);
        self.started + NEAR_ONLY_TIME + self.piece_time.saturating_mul(preceding)
    }

    /// The time from which this host may fetch the piece from the origin. After a failure of
    /// the origin the waiting times of all ranks start again; otherwise all hosts would fetch
    /// the same pieces as soon as it recovers.
    fn origin_start(&self, number: usize, piece: &Piece) -> Moment {
        let first = match self.origin_failure {
            Some(failed) => failed + NEAR_ONLY_TIME,
            None => self.slot(number),
        };
        first + RANK_DELAY * piece.origin_order.own_rank
    }

    /// The time from which this host may fetch the piece from another data centre. The first
    /// host may do so as soon as some other host has it.
    fn far_start(&self, number: usize, piece: &Piece) -> Moment {
        match piece.near_order.own_rank {
            0 => self.started + NEAR_ONLY_TIME,
            rank => self.slot(number) + RANK_DELAY * rank,
        }
    }

    /// Whether to ask another host that fetches from the origin or from other data centres
    /// for its pieces: this host may have to fetch one of them from there soon, or else in
    /// place of it.
    pub fn should_ask(&self, now: Moment, host: &Arc<str>) -> bool {
        let missing = self.pieces.iter().enumerate();
        let mut missing = missing.filter(|(_, piece)| !piece.arrived);
        missing.any(|(number, piece)| {
            let is_due = |start| now + ASK_LEAD >= start;
            let late = now.since(self.slot(number)).as_millis() / RANK_DELAY.as_millis();
            let had_time = usize::try_from(late)
                .unwrap_or(usize::MAX)
                .saturating_add(1);
            (is_due(self.far_start(number, piece))
                && (piece.origin_order.is_among(host, had_time)
                    || piece.near_order.may_act_before(host)))
                || (is_due(self.origin_start(number, piece))
                    && piece.origin_order.may_act_before(host))
        })
    }

    /// Records that a piece has arrived and was verified.
    pub fn record_arrival(&mut self, number: usize) {
        if let Some(piece) = self.pieces.get_mut(number) {
            piece.arrived = true;
            piece.fetch_start = None;
        }
    }

    /// Records that a fetch ended without the piece.
    pub fn record_failure(&mut self, number: usize) {
        if let Some(piece) = self.pieces.get_mut(number) {
            piece.fetch_start = None;
        }
    }

    /// The number of pieces that have not arrived yet.
    pub fn missing(&self) -> usize {
        self.pieces.iter().filter(|piece| !piece.arrived).count()
    }

    /// Records that the origin did not answer.
    pub fn record_origin_failure(&mut self, now: Moment) {
        self.origin_failure = Some(now);
    }

    /// Records which pieces another host has now; none if it doesn't answer. A host that
    /// restarts has lost its pieces.
    pub fn record_holdings(&mut self, host: &Arc<str>, distance: Distance, have: &[bool]) {
        let current = Holdings {
            distance,
            have: have.to_vec(),
        };
        let previous = self.reported.insert(host.clone(), current.clone());
        for (number, piece) in self.pieces.iter_mut().enumerate() {
            *piece.holders(distance) += u32::from(current.has(number));
            // The list may name the host in two data centres.
            if let Some(previous) = &previous {
                *piece.holders(previous.distance) -= u32::from(previous.has(number));
            }
        }
    }

    /// Chooses a piece to fetch from a host that has the pieces marked in `have`.
    pub fn next_from_peer(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        distance: Distance,
        have: &[bool],
    ) -> Option<usize> {
        self.record_holdings(host, distance, have);
        let has = |number: usize| have.get(number).copied().unwrap_or_default();
        let may_fetch = |number: usize, piece: &Piece| match distance {
            Distance::Near => true,
            Distance::Far => piece.near_holders == 0 && now >= self.far_start(number, piece),
        };
        let eligible = self.eligible(now, |number, piece| has(number) && may_fetch(number, piece));
        self.start_fetch(now, &eligible)
    }

    /// Chooses a piece to fetch from the origin.
    pub fn next_from_origin(&mut self, now: Moment) -> Option<usize> {
        let eligible = self.eligible(now, |number, piece| {
            piece.near_holders == 0
                && piece.far_holders == 0
                && now >= self.origin_start(number, piece)
        });
        self.start_fetch(now, &eligible)
    }

    /// The pieces that are missing, not being fetched and accepted by `fits`.
    fn eligible<F>(&self, now: Moment, fits: F) -> Vec<usize>
    where
        F: Fn(usize, &Piece) -> bool,
    {
        let is_idle = |piece: &Piece| {
            piece
                .fetch_start
                .is_none_or(|began| now.since(began) >= FETCH_TIMEOUT)
        };
        let pieces = self.pieces.iter().enumerate();
        let eligible = pieces
            .filter(|(number, piece)| !piece.arrived && is_idle(piece) && fits(*number, piece));
        eligible.map(|(number, _)| number).collect()
    }

    /// Starts the fetch of a random one of these pieces.
    fn start_fetch(&mut self, now: Moment, eligible: &[usize]) -> Option<usize> {
        let number = *eligible.get(self.rng.usize(..eligible.len().max(1)))?;
        self.pieces[number].fetch_start = Some(now);
        Some(number)
    }
}
