//! Carries out what the delivery of one request decides.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use azurestand_route::{
    Choice, Delivery, DeliveryAction, DeliveryEvent, Prefix, QueueAccess, TargetRequirements,
};
use azurestand_types::{
    DataCentre, Incarnation, Moment, Outcome, Refusal, TargetName, Uncertainty,
};
use azurestand_wire::{Ack, AnswerHead, Body, Cancel, Release, Resume, Revoke, TargetRequest};
use bytes::{Buf, Bytes};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::Sink;
use crate::agent::raw;
use crate::codes;
use crate::entry::filter::{Classified, Place, Slot, Subject};
use crate::entry::fleet::Agent;
use crate::entry::outstanding::Answer;
use crate::entry::{Service, homes, spill};
use crate::event::Event;
use crate::metrics::{Counter, Timer};

/// How long a request waits for room before it is refused.
const ROOM_LIMIT: Duration = Duration::from_secs(1);
const ROOM_POLL: Duration = Duration::from_millis(25);
/// How long an entry tries to reach a host again that has one of its requests.
const REACH_LIMIT: Duration = Duration::from_secs(3);
const REACH_POLL: Duration = Duration::from_millis(50);
/// How long a revoke may stay unanswered.
const REVOKE_LIMIT: Duration = Duration::from_secs(2);
/// Bytes passed on between two acknowledgements.
const ACK_BYTES: u64 = 32 * 1024;

/// Who sent the request.
#[derive(Debug)]
pub(in crate::entry) enum Origin {
    /// A caller, whose account's slot is held until the end.
    Caller(#[expect(dead_code, reason = "held for its drop")] Slot),
    /// Another entry, which holds the slot.
    Entry,
}

/// The agent, or other entry, that has the request.
#[derive(Debug)]
struct Holder {
    agent: Agent,
    /// The moment of the holder's clock that every send of the request carries.
    stamp: Moment,
}

/// One request on its way.
#[derive(Debug)]
pub(in crate::entry) struct Carrier {
    service: Arc<Service>,
    request: Classified,
    delivery: Delivery,
    origin: Origin,
    sink: Sink,
    holder: Option<Holder>,
    /// The data centre that it was passed on to.
    passed: Option<DataCentre>,
    prefix: Prefix,
    place: Option<homes::Place>,
    answers: mpsc::UnboundedReceiver<Answer>,
    sender: mpsc::UnboundedSender<Answer>,
    answer_head: Option<AnswerHead>,
    part: Bytes,
    acked: u64,
    start: Instant,
    deadline: Instant,
    /// Whether the end of the entry's stop has ended the time of the request.
    cut: bool,
}

impl Carrier {
    pub(in crate::entry) fn new(
        service: Arc<Service>,
        request: Classified,
        origin: Origin,
        sink: Sink,
    ) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        let start = Instant::now();
        // A request of another entry earned its retries there.
        if matches!(origin, Origin::Caller(_)) {
            service.fleet.retries(azurestand_route::RetryBudget::earn);
        }
        let prefix = match request.subject {
            Subject::Model(_) => Prefix::of(&request.body),
            _ => Prefix::default(),
        };
        Self {
            delivery: Delivery::new(request.idempotent),
            deadline: start + request.patience,
            service,
            request,
            origin,
            sink,
            holder: None,
            passed: None,
            prefix,
            place: None,
            answers,
            sender,
            answer_head: None,
            part: Bytes::new(),
            acked: 0,
            start,
            cut: false,
        }
    }

    /// The way to tell the carrier what comes back for its request.
    pub(in crate::entry) fn answers(&self) -> mpsc::UnboundedSender<Answer> {
        self.sender.clone()
    }

    /// Carries the request to its end.
    pub(in crate::entry) async fn run(mut self) {
        let mut actions = VecDeque::from(self.first().await);
        let outcome = loop {
            match actions.pop_front() {
                Some(DeliveryAction::Finish(outcome)) => break outcome,
                Some(action) => {
                    if let Some(event) = self.act(action).await {
                        actions.extend(self.decide(event));
                    }
                }
                None => {
                    let event = self.next().await;
                    actions.extend(self.decide(event));
                }
            }
        };
        self.finish(outcome).await;
    }

