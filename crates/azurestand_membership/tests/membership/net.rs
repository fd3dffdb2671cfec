//! A simulated network and store in virtual time. Each message is encoded and decoded.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azurestand_membership::{
    Action, Change, Config, Event, Gossip, Identity, Limits, Member, Note, Role, Section,
    SectionName, State, StoreOutcome,
};
use azurestand_types::{DataCentre, HostName, Incarnation, Moment, Region, Revision};

const STEP: Duration = Duration::from_millis(10);
const STEPS_A_TICK: u64 = 10;

pub(crate) struct Process {
    pub(crate) member: Member,
    pub(crate) adopted: Vec<Revision>,
    pub(crate) notes: Vec<Note>,
    pub(crate) changes: Vec<Change>,
    pub(crate) paused: bool,
    watching: bool,
    phase: u64,
}

/// The faults that the network injects.
#[derive(Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) repeat: f64,
    pub(crate) delay: Duration,
    /// Pairs of data centres that can't reach each other.
    pub(crate) cuts: BTreeSet<(String, String)>,
    /// Hosts that can't exchange messages with any other.
    pub(crate) isolated: BTreeSet<String>,
    /// Hosts that can exchange messages with each other only.
    pub(crate) split: BTreeSet<String>,
}

struct Packet {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) down: bool,
    /// Data centres that can't reach the store.
    pub(crate) cut: BTreeSet<String>,
    pub(crate) calls: u64,
}

pub(crate) struct Net {
    pub(crate) now: Moment,
    pub(crate) processes: BTreeMap<SocketAddr, Process>,
    pub(crate) faults: Faults,
    pub(crate) store: Store,
    pub(crate) random: fastrand::Rng,
    pub(crate) limits: Limits,
    queue: BTreeMap<(Moment, u64), Packet>,
    number: u64,
    step: u64,
}

pub(crate) fn host(name: &str) -> HostName {
    HostName::try_from(name).unwrap()
}

pub(crate) fn config(revision: u64, text: &str) -> Arc<Config> {
    let name = |name: &str| SectionName::try_from(name).unwrap();
    let section = |revision, text: &str| Section {
        revision: Revision(revision),
        text: text.into(),
    };
    let sections = [
        (name("centres"), section(revision, text)),
        (name("limits"), section(1, "unchanged")),
    ];
    Arc::new(Config::new(Revision(revision), sections.into()).unwrap())
}

pub(crate) fn identity(name: &str, centre: &str, role: Role, incarnation: u64) -> Identity {
    let number = name
        .bytes()
        .fold(7_u32, |sum, byte| sum * 31 % 60_000 + u32::from(byte));
    let port = u16::try_from(number % 60_000 + 1_000).unwrap();
    let last = u8::try_from(incarnation % 250).unwrap();
    Identity {
        host: host(name),
        role,
        centre: DataCentre::try_from(centre).unwrap(),
        region: Region::try_from("region").unwrap(),
        address: SocketAddr::from(([10, 0, 0, last], port)),
        subjects: azurestand_membership::Subjects::default(),
        incarnation: Incarnation(incarnation),
    }
}

