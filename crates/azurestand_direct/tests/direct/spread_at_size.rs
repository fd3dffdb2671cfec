//! The distribution of one version in a deployment of 148 entries in five data centres, in
//! virtual time: the origin and the agents have links of 7.3 Mbit/s, the entries of 40 Mbit/s,
//! and a version has 96 pieces of 24,576 bytes. The agents of one data centre are simulated,
//! since those of another one use other entries.

use std::collections::BTreeSet;
use std::time::Duration;

use azurestand_direct::{Distance, PieceHost, PieceSelector};
use azurestand_types::Moment;

const CENTRES: [&str; 5] = ["north", "west", "middle", "east", "south"];
const ENTRIES: usize = 148;
/// The agents of the first data centre.
const AGENTS: usize = 31;
const COUNT: usize = 96;
/// How long the link of the origin, or of an agent, takes for one piece.
const PIECE_TIME: Duration = Duration::from_millis(27);
/// How long an entry takes to send one piece.
const SEND_TIME: Duration = Duration::from_millis(6);
/// How long it takes until others know that a host has a piece.
const REPORT_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(10);
/// How often hosts check whom to ask.
const ASK_INTERVAL: u32 = 25;
/// The pieces that an agent fetches at a time.
const AGENT_FETCHES: usize = 10;

/// A transfer from the origin, with the part that is still to be sent.
struct Transfer {
    entry: usize,
    piece: usize,
    left: f64,
}

struct World {
    now: Moment,
    entries: Vec<PieceHost>,
    selectors: Vec<PieceSelector>,
    /// When each entry got each piece.
    held: Vec<Vec<Option<Moment>>>,
    agents: Vec<PieceSelector>,
    /// When each agent got all pieces.
    complete: Vec<Option<Moment>>,
    arrivals: Vec<(Moment, usize, usize)>,
    from_origin: Vec<Transfer>,
    served: usize,
    entry_free: Vec<Moment>,
    agent_free: Vec<Moment>,
    /// The other entries that each entry has asked for its pieces.
    asked: Vec<BTreeSet<usize>>,
}

impl World {
    fn new(piece_time: Duration) -> Self {
        let host = |number: usize| PieceHost {
            name: format!("10.0.1.{number}").into(),
            centre: CENTRES[number % CENTRES.len()].into(),
        };
        let entries: Vec<_> = (0..ENTRIES).map(host).collect();
        let selector = |number: usize, own: &PieceHost, hosts: &[PieceHost]| {
            let rng = fastrand::Rng::with_seed(number as u64);
            PieceSelector::new(Moment::START, "m/2", COUNT, own, hosts, rng)
        };
        let of_entries = entries.iter().enumerate();
        let agent = PieceHost {
            name: "10.0.2.0".into(),
            centre: CENTRES[0].into(),
        };
        Self {
            now: Moment::START,
            selectors: of_entries
                .map(|(number, own)| selector(number, own, &entries).with_piece_time(piece_time))
                .collect(),
            agents: (0..AGENTS)
                .map(|number| selector(number, &agent, &[]))
                .collect(),
            held: vec![vec![None; COUNT]; ENTRIES],
            complete: vec![None; AGENTS],
            arrivals: Vec::new(),
            from_origin: Vec::new(),
            served: 0,
            entry_free: vec![Moment::START; ENTRIES],
            agent_free: vec![Moment::START; AGENTS],
            asked: vec![BTreeSet::new(); ENTRIES],
            entries,
        }
    }

    /// Which pieces an entry has, as far as others know.
    fn reported(&self, entry: usize) -> Vec<bool> {
        let known = |at: &Option<Moment>| at.is_some_and(|at| at + REPORT_TIME <= self.now);
        self.held[entry].iter().map(known).collect()
    }

    fn record(&mut self, entry: usize, piece: usize) {
        self.held[entry][piece] = Some(self.now);
        self.selectors[entry].record_arrival(piece);
    }

    /// The origin's link is shared by all transfers in progress.
    fn step_origin(&mut self) {
        for entry in 0..ENTRIES {
            let is_busy = self.from_origin.iter().any(|other| other.entry == entry);
            if is_busy {
                continue;
            }
            if let Some(piece) = self.selectors[entry].next_from_origin(self.now) {
                self.served += 1;
                let left = PIECE_TIME.as_secs_f64();
                self.from_origin.push(Transfer { entry, piece, left });
            }
        }
        let transfers = u32::try_from(self.from_origin.len()).unwrap_or(u32::MAX);
        let share = STEP.as_secs_f64() / f64::from(transfers.max(1));
        self.from_origin
            .iter_mut()
            .for_each(|transfer| transfer.left -= share);
        let ended = self
            .from_origin
            .extract_if(.., |transfer| transfer.left <= 0.0);
        for Transfer { entry, piece, .. } in ended.collect::<Vec<_>>() {
            self.record(entry, piece);
        }
    }

