//! Real members over fake links and a fake store, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azurestand_membership::{Action, Config, Event, Gossip, Identity, Limits, Member, Role, State};
use azurestand_types::{DataCentre, HostName, Incarnation, Moment, Region, Revision};

use super::CENTRES;
use super::links::{Links, REGIONS, pair, region};
use super::store::{self, BACK_OFF, Store};
use super::tally::Tally;

mod calls;

const PORT: u16 = 7_400;

/// Bytes of framing, authentication and TCP/IP around one message.
const FRAME_BYTES: usize = 84;

/// Seeds a data centre that everyone knows.
const SEEDS: usize = 2;

pub(super) struct Node {
    pub(super) member: Member,
    pub(super) centre: usize,
    pub(super) alive: bool,
    adopted: Moment,
    watch: u64,
}

/// What happens at a moment.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick(usize),
    Message(usize, Vec<u8>),
    /// The store's answer to a call of a node, with the number of its watch.
    Answer(usize, Option<u64>, Reply),
    /// A watch that waited long enough, or failed, is opened again.
    Watch(usize, u64),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Document(u64),
    Failed,
}

pub(super) struct Fleet {
    pub(super) now: Moment,
    pub(super) nodes: Vec<Node>,
    pub(super) tally: Tally,
    pub(super) store: Store,
    pub(super) loss: f64,
    pub(super) random: fastrand::Rng,
    /// Changes of state that members told of: who told, of whom, what.
    pub(super) changes: Vec<(Moment, usize, HostName, State)>,
    links: Links,
    queue: BinaryHeap<Reverse<(Moment, u64, Due)>>,
    number: u64,
    tick: Duration,
    documents: Vec<Arc<Config>>,
}

fn host(index: usize) -> String {
    format!("host-{index:04}")
}