    /// A caller that takes a stream up again names the target that has it.
    async fn first(&mut self) -> Vec<DeliveryAction> {
        let Some(place) = self.request.place.clone() else {
            return vec![DeliveryAction::Choose];
        };
        let Some(agent) = self.find_place(&place).await else {
            // The request did run, even if its target can't be found from here.
            let why = Uncertainty::Unreachable;
            return vec![DeliveryAction::Finish(Outcome::Unknown(why))];
        };
        self.request.id = place.id;
        let choice = Choice {
            target: place.target,
            host: agent.host.clone(),
            weights: None,
        };
        self.delivery = Delivery::resumed(choice.clone(), place.offset);
        self.acked = place.offset;
        self.expect(&choice);
        self.holder = Some(hold(agent));
        vec![DeliveryAction::Resume {
            offset: place.offset,
        }]
    }

    /// The agent of a target, or an entry of the target's data centre.
    async fn find_place(&self, place: &Place) -> Option<Agent> {
        let own = &self.service.node.links.own().centre;
        let until = (Instant::now() + ROOM_LIMIT).min(self.deadline);
        while Instant::now() < until {
            if place.centre != *own {
                return spill::find_in(&self.service, &self.request, &place.centre).await;
            }
            let host = self.service.fleet.host(&place.target);
            let agent = host.and_then(|host| self.service.fleet.agent(&host));
            if agent.is_some() {
                return agent;
            }
            // A link that was lost is open again soon.
            sleep(ROOM_POLL).await;
        }
        None
    }

    fn decide(&mut self, event: DeliveryEvent) -> Vec<DeliveryAction> {
        let delivery = &mut self.delivery;
        let fleet = &self.service.fleet;
        fleet.retries(|retries| delivery.handle(event, retries))
    }

    async fn act(&mut self, action: DeliveryAction) -> Option<DeliveryEvent> {
        match action {
            DeliveryAction::Choose => Some(self.choose().await),
            DeliveryAction::Send(choice) => self.send(&choice).await,
            DeliveryAction::PassHead => {
                if let Some(answer_head) = self.answer_head.take() {
                    self.sink.begin(answer_head).await;
                }
                None
            }
            DeliveryAction::PassPart { skip } => self.pass(skip).await,
            DeliveryAction::Reconnect => Some(self.reach().await),
            DeliveryAction::Resume { offset } => self.resume(offset).await,
            DeliveryAction::Revoke => {
                self.deadline = Instant::now() + REVOKE_LIMIT;
                self.revoke().await;
                None
            }
            DeliveryAction::Cancel => {
                self.cancel().await;
                None
            }
            DeliveryAction::Release => {
                let (id, target) = (raw(self.request.id), self.target());
                self.tell(Body::Release(Release { id, target })).await;
                None
            }
            DeliveryAction::Finish(_) => None,
        }
    }

    async fn choose(&mut self) -> DeliveryEvent {
        self.settle();
        if !self.delivery.refused().is_empty() {
            Event::Retried.log(self.request.id);
            self.service.node.metrics.count(Counter::Retried, 1);
        }
        let until = (Instant::now() + ROOM_LIMIT).min(self.deadline);
        loop {
            let found = match homes::place(&self.service, &self.request) {
                Some(place) => self.choose_home(&place).await,
                None => self.choose_any().await,
            };
            if let Some(event) = found {
                return event;
            }
            if Instant::now() >= until {
                return DeliveryEvent::NoTarget(self.refusal());
            }
            sleep(ROOM_POLL).await;
        }
    }

    async fn choose_any(&mut self) -> Option<DeliveryEvent> {
        if !spill::is_out(&self.service)
            && let Some(choice) = self.choose_here(None)
        {
            return Some(self.take_choice(choice));
        }
        let refused = self.delivery.refused();
        let (centre, entry) = spill::find(&self.service, &self.request, refused).await?;
        let target = TargetName::try_from(entry.host.as_str()).ok()?;
        self.passed = Some(centre);
        Some(self.pass_on(entry, target))
    }

