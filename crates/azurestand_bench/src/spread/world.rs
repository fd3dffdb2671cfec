//! Runs the machines of one setup against each other in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use azurestand_spread::{Action, Envelope, Event, Manifest, Policy, Verified};
use azurestand_types::{Digest, HostName, Moment};

use super::content::{content, micros};
use super::host::Host;
use super::link::{Link, Passage};
use super::outcome::Outcome;
use super::setup::{REGIONS, Setup};

/// One-way delays in microseconds.
const CENTRE_DELAY: u64 = 250;
const REGION_DELAY: u64 = 500;
pub(crate) const CROSS_DELAY: u64 = 2_000;

/// Framing and transport headers of a control message, in bytes.
const HEADER_BYTES: u64 = 8;

/// How long the live view takes to show a death, in microseconds.
const DETECTION: u64 = 3_000_000;

/// How long a change of the document takes to reach the last host, in microseconds.
const DISSEMINATION: u64 = 2_000_000;

/// Runs one setup to its end.
pub fn run(setup: &Setup) -> Outcome {
    let mut world = World::new(setup);
    world.play();
    world.outcome()
}

/// A chunk on its way over up to three links.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) from: Option<usize>,
    pub(crate) to: usize,
    pub(crate) digest: Digest,
    pub(crate) stopped: bool,
}

/// What is due at some moment; hosts and flows are named by their places.
#[derive(Debug)]
pub(crate) enum Happening {
    Tick(usize),
    Deliver(usize, Envelope),
    Cross(usize, Passage),
    Down(usize, Passage),
    Arrive(usize),
    Sent(usize),
    Want(usize, Arc<Manifest>),
    Kill(usize),
    Notice,
}

