//! Runs the transfer machine of one host: feeds it events and carries out its actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use azurestand_config::Document;
use azurestand_membership::{Role, Subjects};
use azurestand_spread::{
    Action, Envelope, Event as SpreadEvent, Failure, Limits, LiveTraffic, LogMessage, Manifest,
    Peer, Progress, Rate, Site, Source, Transfer,
};
use azurestand_types::{Digest, HostName, ModelName, Moment};
use azurestand_wire::Body;
use bytes::Bytes;
use tokio::sync::{mpsc, watch as latest};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::bulk::{Pushed, Pusher, Receiver, receive};
use super::manifests::Manifests;
use super::origin::Origin;
use super::vault::Vault;
use crate::event::Event;
use crate::metrics::{Counter, Gauge};
use crate::node::Node;
use crate::node::links::BulkLink;

/// How often the rate of live traffic is taken.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// What the controller is told by the rest of the agent.
#[derive(Debug)]
pub(crate) enum SpreadInput {
    /// Another host's control message.
    Received(Bytes),
    /// A chunk came over a bulk link.
    Pushed(Pushed),
    /// A fetch or an upload ended.
    Ended(SpreadEvent),
    /// Manifests came.
    Manifests,
}

/// The versions whose chunks are all here and verified.
pub(crate) type Completed = BTreeMap<Digest, Arc<Manifest>>;

/// What the rest of the agent reads of the spread.
#[derive(Debug, Clone)]
pub(crate) struct SpreadView {
    pub(crate) complete: latest::Receiver<Completed>,
    pub(crate) progress: latest::Receiver<Vec<Progress>>,
}

/// Owns the transfer machine.
pub(crate) struct Controller {
    node: Node,
    models: BTreeSet<ModelName>,
    transfer: Transfer,
    vault: Vault,
    origin: Option<Origin>,
    pusher: Pusher,
    manifests: Manifests,
    inputs: mpsc::Receiver<SpreadInput>,
    own: mpsc::Sender<SpreadInput>,
    running: BTreeMap<(Digest, Source), CancellationToken>,
    completed: latest::Sender<Completed>,
    progress: latest::Sender<Vec<Progress>>,
    measured: Moment,
}

/// What the controller is made of.
pub(crate) struct Parts {
    pub(crate) node: Node,
    pub(crate) models: BTreeSet<ModelName>,
    pub(crate) vault: Vault,
    pub(crate) origin: Option<Origin>,
    pub(crate) bulk: mpsc::Receiver<BulkLink>,
}

/// Starts the controller; gives the way to tell it things, and what it shows.
pub(crate) fn start(parts: Parts) -> (mpsc::Sender<SpreadInput>, SpreadView) {
    let (own, inputs) = mpsc::channel(1_024);
    let (completed, complete) = latest::channel(Completed::new());
    let (progress, shown) = latest::channel(Vec::new());
    let identity = parts.node.links.own();
    let site = Site {
        host: identity.host.clone(),
        incarnation: identity.incarnation,
        centre: identity.centre.clone(),
        region: parts.node.settings.region.clone(),
    };
    let limits = spread_limits(&parts.node.document(), parts.node.settings.staging);
    let seed = identity.incarnation.0 ^ 0x5eed;
    let controller = Controller {
        transfer: Transfer::new(site, limits, fastrand::Rng::with_seed(seed)),
        pusher: Pusher::new(parts.node.links.clone()),
        manifests: Manifests::new(parts.origin.clone(), own.clone()),
        node: parts.node,
        models: parts.models,
        vault: parts.vault,
        origin: parts.origin,
        inputs,
        own: own.clone(),
        running: BTreeMap::new(),
        completed,
        progress,
        measured: Moment::START,
    };
    tokio::spawn(accept_bulk(parts.bulk, own.clone()));
    tokio::spawn(controller.run());
    let view = SpreadView {
        complete,
        progress: shown,
    };
    (own, view)
}

async fn accept_bulk(mut links: mpsc::Receiver<BulkLink>, own: mpsc::Sender<SpreadInput>) {
    while let Some(link) = links.recv().await {
        let (sender, mut pushed) = mpsc::channel(8);
        tokio::spawn(receive(link, sender));
        let own = own.clone();
        tokio::spawn(async move {
            while let Some(news) = pushed.recv().await {
                let _ = own.send(SpreadInput::Pushed(news)).await;
            }
        });
    }
}

/// The transfer's limits as the document sets them.
fn spread_limits(document: &Document, staging: u64) -> Limits {
    let limits = document.limits();
    Limits {
        host: share(limits.host_link, limits.host_share),
        origin: share(limits.origin_link, limits.origin_share),
        cross: share(limits.region_link, limits.region_share),
        share: 100,
        staging,
        ..Limits::default()
    }
}

