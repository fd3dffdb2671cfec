//! Runs one target: its life, its admission, its answers and its orders.
//!
//! One task owns all of a target's state, so that every decision about it is
//! made in one order; calls to the target run beside it and report back.

mod answers;
mod claims;
mod orders;
mod requests;
mod run;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_config::Document;
use azurestand_target::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Ending, ExchangeSettings,
    Exchanges, Kind, Lifecycle, LifecycleEvent, LifecycleSettings, Phase, Report, Stamp,
};
use azurestand_types::{BootId, Moment, Refusal, RequestId, Uncertainty};
use azurestand_wire::{Body, Outbox, TargetLoad, TargetRequest};
use bytes::Bytes;
use tokio::sync::{mpsc, watch as latest};
use tokio::time::{MissedTickBehavior, interval};

use self::answers::Request;
use self::claims::{ClaimNews, Claims};
use self::orders::{Loader, OrderNews};
pub(crate) use self::requests::{failed, raw, refused};
use self::run::RunEvent;
use super::engine::{Engine, EngineReport, EngineState};
use super::spread::SpreadView;
use super::vault::Vault;
use crate::client::{CallError, HttpClient};
use crate::codes;
use crate::event::Event;
use crate::node::Node;
use crate::settings::{TargetKind, TargetSettings};

const INPUT_QUEUE: usize = 4_096;
const TICK: Duration = Duration::from_millis(50);
/// How often a target is asked for its report.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A target that gave no report for this long is taken to have lost its work.
const LOST_LIMIT: Duration = Duration::from_secs(5);

/// What a target's controller is told.
#[derive(Debug)]
pub(crate) enum Input {
    /// An entry asks for a run.
    Request {
        /// The request.
        request: Box<TargetRequest>,
        /// The way back.
        outbox: Outbox,
    },
    /// An entry takes up an answer.
    Resume {
        /// The request.
        id: RequestId,
        /// Bytes that the entry has.
        offset: u64,
        /// The account that sent the request.
        account: String,
        /// The way back.
        outbox: Outbox,
    },
    /// An entry takes a request back.
    Revoke {
        /// The request.
        id: RequestId,
        /// The revoked send's stamp.
        stamp: Stamp,
        /// The way back.
        outbox: Outbox,
    },
    /// The caller left.
    Cancel(RequestId),
    /// The entry has the answer up to an offset.
    Ack(RequestId, u64),
    /// The entry has the whole answer.
    Release(RequestId),
    /// A call to the target brought something.
    Run {
        /// The request.
        id: RequestId,
        /// What it brought.
        event: RunEvent,
    },
    /// The target answered a question for its report, asked at `taken`.
    Polled {
        /// When it was asked.
        taken: Moment,
        /// The report.
        report: Result<EngineReport, CallError>,
    },
    /// The store answered about claims.
    Claims(ClaimNews),
    /// Something that the orders wait for.
    Orders(OrderNews),
    /// The host leaves service.
    Leave,
}

/// What a target can take, as entries are told.
#[derive(Debug, Clone)]
pub(crate) struct TargetView {
    /// The load to report.
    pub(crate) load: TargetLoad,
    /// Requests that run or wait.
    pub(crate) busy: usize,
}

/// The ways to a running controller.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) settings: Arc<TargetSettings>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) view: latest::Receiver<TargetView>,
}

pub(super) struct Controller {
    node: Node,
    settings: Arc<TargetSettings>,
    client: HttpClient,
    engine: Engine,
    life: Lifecycle,
    admission: Admission,
    exchanges: Exchanges,
    requests: BTreeMap<RequestId, Request>,
    loader: Option<Loader>,
    spread: SpreadView,
    vault: Vault,
    inputs: mpsc::Receiver<Input>,
    own: mpsc::Sender<Input>,
    view: latest::Sender<TargetView>,
    phase: Phase,
    probe: Probe,
    claims: Option<Claims>,
    leaving: bool,
    out: bool,
}

/// The questions for the target's report.
#[derive(Debug)]
struct Probe {
    /// Whether one is under way.
    open: bool,
    /// When the last one was asked.
    asked: Moment,
    /// Whether the last one was answered.
    answered: bool,
    /// When the last answered one was asked.
    heard: Moment,
}

/// What all targets of a host share.
#[derive(Debug, Clone)]
pub(crate) struct Surroundings {
    /// HTTP towards targets.
    pub(crate) client: HttpClient,
    /// What the spread of weights shows.
    pub(crate) spread: SpreadView,
    /// The chunks that are here.
    pub(crate) vault: Vault,
    /// Where engines fetch weights.
    pub(crate) source: String,
}

