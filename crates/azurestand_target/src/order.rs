//! Load orders to an engine, given under a lease with a fencing number.
//!
//! Some engines refuse an order with an old fencing number, others accept every
//! order. When the answer to an order is lost, the engine is queried for its
//! state; the order is never sent again without that. See
//! [docs/TARGET.md](../../../docs/TARGET.md).

mod attempt;
mod event;
mod lease;
mod verified;

use azurestand_types::{Digest, Moment};

use self::attempt::{Attempt, Progress};
use self::lease::Lease;

pub use self::event::{
    EngineState, Order, OrderAction, OrderEvent, OrderPhase, OrderReply, OrderSettings,
};
pub use self::verified::{Verified, VerifyError};

/// The load orders to one engine.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    lease: Lease,
    wanted: Option<Verified>,
    engine: Option<EngineState>,
    attempt: Option<Attempt>,
    /// Set while admission is closed for draining; `Some(true)` once no request
    /// runs.
    drained: Option<bool>,
    permit: Permit,
    failures: u32,
    retry_at: Moment,
    next_query: Moment,
    last_number: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    None,
    Requested,
    Held(Moment),
}

impl Orders {
    /// Creates the state without a lease and before the engine's first report.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            lease: Lease::default(),
            wanted: None,
            engine: None,
            attempt: None,
            drained: None,
            permit: Permit::None,
            failures: 0,
            retry_at: Moment::START,
            next_query: Moment::START,
            last_number: 0,
        }
    }

    /// The weights that the engine is to serve.
    pub fn wanted(&self) -> Option<Digest> {
        self.wanted.map(Verified::digest)
    }

    /// The progress towards serving the wanted weights.
    pub fn phase(&self) -> OrderPhase {
        match (&self.attempt, self.drained) {
            (Some(_), _) => OrderPhase::Ordered,
            (None, Some(_)) => OrderPhase::Draining,
            (None, None) if self.is_settled() => OrderPhase::Settled,
            (None, None) => OrderPhase::Blocked,
        }
    }

    /// Processes one event and returns the actions to take.
    ///
    /// # Panics
    ///
    /// If an order would be sent without a valid lease, without the permit that
    /// it needs, or while requests run.
    pub fn handle(&mut self, now: Moment, event: OrderEvent) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        match event {
            OrderEvent::LeaseHeld {
                fence,
                until,
                prior,
            } => self.lease.update(now, fence, until, prior, &self.settings),
            OrderEvent::LeaseLost => self.lease.lose(),
            OrderEvent::Want(verified) => self.set_wanted(now, verified),
            OrderEvent::Engine(state) => self.observe(now, state, &mut actions),
            OrderEvent::Replied(number, reply) => self.on_reply(now, number, reply, &mut actions),
            OrderEvent::PermitHeld(until) => self.permit = Permit::Held(until),
            OrderEvent::PermitLost => self.permit = Permit::None,
            OrderEvent::Drained => self.drained = self.drained.map(|_| true),
            OrderEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn set_wanted(&mut self, now: Moment, verified: Verified) {
        if self.wanted != Some(verified) {
            self.wanted = Some(verified);
            // The pause after failed loads doesn't apply to other weights.
            self.failures = 0;
            self.retry_at = now;
        }
    }

    fn is_settled(&self) -> bool {
        let serves = self.engine.and_then(|engine| engine.digest);
        self.wanted
            .is_none_or(|wanted| Some(wanted.digest()) == serves)
    }

    fn observe(&mut self, now: Moment, state: EngineState, actions: &mut Vec<OrderAction>) {
        if self
            .engine
            .is_some_and(|known| known.queried_at > state.queried_at)
        {
            return;
        }
        self.engine = Some(state);
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match attempt.observe(now, &state, &self.settings) {
            Progress::Pending => {}
            Progress::Loaded => {
                self.attempt = None;
                self.failures = 0;
            }
            Progress::Failed => self.record_failure(now, actions),
            Progress::Expired => self.attempt = None,
        }
    }

    fn on_reply(
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
            // The engine's state shows whether the order took effect.
            OrderReply::Lost => {}
            OrderReply::NotSent => self.attempt = None,
            OrderReply::Refused => self.record_failure(now, actions),
            OrderReply::OldFence => {
                self.attempt = None;
                self.lease.lose();
            }
        }
        self.next_query = now;
    }

    fn record_failure(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let factor = 1_u32 << self.failures.min(16);
        let pause = (self.settings.min_retry * factor).min(self.settings.max_retry);
        self.failures += 1;
        self.retry_at = now + pause;
        actions.push(OrderAction::Failed {
            digest: attempt.digest(),
            times: self.failures,
        });
    }

    /// Takes the next step towards serving the wanted weights.
    fn advance(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        if self.attempt.is_some() {
            self.query(now, actions);
            return;
        }
        let (Some(engine), Some(wanted)) = (self.engine, self.wanted) else {
            self.query(now, actions);
            return;
        };
        if self.is_settled() {
            self.return_permit(actions);
            return;
        }
        if engine.loading.is_some() {
            // An order of this or another process is being loaded; the engine's
            // state will show the result.
            self.query(now, actions);
            return;
        }
        let is_serving = engine.digest.is_some();
        if is_serving && !self.has_permit(now) {
            self.reopen(actions);
            self.request_permit(actions);
            return;
        }
        if now < self.retry_at || !self.lease.may_order(now) {
            self.reopen_if(is_serving, actions);
            return;
        }
        if engine.queried_at < self.lease.safe_from() {
            self.query(now, actions);
            return;
        }
        match self.drained {
            None if is_serving => {
                self.drained = Some(false);
                actions.push(OrderAction::Drain);
            }
            Some(false) if is_serving => {}
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
        let is_serving = engine.digest.is_some();
        let drained = self.drained == Some(true);
        assert!(self.lease.may_order(now), "a load order without a lease");
        assert!(!is_serving || drained, "a load order while requests run");
        assert!(
            !is_serving || self.has_permit(now),
            "a load order without a permit"
        );
        self.last_number += 1;
        let mut valid_until = self.lease.until();
        if is_serving && let Permit::Held(end) = self.permit {
            valid_until = valid_until.min(end);
        }
        let order = Order {
            number: self.last_number,
            fence: self.lease.fence(),
            digest: wanted.digest(),
            valid_until,
        };
        self.attempt = Some(Attempt::new(now, &order));
        self.next_query = now + self.settings.query_interval;
        actions.push(OrderAction::Send(order));
    }

    fn query(&mut self, now: Moment, actions: &mut Vec<OrderAction>) {
        if now >= self.next_query {
            self.next_query = now + self.settings.query_interval;
            actions.push(OrderAction::QueryState);
        }
    }

    fn has_permit(&self, now: Moment) -> bool {
        matches!(self.permit, Permit::Held(until) if now < until)
    }

    fn request_permit(&mut self, actions: &mut Vec<OrderAction>) {
        if self.permit != Permit::Requested {
            self.permit = Permit::Requested;
            actions.push(OrderAction::TakePermit);
        }
    }

    /// Reopens admission while the next step has to wait.
    fn reopen(&mut self, actions: &mut Vec<OrderAction>) {
        if self.drained.take().is_some() {
            actions.push(OrderAction::Reopen);
        }
    }

    fn reopen_if(&mut self, is_serving: bool, actions: &mut Vec<OrderAction>) {
        if is_serving {
            self.reopen(actions);
        }
    }

    fn return_permit(&mut self, actions: &mut Vec<OrderAction>) {
        self.reopen(actions);
        if self.permit != Permit::None {
            self.permit = Permit::None;
            actions.push(OrderAction::ReturnPermit);
        }
    }
}
