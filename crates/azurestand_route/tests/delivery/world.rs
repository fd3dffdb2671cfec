//! A model of targets and links that shares no code with the entry.
//!
//! Links lose, delay, repeat and reorder messages. Each target keeps the state of one
//! request by itself; the model checks that no target runs a request after it refused
//! or revoked it.

use azurestand_route::{Attempt, Choice, Delivery, DeliveryAction, DeliveryEvent, RetryBudget};
use azurestand_types::{HostName, Outcome, Refusal, TargetName, Uncertainty};

const TARGETS: usize = 3;
const LENGTH: u64 = 6;

/// The state of the request at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    New,
    Waiting,
    Running {
        produced: u64,
    },
    Ended,
    Refused,
    Revoked,
    /// The target restarted and can't tell what it ran before.
    Forgotten,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask,
    Resume(u64),
    Revoke,
    Cancel,
}

#[derive(Debug, Clone)]
struct Packet {
    target: usize,
    attempt: Attempt,
    message: Message,
}

#[derive(Debug)]
struct Target {
    state: RequestState,
    ran: bool,
    contacted: bool,
}

/// The request, its targets and the messages in transit.
#[derive(Debug)]
pub(super) struct World {
    pub(super) delivery: Delivery,
    pub(super) outcomes: Vec<Outcome>,
    idempotent: bool,
    budget: RetryBudget,
    targets: Vec<Target>,
    to_targets: Vec<Packet>,
    to_entry: Vec<(usize, Attempt, DeliveryEvent)>,
    choosing: bool,
    reconnecting: Option<Attempt>,
    heads: u32,
    passed: Vec<(usize, u64)>,
    part: Option<(usize, u64, u64)>,
    pub(super) sends: Vec<usize>,
}

pub(super) fn choice(n: usize) -> Choice {
    Choice {
        target: TargetName::try_from(format!("target-{n}")).unwrap(),
        host: HostName::try_from(format!("host-{n}")).unwrap(),
        weights: None,
    }
}

fn number(choice: &Choice) -> usize {
    (0..TARGETS).find(|n| self::choice(*n) == *choice).unwrap()
}

impl World {
    pub(super) fn new(idempotent: bool) -> Self {
        let target = || Target {
            state: RequestState::New,
            ran: false,
            contacted: false,
        };
        Self {
            delivery: Delivery::new(idempotent),
            outcomes: Vec::new(),
            idempotent,
            budget: RetryBudget::new(0.1),
            targets: (0..TARGETS).map(|_| target()).collect(),
            to_targets: Vec::new(),
            to_entry: Vec::new(),
            choosing: true,
            reconnecting: None,
            heads: 0,
            passed: Vec::new(),
            part: None,
            sends: Vec::new(),
        }
    }

    /// Performs one of the events that are possible now, selected by two bytes.
    pub(super) fn step(&mut self, what: u8, which: u8) {
        let which = usize::from(which);
        match what % 16 {
            0 | 1 => self.offer_choice(which),
            2..=4 => self.deliver_to_target(which),
            5..=7 => self.deliver_to_entry(which),
            8 => self.advance(which % TARGETS, which),
            9 if which.is_multiple_of(3) => self.lose_link(which),
            10 => self.reconnect(which),
            11 => self.duplicate(which),
            12 if which.is_multiple_of(5) => self.restart(which % TARGETS, which),
            13 if which.is_multiple_of(29) => self.handle(DeliveryEvent::Expired),
            14 if which.is_multiple_of(61) => self.handle(DeliveryEvent::CallerLeft),
            _ => self.advance(which % TARGETS, which / TARGETS),
        }
    }

    /// Lets the request end and then delivers all that is still in transit.
    pub(super) fn settle(&mut self) {
        for _ in 0..4 {
            if self.delivery.is_done() {
                break;
            }
            self.reconnect(1);
            self.handle(DeliveryEvent::Expired);
        }
        assert!(self.delivery.is_done(), "the request never ends: {self:?}");
        // Delivers the remaining messages and lets the targets finish.
        while !self.to_targets.is_empty() {
            self.deliver_to_target(0);
        }
        for n in 0..TARGETS {
            (0..LENGTH + 2).for_each(|_| self.advance(n, 1));
        }
        while !self.to_entry.is_empty() {
            self.deliver_to_entry(0);
        }
        self.check_end();
    }

    fn check_end(&self) {
        assert_eq!(self.outcomes.len(), 1, "not exactly one outcome");
        let ran = self.targets.iter().filter(|target| target.ran).count();
        match self.outcomes[0] {
            Outcome::NotRun(_) => assert_eq!(ran, 0, "reported as not run, yet it ran: {self:?}"),
            Outcome::Answered => assert_eq!(self.passed.len() as u64, LENGTH, "partial answer"),
            Outcome::Unknown(_) => (),
        }
        if !self.idempotent {
            assert!(
                ran <= 1,
                "a request that is not idempotent ran twice: {self:?}"
            );
        }
    }

