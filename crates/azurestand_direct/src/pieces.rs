//! Which piece of weights an agent fetches next, and from whom.
//!
//! For each piece all agents agree, without a word, on one host that draws it
//! from the origin and on one host in each data centre that fetches it from
//! another one. So one copy leaves the origin and one enters each data centre.
//! Hosts tell which pieces they have; whatever has not come the agreed way
//! after some time is fetched from anybody, and from the origin at last.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Moment, rendezvous};

/// How long an agent listens to its neighbours before it goes further.
const LISTEN_FIRST: Duration = Duration::from_millis(80);
/// How long the next host in the order waits for a piece to enter its data centre.
const STEP_IN: Duration = Duration::from_millis(1_300);
/// A fetch that takes longer no longer keeps others from trying.
const FLIGHT_LIMIT: Duration = Duration::from_millis(1_200);

/// A host that takes part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceHost {
    /// The host's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
}

/// Where another host stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the same data centre.
    Near,
    /// In another one.
    Far,
}

/// What is known of one piece.
#[derive(Debug, Clone, Copy)]
struct Piece {
    arrived: bool,
    /// When the fetch in progress began.
    flight: Option<Moment>,
    /// How many hosts go before this one in drawing it from the origin.
    draw_rank: u32,
    /// From when on this host fetches it from another data centre.
    far_at: Moment,
    /// Hosts of this data centre that have it.
    near: u32,
    /// Hosts of other data centres that have it.
    far: u32,
}

impl Piece {
    fn holders(&mut self, distance: Distance) -> &mut u32 {
        match distance {
            Distance::Near => &mut self.near,
            Distance::Far => &mut self.far,
        }
    }
}

/// The pieces of one version at one host.
#[derive(Debug, Clone)]
pub struct PieceBoard {
    pieces: Vec<Piece>,
    /// What each other host has, as it told last.
    told: BTreeMap<Arc<str>, Vec<bool>>,
    /// From when on the origin has been there, as far as is known.
    origin_from: Moment,
    rng: fastrand::Rng,
}

impl PieceBoard {
    /// `count` pieces of the version with this key, at `own` among `hosts`.
    pub fn new(
        now: Moment,
        key: &str,
        count: usize,
        own: &PieceHost,
        hosts: &[PieceHost],
        rng: fastrand::Rng,
    ) -> Self {
        let mut board = Self {
            pieces: Vec::with_capacity(count),
            told: BTreeMap::new(),
            origin_from: now,
            rng,
        };
        for number in 0..count {
            let key = format!("{key}/{number}");
            let is_near = |host: &&PieceHost| host.centre == own.centre;
            let near = place(key.as_bytes(), own, hosts.iter().filter(is_near));
            let draw = place(key.as_bytes(), own, hosts.iter());
            board.pieces.push(Piece {
                arrived: false,
                flight: None,
                draw_rank: draw,
                far_at: now + LISTEN_FIRST + STEP_IN * near,
                near: 0,
                far: 0,
            });
        }
        board
    }

    /// Takes in that a piece is here and verified.
    pub fn arrived(&mut self, number: usize) {
        if let Some(piece) = self.pieces.get_mut(number) {
            piece.arrived = true;
            piece.flight = None;
        }
    }

    /// Takes in that a fetch ended without the piece.
    pub fn failed(&mut self, number: usize) {
        if let Some(piece) = self.pieces.get_mut(number) {
            piece.flight = None;
        }
    }

    /// Pieces that are not here yet.
    pub fn missing(&self) -> usize {
        self.pieces.iter().filter(|piece| !piece.arrived).count()
    }

    /// Takes in that the origin did not answer. Whoever waits to step in for
    /// another host waits anew, or all would draw the same pieces at its return.
    pub fn origin_failed(&mut self, now: Moment) {
        self.origin_from = now;
    }

    /// Takes in which pieces another host has now; none if it doesn't answer. A host
    /// that starts again has lost what it had.
    pub fn note(&mut self, host: &Arc<str>, distance: Distance, have: &[bool]) {
        let before = self.told.insert(host.clone(), have.to_vec());
        let before = before.unwrap_or_default();
        let had = |told: &[bool], number: usize| told.get(number).copied().unwrap_or_default();
        for (number, piece) in self.pieces.iter_mut().enumerate() {
            let holders = piece.holders(distance);
            *holders += u32::from(had(have, number));
            *holders -= u32::from(had(&before, number));
        }
    }

    /// The piece to fetch from a host that has those marked in `have`.
    pub fn next_from_peer(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        distance: Distance,
        have: &[bool],
    ) -> Option<usize> {
        self.note(host, distance, have);
        let may = |piece: &Piece| match distance {
            Distance::Near => true,
            Distance::Far => piece.near == 0 && now >= piece.far_at,
        };
        let has = |number: usize| have.get(number).copied().unwrap_or_default();
        self.take(now, |number, piece| has(number) && may(piece))
    }

    /// The piece to draw from the origin.
    pub fn next_from_origin(&mut self, now: Moment) -> Option<usize> {
        let from = self.origin_from + LISTEN_FIRST;
        self.take(now, |_, piece| {
            piece.near == 0 && piece.far == 0 && now >= from + STEP_IN * piece.draw_rank
        })
    }

    /// Takes a piece that is missing, not in flight and fits.
    fn take<F>(&mut self, now: Moment, fits: F) -> Option<usize>
    where
        F: Fn(usize, &Piece) -> bool,
    {
        let idle = |piece: &Piece| {
            piece
                .flight
                .is_none_or(|began| now.since(began) >= FLIGHT_LIMIT)
        };
        let fitting = self.pieces.iter().enumerate();
        let fitting: Vec<usize> = fitting
            .filter(|(number, piece)| !piece.arrived && idle(piece) && fits(*number, piece))
            .map(|(number, _)| number)
            .collect();
        let number = *fitting.get(self.rng.usize(..fitting.len().max(1)))?;
        self.pieces[number].flight = Some(now);
        Some(number)
    }
}

/// How many of `hosts` go before `own` for the piece `key`.
fn place<'a, I>(key: &[u8], own: &PieceHost, hosts: I) -> u32
where
    I: Iterator<Item = &'a PieceHost>,
{
    let mine = rendezvous::score(key, &own.name);
    let before = hosts.filter(|host| rendezvous::score(key, &host.name) > mine);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