    /// Only the home of its key can tell whether a keyed request has run.
    async fn choose_home(&mut self, place: &homes::Place) -> Option<DeliveryEvent> {
        self.place = Some(place.clone());
        let own = self.service.node.links.own().centre.clone();
        for home in homes::order(&self.service, place) {
            if self.delivery.refused().contains(&home.target) {
                continue;
            }
            if home.centre == own {
                if let Some(choice) = self.choose_here(Some(home.target)) {
                    return Some(self.take_choice(choice));
                }
            } else if let Some(entry) =
                spill::find_in(&self.service, &self.request, &home.centre).await
            {
                self.passed = Some(home.centre);
                return Some(self.pass_on(entry, home.target));
            }
        }
        None
    }

    fn take_choice(&mut self, choice: Choice) -> DeliveryEvent {
        self.holder = self.service.fleet.agent(&choice.host).map(hold);
        self.passed = None;
        DeliveryEvent::Chosen(choice)
    }

    fn choose_here(&self, only: Option<TargetName>) -> Option<Choice> {
        let now = self.service.node.clock.now();
        let refused = self.delivery.refused().iter();
        // Only a request that certainly ran nowhere may go to other weights.
        let last = self
            .delivery
            .choice()
            .filter(|_| self.delivery.may_have_run());
        let wanted = TargetRequirements {
            avoid: refused.cloned().collect::<BTreeSet<_>>(),
            only,
            weights: last.and_then(|choice| choice.weights),
            queue_access: self.queue_access(),
            prefix: self.prefix.clone(),
            ..TargetRequirements::subject(self.request.subject.as_str())
        };
        self.service.fleet.choose(now, &wanted)
    }

    /// How the account stands here; passed-on requests count where they came in.
    fn queue_access(&self) -> QueueAccess {
        let account = &self.request.account;
        self.service
            .fleet
            .accounts(|limits| limits.queue_access(account))
    }

    fn refusal(&self) -> Refusal {
        if spill::is_out(&self.service) {
            Refusal::OutOfService
        } else {
            Refusal::Busy
        }
    }

    /// Another data centre's entry stands in for a target.
    fn pass_on(&mut self, entry: Agent, target: TargetName) -> DeliveryEvent {
        self.service.node.metrics.count(Counter::Spilled, 1);
        let host = entry.host.clone();
        self.holder = Some(hold(entry));
        DeliveryEvent::Chosen(Choice {
            target,
            host,
            weights: None,
        })
    }

    fn expect(&self, choice: &Choice) {
        let fleet = &self.service.fleet;
        let attempt = self.delivery.attempt();
        let now = self.service.node.clock.now();
        let (id, sender) = (self.request.id, self.sender.clone());
        fleet.expect(now, id, choice, attempt, &self.prefix, sender);
        fleet.relays(|relays| relays.choose(self.request.id, choice));
    }

    /// Tells the target that nobody waits, unless a later carrier of the same request does.
    async fn cancel(&self) {
        let fleet = &self.service.fleet;
        if fleet.is_taken(self.request.id, &self.sender) {
            return;
        }
        let (id, target) = (raw(self.request.id), self.target());
        self.tell(Body::Cancel(Cancel { id, target })).await;
        self.settle();
    }

    fn settle(&self) {
        self.service.fleet.settle(self.request.id, &self.sender);
    }

    async fn send(&mut self, choice: &Choice) -> Option<DeliveryEvent> {
        self.expect(choice);
        let Some(request) = self.target_request(choice) else {
            // Nothing was sent, since the host's link has ended in between.
            return Some(DeliveryEvent::Refused(Refusal::Busy));
        };
        self.tell(Body::TargetRequest(Box::new(request))).await
    }