/// Starts the controller of one target.
pub(crate) fn start(node: &Node, settings: TargetSettings, around: &Surroundings) -> Handle {
    let (own, inputs) = mpsc::channel(INPUT_QUEUE);
    let settings = Arc::new(settings);
    let document = node.document();
    let life = Lifecycle::new(life_settings(&settings.kind, &document));
    let queue_length = document.limits().queue_length as usize;
    let admission = Admission::new(AdmissionSettings {
        queue_length,
        ..AdmissionSettings::default()
    });
    let first = TargetView {
        load: TargetLoad::default(),
        busy: 0,
    };
    let (view, shown) = latest::channel(first);
    let controller = Controller {
        node: node.clone(),
        engine: Engine::new(around.client.clone(), settings.address),
        settings: settings.clone(),
        client: around.client.clone(),
        life,
        admission,
        exchanges: Exchanges::new(ExchangeSettings::default(), node.links.own().incarnation),
        requests: BTreeMap::new(),
        loader: Loader::start(node, &settings, &own, around.source.clone()),
        spread: around.spread.clone(),
        vault: around.vault.clone(),
        inputs,
        own: own.clone(),
        view,
        phase: Phase::Empty,
        probe: Probe {
            open: false,
            asked: Moment::START,
            answered: true,
            heard: Moment::START,
        },
        claims: Claims::start(node, &settings),
        leaving: false,
        out: false,
    };
    tokio::spawn(controller.run());
    Handle {
        settings,
        inputs: own,
        view: shown,
    }
}

fn life_settings(kind: &TargetKind, document: &Document) -> LifecycleSettings {
    let limits = document.limits();
    LifecycleSettings {
        kind: match kind {
            TargetKind::Engine { .. } => Kind::Engine,
            TargetKind::Service { .. } => Kind::Service,
        },
        cold_limit: limits.cold_slots,
        warm_limit: limits.warm_slots,
        growth: percent(limits.growth),
        good_token: limits.first_token,
        ..LifecycleSettings::default()
    }
}

