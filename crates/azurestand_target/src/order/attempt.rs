//! One load order that was sent and whose result isn't known.

use azurestand_types::{Digest, Moment};

use super::{EngineState, Order, OrderSettings};

/// What the engine's state shows about an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It may still take effect, or the engine is loading.
    Pending,
    /// The engine serves the ordered weights.
    Loaded,
    /// The engine accepted the order, but neither serves nor loads the weights.
    Failed,
    /// It did not take effect and can't any more.
    Expired,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    order: Order,
    sent: Moment,
    /// When the engine was first known to have accepted the order.
    accepted: Option<Moment>,
}

impl Attempt {
    pub(crate) fn new(now: Moment, order: &Order) -> Self {
        Self {
            order: *order,
            sent: now,
            accepted: None,
        }
    }

    pub(crate) fn number(&self) -> u64 {
        self.order.number
    }

    pub(crate) fn digest(&self) -> Digest {
        self.order.digest
    }

    pub(crate) fn accept(&mut self, now: Moment) {
        self.accepted = Some(now);
    }

    /// Compares the order with a state of the engine that was queried after the
    /// send.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        state: &EngineState,
        settings: &OrderSettings,
    ) -> Progress {
        if state.queried_at < self.sent {
            return Progress::Pending;
        }
        if state.digest == Some(self.order.digest) {
            return Progress::Loaded;
        }
        if state.loading == Some(self.order.digest) {
            self.accepted = self.accepted.or(Some(now));
            return Progress::Pending;
        }
        if state.loading.is_some() {
            return Progress::Pending;
        }
        match self.accepted {
            Some(accepted) if state.queried_at >= accepted => Progress::Failed,
            Some(_) => Progress::Pending,
            None => self.expire(state, settings),
        }
    }

    /// An order without an answer expires once it can't take effect any more,
    /// also when the engine has restarted since.
    fn expire(&self, state: &EngineState, settings: &OrderSettings) -> Progress {
        if state.queried_at >= self.sent + settings.max_delay {
            Progress::Expired
        } else {
            Progress::Pending
        }
    }
}
