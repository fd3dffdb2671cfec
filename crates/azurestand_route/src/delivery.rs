//! The state machine of one request at the entry, from its arrival to one of the three
//! outcomes.
//!
//! These rules keep a request from being lost or run twice:
//!
//! - A request goes to another target only after a definitive refusal, or when it is
//!   idempotent and no part of its answer has reached the caller.
//! - Once a target may have run a request, its outcome is never `NotRun`.
//! - Only answers of the current attempt count; late ones of earlier attempts are
//!   dropped.
//! - A lost link is no answer: the entry reconnects and asks for the rest.
//! - At the deadline a request that hasn't started is revoked. Its outcome is `NotRun`
//!   only if the agent confirms that it never started.

mod event;

use azurestand_types::{Outcome, Refusal, TargetName, Uncertainty};

pub use event::{Attempt, Budget, DeliveryAction, DeliveryEvent};

use crate::table::Choice;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Choosing,
    Sent,
    Receiving,
    Revoking,
    Done,
}

/// The state of one request.
#[derive(Debug, Clone)]
pub struct Delivery {
    idempotent: bool,
    /// Resumes the answer of an earlier entry; the request itself isn't known here and
    /// can't be sent.
    resumed: bool,
    stage: Stage,
    began: bool,
    offset: u64,
    first_refusal: Option<Refusal>,
    refused: Vec<TargetName>,
    /// Why an earlier target may have run the request.
    uncertainty: Option<Uncertainty>,
    attempt: Attempt,
    choice: Option<Choice>,
}

