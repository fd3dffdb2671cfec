//! What a send or revoke says and comes to.

use std::time::Duration;

use azurestand_types::{Incarnation, Moment};

/// The bounds of an agent's memory of requests and answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeSettings {
    /// Bytes of one answer that may wait to be acknowledged.
    pub buffer: usize,
    /// Bytes of all answers together.
    pub total: usize,
    /// How long an ended answer is kept for a reader that comes back.
    pub keep: Duration,
    /// How long after its stamp a send is still accepted.
    pub window: Duration,
    /// Requests remembered, ended ones included.
    pub ids: usize,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            buffer: 256 * 1024,
            total: 16 * 1024 * 1024,
            keep: Duration::from_mins(1),
            window: Duration::from_secs(30),
            ids: 20_000,
        }
    }
}

/// When a request was issued, on the clock of the agent that it is sent to.
///
/// The entry copies the newest moment that it heard from the agent when it
/// first sends a request to this life of it, and repeats the same stamp with
/// every copy and with the revoke. So the agent can forget a request once its
/// stamp is out of the window: a late copy is refused by the stamp alone, and
/// a copy for an earlier life by that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// The agent's life.
    pub life: Incarnation,
    /// The moment on its clock.
    pub at: Moment,
}

/// What a send of a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// The first send of this id: pass it on to the claims or to admission.
    Fresh,
    /// The id is known: read its answer; nothing runs again.
    Attached,
    /// The id was revoked before it came: it never runs.
    Revoked,
    /// Too old, or for an earlier life, so that it can't be told whether an
    /// earlier send ran. This send ran nothing; an entry that sent the id only
    /// once may call it not run.
    Stale,
    /// No memory is left to remember it by: it never runs.
    Full,
}

/// What the revoke of a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RevokeAnswer {
    /// It never came here, and a late send will be refused.
    NeverRuns,
    /// It waits: ask the admission and the claims, then note the end.
    Waiting,
    /// It was started, or it has ended.
    Started,
    /// It ended as not run.
    NotRun,
    /// Too old to tell.
    Stale,
}