/// A factor such as 1.5 as the 50 percent by which it lets a limit grow.
fn percent(factor: f64) -> u32 {
    let percent = ((factor - 1.0) * 100.0).round().clamp(1.0, 1_000.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let percent = percent as u32;
    percent
}

impl Controller {
    async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stop = self.node.stop.clone();
        let mut documents = self.node.document.clone();
        let mut complete = self.spread.complete.clone();
        self.follow_document();
        loop {
            tokio::select! {
                Some(input) = self.inputs.recv() => self.take(input),
                _ = ticks.tick() => self.tick(),
                Ok(()) = documents.changed() => self.follow_document(),
                Ok(()) = complete.changed() => self.want_version(),
                () = stop.cancelled() => return,
            }
            self.show();
        }
    }

    fn now(&self) -> Moment {
        self.node.clock.now()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request { request, outbox } => self.request(*request, &outbox),
            Input::Resume {
                id,
                offset,
                account,
                outbox,
            } => self.resume(id, offset, &account, outbox),
            Input::Revoke { id, stamp, outbox } => self.revoke(id, stamp, &outbox),
            Input::Cancel(id) => self.cancel(id),
            Input::Ack(id, offset) => self.ack(id, offset),
            Input::Release(id) => self.release(id),
            Input::Run { id, event } => self.take_run(id, event),
            Input::Polled { taken, report } => self.take_report(taken, report),
            Input::Claims(news) => self.take_claim_news(news),
            Input::Orders(news) => self.take_order_news(news),
            Input::Leave => self.leave(),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.live(LifecycleEvent::Tick);
        self.admit(AdmissionEvent::Tick);
        self.exchanges.tick(now);
        self.pump_all();
        self.forget_old();
        self.cancel_orphans();
        self.tend_orders();
        self.tend_claims();
        if now.since(self.probe.asked) >= POLL_INTERVAL {
            self.poll();
        }
    }

    /// Asks the target for its report, unless a question is under way.
    fn poll(&mut self) {
        if self.probe.open {
            return;
        }
        self.probe.open = true;
        let taken = self.now();
        self.probe.asked = taken;
        let (engine, own) = (self.engine.clone(), self.own.clone());
        let service = matches!(self.settings.kind, TargetKind::Service { .. });
        tokio::spawn(async move {
            let report = if service {
                engine.reach().await
            } else {
                engine.state().await
            };
            let _ = own.send(Input::Polled { taken, report }).await;
        });
    }

    fn take_report(&mut self, taken: Moment, report: Result<EngineReport, CallError>) {
        self.probe.open = false;
        match report {
            Ok(report) => {
                self.probe.answered = true;
                self.probe.heard = taken;
                self.learn(taken, &report);
            }
            Err(error) => {
                if self.probe.answered {
                    Event::TargetLost.log(format_args!("{}: {error}", self.settings.name));
                }
                self.probe.answered = false;
                self.live(LifecycleEvent::Failed);
                self.give_up();
            }
        }
    }

    /// Ends what a target is at work on that has not answered for long: no report will
    /// confirm those answers any more.
    fn give_up(&mut self) {
        let now = self.now();
        if now.since(self.probe.heard) < LOST_LIMIT {
            return;
        }
        for id in self.exchanges.fail(now, Uncertainty::TargetFailed) {
            self.settle_claim(id);
            self.stop_run(id);
        }
        self.stop_abandoned_runs();
        self.pump_all();
    }

    fn learn(&mut self, taken: Moment, report: &EngineReport) {
        let ready = matches!(report.state, EngineState::Cold | EngineState::Warm);
        self.live(LifecycleEvent::Report(Report {
            boot: report.boot_id,
            digest: report.digest,
            ready,
            waiting: report.waiting,
        }));
        self.learn_engine(taken, report);
        let Some(weights) = self.life.reported() else {
            return;
        };
        let now = self.now();
        for id in self.exchanges.report(now, taken, weights) {
            self.settle_claim(id);
            self.abandon_run(id);
        }
        self.pump_all();
    }

    /// Feeds the life, then lets admission know what it allows now.
    fn live(&mut self, event: LifecycleEvent) {
        let now = self.now();
        self.life.handle(now, event);
        let phase = self.life.phase();
        if phase != self.phase {
            Event::State.log(format_args!("{} is {phase}", self.settings.name));
            self.phase = phase;
        }
        self.admit(AdmissionEvent::LimitChanged {
            weights: self.life.serves(),
            limit: self.life.limit(),
        });
    }

    fn admit(&mut self, event: AdmissionEvent) {
        let now = self.now();
        for action in self.admission.handle(now, event) {
            self.act(&action);
        }
    }

    fn act(&mut self, action: &AdmissionAction) {
        match *action {
            AdmissionAction::Start { id, weights } => self.start_run(id, weights),
            AdmissionAction::Refuse(id, refusal) => {
                self.end(id, Ending::NotRun(refusal));
                self.settle_claim(id);
            }
            AdmissionAction::Revoked(id) => {
                self.end(id, Ending::NotRun(Refusal::Revoked));
                self.settle_claim(id);
                self.answer_revoke(id, false);
            }
            AdmissionAction::Running(id) => self.answer_revoke(id, true),
            AdmissionAction::Cancel(id) => {
                self.end(id, Ending::Unknown(Uncertainty::Unreachable));
                self.settle_claim(id);
                self.abandon_run(id);
            }
        }
    }

    fn end(&mut self, id: RequestId, ending: Ending) {
        let now = self.now();
        self.exchanges.end(now, id, ending);
        self.pump(id);
    }

    /// Takes over what the document says about this data centre.
    fn follow_document(&mut self) {
        let document = self.node.document();
        let centre = self.node.links.own().centre.clone();
        let centre = &centre;
        if self.leaving {
            return;
        }
        let settings = life_settings(&self.settings.kind, &document);
        self.live(LifecycleEvent::Configured(settings));
        let queue = document.limits().queue_length as usize;
        self.admit(AdmissionEvent::QueueChanged(queue));
        // Before any document is in force there is nothing to take a data centre out.
        self.out = document.centres().contains_key(centre) && !document.in_service(centre);
        if self.out {
            self.live(LifecycleEvent::CentreOut);
            self.admit(AdmissionEvent::Close(Refusal::OutOfService));
        } else {
            self.live(LifecycleEvent::CentreIn);
            self.open_if_allowed();
        }
        self.want_version();
        self.list_homes();
    }

    /// Admits again, unless something else still keeps the target out of service.
    fn open_if_allowed(&mut self) {
        if !self.out && !self.leaving && !self.is_loading() {
            self.admit(AdmissionEvent::Open);
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        self.live(LifecycleEvent::Leave);
        self.admit(AdmissionEvent::Close(Refusal::Draining));
        self.stop_abandoned_runs();
        self.leave_claims();
    }

    fn show(&self) {
        let weights = self.life.serves().and_then(|weights| weights.digest);
        let load = TargetLoad {
            target: self.settings.name.to_string(),
            subject: self.settings.kind.subject().to_owned(),
            engine: matches!(self.settings.kind, TargetKind::Engine { .. }),
            state: codes::from_phase(self.life.phase()),
            limit: self.life.limit(),
            running: small(self.admission.running()),
            waiting: small(self.admission.waiting()),
            weights: weights.map_or_else(Bytes::new, |digest| {
                Bytes::copy_from_slice(digest.as_bytes())
            }),
        };
        let busy = self.admission.running() + self.admission.waiting() + self.unread();
        let busy = busy + usize::from(self.holds_claims());
        self.view.send_if_modified(|view| {
            let changed = view.load != load || view.busy != busy;
            *view = TargetView { load, busy };
            changed
        });
    }
}

fn small(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Queues a message that must arrive, without holding the controller up.
fn tell(outbox: &Outbox, body: Body) {
    if let Err(body) = outbox.try_send(body) {
        let outbox = outbox.clone();
        tokio::spawn(async move { outbox.send(body).await });
    }
}

/// The boot id of a plain service, which reports none.
const SERVICE_BOOT: BootId = BootId(1);

impl Engine {
    /// Whether a plain service takes connections.
    async fn reach(&self) -> Result<EngineReport, CallError> {
        self.connect().await?;
        Ok(EngineReport {
            boot_id: SERVICE_BOOT,
            digest: None,
            state: EngineState::Warm,
            fence: azurestand_types::Fence(0),
            loading: None,
            waiting: 0,
        })
    }
}