fn share(link: u64, share: f64) -> Rate {
    // A link's rate has far fewer digits than a float keeps exactly.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    Rate((link as f64 * share.clamp(0.0, 1.0)) as u64)
}

impl Controller {
    async fn run(mut self) {
        let mut ticks = interval(spread_limits(&self.node.document(), 0).tick());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stop = self.node.stop.clone();
        let mut documents = self.node.document.clone();
        let mut views = self.node.neighbours.clone();
        self.want();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                Some(input) = self.inputs.recv() => self.take(input),
                Ok(()) = documents.changed() => self.follow_document(),
                Ok(()) = views.changed() => self.see(),
                () = stop.cancelled() => break,
            }
        }
    }

    fn feed(&mut self, event: SpreadEvent) {
        let now = self.node.clock.now();
        for action in self.transfer.handle(now, event) {
            self.act(action);
        }
    }

    fn tick(&mut self) {
        self.feed(SpreadEvent::Tick);
        self.feed_load();
        let progress = self.transfer.progress(self.node.clock.now());
        self.progress.send_replace(progress);
        self.node
            .metrics
            .set(Gauge::Chunks, self.vault.len() as u64);
    }

    fn take(&mut self, input: SpreadInput) {
        match input {
            SpreadInput::Received(bytes) => {
                if let Ok(envelope) = Envelope::try_from(&bytes[..]) {
                    self.feed(SpreadEvent::Received(envelope));
                }
            }
            SpreadInput::Pushed(pushed) => self.take_pushed(pushed),
            SpreadInput::Ended(event) => self.end(event),
            SpreadInput::Manifests => self.want(),
        }
    }

    fn take_pushed(&mut self, pushed: Pushed) {
        let neighbours = self.node.neighbours();
        let known = neighbours.0.get(&pushed.from);
        let current =
            known.is_some_and(|known| known.record.identity.incarnation == pushed.incarnation);
        if !current {
            Event::OldLife.log(format_args!("a chunk from {}", pushed.from));
            return;
        }
        if !self.transfer.expects(&pushed.from, pushed.digest) {
            Event::FetchFailed.log(format_args!("{} sent a chunk unasked", pushed.from));
            return;
        }
        let length = pushed.content.len() as u64;
        self.node.metrics.count(Counter::PeerBytes, length);
        let outcome = self.vault.put(pushed.digest, pushed.content);
        self.feed(SpreadEvent::Fetched {
            digest: pushed.digest,
            source: Source::Peer(pushed.from),
            outcome,
        });
    }

    fn end(&mut self, event: SpreadEvent) {
        if let SpreadEvent::Fetched { digest, source, .. } = &event {
            self.running.remove(&(*digest, source.clone()));
        }
        self.feed(event);
    }

    fn follow_document(&mut self) {
        let document = self.node.document();
        let limits = spread_limits(&document, self.node.settings.staging);
        self.feed(SpreadEvent::Limits(limits));
        self.want();
    }

    /// Live traffic goes first: transfers leave it the room that it uses now.
    fn feed_load(&mut self) {
        let now = self.node.clock.now();
        let span = now.since(self.measured);
        if span < LOAD_INTERVAL {
            return;
        }
        self.measured = now;
        let bytes = self.node.live.swap(0, Ordering::Relaxed);
        let rate = u128::from(bytes) * 1_000_000 / span.as_micros().max(1);
        let outbound = Rate(u64::try_from(rate).unwrap_or(u64::MAX));
        self.feed(SpreadEvent::LiveTraffic(LiveTraffic {
            outbound,
            ..LiveTraffic::default()
        }));
    }

    /// Tells the machine which versions the document wants on this host.
    fn want(&mut self) {
        let document = self.node.document();
        let mut wanted = Vec::new();
        for model in &self.models {
            let Some(model) = document.models().get(model) else {
                continue;
            };
            let canary = model.canary.as_ref().map(|canary| &canary.version);
            let versions = [Some(&model.version), canary];
            let digests = versions.into_iter().flatten();
            wanted.extend(digests.filter_map(|version| model.versions.get(version).copied()));
        }
        let manifests = self.manifests.find(&wanted);
        let complete = manifests.iter().map(|manifest| manifest.digest());
        let kept: BTreeSet<_> = complete.collect();
        self.completed
            .send_if_modified(|completed| forget(completed, &kept));
        self.feed(SpreadEvent::Wanted(manifests));
    }

    /// Tells the machine which hosts take weights.
    fn see(&mut self) {
        let own = self.node.links.own().host.clone();
        let neighbours = self.node.neighbours();
        let present = neighbours.0.values().filter(|neighbour| {
            let identity = &neighbour.record.identity;
            neighbour.state.is_present() && identity.role == Role::Agent && identity.host != own
        });
        let peers = present.map(|neighbour| {
            let identity = &neighbour.record.identity;
            Peer {
                host: identity.host.clone(),
                incarnation: identity.incarnation,
                centre: identity.centre.clone(),
                region: identity.region.clone(),
                models: serves(identity.subjects, &self.models),
            }
        });
        let peers = peers.filter(|peer| !peer.models.is_empty()).collect();
        self.feed(SpreadEvent::Peers(peers));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(&to, &envelope),
            Action::Fetch {
                digest,
                source,
                rate,
            } => self.fetch(digest, source, rate),
            Action::Abort { digest, source } => {
                if let Some(running) = self.running.remove(&(digest, source)) {
                    running.cancel();
                }
            }
            Action::Upload {
                to, digest, rate, ..
            } => self.upload(to, digest, rate),
            Action::Drop { digest } => self.vault.drop_chunk(&digest),
            Action::Complete { manifest } => self.complete(manifest),
            Action::Log(message) => log_message(&message, &self.node),
        }
    }

    fn complete(&mut self, manifest: Arc<Manifest>) {
        if self.vault.whole(&manifest).is_none() {
            Event::Invariant.log("a version was called complete with chunks missing");
            return;
        }
        let version = manifest.version();
        Event::Complete.log(format_args!("{} {version}", manifest.model()));
        self.completed.send_modify(|completed| {
            completed.insert(manifest.digest(), manifest);
        });
    }

    fn send(&self, to: &HostName, envelope: &Envelope) {
        let neighbours = self.node.neighbours();
        let Some(neighbour) = neighbours.0.get(to) else {
            return;
        };
        let address = neighbour.record.identity.address;
        let bytes = envelope.encode().into();
        let body = Body::Transfer(azurestand_wire::Transfer { bytes });
        if let Some(outbox) = self.node.links.known(address) {
            outbox.offer(body);
            return;
        }
        let links = self.node.links.clone();
        tokio::spawn(async move {
            if let Ok(outbox) = links.control(address).await {
                outbox.offer(body);
            }
        });
    }

    fn fetch(&mut self, digest: Digest, source: Source, rate: Rate) {
        let own = self.own.clone();
        let Some(origin) = self.origin.clone() else {
            let outcome = Err(Failure::Missing);
            let event = SpreadEvent::Fetched {
                digest,
                source,
                outcome,
            };
            tokio::spawn(async move { own.send(SpreadInput::Ended(event)).await });
            return;
        };
        let token = self.node.stop.child_token();
        self.running.insert((digest, source.clone()), token.clone());
        let vault = self.vault.clone();
        let metrics = self.node.metrics.clone();
        tokio::spawn(token.run_until_cancelled_owned(async move {
            let fetched = origin.chunk(digest, rate).await;
            if let Ok(content) = &fetched {
                metrics.count(Counter::OriginBytes, content.len() as u64);
            }
            let outcome = fetched.and_then(|content| vault.put(digest, content));
            let event = SpreadEvent::Fetched {
                digest,
                source,
                outcome,
            };
            let _ = own.send(SpreadInput::Ended(event)).await;
        }));
    }

    fn upload(&mut self, to: HostName, digest: Digest, rate: Rate) {
        let own = self.own.clone();
        let content = self.vault.get(&digest);
        let neighbours = self.node.neighbours();
        let receiver = neighbours.0.get(&to).map(|neighbour| Receiver {
            address: neighbour.record.identity.address,
            incarnation: neighbour.record.identity.incarnation,
        });
        let pusher = self.pusher.clone();
        tokio::spawn(async move {
            if let (Some(receiver), Some(content)) = (receiver, content) {
                pusher.push(&receiver, digest, content, rate).await;
            }
            let event = SpreadEvent::Uploaded { to, digest };
            let _ = own.send(SpreadInput::Ended(event)).await;
        });
    }
}

/// The models of this host that another may serve too.
fn serves(subjects: Subjects, models: &BTreeSet<ModelName>) -> Vec<ModelName> {
    let shared = models.iter();
    let shared = shared.filter(|model| subjects.may_serve(model.as_str()));
    shared.cloned().collect()
}

fn forget(completed: &mut Completed, kept: &BTreeSet<Digest>) -> bool {
    let before = completed.len();
    completed.retain(|digest, _| kept.contains(digest));
    completed.len() != before
}

fn log_message(message: &LogMessage, node: &Node) {
    let event = match message {
        LogMessage::Corrupt { .. } => {
            node.metrics.count(Counter::CorruptChunks, 1);
            Event::Corrupt
        }
        LogMessage::Late { .. } | LogMessage::TookOver { .. } => Event::FetchFailed,
        LogMessage::StaleIncarnation { .. } => Event::OldLife,
        LogMessage::Stopped { .. } => Event::Wanted,
    };
    event.log(message);
}
