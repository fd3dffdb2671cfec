//! Tells entries what this host's targets can take, and membership what they are.

use std::time::Duration;

use azurestand_spread::Progress;
use azurestand_types::Digest;
use azurestand_wire::{Body, Outbox, Report, TargetLoad};
use prost::Message;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::spread::SpreadView;
use super::status::{HostStatus, TargetStatus, VersionStatus};
use super::target::Handle;
use crate::metrics::Gauge;
use crate::node::Node;

/// The longest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two reports while only the work changes, of which entries
/// know their own part anyway.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How often it is looked whether something changed that can't wait.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// An entry that opened a link.
#[derive(Debug)]
pub(super) struct EntryLink {
    pub(super) outbox: Outbox,
}

/// An entry and what it was told whole.
struct Listener {
    outbox: Outbox,
    /// Names and weights that the entry knows, in the order of the targets.
    known: Vec<TargetLoad>,
}

impl Listener {
    /// Tells the entry; names and weights are left out while they are as they were,
    /// since they are most of a report.
    fn tell(&mut self, report: &Report) {
        let known = report.targets.iter().map(without_work);
        let known: Vec<_> = known.collect();
        let told = if known == self.known {
            let targets = report.targets.iter().map(work_alone).collect();
            Report {
                targets,
                ..report.clone()
            }
        } else {
            report.clone()
        };
        if self.outbox.offer(Body::Report(told)) {
            self.known = known;
        }
    }
}

fn work_alone(load: &TargetLoad) -> TargetLoad {
    TargetLoad {
        state: load.state,
        limit: load.limit,
        running: load.running,
        waiting: load.waiting,
        ..TargetLoad::default()
    }
}

fn without_work(load: &TargetLoad) -> TargetLoad {
    TargetLoad {
        state: 0,
        limit: 0,
        running: 0,
        waiting: 0,
        ..load.clone()
    }
}

struct Reporter {
    node: Node,
    targets: Vec<Handle>,
    spread: SpreadView,
    entries: Vec<Listener>,
    sequence: u64,
    last: Vec<TargetLoad>,
    /// Whether entries were told that the host is leaving.
    leaving: bool,
    status: HostStatus,
    shown: Instant,
}

/// Starts reporting; new links to entries are sent to the result.
pub(super) fn start(
    node: &Node,
    targets: Vec<Handle>,
    spread: SpreadView,
) -> mpsc::Sender<EntryLink> {
    let (links, queue) = mpsc::channel(64);
    let reporter = Reporter {
        node: node.clone(),
        targets,
        spread,
        entries: Vec::new(),
        sequence: 0,
        last: Vec::new(),
        leaving: false,
        status: HostStatus::default(),
        shown: Instant::now(),
    };
    tokio::spawn(reporter.run(queue));
    links
}

impl Reporter {
    async fn run(mut self, mut links: mpsc::Receiver<EntryLink>) {
        let stop = self.node.stop.clone();
        self.publish();
        let mut due = Instant::now();
        let mut sent = Instant::now();
        loop {
            tokio::select! {
                Some(link) = links.recv() => {
                    let mut entry = Listener {
                        outbox: link.outbox,
                        known: Vec::new(),
                    };
                    entry.tell(&self.message());
                    self.entries.push(entry);
                }
                () = sleep_until(due) => {
                    if sent.elapsed() >= self.patience() {
                        self.report();
                        sent = Instant::now();
                    }
                    due = Instant::now() + LOOK_INTERVAL;
                    self.publish_due();
                }
                () = stop.cancelled() => return,
            }
        }
    }

    /// How long the last report may stand.
    fn patience(&self) -> Duration {
        let loads = self.loads();
        let urgent = loads.len() != self.last.len()
            || loads
                .iter()
                .zip(&self.last)
                .any(|(now, then)| is_urgent(now, then));
        if urgent || self.node.leaving.is_cancelled() != self.leaving {
            Duration::ZERO
        } else if loads == self.last {
            REPORT_INTERVAL
        } else {
            LOAD_INTERVAL
        }
    }

    fn loads(&self) -> Vec<TargetLoad> {
        let views = self.targets.iter();
        views
            .map(|target| target.view.borrow().load.clone())
            .collect()
    }

    fn message(&self) -> Report {
        Report {
            sequence: self.sequence,
            targets: self.last.clone(),
            leaving: self.leaving,
            agent_time: self.node.clock.now().as_micros(),
        }
    }

    fn report(&mut self) {
        self.sequence += 1;
        self.last = self.loads();
        self.leaving = self.node.leaving.is_cancelled();
        self.entries.retain(|entry| !entry.outbox.is_closed());
        let message = self.message();
        for entry in &mut self.entries {
            entry.tell(&message);
        }
        let sum = |part: fn(&TargetLoad) -> u32| self.last.iter().map(part).map(u64::from).sum();
        let metrics = &self.node.metrics;
        metrics.set(Gauge::Running, sum(|load| load.running));
        metrics.set(Gauge::Waiting, sum(|load| load.waiting));
        metrics.set(Gauge::Limit, sum(|load| load.limit));
    }

    fn publish_due(&mut self) {
        if self.shown.elapsed() >= STATUS_INTERVAL {
            self.publish();
        }
    }

    /// Membership carries a status to everyone, so only changes are told.
    fn publish(&mut self) {
        self.shown = Instant::now();
        let status = self.host_status();
        if status != self.status {
            self.node.publish(status.encode_to_vec().into());
            self.status = status;
        }
    }

    fn host_status(&self) -> HostStatus {
        let targets = self.targets.iter().map(|target| {
            let load = target.view.borrow().load.clone();
            let digest = Digest::try_from(&load.weights[..]).ok();
            TargetStatus {
                target: target.settings.name.to_string(),
                subject: target.settings.kind.subject().to_owned(),
                engine: matches!(
                    target.settings.kind,
                    crate::settings::TargetKind::Engine { .. }
                ),
                state: load.state,
                weights: digest.as_ref().map_or(0, head),
            }
        });
        let versions = self.spread.progress.borrow().iter().map(version).collect();
        HostStatus {
            targets: targets.collect(),
            versions,
            callers: String::new(),
        }
    }
}

/// Whether a change decides where requests may go.
fn is_urgent(now: &TargetLoad, then: &TargetLoad) -> bool {
    now.state != then.state || now.limit < then.limit || now.weights != then.weights
}

/// The head of a digest, by which a status tells versions apart.
pub(crate) fn head(digest: &Digest) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_be_bytes(head)
}

fn version(progress: &Progress) -> VersionStatus {
    let source_bytes = progress.source_bytes;
    let small = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    VersionStatus {
        manifest: head(&progress.manifest),
        held: small(progress.held),
        wanted: small(progress.wanted),
        origin: source_bytes.origin + source_bytes.store,
        cross: source_bytes.cross,
        near: source_bytes.region + source_bytes.centre,
        remaining: progress
            .remaining
            .map_or(0, |span| u32::try_from(span.as_secs()).unwrap_or(u32::MAX)),
    }
}