    fn step_entries(&mut self, number: u32) {
        if number.is_multiple_of(ASK_INTERVAL) {
            for (own, selector) in self.selectors.iter().enumerate() {
                let others = (0..ENTRIES).filter(|other| *other != own);
                let asked = others
                    .filter(|other| selector.should_ask(self.now, &self.entries[*other].name));
                self.asked[own] = asked.collect();
            }
        }
        for own in 0..ENTRIES {
            for other in self.asked[own].clone() {
                let have = self.reported(other);
                let host = &self.entries[other];
                let selector = &mut self.selectors[own];
                if host.centre == self.entries[own].centre {
                    selector.record_holdings(&host.name, Distance::Near, &have);
                } else if let Some(piece) =
                    selector.next_from_peer(self.now, &host.name, Distance::Far, &have)
                {
                    self.record(own, piece);
                }
            }
        }
    }

    fn step_agents(&mut self) {
        for agent in 0..AGENTS {
            let coming = self.arrivals.iter().filter(|(_, other, _)| *other == agent);
            if coming.count() >= AGENT_FETCHES {
                continue;
            }
            for entry in (0..ENTRIES).step_by(CENTRES.len()) {
                let have = self.reported(entry);
                let name = &self.entries[entry].name;
                let selector = &mut self.agents[agent];
                let Some(piece) = selector.next_from_peer(self.now, name, Distance::Near, &have)
                else {
                    continue;
                };
                let sent = self.entry_free[entry].max(self.now) + SEND_TIME;
                self.entry_free[entry] = sent;
                let arrival = self.agent_free[agent].max(sent) + PIECE_TIME;
                self.agent_free[agent] = arrival;
                self.arrivals.push((arrival, agent, piece));
                break;
            }
        }
        let now = self.now;
        let arrived = self.arrivals.extract_if(.., |(at, _, _)| *at <= now);
        for (at, agent, piece) in arrived.collect::<Vec<_>>() {
            self.agents[agent].record_arrival(piece);
            if self.agents[agent].missing() == 0 {
                self.complete[agent] = Some(at);
            }
        }
    }

    /// Lets agents fetch until all of them have every piece; returns when each had.
    fn run(&mut self) -> Vec<Duration> {
        for number in 0..1_500 {
            self.now = self.now + STEP;
            self.step_origin();
            self.step_entries(number);
            self.step_agents();
            if self.complete.iter().all(Option::is_some) {
                break;
            }
        }
        let times = self.complete.iter().flatten();
        let mut times: Vec<_> = times.map(|at| at.since(Moment::START)).collect();
        assert_eq!(times.len(), AGENTS, "some agents lack pieces");
        times.sort();
        times
    }
}

/// In a deployment of this size the first engine had a version after 7 s and the last one
/// after 12 s or more, which was later than older versions may serve: all entries fetched from
/// the origin at once, so no piece arrived before all of them did.
#[test]
fn a_version_reaches_the_agents_of_a_large_deployment_in_time() {
    let mut world = World::new(PIECE_TIME);
    let times = world.run();
    let (half, last) = (times[AGENTS / 2], times[AGENTS - 1]);
    assert!(half <= Duration::from_secs(4), "half after {half:?}");
    assert!(last <= Duration::from_millis(5_500), "last after {last:?}");
    let served = world.served;
    assert!(served * 2 <= COUNT * 3, "{served} pieces left the origin");
}

/// Every entry asked every entry of the other data centres all the time.
#[test]
fn an_entry_of_a_large_deployment_asks_few_others() {
    let world = World::new(PIECE_TIME);
    for seconds in [0, 1, 2] {
        let now = Moment::START + Duration::from_secs(seconds);
        let asked = world.selectors.iter().map(|selector| {
            let others = world.entries.iter();
            let asked = others.filter(|other| selector.should_ask(now, &other.name));
            asked.count()
        });
        let most = asked.max().unwrap_or_default();
        assert!(most <= 32, "{most} of {ENTRIES} after {seconds} s");
    }
}
