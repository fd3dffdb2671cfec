//! Which piece of weights an agent fetches next, and from which host.
//!
//! Rendezvous hashing ranks the hosts for each piece, so all agents derive the same
//! order without exchanging messages. The first host of all fetches the piece from the
//! origin, and the first host of each data centre fetches it from another data centre:
//! one copy leaves the origin and one enters each data centre. Hosts report which pieces
//! they have. A piece that has not arrived after some time is fetched by the next host
//! in the order.

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

/// The state of one piece.
#[derive(Debug, Clone, Copy)]
struct Piece {
    arrived: bool,
    /// When the fetch in progress started; none without one.
    fetch_start: Option<Moment>,
    /// The number of hosts that precede this one in fetching it from the origin.
    origin_rank: u32,
    /// The time from which this host may fetch it from another data centre.
    far_start: Moment,
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
    /// The start of the period in which the origin has not failed.
    origin_since: Moment,
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
        let mut selector = Self {
            pieces: Vec::with_capacity(count),
            reported: BTreeMap::new(),
            origin_since: now,
            rng,
        };
        for number in 0..count {
            let key = format!("{key}/{number}");
            let is_near = |host: &&PieceHost| host.centre == own.centre;
            let near_rank = rank_of(key.as_bytes(), own, hosts.iter().filter(is_near));
            let rank = rank_of(key.as_bytes(), own, hosts.iter());
            selector.pieces.push(Piece {
                arrived: false,
                fetch_start: None,
                origin_rank: rank,
                far_start: now + NEAR_ONLY_TIME + RANK_DELAY * near_rank,
                near_holders: 0,
                far_holders: 0,
            });
        }
        selector
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

    /// Records that the origin did not answer. The waiting times of all ranks start again;
    /// otherwise all hosts would fetch the same pieces as soon as the origin recovers.
    pub fn record_origin_failure(&mut self, now: Moment) {
        self.origin_since = now;
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
        let may_fetch = |piece: &Piece| match distance {
            Distance::Near => true,
            Distance::Far => piece.near_holders == 0 && now >= piece.far_start,
        };
        let has = |number: usize| have.get(number).copied().unwrap_or_default();
        self.start_fetch(now, |number, piece| has(number) && may_fetch(piece))
    }

    /// Chooses a piece to fetch from the origin.
    pub fn next_from_origin(&mut self, now: Moment) -> Option<usize> {
        let from = self.origin_since + NEAR_ONLY_TIME;
        self.start_fetch(now, |_, piece| {
            piece.near_holders == 0
                && piece.far_holders == 0
                && now >= from + RANK_DELAY * piece.origin_rank
        })
    }

    /// Starts the fetch of a random piece that is missing, not being fetched and accepted by
    /// `fits`.
    fn start_fetch<F>(&mut self, now: Moment, fits: F) -> Option<usize>
    where
        F: Fn(usize, &Piece) -> bool,
    {
        let is_idle = |piece: &Piece| {
            piece
                .fetch_start
                .is_none_or(|began| now.since(began) >= FETCH_TIMEOUT)
        };
        let eligible = self.pieces.iter().enumerate();
        let eligible: Vec<usize> = eligible
            .filter(|(number, piece)| !piece.arrived && is_idle(piece) && fits(*number, piece))
            .map(|(number, _)| number)
            .collect();
        let number = *eligible.get(self.rng.usize(..eligible.len().max(1)))?;
        self.pieces[number].fetch_start = Some(now);
        Some(number)
    }
}

/// The number of `hosts` that precede `own` in the order for the piece `key`.
fn rank_of<'a, I>(key: &[u8], own: &PieceHost, hosts: I) -> u32
where
    I: Iterator<Item = &'a PieceHost>,
{
    let own_score = rendezvous::score(key, &own.name);
    let before = hosts.filter(|host| rendezvous::score(key, &host.name) > own_score);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
