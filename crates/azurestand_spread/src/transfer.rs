//! The state machine that runs on each host.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment, Region, rendezvous};

use self::flight::Flights;
use self::goal::Goal;
use self::peers::{Neighbour, Peers, Place};
use self::serve::Uploads;
use self::share::CrossLink;
use self::upstream::Upstream;
use crate::bucket::Bucket;
use crate::event::{Action, Event, Load, Note, Peer, Site, Source};
use crate::limits::Limits;
use crate::manifest::Manifest;
use crate::message::{Envelope, Message};
use crate::progress::Progress;

mod arrive;
mod flight;
mod goal;
mod listen;
mod order;
mod peers;
mod pick;
mod serve;
mod share;
mod upstream;

/// Chunks' worth of tokens that a host link's bucket saves up.
const BURST_CHUNKS: u64 = 2;

/// How often subscriptions are looked over.
const LISTEN_EVERY: Duration = Duration::from_secs(1);

/// How often the shares of links are worked out.
const SHARE_EVERY: Duration = Duration::from_millis(500);

/// What transfers may use however busy live traffic is, in percent of a host's link.
const MIN_SHARE: u64 = 1;

/// One host's part in spreading versions: what to fetch, from whom, when and how fast.
#[derive(Debug)]
pub struct Transfer {
    site: Site,
    limits: Limits,
    rng: fastrand::Rng,
    peers: Peers,
    goals: Vec<Goal>,
    held: BTreeMap<Digest, u32>,
    flights: Flights,
    uploads: Uploads,
    upstream: Upstream,
    ingress: Bucket,
    egress: Bucket,
    cross: BTreeMap<Region, CrossLink>,
    load: Load,
    sequence: u64,
    turn: usize,
    /// When subscriptions were last looked over.
    listened: Moment,
    /// When the shares of links were last worked out.
    shared: Moment,
    /// Drawn afresh for each choice, to break ties.
    salt: u64,
    /// Spreads hosts that are no drawing agents over time when all of those are stalled.
    jitter: f64,
    out: Vec<Action>,
}

impl Transfer {
    /// Starts with nothing held, nothing wanted and no other host known.
    pub fn new(site: Site, limits: Limits, mut rng: fastrand::Rng) -> Self {
        let rate = limits.host.percent(limits.share);
        Self {
            ingress: Bucket::new(rate, 0, Moment::START),
            egress: Bucket::new(rate, 0, Moment::START),
            jitter: 1.0 + 3.0 * rng.f64(),
            site,
            limits,
            rng,
            peers: Peers::default(),
            goals: Vec::new(),
            held: BTreeMap::new(),
            flights: Flights::default(),
            uploads: Uploads::default(),
            upstream: Upstream::default(),
            cross: BTreeMap::new(),
            load: Load::default(),
            sequence: 0,
            turn: 0,
            listened: Moment::START,
            shared: Moment::START,
            salt: 0,
            out: Vec::new(),
        }
    }

