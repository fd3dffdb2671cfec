//! The simulated network: hosts, an origin, delays, rates and injected faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_spread::{
    Action, ChunkContent, Envelope, Event, Failure, Limits, LogMessage, Manifest, Peer, Progress,
    Rate, Site, Source, Transfer, Verified, split_chunks,
};
use azurestand_types::{
    DataCentre, Digest, HostName, Incarnation, ModelName, Moment, Region, VersionName,
};

pub(crate) const CHUNK: u32 = 1_000;
const HOST_RATE: u64 = 100_000;
const ORIGIN_RATE: u64 = 200_000;
const CROSS_RATE: u64 = 60_000;

pub(crate) fn host(name: &str) -> HostName {
    HostName::try_from(name).unwrap()
}

pub(crate) fn limits() -> Limits {
    Limits {
        host: Rate(HOST_RATE),
        origin: Rate(ORIGIN_RATE),
        cross: Rate(CROSS_RATE),
        designated_hosts: 2,
        stall_timeout: Duration::from_secs(2),
        ..Limits::default()
    }
}

/// Content of `chunks` chunks; the first `shared` are the same in every version of a
/// model.
pub(crate) fn version(model: &str, name: &str, chunks: usize, shared: usize) -> Version {
    let parts = (0..chunks).map(|index| {
        let owner = if index < shared { "" } else { name };
        let mut part = format!("{model} {owner} {index}").into_bytes();
        part.resize(CHUNK as usize, b'.');
        part
    });
    let model = ModelName::try_from(model).unwrap();
    let name = VersionName::try_from(name).unwrap();
    let (manifest, chunks) = split_chunks(model, name, CHUNK, parts).unwrap();
    Version {
        manifest: Arc::new(manifest),
        chunks,
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Version {
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) chunks: Vec<ChunkContent>,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) transfer: Transfer,
    pub(crate) peer: Peer,
    pub(crate) alive: bool,
    pub(crate) content: BTreeMap<Digest, Vec<u8>>,
    pub(crate) completed: Vec<Digest>,
    pub(crate) log_messages: Vec<LogMessage>,
    pub(crate) uploads: usize,
    wanted: Vec<Arc<Manifest>>,
    sending: u64,
}

#[derive(Debug, Clone)]
enum Due {
    Tick(HostName, Incarnation),
    Message(HostName, Envelope),
    Chunk {
        to: HostName,
        incarnation: Incarnation,
        source: Source,
        digest: Digest,
        content: Result<Vec<u8>, Failure>,
    },
    Sent(HostName, HostName, Digest),
}

/// The probabilities of random faults.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) corrupt: f64,
}

#[derive(Debug)]
pub(crate) struct Net {
    pub(crate) nodes: BTreeMap<HostName, Node>,
    pub(crate) now: u64,
    pub(crate) faults: Faults,
    pub(crate) corrupting: BTreeSet<HostName>,
    /// Hosts whose uploads take a minute.
    pub(crate) slow: BTreeSet<HostName>,
    /// Regions that the origin doesn't reach.
    pub(crate) unsupplied: BTreeSet<Region>,
    /// Regions that no other region reaches.
    pub(crate) isolated: BTreeSet<Region>,
    pub(crate) stalled: bool,
    pub(crate) store_down: bool,
    /// Fetches from the origin by chunk.
    pub(crate) fetched: BTreeMap<Digest, usize>,
    pub(crate) store_fetches: usize,
    limits: Limits,
    origin: BTreeMap<Digest, Vec<u8>>,
    origin_free: u64,
    due: BTreeMap<(u64, u64), Due>,
    count: u64,
    rng: fastrand::Rng,
}

