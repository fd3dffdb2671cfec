//! The link fake: hosts, an origin, delays, rates and the faults that tests ask for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use azurestand_spread::{
    Action, Envelope, Event, Failure, Limits, Manifest, Note, Peer, Piece, Progress, Rate, Site,
    Source, Transfer, Verified, cut,
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
        drawers: 2,
        deadline: Duration::from_secs(2),
        ..Limits::default()
    }
}

/// Content of `chunks` chunks; `shared` of them are the same in every version of a seed.
pub(crate) fn version(model: &str, name: &str, chunks: usize, shared: usize) -> Version {
    let parts = (0..chunks).map(|index| {
        let owner = if index < shared { "" } else { name };
        let mut part = format!("{model} {owner} {index}").into_bytes();
        part.resize(CHUNK as usize, b'.');
        part
    });
    let model = ModelName::try_from(model).unwrap();
    let name = VersionName::try_from(name).unwrap();
    let (manifest, pieces) = cut(model, name, CHUNK, parts).unwrap();
    Version {
        manifest: Arc::new(manifest),
        pieces,
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Version {
    pub(crate) manifest: Arc<Manifest>,
    pub(crate) pieces: Vec<Piece>,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) transfer: Transfer,
    pub(crate) peer: Peer,
    pub(crate) alive: bool,
    pub(crate) content: BTreeMap<Digest, Vec<u8>>,
    pub(crate) completed: Vec<Digest>,
    pub(crate) notes: Vec<Note>,
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
        life: Incarnation,
        source: Source,
        digest: Digest,
        content: Result<Vec<u8>, Failure>,
    },
    Sent(HostName, HostName, Digest),
}

/// What goes wrong on the way, each as a part of 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Noise {
    pub(crate) loss: f64,
    pub(crate) twice: f64,
    pub(crate) corrupt: f64,
}

#[derive(Debug)]
pub(crate) struct Net {
    pub(crate) nodes: BTreeMap<HostName, Node>,
    pub(crate) now: u64,
    pub(crate) noise: Noise,
    pub(crate) liars: BTreeSet<HostName>,
    /// Hosts whose uploads take a minute.
    pub(crate) slow: BTreeSet<HostName>,
    /// Regions that the origin's chunks don't reach.
    pub(crate) dry: BTreeSet<Region>,
    /// Regions that no other region reaches.
    pub(crate) cut: BTreeSet<Region>,
    pub(crate) stalled: bool,
    pub(crate) store_down: bool,
    /// Draws from the origin by chunk.
    pub(crate) drawn: BTreeMap<Digest, usize>,
    pub(crate) stored: usize,
    limits: Limits,
    origin: BTreeMap<Digest, Vec<u8>>,
    origin_free: u64,
    due: BTreeMap<(u64, u64), Due>,
    count: u64,
    rng: fastrand::Rng,
}