    fn offer_choice(&mut self, which: usize) {
        if !self.choosing {
            return;
        }
        let refused = self.delivery.refused();
        let able: Vec<_> = (0..TARGETS)
            .filter(|n| !refused.contains(&choice(*n).target))
            .collect();
        if able.is_empty() || which.is_multiple_of(17) {
            self.handle(DeliveryEvent::NoTarget(Refusal::Busy));
        } else {
            self.handle(DeliveryEvent::Chosen(choice(able[which % able.len()])));
        }
    }

    fn handle(&mut self, event: DeliveryEvent) {
        let actions = self.delivery.handle(event, &mut self.budget);
        self.act(actions);
    }

    fn handle_answer(&mut self, from: usize, attempt: Attempt, event: DeliveryEvent) {
        if let DeliveryEvent::PartReceived { offset, length } = event {
            self.part = Some((from, offset, length));
        }
        let actions = self
            .delivery
            .handle_answer(attempt, event, &mut self.budget);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<DeliveryAction>) {
        for action in actions {
            assert!(
                self.outcomes.is_empty(),
                "an action after the end: {action:?}"
            );
            match action {
                DeliveryAction::Choose => self.choosing = true,
                DeliveryAction::Send(choice) => self.send(number(&choice)),
                DeliveryAction::PassHead => self.heads += 1,
                DeliveryAction::PassPart { skip } => self.pass(skip),
                DeliveryAction::Reconnect => self.reconnecting = Some(self.delivery.attempt()),
                DeliveryAction::Resume { offset } => self.resume(offset),
                DeliveryAction::Revoke => self.post(Message::Revoke),
                DeliveryAction::Cancel => self.post(Message::Cancel),
                DeliveryAction::Release => (),
                DeliveryAction::Finish(outcome) => self.outcomes.push(outcome),
            }
        }
        assert!(self.heads <= 1, "more than one head");
    }

    fn send(&mut self, n: usize) {
        self.choosing = false;
        self.reconnecting = None;
        if !self.idempotent {
            let earlier = self.sends.iter().map(|n| &self.targets[*n]);
            for target in earlier {
                let settled = matches!(target.state, RequestState::Refused | RequestState::Revoked);
                assert!(
                    settled && !target.ran,
                    "sent again without a definitive refusal"
                );
            }
        }
        self.sends.push(n);
        self.post(Message::Ask);
    }

    fn resume(&mut self, offset: u64) {
        // Without the head it isn't known whether the request arrived, so it is sent
        // again.
        if self.delivery.has_begun() {
            self.post(Message::Resume(offset));
        } else {
            self.post(Message::Ask);
        }
    }

    fn post(&mut self, message: Message) {
        let target = number(self.delivery.choice().unwrap());
        let attempt = self.delivery.attempt();
        self.to_targets.push(Packet {
            target,
            attempt,
            message,
        });
    }

    fn pass(&mut self, skip: u64) {
        let (from, offset, length) = self.part.take().unwrap();
        assert_eq!(self.heads, 1, "a body before its head");
        for byte in offset + skip..offset + length {
            assert_eq!(byte, self.passed.len() as u64, "a gap or a repeated byte");
            self.passed.push((from, byte));
        }
        let first = self.passed[0].0;
        assert!(
            self.passed.iter().all(|(from, _)| *from == first),
            "two answers mixed"
        );
    }

    /// Delivers a message to its target, in any order.
    fn deliver_to_target(&mut self, which: usize) {
        if self.to_targets.is_empty() {
            return;
        }
        let packet = self.to_targets.remove(which % self.to_targets.len());
        let n = packet.target;
        let revoked = |started| DeliveryEvent::Revoked { started };
        let event = match (packet.message, self.targets[n].state) {
            (Message::Ask, RequestState::New) => {
                self.targets[n].state = RequestState::Waiting;
                None
            }
            (Message::Ask | Message::Resume(_), RequestState::Refused | RequestState::Revoked) => {
                Some(DeliveryEvent::Refused(Refusal::Busy))
            }
            (Message::Ask | Message::Resume(_), RequestState::Forgotten) => {
                Some(DeliveryEvent::Failed(Uncertainty::Unreachable))
            }
            (Message::Ask, state) => return self.send_answer(n, packet.attempt, 0, state),
            (Message::Resume(offset), state) => {
                return self.send_answer(n, packet.attempt, offset, state);
            }
            (Message::Revoke, RequestState::New | RequestState::Waiting) => {
                self.targets[n].state = RequestState::Revoked;
                Some(revoked(false))
            }
            (Message::Revoke, RequestState::Refused | RequestState::Revoked) => {
                Some(revoked(false))
            }
            (Message::Revoke, _) => Some(revoked(true)),
            (Message::Cancel, _) => None,
        };
        self.reply(n, packet.attempt, event);
    }

