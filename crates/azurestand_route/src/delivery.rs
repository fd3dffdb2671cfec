//! One request's way at the entry, from its arrival to one of the three outcomes.
//!
//! The rules that keep a request from being lost or doubled stand here:
//!
//! - A request goes to another target only after a definitive refusal, or when
//!   it is idempotent and none of its answer has reached the caller.
//! - Once a target may have run a request, nothing later makes it `NotRun`.
//! - Only the present target is listened to; what an earlier one still says is dropped.
//! - A lost link is no answer: the entry reconnects and asks for the rest.
//! - At the deadline an unstarted request is revoked; only the agent's word
//!   that it never started makes that `NotRun`.

mod event;

use azurestand_types::{Outcome, Refusal, TargetName, Uncertainty};

pub use event::{Attempt, Budget, DeliveryAction, DeliveryEvent};

use crate::table::Choice;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Choosing,
    Asked,
    Receiving,
    Revoking,
    Done,
}

/// One request's way.
#[derive(Debug, Clone)]
pub struct Delivery {
    idempotent: bool,
    /// Only an answer is taken up; there is no request that could be sent.
    taken_up: bool,
    stage: Stage,
    began: bool,
    offset: u64,
    refusal: Option<Refusal>,
    refused: Vec<TargetName>,
    /// Why an earlier target may have run it.
    doubt: Option<Uncertainty>,
    attempt: Attempt,
    choice: Option<Choice>,
}