impl Net {
    /// `count` hosts over three regions and six data centres, all of which see each other.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        Self::with_limits(count, seed, limits())
    }

    pub(crate) fn with_limits(count: usize, seed: u64, limits: Limits) -> Self {
        let mut net = Self {
            nodes: BTreeMap::new(),
            now: 1_000_000,
            noise: Noise::default(),
            liars: BTreeSet::new(),
            slow: BTreeSet::new(),
            dry: BTreeSet::new(),
            cut: BTreeSet::new(),
            stalled: false,
            store_down: false,
            drawn: BTreeMap::new(),
            stored: 0,
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

    /// Starts a life of host `index`; [`Self::refresh`] shows it to the others.
    pub(crate) fn join(&mut self, index: usize, life: u64) -> HostName {
        let name = host(&format!("host-{index}"));
        let site = Site {
            host: name.clone(),
            incarnation: Incarnation(life),
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
            notes: Vec::new(),
            uploads: 0,
            wanted: Vec::new(),
            sending: 0,
        };
        self.nodes.insert(name.clone(), node);
        self.after(1_000, Due::Tick(name.clone(), Incarnation(life)));
        name
    }

    /// Shows the live hosts to all of them.
    pub(crate) fn refresh(&mut self) {
        let alive = self.nodes.values().filter(|node| node.alive);
        let view: Vec<_> = alive.map(|node| node.peer.clone()).collect();
        for name in self.names() {
            self.feed(&name, Event::Peers(view.clone()));
        }
    }

    pub(crate) fn names(&self) -> Vec<HostName> {
        self.nodes.keys().cloned().collect()
    }

    pub(crate) fn publish(&mut self, version: &Version) {
        for piece in &version.pieces {
            self.origin.insert(piece.digest, piece.content.to_vec());
        }
    }

    /// Publishes `versions` and wants them on every host.
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
        self.feed(name, Event::Wanted(wanted));
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
            self.happen(due);
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

    /// The least part of `version` that a live host holds, in chunks.
    pub(crate) fn least(&self, version: &Version) -> usize {
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

    pub(crate) fn draws(&self, version: &Version) -> usize {
        let chunks = version.manifest.chunks().iter();
        chunks
            .map(|chunk| self.drawn.get(&chunk.digest).copied().unwrap_or(0))
            .sum()
    }

    pub(crate) fn feed(&mut self, name: &HostName, event: Event) {
        let node = self.nodes.get_mut(name).unwrap();
        if !node.alive {
            return;
        }
        let actions = node.transfer.handle(Moment::from_micros(self.now), event);
        let staged = node.transfer.staged();
        assert!(staged <= self.limits.staging.max(u64::from(CHUNK)));
        for action in actions {
            self.act(name, action);
        }
    }

    fn after(&mut self, micros: u64, due: Due) {
        self.count += 1;
        self.due.insert((self.now + micros, self.count), due);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tick(name, life) => {
                let node = &self.nodes[&name];
                if node.alive && node.peer.incarnation == life {
                    self.feed(&name, Event::Tick);
                    self.after(100_000, Due::Tick(name, life));
                }
            }
            Due::Message(to, envelope) => {
                if !self.is_cut(&envelope.from, &to) {
                    self.feed(&to, Event::Received(envelope));
                }
            }
            Due::Chunk {
                to,
                life,
                source,
                digest,
                content,
            } => self.arrive(&to, life, source, digest, content),
            Due::Sent(from, to, digest) => self.feed(&from, Event::Uploaded { to, digest }),
        }
    }

    fn act(&mut self, name: &HostName, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(&to, &envelope),
            Action::Fetch { digest, source, .. } => self.draw(name, digest, source),
            Action::Upload { to, digest, .. } => self.upload(name, &to, digest),
            Action::Drop { digest } => {
                self.nodes.get_mut(name).unwrap().content.remove(&digest);
            }
            Action::Complete { manifest } => self.check(name, &manifest),
            Action::Log(note) => self.nodes.get_mut(name).unwrap().notes.push(note),
            Action::Abort { .. } => {}
        }
    }

    /// Every reported version is wanted and whole, byte for byte.
    fn check(&mut self, name: &HostName, manifest: &Arc<Manifest>) {
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
        if self.rng.f64() >= self.noise.loss {
            let delay = 1_000 + self.jitter();
            self.after(delay, Due::Message(to.clone(), copy.clone()));
        }
        if self.rng.f64() < self.noise.twice {
            let delay = 1_000 + 50 * self.jitter();
            self.after(delay, Due::Message(to.clone(), copy));
        }
    }

    fn jitter(&mut self) -> u64 {
        self.rng.u64(..20_000)
    }

    fn draw(&mut self, to: &HostName, digest: Digest, source: Source) {
        let start = self.now.max(self.origin_free);
        let span = u64::from(CHUNK) * 1_000_000 / ORIGIN_RATE;
        let down = match source {
            Source::WeightStore => self.store_down,
            _ => self.stalled || self.dry.contains(&self.nodes[to].peer.region),
        };
        if source == Source::WeightStore {
            self.stored += 1;
        } else {
            *self.drawn.entry(digest).or_default() += 1;
        }
        if down {
            return;
        }
        self.origin_free = start + span;
        let content = self.origin.get(&digest).cloned();
        let due = Due::Chunk {
            to: to.clone(),
            life: self.nodes[to].peer.incarnation,
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
        if self.liars.contains(from) {
            content[0] ^= 1;
        }
        let due = Due::Chunk {
            to: to.clone(),
            life: self.nodes[to].peer.incarnation,
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
        life: Incarnation,
        source: Source,
        digest: Digest,
        content: Result<Vec<u8>, Failure>,
    ) {
        let corrupt = self.rng.f64() < self.noise.corrupt;
        if let Source::Peer(from) = &source
            && (self.is_cut(from, to) || !self.nodes[from].alive)
        {
            return;
        }
        let node = self.nodes.get_mut(to).unwrap();
        if node.peer.incarnation != life {
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
        self.feed(to, event);
    }

    fn is_cut(&self, a: &HostName, b: &HostName) -> bool {
        let (a, b) = (&self.nodes[a].peer.region, &self.nodes[b].peer.region);
        a != b && (self.cut.contains(a) || self.cut.contains(b))
    }
}
