//! The distribution of a version to hosts in three data centres, in steps of equal length.

use std::time::Duration;

use azurestand_direct::{Distance, PieceHost, PieceSelector};
use azurestand_types::Moment;

const COUNT: usize = 96;

struct Fleet {
    hosts: Vec<PieceHost>,
    selectors: Vec<PieceSelector>,
    have: Vec<Vec<bool>>,
    dead: Vec<bool>,
    origin_fetches: usize,
    cross_fetches: usize,
    origin_down: bool,
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
        let selector = |(seed, own): (usize, &PieceHost)| {
            let rng = fastrand::Rng::with_seed(seed as u64);
            PieceSelector::new(Moment::START, "m/2", COUNT, own, &hosts, rng)
        };
        Self {
            selectors: hosts.iter().enumerate().map(selector).collect(),
            have: vec![vec![false; COUNT]; size],
            dead: vec![false; size],
            origin_fetches: 0,
            cross_fetches: 0,
            origin_down: false,
            hosts,
        }
    }

    /// Every live host fetches one piece from the origin and one from each other host.
    fn step(&mut self, now: Moment) {
        let size = self.hosts.len();
        let mut arrivals = Vec::new();
        for own in (0..size).filter(|own| !self.dead[*own]) {
            if let Some(piece) = self.selectors[own].next_from_origin(now) {
                if self.origin_down {
                    self.selectors[own].record_failure(piece);
                    self.selectors[own].record_origin_failure(now);
                } else {
                    self.origin_fetches += 1;
                    arrivals.push((own, piece));
                }
            }
            for other in (0..size).filter(|other| *other != own && !self.dead[*other]) {
                let near = self.hosts[own].centre == self.hosts[other].centre;
                let distance = if near { Distance::Near } else { Distance::Far };
                let have = &self.have[other];
                let name = &self.hosts[other].name;
                let selector = &mut self.selectors[own];
                if let Some(piece) = selector.next_from_peer(now, name, distance, have) {
                    self.cross_fetches += usize::from(!near);
                    arrivals.push((own, piece));
                }
            }
        }
        for (own, piece) in arrivals {
            self.selectors[own].record_arrival(piece);
            self.have[own][piece] = true;
        }
    }

    /// The time until all live hosts have every piece.
    fn distribute(&mut self) -> Duration {
        let mut now = Moment::START;
        for _ in 0..2_000 {
            now = now + Duration::from_millis(30);
            self.step(now);
            let mut selectors = self.selectors.iter().zip(&self.dead);
            if selectors.all(|(selector, dead)| *dead || selector.missing() == 0) {
                return now.since(Moment::START);
            }
        }
        panic!("the version did not reach all hosts");
    }
}

#[test]
fn one_copy_leaves_the_origin_and_one_enters_each_other_centre() {
    let mut fleet = Fleet::new(15);
    fleet.distribute();
    assert_eq!(fleet.origin_fetches, COUNT);
    assert_eq!(fleet.cross_fetches, 2 * COUNT);
}

/// Hosts that are dead or frozen but still listed are first in the order for some
/// pieces; the next hosts in the order have to fetch these.
#[test]
fn pieces_of_dead_hosts_are_fetched_by_the_next_hosts() {
    let mut fleet = Fleet::new(15);
    fleet.dead[0] = true;
    fleet.dead[4] = true;
    let time = fleet.distribute();
    assert!(time < Duration::from_secs(6), "took {time:?}");
}

#[test]
fn a_new_host_fetches_everything_within_its_data_centre() {
    let mut fleet = Fleet::new(15);
    for have in &mut fleet.have[1..] {
        have.fill(true);
    }
    for selector in &mut fleet.selectors[1..] {
        (0..COUNT).for_each(|piece| selector.record_arrival(piece));
    }
    fleet.distribute();
    assert_eq!(fleet.origin_fetches, 0);
    assert_eq!(fleet.cross_fetches, 0);
}

#[test]
fn a_piece_whose_fetch_failed_is_fetched_again() {
    let mut fleet = Fleet::new(3);
    let now = Moment::from_millis(100);
    let piece = (0..3).find_map(|own| Some((own, fleet.selectors[own].next_from_origin(now)?)));
    let (own, piece) = piece.unwrap();
    fleet.selectors[own].record_failure(piece);
    fleet.distribute();
    assert_eq!(fleet.selectors[own].missing(), 0);
}

/// The origin is unavailable for six seconds during the distribution. Six copies left it
/// after that, since the delays of all hosts had passed during the outage.
#[test]
fn after_an_outage_the_origin_sends_little_more_than_one_copy() {
    let mut fleet = Fleet::new(15);
    let mut now = Moment::START;
    fleet.origin_down = true;
    for _ in 0..200 {
        now = now + Duration::from_millis(30);
        fleet.step(now);
    }
    fleet.origin_down = false;
    for _ in 0..400 {
        now = now + Duration::from_millis(30);
        fleet.step(now);
    }
    assert!(
        fleet
            .selectors
            .iter()
            .all(|selector| selector.missing() == 0)
    );
    assert!(
        fleet.origin_fetches <= COUNT + COUNT / 4,
        "{} pieces fetched from the origin",
        fleet.origin_fetches
    );
}

/// A host that reported a piece restarts without it.
#[test]
fn a_piece_that_its_only_holder_lost_is_fetched_from_the_origin() {
    let host = |name: &str| PieceHost {
        name: name.into(),
        centre: "north".into(),
    };
    let hosts = [host("a"), host("b")];
    let rng = fastrand::Rng::with_seed(1);
    let mut selector = PieceSelector::new(Moment::START, "m/2", 1, &hosts[0], &hosts, rng);
    let later = Moment::START + Duration::from_secs(10);
    selector.record_holdings(&hosts[1].name, Distance::Near, &[true]);
    assert_eq!(selector.next_from_origin(later), None);
    selector.record_holdings(&hosts[1].name, Distance::Near, &[true]);
    selector.record_holdings(&hosts[1].name, Distance::Near, &[]);
    assert_eq!(selector.next_from_origin(later), Some(0));
}

/// Two entries of the list gave one host two data centres; the count of holders fell below zero,
/// and the piece was fetched from the origin no more.
#[test]
fn a_host_that_is_listed_in_two_data_centres_is_counted_once() {
    let host = |name: &str, centre: &str| PieceHost {
        name: name.into(),
        centre: centre.into(),
    };
    let hosts = [host("a", "north"), host("b", "north"), host("b", "south")];
    let rng = fastrand::Rng::with_seed(1);
    let mut selector = PieceSelector::new(Moment::START, "m/2", 1, &hosts[0], &hosts, rng);
    let later = Moment::START + Duration::from_secs(10);
    selector.record_holdings(&hosts[1].name, Distance::Near, &[true]);
    selector.record_holdings(&hosts[1].name, Distance::Far, &[true]);
    assert_eq!(selector.next_from_origin(later), None);
    selector.record_holdings(&hosts[1].name, Distance::Near, &[true]);
    selector.record_holdings(&hosts[1].name, Distance::Far, &[]);
    assert_eq!(selector.next_from_origin(later), Some(0));
}
