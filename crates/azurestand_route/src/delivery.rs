//! One request's way at the entry, from its arrival to one of the three outcomes.
//!
//! The rules that keep a request from being lost or doubled stand here:
//!
//! - A request goes to another target only after a definitive refusal, or when
//!   it is idempotent and none of its answer has reached the caller.
//! - A lost link is no answer: the entry reconnects and asks for the rest.
//! - At the deadline an unstarted request is revoked; only the agent's word
//!   that it never started makes that `NotRun`.

use azurestand_types::{Outcome, Refusal, TargetName, Uncertainty};

use crate::table::Choice;

/// What happens to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryEvent {
    /// A target was chosen.
    Chosen(Choice),
    /// No target can take it now.
    NoTarget(Refusal),
    /// The answer's head came.
    Began,
    /// `length` bytes of the body came, which belong at `offset`.
    Part {
        /// Where they belong, in bytes from the body's start.
        offset: u64,
        /// How many they are, in bytes.
        length: u64,
    },
    /// The target says that the body ends after `length` bytes.
    Ended {
        /// The length in bytes.
        length: u64,
    },
    /// The target says that it did not run and never will.
    Refused(Refusal),
    /// The target says that it may have run.
    Failed(Uncertainty),
    /// The link ended.
    Lost,
    /// The target's host is reached again.
    Reached,
    /// The target's host can't be reached for as long as the entry tries.
    Unreachable,
    /// The caller's patience ended.
    Expired,
    /// The target says whether a revoked request had started.
    Revoked {
        /// Whether it had started; if not, it never will.
        started: bool,
    },
    /// The caller went away.
    Left,
}

/// What the entry does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeliveryAction {
    /// Choose a target other than those refused so far.
    Choose,
    /// Send the request to the target.
    Send(Choice),
    /// Pass the answer's head on.
    Begin,
    /// Pass the last part on without its first `skip` bytes.
    Pass {
        /// Bytes that the caller already has.
        skip: u64,
    },
    /// Open a link to the target's host again.
    Reach,
    /// Ask for the answer from `offset` on.
    Resume {
        /// Bytes that the caller already has.
        offset: u64,
    },
    /// Ask that the request never starts.
    Revoke,
    /// Tell the target that nobody waits for the answer.
    Cancel,
    /// Tell the target that the whole answer arrived.
    Release,
    /// The request has ended.
    Finish(Outcome),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Choosing,
    Asked,
    Receiving,
    Revoking,
    Done,
}

/// Whether a request may be sent again, asked of the caller of [`Delivery::handle`]
/// at the moment when it matters, so that no budget is spent in vain.
pub trait Budget {
    /// Takes one retry out of the budget, if there is one.
    fn spend(&mut self) -> bool;
}

impl Budget for crate::RetryBudget {
    fn spend(&mut self) -> bool {
        Self::spend(self)
    }
}

/// One request's way.
#[derive(Debug, Clone)]
pub struct Delivery {
    idempotent: bool,
    stage: Stage,
    began: bool,
    offset: u64,
    refusal: Option<Refusal>,
    refused: Vec<TargetName>,
    choice: Option<Choice>,
}

impl Delivery {
    /// A request that just arrived; the first action is to choose a target.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            stage: Stage::Choosing,
            began: false,
            offset: 0,
            refusal: None,
            refused: Vec::new(),
            choice: None,
        }
    }

    /// Takes up an answer of `choice` whose first `offset` bytes the caller already has.
    pub fn resumed(choice: Choice, offset: u64) -> Self {
        Self {
            stage: Stage::Asked,
            offset,
            choice: Some(choice),
            ..Self::new(false)
        }
    }

    /// Targets that refused the request.
    pub fn refused(&self) -> &[TargetName] {
        &self.refused
    }

    /// The target that has the request.
    pub fn choice(&self) -> Option<&Choice> {
        self.choice.as_ref()
    }

    /// Bytes of the body passed on.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the answer's head was passed on.
    pub fn has_begun(&self) -> bool {
        self.began
    }

    /// Whether the request has ended.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Takes an event in; `budget` is asked before a second send.
    pub fn handle<B>(&mut self, event: DeliveryEvent, budget: &mut B) -> Vec<DeliveryAction>
    where
        B: Budget,
    {
        if self.is_done() {
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

    fn choose(&mut self, choice: Choice) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        self.stage = Stage::Asked;
        self.choice = Some(choice.clone());
        vec![DeliveryAction::Send(choice)]
    }

    /// Nobody else can take it: the first refusal tells the caller more than the last.
    fn give_up(&mut self, refusal: Refusal) -> Vec<DeliveryAction> {
        if self.stage != Stage::Choosing {
            return Vec::new();
        }
        let refusal = self.refusal.unwrap_or(refusal);
        self.finish(Outcome::NotRun(refusal))
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
        if offset > self.offset {
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
        if self.began {
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
        let again = elsewhere && self.stage == Stage::Asked && budget.spend();
        if !again {
            return self.finish(Outcome::NotRun(refusal));
        }
        self.refusal.get_or_insert(refusal);
        self.choose_again()
    }

    fn choose_again(&mut self) -> Vec<DeliveryAction> {
        let last = self.choice.take().map(|choice| choice.target);
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
            Stage::Choosing => self.finish(Outcome::NotRun(Refusal::Expired)),
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
            return self.finish(Outcome::NotRun(Refusal::Expired));
        }
        let mut actions = vec![DeliveryAction::Cancel];
        actions.extend(self.finish(Outcome::Unknown(Uncertainty::TimedOut)));
        actions
    }

    /// A call that may not be repeated goes on without its caller: broken off,
    /// nobody could tell any more whether it ran.
    fn leave(&mut self) -> Vec<DeliveryAction> {
        let cancel = self.choice.is_some() && self.idempotent;
        let mut actions = self.finish(Outcome::Unknown(Uncertainty::Unreachable));
        if cancel {
            actions.insert(0, DeliveryAction::Cancel);
        }
        actions
    }
}
