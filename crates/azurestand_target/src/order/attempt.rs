//! One order that was given and isn't settled.

use azurestand_types::{Digest, Moment};

use super::{EngineState, Order, OrderSettings};

/// What the engine's state says about an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It may still take effect, or is at work.
    Unsettled,
    /// The engine serves the ordered weights.
    Loaded,
    /// The engine took the order and has neither the weights nor a load.
    Failed,
    /// It never took effect and can't any more.
    Lapsed,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    order: Order,
    sent: Moment,
    /// The engine is known to have taken the order, since when.
    taken: Option<Moment>,
}

impl Attempt {
    pub(crate) fn new(now: Moment, order: &Order) -> Self {
        Self {
            order: *order,
            sent: now,
            taken: None,
        }
    }

    pub(crate) fn number(&self) -> u64 {
        self.order.number
    }

    pub(crate) fn digest(&self) -> Digest {
        self.order.digest
    }

    pub(crate) fn accept(&mut self, now: Moment) {
        self.taken = Some(now);
    }

    /// Compares the order with a state of the engine that was asked for later.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        state: &EngineState,
        settings: &OrderSettings,
    ) -> Progress {
        if state.asked < self.sent {
            return Progress::Unsettled;
        }
        if state.digest == Some(self.order.digest) {
            return Progress::Loaded;
        }
        if state.loading == Some(self.order.digest) {
            self.taken = self.taken.or(Some(now));
            return Progress::Unsettled;
        }
        if state.loading.is_some() {
            return Progress::Unsettled;
        }
        match self.taken {
            Some(taken) if state.asked >= taken => Progress::Failed,
            Some(_) => Progress::Unsettled,
            None => self.lapse(state, settings),
        }
    }

    /// An order without an answer is given up once it can't take effect any
    /// more, also when the engine has restarted since.
    fn lapse(&self, state: &EngineState, settings: &OrderSettings) -> Progress {
        if state.asked >= self.sent + settings.longest {
            Progress::Lapsed
        } else {
            Progress::Unsettled
        }
    }
}
