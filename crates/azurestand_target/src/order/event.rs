//! Events, actions and settings of load orders.

use std::time::Duration;

use azurestand_types::{BootId, Digest, Fence, Moment};
use derive_more::Display;

use super::verified::Verified;

/// How load orders are sent to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the engine refuses orders with an old fencing number.
    pub fenced: bool,
    /// How long after its send an order may still take effect.
    pub max_delay: Duration,
    /// How often the engine is queried while the result of an order is unknown.
    pub query_interval: Duration,
    /// The pause after the first failed load; it doubles with each further
    /// failure.
    pub min_retry: Duration,
    /// The longest pause after a failed load.
    pub max_retry: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            fenced: false,
            max_delay: Duration::from_secs(10),
            query_interval: Duration::from_millis(500),
            min_retry: Duration::from_secs(2),
            max_retry: Duration::from_mins(1),
        }
    }
}

/// The state that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// Identifies the start of the engine's process.
    pub boot: BootId,
    /// The weights it serves.
    pub digest: Option<Digest>,
    /// The weights it is loading.
    pub loading: Option<Digest>,
    /// When it was queried, on this process's clock; the state is no older than
    /// this.
    pub queried_at: Moment,
}

/// An engine's answer to a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is loading the weights.
    Accepted,
    /// It refuses to load the weights now.
    Refused,
    /// [`Order::may_send`] returned false, so that the order was not sent.
    NotSent,
    /// It has seen a higher fencing number.
    OldFence,
    /// No answer came, so that it is unknown whether it is loading.
    Lost,
}

/// The input to [`Orders::handle`](super::Orders::handle).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEvent {
    /// This process has acquired or renewed the lease that allows it to send
    /// load orders to the target.
    LeaseHeld {
        /// The fencing number, which grows by at least one whenever the lease
        /// is acquired.
        fence: Fence,
        /// When the lease ends, counted from before the request to the store.
        until: Moment,
        /// The longest time for which the previous holder may still hold its
        /// lease; none if there was no previous holder.
        prior: Option<Duration>,
    },
    /// The lease was lost.
    LeaseLost,
    /// The engine is to serve these weights; a later event replaces this one.
    Want(Verified),
    /// The engine's state: the answer to `QueryState`, and with each of its load
    /// reports.
    Engine(EngineState),
    /// The answer to the order with this number.
    Replied(u64, OrderReply),
    /// The target may leave service for a load until this moment.
    PermitHeld(Moment),
    /// The permit was lost.
    PermitLost,
    /// No request runs on the target any more.
    Drained,
    /// Time passed.
    Tick,
}

/// An order to load weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The order's number within this process.
    pub number: u64,
    /// The fencing number.
    pub fence: Fence,
    /// The weights to load.
    pub digest: Digest,
    /// When the sender's lease or permit ends; the order must not be sent from
    /// then on.
    pub valid_until: Moment,
}

impl Order {
    /// Whether it may still be sent at `now`; to be checked directly before the
    /// send.
    ///
    /// This catches a process that was paused between the decision and the send
    /// until its lease had ended.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.valid_until
    }
}

/// What the agent has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Send this order if [`Order::may_send`] allows it; `Replied` must follow.
    Send(Order),
    /// Query the engine's state.
    QueryState,
    /// Acquire a permit to leave service, or keep trying.
    TakePermit,
    /// Return the permit.
    ReturnPermit,
    /// Admit no more requests; `Drained` must follow once no request runs.
    Drain,
    /// Admit requests again.
    Reopen,
    /// A load failed; it is retried after a pause.
    Failed {
        /// The weights that failed to load.
        digest: Digest,
        /// Consecutive failures, this one included.
        times: u32,
    },
}

/// The progress towards serving the wanted weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderPhase {
    /// No weights are wanted, or the engine serves them.
    #[display("settled")]
    Settled,
    /// Waits for a lease, a permit or the end of a pause.
    #[display("blocked")]
    Blocked,
    /// Waits until the running requests have ended.
    #[display("draining")]
    Draining,
    /// An order was sent and its result isn't known.
    #[display("ordered")]
    Ordered,
}
