//! The state machine that runs on each host.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::{Digest, HostName, Moment, Region};

use self::fetch::Fetches;
use self::peers::Peers;
use self::serve::Uploads;
use self::share::CrossLink;
use self::upstream::Upstream;
use self::version::VersionState;
use crate::bucket::Bucket;
use crate::event::{Action, Event, LiveTraffic, LogMessage, Site, Source};
use crate::limits::Limits;
use crate::message::{Envelope, Message};
use crate::progress::Progress;

mod announce;
mod fetch;
mod order;
mod outcome;
mod peers;
mod pick;
mod request;
mod search;
mod serve;
mod share;
#[cfg(test)]
mod tests;
mod upstream;
mod version;
mod versions;
mod view;

/// How often subscriptions are renewed.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// How often the shares of links are recomputed.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Seconds' worth of announcements that may be saved up.
const CONTROL_BURST: u64 = 10;

/// The least part of a host's link that transfers may use, however busy live traffic
/// is, in percent.
const MIN_SHARE: u64 = 1;

/// One host's part in spreading versions: what to fetch, from which source, when and
/// how fast.
#[derive(Debug)]
pub struct Transfer {
    site: Site,
    limits: Limits,
    rng: fastrand::Rng,
    peers: Peers,
    versions: Vec<VersionState>,
    held: BTreeMap<Digest, u32>,
    fetches: Fetches,
    uploads: Uploads,
    upstream: Upstream,
    ingress: Bucket,
    egress: Bucket,
    control: Bucket,
    cross: BTreeMap<Region, CrossLink>,
    live_traffic: LiveTraffic,
    sequence: u64,
    next_version: usize,
    /// Whether a live view was received.
    has_view: bool,
    /// Whether the weight store alone is slower than this host's own link.
    store_slow: bool,
    /// When subscriptions were last renewed.
    subscribed_at: Moment,
    /// When the shares of links were last recomputed.
    shared_at: Moment,
    /// Drawn anew for each choice, to break ties.
    salt: u64,
    /// Spreads hosts that aren't designated over time when all designated ones are
    /// stalled.
    jitter: f64,
    actions: Vec<Action>,
}

impl Transfer {
    /// Starts with nothing held, nothing wanted and no other host known.
    pub fn new(site: Site, limits: Limits, mut rng: fastrand::Rng) -> Self {
        let rate = limits.host.percent(limits.share);
        Self {
            ingress: Bucket::new(rate, 0, Moment::START),
            egress: Bucket::new(rate, 0, Moment::START),
            control: Bucket::new(
                limits.control_rate,
                limits.control_rate.0 * CONTROL_BURST,
                Moment::START,
            ),
            jitter: 1.0 + 3.0 * rng.f64(),
            site,
            limits,
            rng,
            peers: Peers::default(),
            versions: Vec::new(),
            held: BTreeMap::new(),
            fetches: Fetches::default(),
            uploads: Uploads::default(),
            upstream: Upstream::default(),
            cross: BTreeMap::new(),
            live_traffic: LiveTraffic::default(),
            sequence: 0,
            next_version: 0,
            has_view: false,
            store_slow: false,
            subscribed_at: Moment::START,
            shared_at: Moment::START,
            salt: 0,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Wanted(manifests) => self.set_wanted(manifests, now),
            Event::Peers(view) => self.set_view(view, now),
            Event::Received(envelope) => self.receive(envelope, now),
            Event::Fetched {
                digest,
                source,
                outcome,
            } => self.handle_fetched(digest, &source, outcome, now),
            Event::Uploaded { to, digest } => self.handle_uploaded(&to, digest, now),
            Event::LiveTraffic(live_traffic) => self.set_live_traffic(live_traffic, now),
            Event::Limits(limits) => self.set_limits(limits, now),
        }
        self.announce(now);
        self.upload(now);
        self.request_chunks(now);
        std::mem::take(&mut self.actions)
    }

    /// The progress of each wanted version.
    pub fn progress(&self, now: Moment) -> Vec<Progress> {
        self.versions
            .iter()
            .map(|version| version.progress(now))
            .collect()
    }

    /// Whether a chunk is held and verified.
    pub fn holds(&self, digest: Digest) -> bool {
        self.held.contains_key(&digest)
    }

    /// Whether a host was asked for a chunk that hasn't arrived yet; the daemon refuses
    /// uploads that weren't requested.
    pub fn expects(&self, from: &HostName, digest: Digest) -> bool {
        let source = Source::Peer(from.clone());
        let mut fetches = self.fetches.get(digest).iter();
        fetches.any(|fetch| fetch.source == source)
    }

    /// Bytes requested and not yet verified; never more than the staging limit or one
    /// chunk.
    pub fn staged(&self) -> u64 {
        self.fetches.bytes()
    }

    fn tick(&mut self, now: Moment) {
        self.expire(now);
        if now.since(self.subscribed_at) >= SUBSCRIBE_INTERVAL {
            self.subscribe(now);
        }
        if now.since(self.shared_at) >= SHARE_INTERVAL {
            self.share_links(now);
        }
    }

    /// Fetches in progress continue; new ones use the new limits.
    fn set_limits(&mut self, limits: Limits, now: Moment) {
        self.limits = limits;
        self.control.set_rate(self.limits.control_rate, now);
        self.set_live_traffic(self.live_traffic, now);
    }

    fn set_live_traffic(&mut self, live_traffic: LiveTraffic, now: Moment) {
        self.live_traffic = live_traffic;
        let rate = self.limits.host.percent(self.limits.share);
        let floor = self.limits.host.percent(MIN_SHARE);
        self.ingress
            .set_rate(rate.saturating_sub(live_traffic.inbound).max(floor), now);
        self.egress
            .set_rate(rate.saturating_sub(live_traffic.outbound).max(floor), now);
        self.share_links(now);
    }

    fn receive(&mut self, envelope: Envelope, now: Moment) {
        let from = envelope.from;
        let Some(neighbour) = self.peers.get(&from) else {
            return;
        };
        let known = neighbour.peer.incarnation;
        if envelope.receiver != self.site.incarnation || envelope.sender < known {
            self.actions
                .push(Action::Log(LogMessage::StaleIncarnation { host: from }));
            return;
        }
        if envelope.sender > known {
            let mut peer = neighbour.peer.clone();
            peer.incarnation = envelope.sender;
            self.update_peer(&from, peer);
        }
        match envelope.message {
            Message::Subscribe { manifest } => self.handle_subscribe(&from, manifest, now),
            Message::Announce {
                manifest,
                sequence,
                bits,
            } => self.handle_announce(&from, manifest, sequence, &bits, now),
            Message::Decline { manifest } => self.handle_decline(&from, manifest, now),
            Message::Request { digest } => self.handle_request(&from, digest, now),
            Message::Refuse { digest, reason } => self.handle_refuse(&from, digest, reason, now),
            Message::Cancel { digest } => self.handle_cancel(&from, digest),
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
        self.actions.push(Action::Send {
            to: to.clone(),
            envelope,
        });
    }
}
