//! Orders to load weights, under a lease with a fencing number.
//!
//! Some engines refuse an order with an old fencing number, others obey
//! anyone. A lost answer is settled by asking the engine what it does, never
//! by sending the order again unseen. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod attempt;
mod rights;
mod verified;

use std::time::Duration;

use azurestand_types::{BootId, Digest, Fence, Moment};
use derive_more::Display;

use self::attempt::{Attempt, Progress};
use self::rights::Rights;

pub use self::verified::{Verified, VerifyError};

/// How orders are given to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
    /// How long after it was sent an order may still take effect.
    pub longest: Duration,
    /// How often the engine is asked while an order is unsettled.
    pub ask: Duration,
    /// The first pause after a load that failed; it doubles with each failure.
    pub retry: Duration,
    /// The longest pause after a load that failed.
    pub max_retry: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            fenced: false,
            longest: Duration::from_secs(10),
            ask: Duration::from_millis(500),
            retry: Duration::from_secs(2),
            max_retry: Duration::from_mins(1),
        }
    }
}

/// What an engine says it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// The life of the engine's process.
    pub boot: BootId,
    /// The weights it serves.
    pub digest: Option<Digest>,
    /// The weights it is loading.
    pub loading: Option<Digest>,
    /// When it was asked, on this process's clock; older than that is not its state.
    pub asked: Moment,
}

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It loads.
    Accepted,
    /// It won't load now.
    Refused,
    /// [`Order::may_send`] forbade it, so that the engine never saw it.
    NotSent,
    /// It has seen a higher fencing number.
    OldFence,
    /// No answer came, so that it may load or not.
    Lost,
}

/// What orders react to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEvent {
    /// This process holds or has renewed the lease on ordering the target.
    LeaseHeld {
        /// The fencing number, which grows with each holder.
        fence: Fence,
        /// Until when, counted from before the store was asked.
        until: Moment,
        /// How long the holder before may have held its lease; none if there was none.
        prior: Option<Duration>,
    },
    /// The lease is gone.
    LeaseLost,
    /// These weights are to be served; a later one replaces it.
    Want(Verified),
    /// The engine's state: after an `Ask`, and with each of its load reports.
    Engine(EngineState),
    /// The answer to the order with this number.
    Replied(u64, OrderReply),
    /// The target may leave service to load, until this moment.
    PermitHeld(Moment),
    /// It may not any more.
    PermitLost,
    /// No request runs on the target.
    Drained,
    /// Time passed.
    Tick,
}

/// An order to load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Numbers the orders of this process.
    pub number: u64,
    /// The fencing number.
    pub fence: Fence,
    /// The weights to load.
    pub digest: Digest,
    /// When the sender's rights end.
    pub until: Moment,
}

impl Order {
    /// Whether it may still be sent at `now`, to be asked directly before the send.
    ///
    /// A process that was paused between the decision and the send finds out here.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.until
    }
}

/// What the agent is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Send this order if [`Order::may_send`]; `Replied` has to follow.
    Send(Order),
    /// Ask the engine for its state.
    Ask,
    /// Take a permit to leave service, or go on trying.
    TakePermit,
    /// Give the permit back.
    ReturnPermit,
    /// Admit nothing more; `Drained` has to follow once nothing runs.
    Drain,
    /// Admit requests again.
    Reopen,
    /// A load failed for this often in a row; it is tried again after a pause.
    Failed {
        /// The weights.
        digest: Digest,
        /// Failures in a row.
        times: u32,
    },
}

/// How far the wanted weights are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderPhase {
    /// Nothing is wanted, or the engine serves it.
    #[display("settled")]
    Settled,
    /// A lease, a permit or the end of a pause is awaited.
    #[display("blocked")]
    Blocked,
    /// Running requests end.
    #[display("draining")]
    Draining,
    /// An order is out.
    #[display("ordered")]
    Ordered,
}

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
