//! Orders to load weights, under a lease with a fencing number.
//!
//! Some engines refuse an order with an old fencing number, others obey
//! anyone. A lost answer is settled by asking the engine what it does, never
//! by sending the order again unseen. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod attempt;
mod event;
mod rights;
mod verified;

use azurestand_types::{Digest, Moment};

use self::attempt::{Attempt, Progress};
use self::rights::Rights;

pub use self::event::{
    EngineState, Order, OrderAction, OrderEvent, OrderPhase, OrderReply, OrderSettings,
};
pub use self::verified::{Verified, VerifyError};

/// The orders to one engine.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    rights: Rights,
    wanted: Option<Verified>,
    engine: Option<EngineState>,
    attempt: Option<Attempt>,
    /// Admission was told to stop; `Some(true)` once nothing runs.
    drained: Option<bool>,
    permit: Permit,
    failures: u32,
    paused: Moment,
    next_ask: Moment,
    number: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    None,
    Asked,
    Held(Moment),
}

impl Orders {
    /// Begins without a lease and without knowledge of the engine.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            rights: Rights::default(),
            wanted: None,
            engine: None,
            attempt: None,
            drained: None,
            permit: Permit::None,
            failures: 0,
            paused: Moment::START,
            next_ask: Moment::START,
            number: 0,
        }
    }

    /// The weights that are to be served.
    pub fn wanted(&self) -> Option<Digest> {
        self.wanted.map(Verified::digest)
    }

    /// How far the wanted weights are.
    pub fn phase(&self) -> OrderPhase {
        match (&self.attempt, self.drained) {
            (Some(_), _) => OrderPhase::Ordered,
            (None, Some(_)) => OrderPhase::Draining,
            (None, None) if self.is_settled() => OrderPhase::Settled,
            (None, None) => OrderPhase::Blocked,
        }
    }

    /// Takes one event into account and says what to do.
    ///
    /// # Panics
    ///
    /// When an order would be given without the right to give it.
    pub fn handle(&mut self, now: Moment, event: OrderEvent) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        match event {
            OrderEvent::LeaseHeld {
                fence,
                until,
                prior,
            } => self.rights.hold(now, fence, until, prior, &self.settings),
            OrderEvent::LeaseLost => self.rights.lose(),
            OrderEvent::Want(verified) => self.want(now, verified),
            OrderEvent::Engine(state) => self.observe(now, state, &mut actions),
            OrderEvent::Replied(number, reply) => self.replied(now, number, reply, &mut actions),
            OrderEvent::PermitHeld(until) => self.permit = Permit::Held(until),
            OrderEvent::PermitLost => self.permit = Permit::None,
            OrderEvent::Drained => self.drained = self.drained.map(|_| true),
            OrderEvent::Tick => {}
        }
        self.drive(now, &mut actions);
        actions
    }

    fn want(&mut self, now: Moment, verified: Verified) {
        if self.wanted != Some(verified) {
            self.wanted = Some(verified);
            // Other weights needn't wait for the pause that failing ones earned.
            self.failures = 0;
            self.paused = now;
        }
    }

    fn is_settled(&self) -> bool {
        let serves = self.engine.and_then(|engine| engine.digest);
        self.wanted
            .is_none_or(|wanted| Some(wanted.digest()) == serves)
    }

    fn observe(&mut self, now: Moment, state: EngineState, actions: &mut Vec<OrderAction>) {
        if self.engine.is_some_and(|known| known.asked > state.asked) {
            return;
        }
        self.engine = Some(state);
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match attempt.observe(now, &state, &self.settings) {
            Progress::Unsettled => {}
            Progress::Loaded => {
                self.attempt = None;
                self.failures = 0;
            }
            Progress::Failed => self.fail(now, actions),
            Progress::Lapsed => self.attempt = None,
        }
    }

    fn replied(
        &mut self,
        now: Moment,
        number: u64,
        reply: OrderReply,
        actions: &mut Vec<OrderAction>,
    ) {
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number() == number)
        else {
            return;
        };
        match reply {
            OrderReply::Accepted => attempt.accept(now),
            // The engine's state will tell.
            OrderReply::Lost => {}
            OrderReply::NotSent => self.attempt = None,
            OrderReply::Refused => self.fail(now, actions),
            OrderReply::OldFence => {
                self.attempt = None;
                self.rights.lose();
            }
        }
        self.next_ask = now;
    }

    fn fail(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let doubled = 1_u32 << self.failures.min(16);
        let pause = (self.settings.retry * doubled).min(self.settings.max_retry);
        self.failures += 1;
        self.paused = now + pause;
        actions.push(OrderAction::Failed {
            digest: attempt.digest(),
            times: self.failures,
        });
    }

    /// Takes the next step towards the wanted weights.
    fn drive(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        if self.attempt.is_some() {
            self.ask(now, actions);
            return;
        }
        let (Some(engine), Some(wanted)) = (self.engine, self.wanted) else {
            self.ask(now, actions);
            return;
        };
        if self.is_settled() {
            self.give_back(actions);
            return;
        }
        if engine.loading.is_some() {
            // Someone's order is at work; what comes of it shows in the state.
            self.ask(now, actions);
            return;
        }
        let serves = engine.digest.is_some();
        if serves && !self.has_permit(now) {
            self.stay(actions);
            self.ask_permit(actions);
            return;
        }
        if now < self.paused || !self.rights.may_order(now) {
            self.stay_if(serves, actions);
            return;
        }
        if engine.asked < self.rights.quiet() {
            self.ask(now, actions);
            return;
        }
        match self.drained {
            None if serves => {
                self.drained = Some(false);
                actions.push(OrderAction::Drain);
            }
            Some(false) if serves => {}
            _ => self.send(now, wanted, &engine, actions),
        }
    }

    fn send(
        &mut self,
        now: Moment,
        wanted: Verified,
        engine: &EngineState,
        actions: &mut Vec<OrderAction>,
    ) {
        let serves = engine.digest.is_some();
        let drained = self.drained == Some(true);
        assert!(self.rights.may_order(now), "an order without a lease");
        assert!(!serves || drained, "an order to a target with work");
        assert!(!serves || self.has_permit(now), "an order without a permit");
        self.number += 1;
        let mut until = self.rights.until();
        if serves && let Permit::Held(end) = self.permit {
            until = until.min(end);
        }
        let order = Order {
            number: self.number,
            fence: self.rights.fence(),
            digest: wanted.digest(),
            until,
        };
        self.attempt = Some(Attempt::new(now, &order));
        self.next_ask = now + self.settings.ask;
        actions.push(OrderAction::Send(order));
    }

    fn ask(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        if now >= self.next_ask {
            self.next_ask = now + self.settings.ask;
            actions.push(OrderAction::Ask);
        }
    }

    fn has_permit(&self, now: Moment) -> bool {
        matches!(self.permit, Permit::Held(until) if now < until)
    }

    fn ask_permit(&mut self, actions: &mut Vec<OrderAction>) {
        if self.permit != Permit::Asked {
            self.permit = Permit::Asked;
            actions.push(OrderAction::TakePermit);
        }
    }

    /// Serves on while the next step has to wait.
    fn stay(&mut self, actions: &mut Vec<OrderAction>) {
        if self.drained.take().is_some() {
            actions.push(OrderAction::Reopen);
        }
    }

    fn stay_if(&mut self, serves: bool, actions: &mut Vec<OrderAction>) {
        if serves {
            self.stay(actions);
        }
    }

    fn give_back(&mut self, actions: &mut Vec<OrderAction>) {
        self.stay(actions);
        if self.permit != Permit::None {
            self.permit = Permit::None;
            actions.push(OrderAction::ReturnPermit);
        }
    }
}