    fn target_request(&self, choice: &Choice) -> Option<TargetRequest> {
        let holder = self.holder.as_ref()?;
        let request = &self.request;
        let left = self.deadline.saturating_duration_since(Instant::now());
        Some(TargetRequest {
            id: raw(request.id),
            target: choice.target.to_string(),
            account: request.account.to_string(),
            priority: u32::from(request.priority.0),
            timeout_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            method: request.method.to_string(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            idempotency_key: request
                .key
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
            idempotent: request.idempotent,
            weights: choice.weights.map_or_else(Bytes::new, |digest| {
                Bytes::copy_from_slice(digest.as_bytes())
            }),
            hops: request.hops + 1,
            subject: request.subject.as_str().to_owned(),
            service: matches!(request.subject, Subject::Service(_)),
            agent_time: holder.stamp.as_micros(),
            incarnation: holder.agent.incarnation.0,
        })
    }

    fn target(&self) -> String {
        let choice = self.delivery.choice();
        choice.map_or_else(String::new, |choice| choice.target.to_string())
    }

    /// Sends to the holder; a link that takes nothing any more is lost.
    async fn tell(&self, body: Body) -> Option<DeliveryEvent> {
        let holder = self.holder.as_ref()?;
        match holder.agent.outbox.send(body).await {
            Ok(()) => None,
            Err(_) => Some(DeliveryEvent::LinkLost),
        }
    }

    /// Before the head came it isn't known that the request arrived, so it is
    /// sent again under its id and stamp; the agent runs it once.
    async fn resume(&mut self, offset: u64) -> Option<DeliveryEvent> {
        let taken_up = self.request.place.is_some();
        if !self.delivery.has_begun() && !taken_up {
            let choice = self.delivery.choice().cloned()?;
            let request = self.target_request(&choice)?;
            return self.tell(Body::TargetRequest(Box::new(request))).await;
        }
        Event::Resumed.log(self.request.id);
        self.service.node.metrics.count(Counter::Resumed, 1);
        let resume = Resume {
            id: raw(self.request.id),
            offset,
            account: self.request.account.to_string(),
            target: self.target(),
        };
        self.tell(Body::Resume(resume)).await
    }

    async fn revoke(&self) {
        let Some(holder) = &self.holder else { return };
        let revoke = Revoke {
            id: raw(self.request.id),
            agent_time: holder.stamp.as_micros(),
            incarnation: holder.agent.incarnation.0,
            target: self.target(),
        };
        self.tell(Body::Revoke(revoke)).await;
    }

    /// Waits for a link to the same life of the host that has the request.
    async fn reach(&mut self) -> DeliveryEvent {
        let Some(holder) = &mut self.holder else {
            return DeliveryEvent::Unreachable;
        };
        let until = (Instant::now() + REACH_LIMIT).min(self.deadline);
        while Instant::now() < until {
            let links = &self.service.node.links;
            let dialled = links.control(holder.agent.address).await;
            if let Ok(outbox) = dialled
                && !outbox.is_closed()
            {
                let incarnation = self.service.incarnation(&holder.agent);
                if incarnation.is_some_and(|found| found != holder.agent.incarnation) {
                    return DeliveryEvent::Failed(Uncertainty::TargetFailed);
                }
                holder.agent.outbox = outbox;
                return DeliveryEvent::LinkRestored;
            }
            sleep(REACH_POLL).await;
        }
        DeliveryEvent::Unreachable
    }

    async fn pass(&mut self, skip: u64) -> Option<DeliveryEvent> {
        let mut part = std::mem::take(&mut self.part);
        part.advance(usize::try_from(skip).unwrap_or(usize::MAX).min(part.len()));
        if let Some(centre) = &self.passed {
            let (now, bytes) = (self.service.node.clock.now(), part.len() as u64);
            let fleet = &self.service.fleet;
            fleet.spill(|spill, _| spill.spend(now, centre, bytes));
        }
        if !self.sink.pass(part).await {
            return Some(DeliveryEvent::CallerLeft);
        }
        let offset = self.delivery.offset();
        if offset - self.acked >= ACK_BYTES {
            self.acked = offset;
            let ack = Ack {
                id: raw(self.request.id),
                offset,
                target: self.target(),
            };
            self.tell(Body::Ack(ack)).await;
        }
        None
    }

    async fn next(&mut self) -> DeliveryEvent {
        loop {
            let answer = tokio::select! {
                biased;
                Some(answer) = self.answers.recv() => answer,
                () = sleep_until(self.deadline) => return DeliveryEvent::Expired,
                () = self.service.node.closing.cancelled(), if !self.cut => {
                    self.cut = true;
                    return DeliveryEvent::Expired;
                }
                () = self.sink.left() => return DeliveryEvent::CallerLeft,
            };
            match answer {
                // An earlier target's word must not be taken for the present one's.
                Answer::Lost(attempt) | Answer::Message(attempt, _)
                    if attempt != self.delivery.attempt() => {}
                Answer::Lost(_) => return DeliveryEvent::LinkLost,
                Answer::Left => return DeliveryEvent::CallerLeft,
                Answer::Expired => return DeliveryEvent::Expired,
                Answer::Message(_, body) => {
                    if let Some(event) = self.read(body) {
                        return event;
                    }
                }
            }
        }
    }

    fn read(&mut self, body: Body) -> Option<DeliveryEvent> {
        Some(match body {
            Body::AnswerHead(answer_head) => {
                let metrics = &self.service.node.metrics;
                metrics.time(Timer::FirstByte, self.start.elapsed());
                self.answer_head = Some(answer_head);
                self.note_answer();
                DeliveryEvent::HeadReceived
            }
            Body::AnswerPart(part) => {
                let length = part.bytes.len() as u64;
                self.part = part.bytes;
                DeliveryEvent::PartReceived {
                    offset: part.offset,
                    length,
                }
            }
            Body::AnswerEnd(end) => DeliveryEvent::BodyEnded { length: end.length },
            Body::Refused(refused) => {
                let refusal = codes::to_refusal(refused.reason);
                self.note_refusal(refusal, &refused.redirect);
                DeliveryEvent::Refused(refusal)
            }
            Body::Failed(failed) => DeliveryEvent::Failed(codes::to_uncertainty(failed.reason)),
            Body::Revoked(revoked) => DeliveryEvent::Revoked {
                started: revoked.started,
            },
            _ => return None,
        })
    }

    fn note_refusal(&self, refusal: Refusal, redirect: &str) {
        let fleet = &self.service.fleet;
        if let (Some(place), Ok(holder)) = (&self.place, TargetName::try_from(redirect)) {
            fleet.holders(|holders| holders.learn(place.clone(), holder));
            return;
        }
        // Other refusals are about the request and say nothing about room.
        let full = matches!(
            refusal,
            Refusal::Busy | Refusal::Draining | Refusal::OutOfService | Refusal::NotServed
        );
        let now = self.service.node.clock.now();
        if let (true, Some(centre)) = (full, &self.passed) {
            fleet.spill(|spill, _| spill.record_refusal(now, centre));
        } else if let (true, Some(choice)) = (full, self.delivery.choice()) {
            fleet.refused(now, &choice.target);
        }
    }

    fn note_answer(&self) {
        let fleet = &self.service.fleet;
        if let Some(centre) = &self.passed {
            let now = self.service.node.clock.now();
            fleet.spill(|spill, _| spill.record_accept(now, centre));
        } else if let Some(choice) = self.delivery.choice() {
            fleet.took(&choice.target);
        }
    }

    async fn finish(self, outcome: Outcome) {
        self.settle();
        let metrics = &self.service.node.metrics;
        metrics.time(Timer::Whole, self.start.elapsed());
        if matches!(self.origin, Origin::Caller(_)) {
            match outcome {
                Outcome::Answered => metrics.count(Counter::Answered, 1),
                Outcome::NotRun(refusal) => {
                    metrics.count(Counter::NotRun, 1);
                    Event::Refused.log(format_args!("{}: {refusal}", self.request.id));
                }
                Outcome::Unknown(why) => {
                    metrics.count(Counter::Unknown, 1);
                    Event::Unknown.log(format_args!("{}: {why}", self.request.id));
                }
            }
        }
        self.sink.finish(outcome).await;
    }
}

fn hold(agent: Agent) -> Holder {
    Holder {
        stamp: agent.clock,
        agent,
    }
}

impl Service {
    /// The life of the agent's host that is known now.
    fn incarnation(&self, agent: &Agent) -> Option<Incarnation> {
        let neighbours = self.node.neighbours();
        let known = neighbours.0.get(&agent.host);
        let gossip = known.map(|neighbour| neighbour.record.identity.incarnation);
        let report = self.fleet.agent(&agent.host).map(|agent| agent.incarnation);
        gossip.max(report)
    }
}
