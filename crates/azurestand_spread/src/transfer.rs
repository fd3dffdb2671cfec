//! The state machine that runs on each host.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment, Region};

use self::flight::Flights;
use self::goal::Goal;
use self::peers::Peers;
use self::serve::Uploads;
use self::share::CrossLink;
use self::upstream::Upstream;
use crate::bucket::Bucket;
use crate::event::{Action, Event, Load, Note, Site, Source};
use crate::limits::Limits;
use crate::message::{Envelope, Message};
use crate::progress::Progress;

mod arrive;
mod flight;
mod goal;
mod launch;
mod listen;
mod order;
mod peers;
mod pick;
mod search;
mod serve;
mod share;
#[cfg(test)]
mod tests;
mod upstream;
mod versions;
mod view;

/// How often subscriptions are looked over.
const LISTEN_EVERY: Duration = Duration::from_secs(1);

/// How often the shares of links are worked out.
const SHARE_EVERY: Duration = Duration::from_millis(500);

/// Seconds of announcements that may be saved up.
const CONTROL_BURST: u64 = 10;

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
    control: Bucket,
    cross: BTreeMap<Region, CrossLink>,
    load: Load,
    sequence: u64,
    turn: usize,
    /// A live view was received.
    viewed: bool,
    /// The weight store alone would keep this host waiting.
    hurried: bool,
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
            control: Bucket::new(
                limits.control,
                limits.control.0 * CONTROL_BURST,
                Moment::START,
            ),
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
            viewed: false,
            hurried: false,
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
            Event::Limits(limits) => self.set_limits(limits, now),
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

    /// Transfers under way go on; what starts from now on keeps to the new limits.
    fn set_limits(&mut self, limits: Limits, now: Moment) {
        self.limits = limits;
        self.control.set_rate(self.limits.control, now);
        self.set_load(self.load, now);
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