#[derive(Debug)]
pub(crate) struct World<'a> {
    pub(crate) setup: &'a Setup,
    pub(crate) hosts: Vec<Host>,
    pub(crate) names: HashMap<HostName, usize>,
    pub(crate) origin: Link,
    pub(crate) cross: Vec<Link>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) moving: HashMap<(usize, Digest, Option<usize>), usize>,
    pub(crate) proofs: HashMap<Digest, Verified>,
    pub(crate) newest: Arc<Manifest>,
    pub(crate) wanted_at: u64,
    pub(crate) drawn: Vec<u64>,
    pub(crate) crossed: u64,
    pub(crate) queue: BTreeMap<(u64, u64), Happening>,
    pub(crate) count: u64,
    pub(crate) now: u64,
    pub(crate) rng: fastrand::Rng,
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let hosts: Vec<_> = (0..setup.hosts)
            .map(|index| Host::new(index, setup, rng.fork()))
            .collect();
        let names = hosts.iter().enumerate();
        let names = names.map(|(index, host)| (host.peer.host.clone(), index));
        let (newest, proofs) = content(setup, "v1");
        let links = setup.links();
        let mut world = Self {
            setup,
            names: names.collect(),
            hosts,
            origin: Link::new(links.origin),
            cross: (0..REGIONS * REGIONS)
                .map(|_| Link::new(links.cross))
                .collect(),
            flows: Vec::new(),
            moving: HashMap::new(),
            proofs,
            newest: Arc::new(newest),
            wanted_at: 0,
            drawn: vec![0; REGIONS],
            crossed: 0,
            queue: BTreeMap::new(),
            count: 0,
            now: 0,
            rng,
        };
        world.schedule_start();
        world.schedule_faults();
        world
    }

    fn schedule_start(&mut self) {
        self.at(0, Happening::Notice);
        let tick = micros(self.setup.limits().tick());
        for index in 0..self.hosts.len() {
            let first = self.rng.u64(..tick);
            self.at(first, Happening::Tick(index));
        }
        self.want();
    }

    fn want(&mut self) {
        self.wanted_at = self.now;
        for index in 0..self.hosts.len() {
            let heard = self.now + self.rng.u64(..DISSEMINATION);
            self.at(heard, Happening::Want(index, self.newest.clone()));
        }
    }

    fn schedule_faults(&mut self) {
        let faults = self.setup.faults;
        let span = micros(self.setup.bound());
        let mut order: Vec<_> = (0..self.hosts.len()).collect();
        self.rng.shuffle(&mut order);
        let dying = (self.hosts.len() * faults.dying).div_ceil(100);
        for &index in &order[..dying] {
            let when = self.rng.u64(span / 10..span);
            self.at(when, Happening::Kill(index));
            self.at(when + DETECTION, Happening::Notice);
        }
    }

    pub(crate) fn at(&mut self, when: u64, happening: Happening) {
        self.count += 1;
        self.queue.insert((when, self.count), happening);
    }

    fn play(&mut self) {
        let bound = micros(self.setup.bound());
        let limit = bound * self.setup.patience;
        let mut change = self.setup.faults.change.then_some(bound / 2);
        while let Some(((when, _), happening)) = self.queue.pop_first() {
            self.now = when;
            if change.is_some_and(|change| change <= when) {
                change = None;
                self.change();
            }
            self.happen(happening);
            if when > limit || (change.is_none() && self.is_done()) {
                return;
            }
        }
    }

    /// Replaces the version by one that shares nothing with it.
    fn change(&mut self) {
        let (manifest, proofs) = content(self.setup, "v2");
        self.proofs.extend(proofs);
        self.newest = Arc::new(manifest);
        self.drawn.fill(0);
        self.crossed = 0;
        for host in &mut self.hosts {
            host.ended = None;
        }
        self.want();
    }

    fn is_done(&self) -> bool {
        let mut alive = self.hosts.iter().filter(|host| host.alive);
        alive.all(|host| host.ended.is_some())
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(host) => self.tick(host),
            Happening::Deliver(to, envelope) => self.feed(to, Event::Received(envelope)),
            Happening::Cross(flow, before) => self.pass_cross(flow, before),
            Happening::Down(flow, before) => self.pass_down(flow, before),
            Happening::Arrive(flow) => self.arrive(flow),
            Happening::Sent(flow) => self.sent(flow),
            Happening::Want(host, manifest) => {
                if manifest.digest() == self.newest.digest() {
                    self.feed(host, Event::Wanted(vec![manifest]));
                }
            }
            Happening::Kill(host) => self.hosts[host].alive = false,
            Happening::Notice => self.notice(),
        }
    }

    fn tick(&mut self, host: usize) {
        self.feed(host, Event::Tick);
        let idle = self.hosts[host].ended.is_some() || self.setup.policy == Policy::Origin;
        let pace = if idle { 10 } else { 1 };
        let next = self.now + pace * micros(self.setup.limits().tick());
        if self.hosts[host].alive {
            self.at(next, Happening::Tick(host));
        }
    }

    fn notice(&mut self) {
        let alive = self.hosts.iter().filter(|host| host.alive);
        let view: Vec<_> = alive.map(|host| host.peer.clone()).collect();
        for host in 0..self.hosts.len() {
            self.feed(host, Event::Peers(view.clone()));
        }
    }

    pub(crate) fn feed(&mut self, index: usize, event: Event) {
        let host = &mut self.hosts[index];
        if !host.alive {
            return;
        }
        let now = Moment::from_micros(self.now);
        let started = Instant::now();
        let actions = host.transfer.handle(now, event);
        host.cpu += started.elapsed();
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(index, &to, envelope),
            Action::Fetch { digest, .. } => self.fetch(index, digest),
            Action::Upload { to, digest, .. } => self.upload(index, &to, digest),
            Action::Abort { digest, source } => self.abort(index, digest, &source),
            Action::Complete { manifest } => {
                if manifest.digest() == self.newest.digest() {
                    self.hosts[index].ended = Some(self.now);
                }
            }
            Action::Drop { .. } | Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: &HostName, envelope: Envelope) {
        let to = self.names[to];
        self.hosts[from].control += envelope.encoded_len() as u64 + HEADER_BYTES;
        let arrival = self.now + self.delay(from, to);
        self.at(arrival, Happening::Deliver(to, envelope));
    }

    pub(crate) fn delay(&self, from: usize, to: usize) -> u64 {
        let (from, to) = (&self.hosts[from], &self.hosts[to]);
        if from.peer.centre == to.peer.centre {
            CENTRE_DELAY
        } else if from.region == to.region {
            REGION_DELAY
        } else {
            CROSS_DELAY
        }
    }

    pub(crate) fn is_newest(&self, digest: Digest) -> bool {
        let chunks = self.newest.chunks();
        chunks.iter().any(|chunk| chunk.digest == digest)
    }

    fn outcome(&self) -> Outcome {
        let alive: Vec<_> = self.hosts.iter().filter(|host| host.alive).collect();
        let last = alive.iter().filter_map(|host| host.ended).max();
        let time = Duration::from_micros(last.unwrap_or(self.now) - self.wanted_at);
        let size = self.setup.size();
        let hosts = self.hosts.len() as u64;
        let carried = self.hosts.iter().map(|host| host.up.carried).sum();
        let elapsed = Moment::from_micros(self.now).since(Moment::START);
        let capacity = self.setup.links().host.0 * hosts * elapsed.as_secs();
        let control = self.hosts.iter().map(|host| host.control);
        let cpu: Duration = self.hosts.iter().map(|host| host.cpu).sum();
        Outcome {
            time,
            bound: self.setup.bound(),
            live: alive.iter().filter(|host| host.ended.is_some()).count(),
            alive: alive.len(),
            origin: ratio(self.drawn.iter().sum(), size),
            regions: self.drawn.iter().map(|drawn| ratio(*drawn, size)).collect(),
            cross: ratio(self.crossed, size),
            cpu: cpu.div_f64(ratio(hosts, 1)),
            control: control.clone().sum::<u64>() / hosts,
            busiest: control.max().unwrap_or(0),
            used: ratio(carried, capacity),
        }
    }
}

/// `part` over `whole`, to the precision that a table shows.
#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