impl Net {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Moment::START,
            processes: BTreeMap::new(),
            faults: Faults {
                delay: Duration::from_millis(2),
                ..Faults::default()
            },
            store: Store::default(),
            random: fastrand::Rng::with_seed(seed),
            limits: Limits::default(),
            queue: BTreeMap::new(),
            number: 0,
            step: 0,
        }
    }

    /// `entries` and `agents` in each data centre, named like `north-e0` and `north-a0`.
    pub(crate) fn fleet(seed: u64, centres: &[&str], entries: usize, agents: usize) -> Self {
        let mut net = Self::new(seed);
        for centre in centres {
            for number in 0..entries {
                net.start(&format!("{centre}-e{number}"), centre, Role::Entry, 1);
            }
            for number in 0..agents {
                net.start(&format!("{centre}-a{number}"), centre, Role::Agent, 1);
            }
        }
        net
    }

    /// Starts a process; its seeds are the first entries of each data centre.
    pub(crate) fn start(&mut self, name: &str, centre: &str, role: Role, incarnation: u64) {
        let seeds = ["north", "central", "south"]
            .iter()
            .map(|centre| identity(&format!("{centre}-e0"), centre, Role::Entry, 1).address)
            .collect();
        let identity = identity(name, centre, role, incarnation);
        let address = identity.address;
        let random = self.random.fork();
        let process = Process {
            member: Member::new(identity, seeds, self.limits.clone(), random),
            adopted: Vec::new(),
            notes: Vec::new(),
            changes: Vec::new(),
            paused: false,
            watching: false,
            phase: self.random.u64(..STEPS_A_TICK),
        };
        let earlier = self.processes.insert(address, process);
        assert!(earlier.is_none(), "two processes at {address}");
    }

    /// Ends a process without notifying its peers.
    pub(crate) fn kill(&mut self, name: &str) {
        self.processes
            .retain(|_, process| process.member.identity().host != host(name));
    }

    pub(crate) fn process(&self, name: &str) -> &Process {
        let named = |process: &&Process| process.member.identity().host == host(name);
        self.processes.values().find(named).unwrap()
    }

    pub(crate) fn pause(&mut self, name: &str, paused: bool) {
        let address = self.process(name).member.identity().address;
        self.processes.get_mut(&address).unwrap().paused = paused;
    }

    pub(crate) fn send_event(&mut self, name: &str, event: Event) {
        let address = self.process(name).member.identity().address;
        self.handle(address, event);
    }

    /// Sends a message unchanged, as if from its sender.
    pub(crate) fn inject(&mut self, to: &str, gossip: &Gossip) {
        let to = self.process(to).member.identity().address;
        self.post(gossip.sender().address, to, &gossip.encode());
    }

    pub(crate) fn write(&mut self, config: &Arc<Config>) {
        self.store.config = Some(config.clone());
        for address in self.watchers() {
            if self.reaches_store(address) {
                self.handle(address, Event::Store(StoreOutcome::Config(config.clone())));
            }
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.advance();
        }
    }

    /// Runs until `done`, at most for `span`; returns the time taken.
    pub(crate) fn run_until<D>(&mut self, span: Duration, done: D) -> Option<Duration>
    where
        D: Fn(&Self) -> bool,
    {
        let start = self.now;
        while self.now.since(start) < span {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.advance();
        }
        None
    }

    pub(crate) fn in_force(&self, revision: u64) -> bool {
        self.processes
            .values()
            .all(|process| process.member.revision() == Revision(revision))
    }

    /// Whether all processes except the host itself see it in this state.
    pub(crate) fn agree(&self, name: &str, state: State) -> bool {
        self.processes
            .values()
            .filter(|process| process.member.identity().host != host(name))
            .all(|process| process.member.view().state(&host(name)) == Some(state))
    }

    /// Whether every process sees every other one as alive.
    pub(crate) fn complete(&self) -> bool {
        self.processes
            .values()
            .all(|p| self.agree(p.member.identity().host.as_str(), State::Alive))
    }

    pub(crate) fn watchers(&self) -> Vec<SocketAddr> {
        let watching = self
            .processes
            .iter()
            .filter(|(_, process)| process.watching);
        watching.map(|(address, _)| *address).collect()
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        while let Some(packet) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let packet = packet.remove();
            let gossip = Gossip::decode(&packet.bytes).unwrap();
            if self.passes(&packet) {
                self.handle(packet.to, Event::Received(Box::new(gossip)));
            }
        }
        let step = self.step;
        let due = |process: &Process| !process.paused && step % STEPS_A_TICK == process.phase;
        let due: Vec<_> = self
            .processes
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(a, _)| *a)
            .collect();
        for address in due {
            self.handle(address, Event::Tick);
            if self.processes[&address].watching && self.step.is_multiple_of(100) {
                self.answer(address, StoreOutcome::Current);
            }
        }
    }

    fn passes(&self, packet: &Packet) -> bool {
        let Some(to) = self.processes.get(&packet.to) else {
            return false;
        };
        let Some(from) = self.processes.get(&packet.from) else {
            return !to.paused;
        };
        let (from, to_identity) = (from.member.identity(), to.member.identity());
        let cut = |a: &DataCentre, b: &DataCentre| {
            self.faults.cuts.contains(&(a.to_string(), b.to_string()))
        };
        let isolated = |host: &HostName| self.faults.isolated.contains(host.as_str());
        let split = |host: &HostName| self.faults.split.contains(host.as_str());
        !to.paused
            && split(&from.host) == split(&to_identity.host)
            && !cut(&from.centre, &to_identity.centre)
            && !cut(&to_identity.centre, &from.centre)
            && !isolated(&from.host)
            && !isolated(&to_identity.host)
    }

    fn handle(&mut self, address: SocketAddr, event: Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&address) else {
            return;
        };
        if process.paused {
            return;
        }
        let actions = process.member.handle(now, event);
        for action in actions {
            self.carry_out(address, action);
        }
    }

    fn carry_out(&mut self, address: SocketAddr, action: Action) {
        let Some(process) = self.processes.get_mut(&address) else {
            return;
        };
        match action {
            Action::Send { to, gossip } => {
                let bytes = gossip.encode();
                self.post(address, to, &bytes);
            }
            Action::StartWatch => {
                process.watching = true;
                self.answer_with_config(address);
            }
            Action::StopWatch => process.watching = false,
            Action::ReadStore => self.answer_with_config(address),
            Action::Adopt(config) => {
                let last = process.adopted.last().copied();
                assert!(
                    last < Some(config.revision()),
                    "{address} reverted from {last:?}"
                );
                process.adopted.push(config.revision());
            }
            Action::Changed(change) => process.changes.push(change),
            Action::Note(note) => process.notes.push(note),
        }
    }

    fn answer_with_config(&mut self, address: SocketAddr) {
        match self.store.config.clone() {
            Some(config) => self.answer(address, StoreOutcome::Config(config)),
            None => self.answer(address, StoreOutcome::Current),
        }
    }

    fn answer(&mut self, address: SocketAddr, outcome: StoreOutcome) {
        self.store.calls += 1;
        let outcome = if self.reaches_store(address) {
            outcome
        } else {
            StoreOutcome::Failed
        };
        self.handle(address, Event::Store(outcome));
    }

    fn reaches_store(&self, address: SocketAddr) -> bool {
        let centre = &self.processes[&address].member.identity().centre;
        !self.store.down && !self.store.cut.contains(centre.as_str())
    }

    fn post(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let copies = 1 + usize::from(self.random.f64() < self.faults.repeat);
        for _ in 0..copies {
            if self.random.f64() < self.faults.loss {
                continue;
            }
            let least = Duration::from_millis(1);
            let delay = least + self.faults.delay.mul_f64(self.random.f64());
            let bytes = bytes.to_vec();
            self.number += 1;
            let key = (self.now + delay, self.number);
            self.queue.insert(key, Packet { from, to, bytes });
        }
    }
}
