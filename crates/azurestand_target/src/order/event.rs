//! What orders react to and bring about.

use std::time::Duration;

use azurestand_types::{BootId, Digest, Fence, Moment};
use derive_more::Display;

use super::verified::Verified;

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
        /// The fencing number, which grows by at least one whenever the lease
        /// is taken.
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