impl Net {
    /// `count` hosts in three regions and six data centres, all of which are in each
    /// other's view.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        Self::with_limits(count, seed, limits())
    }

    pub(crate) fn with_limits(count: usize, seed: u64, limits: Limits) -> Self {
        let mut net = Self {
            nodes: BTreeMap::new(),
            now: 1_000_000,
            faults: Faults::default(),
            corrupting: BTreeSet::new(),
            slow: BTreeSet::new(),
            unsupplied: BTreeSet::new(),
            isolated: BTreeSet::new(),
            stalled: false,
            store_down: false,
            fetched: BTreeMap::new(),
            store_fetches: 0,
            limits,
            origin: BTreeMap::new(),
            origin_free: 0,
            due: BTreeMap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        for index in 0..count {
            net.join(index, 1);
        }
        net.refresh();
        net
    }

    /// Starts an incarnation of host `index`; [`Self::refresh`] shows it to the others.
    pub(crate) fn join(&mut self, index: usize, incarnation: u64) -> HostName {
        let name = host(&format!("host-{index}"));
        let site = Site {
            host: name.clone(),
            incarnation: Incarnation(incarnation),
            centre: DataCentre::try_from(format!("centre-{}", index % 6)).unwrap(),
            region: Region::try_from(format!("region-{}", index % 3)).unwrap(),
        };
        let models = ["draft", "route"].map(|model| ModelName::try_from(model).unwrap());
        let peer = Peer {
            host: name.clone(),
            incarnation: site.incarnation,
            centre: site.centre.clone(),
            region: site.region.clone(),
            models: models.to_vec(),
        };
        let node = Node {
            transfer: Transfer::new(site, self.limits.clone(), self.rng.fork()),
            peer,
            alive: true,
            content: BTreeMap::new(),
            completed: Vec::new(),
            log_messages: Vec::new(),
            uploads: 0,
            wanted: Vec::new(),
            sending: 0,
        };
        self.nodes.insert(name.clone(), node);
        self.after(1_000, Due::Tick(name.clone(), Incarnation(incarnation)));
        name
    }

    /// Sends the view of live hosts to all hosts.
    pub(crate) fn refresh(&mut self) {
        let alive = self.nodes.values().filter(|node| node.alive);
        let view: Vec<_> = alive.map(|node| node.peer.clone()).collect();
        for name in self.names() {
            self.handle(&name, Event::Peers(view.clone()));
        }
    }

    pub(crate) fn names(&self) -> Vec<HostName> {
        self.nodes.keys().cloned().collect()
    }

    pub(crate) fn publish(&mut self, version: &Version) {
        for chunk in &version.chunks {
            self.origin.insert(chunk.digest, chunk.content.to_vec());
        }
    }

    /// Publishes `versions` and makes them wanted on every host.
    pub(crate) fn want(&mut self, versions: &[&Version]) {
        for name in self.names() {
            self.want_at(&name, versions);
        }
    }

    pub(crate) fn want_at(&mut self, name: &HostName, versions: &[&Version]) {
        for version in versions {
            self.publish(version);
        }
        let wanted: Vec<_> = versions.iter().map(|v| v.manifest.clone()).collect();
        self.nodes.get_mut(name).unwrap().wanted.clone_from(&wanted);
        self.handle(name, Event::Wanted(wanted));
    }

    pub(crate) fn kill(&mut self, name: &HostName) {
        self.nodes.get_mut(name).unwrap().alive = false;
    }

    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((when, _), due) = entry.remove_entry();
            self.now = when;
            self.dispatch(due);
        }
        self.now = end;
    }

    /// Runs until `test` holds; fails after ten minutes of virtual time.
    pub(crate) fn run_until<T>(&mut self, test: T)
    where
        T: Fn(&Self) -> bool,
    {
        for _ in 0..60_000 {
            if test(self) {
                return;
            }
            self.run(10);
        }
        panic!("not reached in ten minutes: {:#?}", self.progress());
    }

    pub(crate) fn run_until_live(&mut self, version: &Version) {
        let id = version.manifest.digest();
        self.run_until(|net| net.live(id) == net.alive());
    }

    pub(crate) fn alive(&self) -> usize {
        self.nodes.values().filter(|node| node.alive).count()
    }

    pub(crate) fn live(&self, id: Digest) -> usize {
        let live = |node: &&Node| node.alive && node.completed.contains(&id);
        self.nodes.values().filter(live).count()
    }

    /// The fewest chunks of `version` that a live host holds.
    pub(crate) fn fewest_held(&self, version: &Version) -> usize {
        let held = |node: &Node| {
            let chunks = version.manifest.chunks().iter();
            chunks
                .filter(|chunk| node.transfer.holds(chunk.digest))
                .count()
        };
        let alive = self.nodes.values().filter(|node| node.alive);
        alive.map(held).min().unwrap()
    }

    pub(crate) fn progress(&self) -> Vec<Progress> {
        let now = Moment::from_micros(self.now);
        let nodes = self.nodes.values();
        nodes.flat_map(|node| node.transfer.progress(now)).collect()
    }

    pub(crate) fn fetches(&self, version: &Version) -> usize {
        let chunks = version.manifest.chunks().iter();
        chunks
            .map(|chunk| self.fetched.get(&chunk.digest).copied().unwrap_or(0))
            .sum()
    }

    pub(crate) fn handle(&mut self, name: &HostName, event: Event) {
        let node = self.nodes.get_mut(name).unwrap();
        if !node.alive {
            return;
        }
        let actions = node.transfer.handle(Moment::from_micros(self.now), event);
        let staged = node.transfer.staged();
        assert!(staged <= self.limits.staging.max(u64::from(CHUNK)));
        for action in actions {
            self.carry_out(name, action);
        }
    }

    fn after(&mut self, micros: u64, due: Due) {
        self.count += 1;
        self.due.insert((self.now + micros, self.count), due);
    }

    fn dispatch(&mut self, due: Due) {
        match due {
            Due::Tick(name, incarnation) => {
                let node = &self.nodes[&name];
                if node.alive && node.peer.incarnation == incarnation {
                    self.handle(&name, Event::Tick);
                    self.after(100_000, Due::Tick(name, incarnation));
                }
            }
            Due::Message(to, envelope) => {
                if !self.is_isolated(&envelope.from, &to) {
                    self.handle(&to, Event::Received(envelope));
                }
            }
            Due::Chunk {
                to,
                incarnation,
                source,
                digest,
                content,
            } => self.arrive(&to, incarnation, source, digest, content),
            Due::Sent(from, to, digest) => self.handle(&from, Event::Uploaded { to, digest }),
        }
    }

    fn carry_out(&mut self, name: &HostName, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(&to, &envelope),
            Action::Fetch { digest, source, .. } => self.fetch(name, digest, source),
            Action::Upload { to, digest, .. } => self.upload(name, &to, digest),
            Action::Drop { digest } => {
                self.nodes.get_mut(name).unwrap().content.remove(&digest);
            }
            Action::Complete { manifest } => self.check_complete(name, &manifest),
            Action::Log(message) => self.nodes.get_mut(name).unwrap().log_messages.push(message),
            Action::Abort { .. } => {}
        }
    }

    /// Checks that a reported version is wanted and complete, byte for byte.
    fn check_complete(&mut self, name: &HostName, manifest: &Arc<Manifest>) {
        let node = self.nodes.get_mut(name).unwrap();
        assert!(node.wanted.contains(manifest));
        for chunk in manifest.chunks() {
            assert_eq!(Digest::of(&node.content[&chunk.digest]), chunk.digest);
        }
        node.completed.push(manifest.digest());
    }

    fn send(&mut self, to: &HostName, envelope: &Envelope) {
        let copy = Envelope::try_from(&envelope.encode()[..]).unwrap();
        assert_eq!(copy, *envelope);
        if self.rng.f64() >= self.faults.loss {
            let delay = 1_000 + self.jitter();
            self.after(delay, Due::Message(to.clone(), copy.clone()));
        }
        if self.rng.f64() < self.faults.duplication {
            let delay = 1_000 + 50 * self.jitter();
            self.after(delay, Due::Message(to.clone(), copy));
        }
    }

    fn jitter(&mut self) -> u64 {
        self.rng.u64(..20_000)
    }

    fn fetch(&mut self, to: &HostName, digest: Digest, source: Source) {
        let start = self.now.max(self.origin_free);
        let span = u64::from(CHUNK) * 1_000_000 / ORIGIN_RATE;
        let down = match source {
            Source::WeightStore => self.store_down,
            _ => self.stalled || self.unsupplied.contains(&self.nodes[to].peer.region),
        };
        if source == Source::WeightStore {
            self.store_fetches += 1;
        } else {
            *self.fetched.entry(digest).or_default() += 1;
        }
        if down {
            return;
        }
        self.origin_free = start + span;
        let content = self.origin.get(&digest).cloned();
        let due = Due::Chunk {
            to: to.clone(),
            incarnation: self.nodes[to].peer.incarnation,
            source,
            digest,
            content: content.ok_or(Failure::Missing),
        };
        self.after(start + span - self.now, due);
    }

    fn upload(&mut self, from: &HostName, to: &HostName, digest: Digest) {
        let cross = self.nodes[from].peer.region != self.nodes[to].peer.region;
        let rate = if cross { CROSS_RATE } else { HOST_RATE };
        let now = self.now;
        let node = self.nodes.get_mut(from).unwrap();
        let mut content = node.content[&digest].clone();
        node.uploads += 1;
        let start = now.max(node.sending);
        node.sending = start + u64::from(CHUNK) * 1_000_000 / HOST_RATE;
        let mut wait = start + u64::from(CHUNK) * 1_000_000 / rate - now;
        if self.slow.contains(from) {
            wait += 60_000_000;
        }
        if self.corrupting.contains(from) {
            content[0] ^= 1;
        }
        let due = Due::Chunk {
            to: to.clone(),
            incarnation: self.nodes[to].peer.incarnation,
            source: Source::Peer(from.clone()),
            digest,
            content: Ok(content),
        };
        self.after(wait, due);
        self.after(wait, Due::Sent(from.clone(), to.clone(), digest));
    }

    fn arrive(
        &mut self,
        to: &HostName,
        incarnation: Incarnation,
        source: Source,
        digest: Digest,
        content: Result<Vec<u8>, Failure>,
    ) {
        let corrupt = self.rng.f64() < self.faults.corrupt;
        if let Source::Peer(from) = &source
            && (self.is_isolated(from, to) || !self.nodes[from].alive)
        {
            return;
        }
        let node = self.nodes.get_mut(to).unwrap();
        if node.peer.incarnation != incarnation {
            return;
        }
        let outcome = content.and_then(|mut content| {
            if corrupt {
                content[1] ^= 1;
            }
            let proof = Verified::check(digest, &content)?;
            node.content.insert(digest, content);
            Ok(proof)
        });
        let event = Event::Fetched {
            digest,
            source,
            outcome,
        };
        self.handle(to, event);
    }

    fn is_isolated(&self, a: &HostName, b: &HostName) -> bool {
        let (a, b) = (&self.nodes[a].peer.region, &self.nodes[b].peer.region);
        a != b && (self.isolated.contains(a) || self.isolated.contains(b))
    }
}
