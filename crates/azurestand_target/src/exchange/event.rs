//! The settings of an exchange, and the results of sends and revokes.

use std::time::Duration;

use azurestand_types::{Incarnation, Moment};

/// The bounds on the requests and answers that an agent stores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// Unacknowledged bytes of one answer that are buffered.
    pub max_answer_bytes: usize,
    /// Buffered bytes of all answers together.
    pub max_total_bytes: usize,
    /// How long the answer of an ended request is kept for a reader that
    /// reconnects.
    pub retention_time: Duration,
    /// How long after its stamp a send is still accepted.
    pub window: Duration,
    /// Stored requests, ended ones included.
    pub max_requests: usize,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            max_answer_bytes: 256 * 1024,
            max_total_bytes: 16 * 1024 * 1024,
            retention_time: Duration::from_mins(1),
            window: Duration::from_secs(30),
            max_requests: 20_000,
        }
    }
}

/// When a request was issued, on the clock of the agent that it is sent to.
///
/// When the entry first sends a request to this incarnation of the agent, it
/// stamps the request with the latest time that it has received from the agent,
/// and repeats the same stamp with every copy and with the revoke. So the agent
/// can remove a request once its stamp is out of the window: a late copy is
/// refused by its stamp alone, and a copy for an earlier incarnation by the
/// incarnation in the stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The time on that agent's clock.
    pub at: Moment,
}

/// The result of sending a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The first send of this id: the agent passes it on to the claims or to
    /// admission.
    Fresh,
    /// The id is known: its answer can be read; nothing runs again.
    Attached,
    /// The id was revoked before it arrived: it never runs.
    Revoked,
    /// Too old, or for an earlier incarnation, so that it is unknown whether an
    /// earlier send ran. This send ran nothing; an entry that sent the id only
    /// once may report it as not run.
    Stale,
    /// No more ids can be stored: it never runs.
    Full,
}

/// The result of revoking a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevokeResult {
    /// It has not arrived here, and a late send will be refused.
    NeverRuns,
    /// It waits: the agent must revoke it at admission and at the claims, then
    /// record the end.
    Waiting,
    /// It was started, or it has ended other than as not run.
    Started,
    /// It ended as not run.
    NotRun,
    /// Too old, or no more ids can be stored: it is unknown whether it ran.
    Stale,
}