impl Delivery {
    /// A request that just arrived; the first action is to choose a target.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            taken_up: false,
            stage: Stage::Choosing,
            began: false,
            offset: 0,
            refusal: None,
            refused: Vec::new(),
            doubt: None,
            attempt: Attempt(0),
            choice: None,
        }
    }

    /// Takes up an answer of `choice` whose first `offset` bytes the caller already has.
    pub fn resumed(choice: Choice, offset: u64) -> Self {
        Self {
            taken_up: true,
            stage: Stage::Asked,
            offset,
            attempt: Attempt(1),
            choice: Some(choice),
            ..Self::new(false)
        }
    }

    /// Targets that refused the request.
    pub fn refused(&self) -> &[TargetName] {
        &self.refused
    }

    /// The target that has the request, or had it last.
    pub fn choice(&self) -> Option<&Choice> {
        self.choice.as_ref()
    }

    /// The number of the target that has the request; answers carry it.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Bytes of the body passed on.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the answer's head was passed on.
    pub fn has_begun(&self) -> bool {
        self.began
    }

    /// Whether a target that was given up may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.doubt.is_some()
    }

    /// Whether the request has ended.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Takes in what came back for `attempt`, unless that is over.
    pub fn answer<B>(
        &mut self,
        attempt: Attempt,
        event: DeliveryEvent,
        budget: &mut B,
    ) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        if attempt != self.attempt || self.stage == Stage::Choosing {
            return Vec::new();
        }
        self.handle(event, budget)
    }

    /// Takes an event of the present attempt in; `budget` is asked before a second send.
    pub fn handle<B>(&mut self, event: DeliveryEvent, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        if self.is_done() || (self.stage == Stage::Choosing && event.is_answer()) {
            return Vec::new();
        }
        match event {
            DeliveryEvent::Chosen(choice) => self.choose(choice),
            DeliveryEvent::NoTarget(refusal) => self.give_up(refusal),
            DeliveryEvent::Began => self.begin(),
            DeliveryEvent::Part { offset, length } => self.part(offset, length),
            DeliveryEvent::Ended { length } => self.end(length),
            DeliveryEvent::Refused(refusal) => self.refuse(refusal, budget),
            DeliveryEvent::Failed(why) => self.fail(why, budget),
            DeliveryEvent::Lost => self.lose(),
            DeliveryEvent::Reached => self.reach(),
            DeliveryEvent::Unreachable => self.fail(Uncertainty::Unreachable, budget),
            DeliveryEvent::Expired => self.expire(),
            DeliveryEvent::Revoked { started } => self.revoked(started),
            DeliveryEvent::Left => self.leave(),
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<DeliveryAction> {
        self.stage = Stage::Done;
        vec![DeliveryAction::Finish(outcome)]
    }

    /// A request that an earlier target may have run is never called not run.
    fn finish_not_run(&mut self, refusal: Refusal) -> Vec<DeliveryAction> {
        let outcome = match self.doubt {
            Some(why) => Outcome::Unknown(why),
            None => Outcome::NotRun(refusal),
        };
        self.finish(outcome)
    }

    fn choose(&mut self, choice: Choice) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        self.stage = Stage::Asked;
        self.attempt.0 += 1;
        self.choice = Some(choice.clone());
        vec![DeliveryAction::Send(choice)]
    }

    /// Nobody else can take it: the first refusal tells the caller more than the last.
    fn give_up(&mut self, refusal: Refusal) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        let refusal = self.refusal.unwrap_or(refusal);
        self.finish_not_run(refusal)
    }

    fn begin(&mut self) -> Vec<DeliveryAction> {
        let first = !self.began;
        self.began = true;
        if self.stage == Stage::Asked {
            self.stage = Stage::Receiving;
        }
        if first {
            vec![DeliveryAction::Begin]
        } else {
            Vec::new()
        }
    }

    fn part(&mut self, offset: u64, length: u64) -> Vec<DeliveryAction> {
        // Without its head a body can't be passed on, so both are asked for again.
        if !self.began || offset > self.offset {
            return vec![DeliveryAction::Resume {
                offset: self.offset,
            }];
        }
        let skip = self.offset - offset;
        if skip >= length {
            return Vec::new();
        }
        self.offset = offset + length;
        vec![DeliveryAction::Pass { skip }]
    }

    fn end(&mut self, length: u64) -> Vec<DeliveryAction> {
        if !self.began || length > self.offset {
            return vec![DeliveryAction::Resume {
                offset: self.offset,
            }];
        }
        let outcome = if length == self.offset {
            Outcome::Answered
        } else {
            // More was passed on than the target says there is: not this request's whole answer.
            Outcome::Unknown(Uncertainty::TargetFailed)
        };
        let mut actions = vec![DeliveryAction::Release];
        actions.extend(self.finish(outcome));
        actions
    }

    fn refuse<B>(&mut self, refusal: Refusal, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        if self.began || self.offset > 0 {
            // A refusal contradicts the head that came before; believe neither.
            return self.finish(Outcome::Unknown(Uncertainty::TargetFailed));
        }
        let elsewhere = matches!(
            refusal,
            Refusal::Busy
                | Refusal::Draining
                | Refusal::OutOfService
                | Refusal::NotServed
                | Refusal::Unproved
                | Refusal::Revoked
        );
        let may_send = elsewhere && !self.taken_up && self.stage == Stage::Asked;
        let again = may_send && budget.spend();
        if !again {
            return self.finish_not_run(refusal);
        }
        self.refusal.get_or_insert(refusal);
        self.choose_again()
    }

    fn choose_again(&mut self) -> Vec<DeliveryAction> {
        // The choice stays known, since a cancel still goes to it.
        let last = self.choice.as_ref().map(|choice| choice.target.clone());
        self.refused.extend(last);
        self.stage = Stage::Choosing;
        vec![DeliveryAction::Choose]
    }

    fn fail<B>(&mut self, why: Uncertainty, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        let harmless = self.idempotent && self.offset == 0 && !self.began;
        if harmless && self.stage == Stage::Asked && budget.spend() {
            self.doubt.get_or_insert(why);
            let mut actions = vec![DeliveryAction::Cancel];
            actions.extend(self.choose_again());
            return actions;
        }
        self.finish(Outcome::Unknown(why))
    }

    fn lose(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing | Stage::Done => Vec::new(),
            Stage::Asked | Stage::Receiving | Stage::Revoking => vec![DeliveryAction::Reach],
        }
    }

    fn reach(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing | Stage::Done => Vec::new(),
            Stage::Revoking => vec![DeliveryAction::Revoke],
            Stage::Asked | Stage::Receiving => vec![DeliveryAction::Resume {
                offset: self.offset,
            }],
        }
    }

    fn expire(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing => self.finish_not_run(Refusal::Expired),
            Stage::Asked if !self.began => {
                self.stage = Stage::Revoking;
                vec![DeliveryAction::Revoke]
            }
            Stage::Done => Vec::new(),
            Stage::Asked | Stage::Receiving | Stage::Revoking => {
                let mut actions = vec![DeliveryAction::Cancel];
                actions.extend(self.finish(Outcome::Unknown(Uncertainty::TimedOut)));
                actions
            }
        }
    }

    fn revoked(&mut self, started: bool) -> Vec<DeliveryAction> {
        if self.stage != Stage::Revoking {
            return Vec::new();
        }
        if !started && !self.began {
            return self.finish_not_run(Refusal::Expired);
        }
        let mut actions = vec![DeliveryAction::Cancel];
        actions.extend(self.finish(Outcome::Unknown(Uncertainty::TimedOut)));
        actions
    }

    /// A call that may not be repeated goes on without its caller: broken off,
    /// nobody could tell any more whether it ran.
    fn leave(&mut self) -> Vec<DeliveryAction> {
        if self.stage == Stage::Choosing {
            return self.finish_not_run(Refusal::Revoked);
        }
        let cancel = self.idempotent;
        let mut actions = self.finish(Outcome::Unknown(Uncertainty::Unreachable));
        if cancel {
            actions.insert(0, DeliveryAction::Cancel);
        }
        actions
    }
}