    /// Takes an event and returns what is to be done, in order.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Wanted(manifests) => self.want(manifests, now),
            Event::Peers(view) => self.see(view, now),
            Event::Received(envelope) => self.receive(envelope, now),
            Event::Fetched {
                digest,
                source,
                outcome,
            } => self.fetched(digest, &source, outcome, now),
            Event::Uploaded { to, digest } => self.uploaded(&to, digest, now),
            Event::Load(load) => self.set_load(load, now),
        }
        self.announce(now);
        self.upload(now);
        self.fill(now);
        std::mem::take(&mut self.out)
    }

    /// How far each wanted version has come.
    pub fn progress(&self, now: Moment) -> Vec<Progress> {
        self.goals.iter().map(|goal| goal.progress(now)).collect()
    }

    /// Whether a chunk is held and verified.
    pub fn holds(&self, digest: Digest) -> bool {
        self.held.contains_key(&digest)
    }

    /// Whether a host was asked for a chunk that hasn't arrived yet; the
    /// daemon refuses uploads that nobody asked for.
    pub fn expects(&self, from: &HostName, digest: Digest) -> bool {
        let source = Source::Peer(from.clone());
        let mut flights = self.flights.get(digest).iter();
        flights.any(|flight| flight.source == source)
    }

    /// Bytes asked for and not yet verified; never more than the staging limit or one chunk.
    pub fn staged(&self) -> u64 {
        self.flights.bytes()
    }

    fn tick(&mut self, now: Moment) {
        self.expire(now);
        if now.since(self.listened) >= LISTEN_EVERY {
            self.subscribe(now);
        }
        if now.since(self.shared) >= SHARE_EVERY {
            self.share_links(now);
        }
    }

    fn set_load(&mut self, load: Load, now: Moment) {
        self.load = load;
        let rate = self.limits.host.percent(self.limits.share);
        let floor = self.limits.host.percent(MIN_SHARE);
        self.ingress
            .set_rate(rate.less(load.inbound).max(floor), now);
        self.egress
            .set_rate(rate.less(load.outbound).max(floor), now);
        self.share_links(now);
    }

    fn want(&mut self, manifests: Vec<Arc<Manifest>>, now: Moment) {
        let wanted: BTreeMap<_, _> = manifests
            .into_iter()
            .map(|manifest| (manifest.digest(), manifest))
            .collect();
        self.stop(&wanted);
        for (id, manifest) in wanted {
            if self.goals.iter().all(|goal| goal.id() != id) {
                self.start(manifest, now);
            }
        }
        self.discard();
        self.reorder(now);
        self.complete(now);
        self.subscribe(now);
    }

    fn stop(&mut self, wanted: &BTreeMap<Digest, Arc<Manifest>>) {
        for goal in &self.goals {
            let digest = goal.id();
            if !wanted.contains_key(&digest) && goal.missing > 0 {
                self.out.push(Action::Log(Note::Stopped { digest }));
            }
        }
        self.goals.retain(|goal| wanted.contains_key(&goal.id()));
        for neighbour in self.peers.iter_mut() {
            neighbour.heard.retain(|id, _| wanted.contains_key(id));
            neighbour.subscribed.retain(|id, _| wanted.contains_key(id));
        }
    }

    fn start(&mut self, manifest: Arc<Manifest>, now: Moment) {
        let mut goal = Goal::new(manifest, now);
        for chunk in goal.manifest.clone().chunks() {
            if self.held.contains_key(&chunk.digest) {
                goal.hold(chunk.digest, now);
            }
            if self.flights.contains(chunk.digest) {
                goal.set_busy(chunk.digest, true);
            }
        }
        self.goals.push(goal);
        self.set_bursts();
    }

    /// Lets the buckets save up enough to bridge the time between two events.
    fn set_bursts(&mut self) {
        let longest = self.goals.iter().map(|goal| goal.longest).max();
        let burst = longest.unwrap_or(0) * BURST_CHUNKS;
        self.ingress.set_burst(burst);
        self.egress.set_burst(burst);
    }

    /// Stops flights and frees chunks that no wanted version needs.
    fn discard(&mut self) {
        let goals = &self.goals;
        let needed = |digest: &Digest| goals.iter().any(|goal| goal.needs(*digest));
        for (digest, source) in self.flights.select(|digest, _| !needed(digest)) {
            self.abort(digest, &source);
        }
        let goals = &self.goals;
        let kept = |digest: &Digest| goals.iter().any(|goal| goal.contains(*digest));
        let freed: Vec<_> = self
            .held
            .keys()
            .copied()
            .filter(|digest| !kept(digest))
            .collect();
        for digest in freed {
            self.held.remove(&digest);
            self.uploads.drop_chunk(digest);
            self.out.push(Action::Drop { digest });
        }
    }

    fn see(&mut self, view: Vec<Peer>, now: Moment) {
        let view: BTreeMap<_, _> = view
            .into_iter()
            .filter(|peer| peer.host != self.site.host)
            .map(|peer| (peer.host.clone(), peer))
            .collect();
        let gone: Vec<_> = self
            .peers
            .names()
            .filter(|host| !view.contains_key(*host))
            .cloned()
            .collect();
        for host in gone {
            self.forget(&host);
        }
        for (host, peer) in view {
            self.meet(&host, peer);
        }
        self.reorder(now);
        self.subscribe(now);
    }

    fn meet(&mut self, host: &HostName, peer: Peer) {
        let known = self.peers.get(host).map(|known| known.peer.incarnation);
        match known {
            Some(known) if known > peer.incarnation => return,
            Some(known) if known < peer.incarnation => self.forget(host),
            _ => {}
        }
        let place = Place::of(&self.site, &peer);
        match self.peers.get_mut(host) {
            Some(neighbour) if neighbour.place == place => neighbour.peer = peer,
            _ => {
                self.forget(host);
                let mix = self.rng.u64(..);
                self.peers.insert(Neighbour::new(peer, place, mix));
            }
        }
    }

    /// Removes a host, or an earlier life of it, and all that hung on it.
    fn forget(&mut self, host: &HostName) {
        if self.peers.get(host).is_none() {
            return;
        }
        let source = Source::Peer(host.clone());
        for (digest, source) in self.flights.select(|_, flight| flight.source == source) {
            self.abort(digest, &source);
        }
        self.disbelieve(host);
        self.uploads.forget(host);
        self.peers.remove(host);
    }

    fn reorder(&mut self, now: Moment) {
        for index in 0..self.goals.len() {
            self.reorder_goal(index, now);
        }
        self.share_links(now);
    }

    fn reorder_goal(&mut self, index: usize, now: Moment) {
        let goal = &mut self.goals[index];
        let model = goal.manifest.model();
        let mut region = vec![self.site.host.clone()];
        let mut centre = vec![self.site.host.clone()];
        let mut abroad: BTreeMap<Region, Vec<HostName>> = BTreeMap::new();
        for neighbour in self.peers.iter() {
            let host = &neighbour.peer.host;
            if !neighbour.peer.models.contains(model) {
                continue;
            }
            match neighbour.place {
                Place::Centre => {
                    region.push(host.clone());
                    centre.push(host.clone());
                }
                Place::Region => region.push(host.clone()),
                Place::Cross => {
                    let hosts = abroad.entry(neighbour.peer.region.clone()).or_default();
                    hosts.push(host.clone());
                }
            }
        }
        let (own, count) = (&self.site.host, self.limits.drawers);
        let manifest = goal.manifest.clone();
        let orders = &mut goal.orders;
        orders.region.update(&manifest, &region, own, count, now);
        orders.centre.update(&manifest, &centre, own, count, now);
        let key = *manifest.digest().as_bytes();
        let first = |hosts: &Vec<HostName>| -> Vec<HostName> {
            let order = rendezvous::order(&key, hosts);
            order.into_iter().take(count).cloned().collect()
        };
        orders.abroad = abroad.values().flat_map(first).collect();
        let mut regions: Vec<_> = abroad.into_keys().collect();
        regions.push(self.site.region.clone());
        regions.sort();
        orders.set_regions(&manifest, regions, &self.site.region);
    }

    fn receive(&mut self, envelope: Envelope, now: Moment) {
        let from = envelope.from;
        let Some(neighbour) = self.peers.get(&from) else {
            return;
        };
        let known = neighbour.peer.incarnation;
        if envelope.receiver != self.site.incarnation || envelope.sender < known {
            self.out.push(Action::Log(Note::Stale { host: from }));
            return;
        }
        if envelope.sender > known {
            let mut peer = neighbour.peer.clone();
            peer.incarnation = envelope.sender;
            self.meet(&from, peer);
        }
        match envelope.message {
            Message::Subscribe { manifest } => self.subscribed(&from, manifest, now),
            Message::Have {
                manifest,
                sequence,
                bits,
            } => self.heard(&from, manifest, sequence, &bits, now),
            Message::Decline { manifest } => self.declined(&from, manifest, now),
            Message::Request { digest } => self.requested(&from, digest, now),
            Message::Refuse { digest, reason } => self.refused(&from, digest, reason, now),
            Message::Cancel { digest } => self.cancelled(&from, digest),
        }
    }

    fn send(&mut self, to: &HostName, message: Message) {
        let Some(neighbour) = self.peers.get(to) else {
            return;
        };
        let envelope = Envelope {
            from: self.site.host.clone(),
            sender: self.site.incarnation,
            receiver: neighbour.peer.incarnation,
            message,
        };
        self.out.push(Action::Send {
            to: to.clone(),
            envelope,
        });
    }
}