fn address(index: usize) -> SocketAddr {
    let bits = u32::try_from(index).unwrap_or(u32::MAX) + 0x0a00_0000;
    SocketAddr::from((Ipv4Addr::from(bits), PORT))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (u32::from(*v4.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn identity(number: usize, role: Role, incarnation: u64) -> Option<Identity> {
    let centre = number % CENTRES;
    Some(Identity {
        host: HostName::try_from(host(number)).ok()?,
        role,
        centre: DataCentre::try_from(format!("centre-{centre}")).ok()?,
        region: Region::try_from(format!("region-{}", region(centre))).ok()?,
        address: address(number),
        subjects: azurestand_membership::Subjects::of(["model"]),
        incarnation: Incarnation(incarnation),
    })
}

impl Fleet {
    pub(super) fn new(entries: usize, agents: usize, seed: u64) -> Self {
        let nodes = entries + agents;
        let mut fleet = Self {
            now: Moment::START,
            nodes: Vec::with_capacity(nodes),
            tally: Tally::new(nodes, REGIONS * REGIONS),
            store: Store::new(),
            loss: 0.0,
            random: fastrand::Rng::with_seed(seed),
            changes: Vec::new(),
            links: Links::new(),
            queue: BinaryHeap::new(),
            number: 0,
            tick: Limits::default().tick,
            documents: Vec::new(),
        };
        for number in 0..nodes {
            let role = if number < entries {
                Role::Entry
            } else {
                Role::Agent
            };
            let node = fleet.node(number, role, 1);
            fleet.nodes.push(node);
            fleet.first_tick(number);
        }
        fleet
    }

    fn node(&mut self, number: usize, role: Role, incarnation: u64) -> Node {
        let seeds = (0..CENTRES * SEEDS).map(address).collect();
        let identity = identity(number, role, incarnation);
        let identity = identity.unwrap_or_else(|| unreachable!("names are well-formed"));
        Node {
            member: Member::new(identity, seeds, Limits::default(), self.random.fork()),
            centre: number % CENTRES,
            alive: true,
            adopted: Moment::START,
            watch: 0,
        }
    }

    fn first_tick(&mut self, number: usize) {
        let at = self.now + self.tick.mul_f64(self.random.f64());
        self.push(at, Due::Tick(number));
    }

    /// Replaces every process by a fresh one under the same name.
    pub(super) fn restart(&mut self, incarnation: u64) {
        self.queue.clear();
        self.store.watchers.clear();
        for number in 0..self.nodes.len() {
            let role = self.nodes[number].member.identity().role;
            self.nodes[number] = self.node(number, role, incarnation);
            self.first_tick(number);
        }
    }

    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done`, looked at every 50 ms; tells how long it took.
    pub(super) fn run_until<D>(&mut self, span: Duration, done: D) -> Option<Duration>
    where
        D: Fn(&Self) -> bool,
    {
        const LOOK: Duration = Duration::from_millis(50);
        let start = self.now;
        while self.now.since(start) < span {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run(LOOK);
        }
        None
    }

    /// Whether every live node knows every other.
    pub(super) fn complete(&self) -> bool {
        let live = |node: &&Node| node.alive;
        let count = self.nodes.iter().filter(live).count();
        self.nodes
            .iter()
            .filter(live)
            .all(|node| node.member.view().members().count() >= count)
    }

    pub(super) fn in_force(&self, revision: u64) -> bool {
        let behind = |node: &Node| node.alive && node.member.revision() < Revision(revision);
        !self.nodes.iter().any(behind)
    }

    /// Writes a revision and tells the watchers of it.
    pub(super) fn write(&mut self, revision: u64) {
        let config = store::config(revision);
        self.store.config = Some(config.clone());
        self.documents.push(config);
        if self.store.down {
            return;
        }
        for watcher in std::mem::take(&mut self.store.watchers) {
            let watch = self.nodes[watcher].watch;
            self.tally.call(self.now);
            self.reply(watcher, Some(watch));
        }
    }

    /// Writes a revision; tells each node's time from the write until it was in force.
    pub(super) fn edit(&mut self, revision: u64) -> Vec<Duration> {
        let start = self.now;
        self.write(revision);
        self.run_until(Duration::from_mins(1), |fleet| fleet.in_force(revision));
        let live = self.nodes.iter().filter(|node| node.alive);
        live.map(|node| node.adopted.since(start)).collect()
    }

    /// Takes the store down for a while; afterwards the tally holds the calls since its return.
    pub(super) fn fail_store(&mut self, span: Duration) {
        self.store.down = true;
        self.drop_watches();
        self.run(span);
        self.store.down = false;
        self.tally.reset();
        self.run(BACK_OFF * 2);
    }

    /// Breaks all watches.
    pub(super) fn drop_watches(&mut self) {
        for watcher in std::mem::take(&mut self.store.watchers) {
            let watch = self.nodes[watcher].watch;
            self.answer(watcher, Some(watch), Reply::Failed, self.now);
        }
    }

    fn push(&mut self, at: Moment, due: Due) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, due)));
    }

    fn step(&mut self, end: Moment) -> bool {
        if self.queue.peek().is_none_or(|Reverse(next)| next.0 > end) {
            return false;
        }
        let Some(Reverse((at, _, due))) = self.queue.pop() else {
            return false;
        };
        self.now = at;
        match due {
            Due::Tick(node) => {
                self.push(at + self.tick, Due::Tick(node));
                self.handle(node, || Some(Event::Tick));
            }
            Due::Message(node, bytes) => {
                self.tally.bytes[node] += (bytes.len() + FRAME_BYTES) as u64;
                self.handle(node, || {
                    let gossip = Gossip::decode(&bytes).ok()?;
                    Some(Event::Received(Box::new(gossip)))
                });
            }
            Due::Answer(node, watch, reply) => self.answered(node, watch, &reply),
            Due::Watch(node, watch) => {
                if self.nodes[node].watch == watch && self.nodes[node].member.is_hub() {
                    self.call(node, true);
                }
            }
        }
        true
    }

    fn handle<E>(&mut self, number: usize, event: E)
    where
        E: FnOnce() -> Option<Event>,
    {
        let node = &mut self.nodes[number];
        if !node.alive {
            return;
        }
        let start = Instant::now();
        let actions = match event() {
            Some(event) => node.member.handle(self.now, event),
            None => return,
        };
        let mut sent = Vec::new();
        let mut rest = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, gossip } => sent.push((to, gossip.encode())),
                other => rest.push(other),
            }
        }
        self.tally.busy += start.elapsed();
        for (to, bytes) in sent {
            self.post(number, index(to), &bytes);
        }
        for action in rest {
            self.carry_out(number, action);
        }
    }

    fn carry_out(&mut self, number: usize, action: Action) {
        match action {
            Action::StartWatch => {
                self.call(number, true);
            }
            Action::StopWatch => {
                self.nodes[number].watch += 1;
                self.store.watchers.remove(&number);
            }
            Action::ReadStore => self.call(number, false),
            Action::Adopt(_) => self.nodes[number].adopted = self.now,
            Action::Changed(change) => {
                self.changes
                    .push((self.now, number, change.host, change.state));
            }
            Action::Send { .. } | Action::Note(_) => {}
        }
    }

    fn post(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let size = bytes.len() + FRAME_BYTES;
        self.tally.bytes[from] += size as u64;
        if to >= self.nodes.len() || self.random.f64() < self.loss {
            return;
        }
        let (source, sink) = (self.nodes[from].centre, self.nodes[to].centre);
        self.tally.links[pair(region(source), region(sink))] += cross(source, sink, size);
        let at = self.links.arrival(self.now, source, sink, size);
        self.push(at, Due::Message(to, bytes.to_vec()));
    }
}

/// The bytes that count on a link between regions; none inside a region.
fn cross(from: usize, to: usize, bytes: usize) -> u64 {
    if region(from) == region(to) {
        0
    } else {
        bytes as u64
    }
}
