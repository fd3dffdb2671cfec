//! Spreading a version over hosts in three data centres, in steps of equal length.

use std::time::Duration;

use azurestand_direct::{Distance, PieceBoard, PieceHost};
use azurestand_types::Moment;

const COUNT: usize = 96;

struct Fleet {
    hosts: Vec<PieceHost>,
    boards: Vec<PieceBoard>,
    have: Vec<Vec<bool>>,
    dead: Vec<bool>,
    drawn: usize,
    crossed: usize,
    origin_away: bool,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let centres = ["north", "middle", "south"];
        let hosts: Vec<_> = (0..size)
            .map(|number| PieceHost {
                name: format!("10.0.0.{number}").into(),
                centre: centres[number % centres.len()].into(),
            })
            .collect();
        let board = |(seed, own): (usize, &PieceHost)| {
            let rng = fastrand::Rng::with_seed(seed as u64);
            PieceBoard::new(Moment::START, "m/2", COUNT, own, &hosts, rng)
        };
        Self {
            boards: hosts.iter().enumerate().map(board).collect(),
            have: vec![vec![false; COUNT]; size],
            dead: vec![false; size],
            drawn: 0,
            crossed: 0,
            origin_away: false,
            hosts,
        }
    }

    /// Every living host draws one piece and fetches one from each other host.
    fn step(&mut self, now: Moment) {
        let size = self.hosts.len();
        let mut arrivals = Vec::new();
        for own in (0..size).filter(|own| !self.dead[*own]) {
            if let Some(piece) = self.boards[own].next_from_origin(now) {
                if self.origin_away {
                    self.boards[own].failed(piece);
                    self.boards[own].origin_failed(now);
                } else {
                    self.drawn += 1;
                    arrivals.push((own, piece));
                }
            }
            for other in (0..size).filter(|other| *other != own && !self.dead[*other]) {
                let near = self.hosts[own].centre == self.hosts[other].centre;
                let distance = if near { Distance::Near } else { Distance::Far };
                let have = &self.have[other];
                let name = &self.hosts[other].name;
                let board = &mut self.boards[own];
                if let Some(piece) = board.next_from_peer(now, name, distance, have) {
                    self.crossed += usize::from(!near);
                    arrivals.push((own, piece));
                }
            }
        }
        for (own, piece) in arrivals {
            self.boards[own].arrived(piece);
            self.have[own][piece] = true;
        }
    }

    /// The time until all living hosts have every piece.
    fn spread(&mut self) -> Duration {
        let mut now = Moment::START;
        for _ in 0..2_000 {
            now = now + Duration::from_millis(30);
            self.step(now);
            let mut boards = self.boards.iter().zip(&self.dead);
            if boards.all(|(board, dead)| *dead || board.missing() == 0) {
                return now.since(Moment::START);
            }
        }
        panic!("the version never spread");
    }
}

#[test]
fn one_copy_leaves_the_origin_and_one_enters_each_other_centre() {
    let mut fleet = Fleet::new(15);
    fleet.spread();
    assert_eq!(fleet.drawn, COUNT);
    assert_eq!(fleet.crossed, 2 * COUNT);
}

/// Hosts that are dead or frozen, but still listed, have parts that the next
/// in the order take over.
#[test]
fn the_parts_of_dead_hosts_are_taken_over() {
    let mut fleet = Fleet::new(15);
    fleet.dead[0] = true;
    fleet.dead[4] = true;
    let time = fleet.spread();
    assert!(time < Duration::from_secs(6), "took {time:?}");
}

#[test]
fn a_newcomer_takes_everything_from_its_neighbours() {
    let mut fleet = Fleet::new(15);
    for have in &mut fleet.have[1..] {
        have.fill(true);
    }
    for board in &mut fleet.boards[1..] {
        (0..COUNT).for_each(|piece| board.arrived(piece));
    }
    fleet.spread();
    assert_eq!(fleet.drawn, 0);
    assert_eq!(fleet.crossed, 0);
}

#[test]
fn a_spoilt_piece_is_fetched_again() {
    let mut fleet = Fleet::new(3);
    let now = Moment::from_millis(100);
    let piece = (0..3).find_map(|own| Some((own, fleet.boards[own].next_from_origin(now)?)));
    let (own, piece) = piece.unwrap();
    fleet.boards[own].failed(piece);
    fleet.spread();
    assert_eq!(fleet.boards[own].missing(), 0);
}

/// The origin is away for six seconds in the middle of a spread. Six copies left
/// it after that, since every host had waited long enough to step in.
#[test]
fn an_origin_that_was_away_sends_little_more_than_one_copy() {
    let mut fleet = Fleet::new(15);
    let mut now = Moment::START;
    fleet.origin_away = true;
    for _ in 0..200 {
        now = now + Duration::from_millis(30);
        fleet.step(now);
    }
    fleet.origin_away = false;
    for _ in 0..400 {
        now = now + Duration::from_millis(30);
        fleet.step(now);
    }
    assert!(fleet.boards.iter().all(|board| board.missing() == 0));
    assert!(
        fleet.drawn <= COUNT + COUNT / 4,
        "{} pieces drawn",
        fleet.drawn
    );
}

/// A host that told what it had starts again with nothing.
#[test]
fn what_its_holder_has_lost_is_drawn_from_the_origin() {
    let host = |name: &str| PieceHost {
        name: name.into(),
        centre: "north".into(),
    };
    let hosts = [host("a"), host("b")];
    let rng = fastrand::Rng::with_seed(1);
    let mut board = PieceBoard::new(Moment::START, "m/2", 1, &hosts[0], &hosts, rng);
    let later = Moment::START + Duration::from_secs(10);
    board.note(&hosts[1].name, Distance::Near, &[true]);
    assert_eq!(board.next_from_origin(later), None);
    board.note(&hosts[1].name, Distance::Near, &[true]);
    board.note(&hosts[1].name, Distance::Near, &[]);
    assert_eq!(board.next_from_origin(later), Some(0));
}