    fn reply(&mut self, n: usize, attempt: Attempt, event: Option<DeliveryEvent>) {
        self.targets[n].contacted = true;
        self.to_entry.extend(event.map(|event| (n, attempt, event)));
    }

    fn send_answer(&mut self, n: usize, attempt: Attempt, offset: u64, state: RequestState) {
        let produced = match state {
            RequestState::Running { produced } => produced,
            RequestState::Ended => LENGTH,
            _ => return,
        };
        self.reply(n, attempt, Some(DeliveryEvent::HeadReceived));
        if produced > offset {
            let length = produced - offset;
            self.reply(
                n,
                attempt,
                Some(DeliveryEvent::PartReceived { offset, length }),
            );
        }
        if state == RequestState::Ended {
            self.reply(
                n,
                attempt,
                Some(DeliveryEvent::BodyEnded { length: LENGTH }),
            );
        }
    }

    /// Advances the target: it starts, continues or refuses the request.
    fn advance(&mut self, n: usize, how: usize) {
        let place = self.sends.iter().rposition(|sent| *sent == n);
        let Some(place) = place else { return };
        let attempt = Attempt(u32::try_from(place + 1).unwrap());
        let (state, event) = match self.targets[n].state {
            RequestState::Waiting if how.is_multiple_of(3) => (
                RequestState::Refused,
                DeliveryEvent::Refused(Refusal::Draining),
            ),
            RequestState::Waiting => {
                self.targets[n].ran = true;
                (
                    RequestState::Running { produced: 0 },
                    DeliveryEvent::HeadReceived,
                )
            }
            RequestState::Running { produced } if produced < LENGTH => {
                let length = 1 + how as u64 % (LENGTH - produced);
                let part = DeliveryEvent::PartReceived {
                    offset: produced,
                    length,
                };
                (
                    RequestState::Running {
                        produced: produced + length,
                    },
                    part,
                )
            }
            RequestState::Running { .. } => (
                RequestState::Ended,
                DeliveryEvent::BodyEnded { length: LENGTH },
            ),
            _ => return,
        };
        self.targets[n].state = state;
        self.reply(n, attempt, Some(event));
    }

    /// Delivers a message to the entry, in any order.
    fn deliver_to_entry(&mut self, which: usize) {
        if self.to_entry.is_empty() {
            return;
        }
        let (n, attempt, event) = self.to_entry.remove(which % self.to_entry.len());
        self.handle_answer(n, attempt, event);
    }

    /// Loses the link, usually with the messages on it; the rest arrives late.
    fn lose_link(&mut self, which: usize) {
        if self.sends.is_empty() {
            return;
        }
        let attempt = self.delivery.attempt();
        let n = *self.sends.last().unwrap();
        if !which.is_multiple_of(4) {
            self.to_targets.retain(|packet| packet.target != n);
            self.to_entry.retain(|(from, _, _)| *from != n);
        }
        self.handle_answer(n, attempt, DeliveryEvent::LinkLost);
    }

    fn reconnect(&mut self, which: usize) {
        let Some(attempt) = self.reconnecting.take() else {
            return;
        };
        let event = if which.is_multiple_of(4) {
            DeliveryEvent::Unreachable
        } else {
            DeliveryEvent::LinkRestored
        };
        let n = *self.sends.last().unwrap();
        self.handle_answer(n, attempt, event);
    }

    /// Duplicates a message in transit, as if it was sent on two links.
    fn duplicate(&mut self, which: usize) {
        if which.is_multiple_of(2) && !self.to_targets.is_empty() {
            let packet = self.to_targets[which % self.to_targets.len()].clone();
            self.to_targets.push(packet);
        } else if !self.to_entry.is_empty() {
            let packet = self.to_entry[which % self.to_entry.len()].clone();
            self.to_entry.push(packet);
        }
    }

    /// Restarts the target's process; the entry may or may not see that the engine
    /// failed.
    fn restart(&mut self, n: usize, which: usize) {
        if !self.targets[n].contacted || !which.is_multiple_of(2) {
            return;
        }
        // A refused or revoked request can't have run, so a restart changes nothing.
        if matches!(
            self.targets[n].state,
            RequestState::Refused | RequestState::Revoked
        ) {
            return;
        }
        self.targets[n].state = RequestState::Forgotten;
        let place = self.sends.iter().rposition(|sent| *sent == n).unwrap();
        let attempt = Attempt(u32::try_from(place + 1).unwrap());
        let event = DeliveryEvent::Failed(Uncertainty::TargetFailed);
        self.reply(n, attempt, Some(event));
    }
}