impl Delivery {
    /// A request that just arrived; the first action is to choose a target.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            resumed: false,
            stage: Stage::Choosing,
            began: false,
            offset: 0,
            first_refusal: None,
            refused: Vec::new(),
            uncertainty: None,
            attempt: Attempt(0),
            choice: None,
        }
    }

    /// Resumes an answer from `choice` of which the caller already has the first
    /// `offset` bytes.
    pub fn resumed(choice: Choice, offset: u64) -> Self {
        Self {
            resumed: true,
            stage: Stage::Sent,
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

    /// The target of the current or last attempt.
    pub fn choice(&self) -> Option<&Choice> {
        self.choice.as_ref()
    }

    /// The number of the current attempt; answers carry it.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Bytes of the body passed on to the caller.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the answer's head was passed on to the caller.
    pub fn has_begun(&self) -> bool {
        self.began
    }

    /// Whether the target of an earlier attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.uncertainty.is_some()
    }

    /// Whether the request has ended.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Handles an event of `attempt`, unless that attempt is over.
    pub fn handle_answer<B>(
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

    /// Handles an event of the current attempt; `budget` is asked before a retry.
    pub fn handle<B>(&mut self, event: DeliveryEvent, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        if self.is_done() || (self.stage == Stage::Choosing && event.is_answer()) {
            return Vec::new();
        }
        match event {
            DeliveryEvent::Chosen(choice) => self.choose(choice),
            DeliveryEvent::NoTarget(refusal) => self.no_target(refusal),
            DeliveryEvent::HeadReceived => self.begin(),
            DeliveryEvent::PartReceived { offset, length } => self.pass_part(offset, length),
            DeliveryEvent::BodyEnded { length } => self.end(length),
            DeliveryEvent::Refused(refusal) => self.refuse(refusal, budget),
            DeliveryEvent::Failed(cause) => self.fail(cause, budget),
            DeliveryEvent::LinkLost => self.link_lost(),
            DeliveryEvent::LinkRestored => self.link_restored(),
            DeliveryEvent::Unreachable => self.fail(Uncertainty::Unreachable, budget),
            DeliveryEvent::Expired => self.expire(),
            DeliveryEvent::Revoked { started } => self.revoked(started),
            DeliveryEvent::CallerLeft => self.caller_left(),
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<DeliveryAction> {
        self.stage = Stage::Done;
        vec![DeliveryAction::Finish(outcome)]
    }

    /// Ends the request as not run, or as unknown if an earlier target may have run it.
    fn finish_not_run(&mut self, refusal: Refusal) -> Vec<DeliveryAction> {
        let outcome = match self.uncertainty {
            Some(cause) => Outcome::Unknown(cause),
            None => Outcome::NotRun(refusal),
        };
        self.finish(outcome)
    }

    fn choose(&mut self, choice: Choice) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        self.stage = Stage::Sent;
        self.attempt.0 += 1;
        self.choice = Some(choice.clone());
        vec![DeliveryAction::Send(choice)]
    }

    /// No other target can take it. The first refusal is returned, since it tells the
    /// caller more than the last.
    fn no_target(&mut self, refusal: Refusal) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        let refusal = self.first_refusal.unwrap_or(refusal);
        self.finish_not_run(refusal)
    }

    fn begin(&mut self) -> Vec<DeliveryAction> {
        let first = !self.began;
        self.began = true;
        if self.stage == Stage::Sent {
            self.stage = Stage::Receiving;
        }
        if first {
            vec![DeliveryAction::PassHead]
        } else {
            Vec::new()
        }
    }

    fn pass_part(&mut self, offset: u64, length: u64) -> Vec<DeliveryAction> {
        // A body can't be passed on without its head, so both are requested again.
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
        vec![DeliveryAction::PassPart { skip }]
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
            // More bytes were passed on than the target says there are, so they can't
            // be the whole answer.
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
            // The refusal contradicts the head that came before, so neither can be
            // trusted.
            return self.finish(Outcome::Unknown(Uncertainty::TargetFailed));
        }
        let retryable = matches!(
            refusal,
            Refusal::Busy
                | Refusal::Draining
                | Refusal::OutOfService
                | Refusal::NotServed
                | Refusal::Unproved
                | Refusal::Revoked
        );
        let may_send = retryable && !self.resumed && self.stage == Stage::Sent;
        let retry = may_send && budget.spend();
        if !retry {
            return self.finish_not_run(refusal);
        }
        self.first_refusal.get_or_insert(refusal);
        self.choose_again()
    }

    fn choose_again(&mut self) -> Vec<DeliveryAction> {
        // The choice is kept, since a cancel is still sent to it.
        let last = self.choice.as_ref().map(|choice| choice.target.clone());
        self.refused.extend(last);
        self.stage = Stage::Choosing;
        vec![DeliveryAction::Choose]
    }

    fn fail<B>(&mut self, cause: Uncertainty, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        let repeatable = self.idempotent && self.offset == 0 && !self.began;
        if repeatable && self.stage == Stage::Sent && budget.spend() {
            self.uncertainty.get_or_insert(cause);
            let mut actions = vec![DeliveryAction::Cancel];
            actions.extend(self.choose_again());
            return actions;
        }
        self.finish(Outcome::Unknown(cause))
    }

    fn link_lost(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing | Stage::Done => Vec::new(),
            Stage::Sent | Stage::Receiving | Stage::Revoking => vec![DeliveryAction::Reconnect],
        }
    }

    fn link_restored(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing | Stage::Done => Vec::new(),
            Stage::Revoking => vec![DeliveryAction::Revoke],
            Stage::Sent | Stage::Receiving => vec![DeliveryAction::Resume {
                offset: self.offset,
            }],
        }
    }

    fn expire(&mut self) -> Vec<DeliveryAction> {
        match self.stage {
            Stage::Choosing => self.finish_not_run(Refusal::Expired),
            Stage::Sent if !self.began => {
                self.stage = Stage::Revoking;
                vec![DeliveryAction::Revoke]
            }
            Stage::Done => Vec::new(),
            Stage::Sent | Stage::Receiving | Stage::Revoking => {
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

    /// A request that isn't idempotent runs on without its caller: if it were
    /// cancelled, nobody could tell whether it ran.
    fn caller_left(&mut self) -> Vec<DeliveryAction> {
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
