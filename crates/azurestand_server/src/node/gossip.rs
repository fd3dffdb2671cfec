//! Runs the membership machine: feeds it events and carries out its actions.

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_config::Document;
use azurestand_membership::{
    Action, Change, Config, Event as MemberEvent, Identity, Limits, Member, Note, Role, State,
    Subjects,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch as latest};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::post::Post;
use super::{Neighbour, Neighbours, Node, document, watch};
use crate::event::Event;
use crate::metrics::Gauge;

/// The controller's ends of the node's channels.
pub(crate) struct Channels {
    pub(crate) events: mpsc::Receiver<MemberEvent>,
    pub(crate) documents: latest::Sender<Document>,
    pub(crate) views: latest::Sender<Neighbours>,
}

/// Owns the membership machine of one process.
pub(crate) struct Controller {
    node: Node,
    member: Member,
    post: Post,
    channels: Channels,
    watching: Option<CancellationToken>,
    /// Whether statuses changed since the view was shown last.
    stale: bool,
}

impl Controller {
    pub(crate) fn start(node: Node, channels: Channels, socket: UdpSocket) {
        let post = Post::open(
            socket,
            node.links.clone(),
            &node.settings,
            node.gossip.clone(),
            node.stop.clone(),
        );
        let own = node.links.own();
        let targets = node.settings.targets.iter();
        let subjects = targets.map(|target| target.kind.subject());
        let identity = Identity {
            host: own.host.clone(),
            role: match own.role {
                azurestand_wire::Role::Entry => Role::Entry,
                azurestand_wire::Role::Agent => Role::Agent,
            },
            centre: own.centre.clone(),
            region: node.settings.region.clone(),
            address: own.address,
            subjects: Subjects::of(subjects),
            incarnation: own.incarnation,
        };
        let random = fastrand::Rng::with_seed(own.incarnation.0 ^ u64::from(own.address.port()));
        let seeds = node.settings.seeds.clone();
        let controller = Self {
            member: Member::new(identity, seeds, Limits::default(), random),
            node,
            post,
            channels,
            watching: None,
            stale: false,
        };
        tokio::spawn(controller.run());
    }

    async fn run(mut self) {
        let mut ticks = interval(Limits::default().tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stop = self.node.stop.clone();
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => MemberEvent::Tick,
                Some(event) = self.channels.events.recv() => event,
                () = stop.cancelled() => break,
            };
            self.handle(event);
        }
        self.handle(MemberEvent::Shutdown);
        if let Some(watching) = self.watching.take() {
            watching.cancel();
        }
    }

    fn handle(&mut self, event: MemberEvent) {
        // Statuses of others come with every message; they are shown once a tick.
        self.stale |= matches!(event, MemberEvent::Received(_));
        let tick = matches!(event, MemberEvent::Tick);
        let now = self.node.clock.now();
        let actions = self.member.handle(now, event);
        let changed = actions
            .iter()
            .any(|action| matches!(action, Action::Changed(_)));
        for action in actions {
            self.act(action);
        }
        if changed || (tick && self.stale) {
            self.show();
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { to, gossip } => self.post.send(to, &gossip),
            Action::StartWatch => self.watch(),
            Action::StopWatch => {
                if let Some(watching) = self.watching.take() {
                    watching.cancel();
                }
            }
            Action::ReadStore => {
                tokio::spawn(watch::read(self.node.clone()));
            }
            Action::Adopt(config) => self.adopt(&config),
            Action::Changed(change) => log_change(&change),
            Action::Note(note) => log_note(&note),
        }
    }

    fn watch(&mut self) {
        if self.watching.is_some() {
            return;
        }
        let token = self.node.stop.child_token();
        tokio::spawn(
            token
                .clone()
                .run_until_cancelled_owned(watch::follow(self.node.clone())),
        );
        self.watching = Some(token);
    }

    /// The checked document replaces the last one; what doesn't check is never served by.
    fn adopt(&mut self, config: &Arc<Config>) {
        match document::join(config) {
            Ok(document) => {
                let revision = document.revision();
                Event::Adopted.log(format_args!("revision {revision}"));
                self.node.metrics.set(Gauge::Revision, revision.0);
                self.channels.documents.send_replace(document);
            }
            Err(error) => Event::DocumentRefused.log(error),
        }
    }

    fn show(&mut self) {
        self.stale = false;
        let view = self.member.view();
        let mut neighbours = BTreeMap::new();
        for record in view.members() {
            let host = record.identity.host.clone();
            let neighbour = Neighbour {
                record: record.clone(),
                state: view.state(&host).unwrap_or(State::Dead),
            };
            neighbours.insert(host, neighbour);
        }
        let live = neighbours.len() as u64;
        self.node.metrics.set(Gauge::Hosts, live);
        let neighbours = Neighbours(Arc::new(neighbours));
        self.channels.views.send_replace(neighbours);
    }
}

fn log_change(change: &Change) {
    let Change {
        host,
        incarnation,
        state,
    } = change;
    let event = match state {
        State::Alive | State::Suspect => Event::HostSeen,
        State::Leaving | State::Left | State::Dead => Event::HostGone,
    };
    event.log(format_args!(
        "{host} in incarnation {incarnation} is {state}"
    ));
}

fn log_note(note: &Note) {
    let event = match note {
        Note::LowerRevision { .. } => Event::LowerRevision,
        Note::Conflict { .. } => Event::RevisionClash,
        Note::StaleSender { .. } | Note::Replaced { .. } => Event::OldLife,
        Note::Refuted { .. } | Note::CentreBack(_) => Event::HostSeen,
        Note::CentreSilent(_) => Event::HostGone,
        Note::BadDelta(_) => Event::DocumentRefused,
    };
    event.log(note);
}
