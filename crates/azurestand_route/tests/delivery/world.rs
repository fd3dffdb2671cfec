//! A model of targets and links that knows nothing of how the entry decides.
//!
//! Links lose, delay, repeat and reorder. Each target remembers one request by
//! itself and checks that it isn't started after a word that it never will be.

use azurestand_route::{Attempt, Choice, Delivery, DeliveryAction, DeliveryEvent, RetryBudget};
use azurestand_types::{HostName, Outcome, Refusal, TargetName, Uncertainty};

const TARGETS: usize = 3;
const LENGTH: u64 = 6;

/// What one target knows of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Memory {
    New,
    Waiting,
    Running {
        made: u64,
    },
    Ended,
    Refused,
    Barred,
    /// A later life, which can't tell what its earlier one ran.
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
struct Letter {
    target: usize,
    attempt: Attempt,
    message: Message,
}

#[derive(Debug)]
struct Target {
    memory: Memory,
    ran: bool,
    seen: bool,
}

/// The request, its targets and everything on the way.
#[derive(Debug)]
pub(super) struct World {
    pub(super) delivery: Delivery,
    pub(super) outcomes: Vec<Outcome>,
    idempotent: bool,
    budget: RetryBudget,
    targets: Vec<Target>,
    to_targets: Vec<Letter>,
    to_entry: Vec<(usize, Attempt, DeliveryEvent)>,
    choosing: bool,
    reaching: Option<Attempt>,
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
            memory: Memory::New,
            ran: false,
            seen: false,
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
            reaching: None,
            heads: 0,
            passed: Vec::new(),
            part: None,
            sends: Vec::new(),
        }
    }

    /// Does one thing of those that can happen now, picked by two bytes.
    pub(super) fn step(&mut self, what: u8, which: u8) {
        let which = usize::from(which);
        match what % 16 {
            0 | 1 => self.offer_choice(which),
            2..=4 => self.carry(which),
            5..=7 => self.hear(which),
            8 => self.work(which % TARGETS, which),
            9 if which.is_multiple_of(3) => self.lose_link(which),
            10 => self.reach(which),
            11 => self.repeat(which),
            12 if which.is_multiple_of(5) => self.crash(which % TARGETS, which),
            13 if which.is_multiple_of(29) => self.tell(DeliveryEvent::Expired),
            14 if which.is_multiple_of(61) => self.tell(DeliveryEvent::Left),
            _ => self.work(which % TARGETS, which / TARGETS),
        }
    }

    /// Lets time pass until the request has ended.
    pub(super) fn settle(&mut self) {
        for _ in 0..4 {
            if self.delivery.is_done() {
                break;
            }
            self.reach(1);
            self.tell(DeliveryEvent::Expired);
        }
        assert!(self.delivery.is_done(), "the request never ends: {self:?}");
        // What is still on its way arrives after all, and targets work on.
        while !self.to_targets.is_empty() {
            self.carry(0);
        }
        for n in 0..TARGETS {
            (0..LENGTH + 2).for_each(|_| self.work(n, 1));
        }
        while !self.to_entry.is_empty() {
            self.hear(0);
        }
        self.check_end();
    }

    fn check_end(&self) {
        assert_eq!(self.outcomes.len(), 1, "one outcome");
        let ran = self.targets.iter().filter(|target| target.ran).count();
        match self.outcomes[0] {
            Outcome::NotRun(_) => assert_eq!(ran, 0, "not run was said, yet it ran: {self:?}"),
            Outcome::Answered => assert_eq!(self.passed.len() as u64, LENGTH, "a whole answer"),
            Outcome::Unknown(_) => (),
        }
        if !self.idempotent {
            assert!(
                ran <= 1,
                "a call that may not be repeated ran twice: {self:?}"
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
            self.tell(DeliveryEvent::NoTarget(Refusal::Busy));
        } else {
            self.tell(DeliveryEvent::Chosen(choice(able[which % able.len()])));
        }
    }

    fn tell(&mut self, event: DeliveryEvent) {
        let actions = self.delivery.handle(event, &mut self.budget);
        self.act(actions);
    }

    fn answer(&mut self, from: usize, attempt: Attempt, event: DeliveryEvent) {
        if let DeliveryEvent::Part { offset, length } = event {
            self.part = Some((from, offset, length));
        }
        let actions = self.delivery.answer(attempt, event, &mut self.budget);
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
                DeliveryAction::Begin => self.heads += 1,
                DeliveryAction::Pass { skip } => self.pass(skip),
                DeliveryAction::Reach => self.reaching = Some(self.delivery.attempt()),
                DeliveryAction::Resume { offset } => self.resume(offset),
                DeliveryAction::Revoke => self.post(Message::Revoke),
                DeliveryAction::Cancel => self.post(Message::Cancel),
                DeliveryAction::Release => (),
                DeliveryAction::Finish(outcome) => self.outcomes.push(outcome),
            }
        }
        assert!(self.heads <= 1, "one head");
    }

    fn send(&mut self, n: usize) {
        self.choosing = false;
        self.reaching = None;
        if !self.idempotent {
            let earlier = self.sends.iter().map(|n| &self.targets[*n]);
            for target in earlier {
                let settled = matches!(target.memory, Memory::Refused | Memory::Barred);
                assert!(
                    settled && !target.ran,
                    "sent on without a definitive refusal"
                );
            }
        }
        self.sends.push(n);
        self.post(Message::Ask);
    }

    fn resume(&mut self, offset: u64) {
        // Before the head came it isn't known that the request arrived.
        if self.delivery.has_begun() {
            self.post(Message::Resume(offset));
        } else {
            self.post(Message::Ask);
        }
    }

    fn post(&mut self, message: Message) {
        let target = number(self.delivery.choice().unwrap());
        let attempt = self.delivery.attempt();
        self.to_targets.push(Letter {
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

    /// A message reaches its target, in any order.
    fn carry(&mut self, which: usize) {
        if self.to_targets.is_empty() {
            return;
        }
        let letter = self.to_targets.remove(which % self.to_targets.len());
        let n = letter.target;
        let revoked = |started| DeliveryEvent::Revoked { started };
        let event = match (letter.message, self.targets[n].memory) {
            (Message::Ask, Memory::New) => {
                self.targets[n].memory = Memory::Waiting;
                None
            }
            (Message::Ask | Message::Resume(_), Memory::Refused | Memory::Barred) => {
                Some(DeliveryEvent::Refused(Refusal::Busy))
            }
            (Message::Ask | Message::Resume(_), Memory::Forgotten) => {
                Some(DeliveryEvent::Failed(Uncertainty::Unreachable))
            }
            (Message::Ask, memory) => return self.read(n, letter.attempt, 0, memory),
            (Message::Resume(offset), memory) => {
                return self.read(n, letter.attempt, offset, memory);
            }
            (Message::Revoke, Memory::New | Memory::Waiting) => {
                self.targets[n].memory = Memory::Barred;
                Some(revoked(false))
            }
            (Message::Revoke, Memory::Refused | Memory::Barred) => Some(revoked(false)),
            (Message::Revoke, _) => Some(revoked(true)),
            (Message::Cancel, _) => None,
        };
        self.reply(n, letter.attempt, event);
    }

    fn reply(&mut self, n: usize, attempt: Attempt, event: Option<DeliveryEvent>) {
        self.targets[n].seen = true;
        self.to_entry.extend(event.map(|event| (n, attempt, event)));
    }

    fn read(&mut self, n: usize, attempt: Attempt, offset: u64, memory: Memory) {
        let made = match memory {
            Memory::Running { made } => made,
            Memory::Ended => LENGTH,
            _ => return,
        };
        self.reply(n, attempt, Some(DeliveryEvent::Began));
        if made > offset {
            let length = made - offset;
            self.reply(n, attempt, Some(DeliveryEvent::Part { offset, length }));
        }
        if memory == Memory::Ended {
            self.reply(n, attempt, Some(DeliveryEvent::Ended { length: LENGTH }));
        }
    }

    /// The target starts, goes on with, or refuses what it has.
    fn work(&mut self, n: usize, how: usize) {
        let place = self.sends.iter().rposition(|sent| *sent == n);
        let Some(place) = place else { return };
        let attempt = Attempt(u32::try_from(place + 1).unwrap());
        let (memory, event) = match self.targets[n].memory {
            Memory::Waiting if how.is_multiple_of(3) => {
                (Memory::Refused, DeliveryEvent::Refused(Refusal::Draining))
            }
            Memory::Waiting => {
                self.targets[n].ran = true;
                (Memory::Running { made: 0 }, DeliveryEvent::Began)
            }
            Memory::Running { made } if made < LENGTH => {
                let length = 1 + how as u64 % (LENGTH - made);
                let part = DeliveryEvent::Part {
                    offset: made,
                    length,
                };
                (
                    Memory::Running {
                        made: made + length,
                    },
                    part,
                )
            }
            Memory::Running { .. } => (Memory::Ended, DeliveryEvent::Ended { length: LENGTH }),
            _ => return,
        };
        self.targets[n].memory = memory;
        self.reply(n, attempt, Some(event));
    }

    /// A message reaches the entry, in any order.
    fn hear(&mut self, which: usize) {
        if self.to_entry.is_empty() {
            return;
        }
        let (n, attempt, event) = self.to_entry.remove(which % self.to_entry.len());
        self.answer(n, attempt, event);
    }

    /// The link goes, and some of what was on it; the rest comes late.
    fn lose_link(&mut self, which: usize) {
        if self.sends.is_empty() {
            return;
        }
        let attempt = self.delivery.attempt();
        let n = *self.sends.last().unwrap();
        if !which.is_multiple_of(4) {
            self.to_targets.retain(|letter| letter.target != n);
            self.to_entry.retain(|(from, _, _)| *from != n);
        }
        self.answer(n, attempt, DeliveryEvent::Lost);
    }

    fn reach(&mut self, which: usize) {
        let Some(attempt) = self.reaching.take() else {
            return;
        };
        let event = if which.is_multiple_of(4) {
            DeliveryEvent::Unreachable
        } else {
            DeliveryEvent::Reached
        };
        let n = *self.sends.last().unwrap();
        self.answer(n, attempt, event);
    }

    /// Something on its way is doubled, as by a send on two links.
    fn repeat(&mut self, which: usize) {
        if which.is_multiple_of(2) && !self.to_targets.is_empty() {
            let letter = self.to_targets[which % self.to_targets.len()].clone();
            self.to_targets.push(letter);
        } else if !self.to_entry.is_empty() {
            let letter = self.to_entry[which % self.to_entry.len()].clone();
            self.to_entry.push(letter);
        }
    }

    /// The target's process starts anew, with or without the engine's failure being seen.
    fn crash(&mut self, n: usize, which: usize) {
        if !self.targets[n].seen || !which.is_multiple_of(2) {
            return;
        }
        // A refused or revoked request can't have run, so a later life changes nothing.
        if matches!(self.targets[n].memory, Memory::Refused | Memory::Barred) {
            return;
        }
        self.targets[n].memory = Memory::Forgotten;
        let place = self.sends.iter().rposition(|sent| *sent == n).unwrap();
        let attempt = Attempt(u32::try_from(place + 1).unwrap());
        let event = DeliveryEvent::Failed(Uncertainty::TargetFailed);
        self.reply(n, attempt, Some(event));
    }
}
