//! Datagrams between entries: what each knows of parts of prompts that crash targets, of the
//! rate limits that targets name, and of targets that say that they leave.
//!
//! There is no session and no acknowledgement. What is new goes to all other entries at
//! once, and everything to a few of them at intervals, so that a lost datagram only delays
//! it. [docs/QUARANTINE.md](../../../docs/QUARANTINE.md) compares the ways that were weighed.

use std::time::Duration;

use azurestand_direct::{
    Crash, Incarnation, LimitNotice, PartId, PartNotice, RateError, RateLimit,
};
use azurestand_types::Moment;
use prost::Message;

/// The largest datagram in bytes; larger ones are dropped.
pub(crate) const MAX_BYTES: usize = 8 * 1024;
/// The most parts in one datagram, so that it stays below [`MAX_BYTES`].
pub(crate) const MAX_PARTS: usize = 8;
/// The most limits in one datagram.
pub(crate) const MAX_LIMITS: usize = 64;
/// The most leaving targets in one datagram.
pub(crate) const MAX_LEAVING: usize = 64;
/// The most crashes of one part that are read.
const MAX_CRASHES: usize = 8;
/// The longest name that is read, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// What one entry tells another.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Notices {
    /// What it knows of some parts.
    #[prost(message, repeated, tag = "1")]
    pub(crate) parts: Vec<PartState>,
    /// Whether the receiver should tell all that it knows.
    #[prost(bool, tag = "2")]
    pub(crate) wants_all: bool,
    /// Whether this is the reply to such a request.
    #[prost(bool, tag = "3")]
    pub(crate) is_reply: bool,
    /// What it knows of the rate limits of some targets.
    #[prost(message, repeated, tag = "4")]
    pub(crate) limits: Vec<LimitState>,
    /// Incarnations of targets that have said that they leave.
    #[prost(message, repeated, tag = "5")]
    pub(crate) leaving: Vec<LeavingState>,
}

/// An incarnation of a target that has said that it leaves.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeavingState {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    started_at: u64,
}

impl From<&Incarnation> for LeavingState {
    fn from(incarnation: &Incarnation) -> Self {
        Self {
            target: incarnation.target.to_string(),
            started_at: incarnation.started_at,
        }
    }
}

impl LeavingState {
    /// The incarnation; none if its name is too long.
    pub(crate) fn decode(self) -> Option<Incarnation> {
        let is_valid = self.target.len() <= MAX_NAME_BYTES;
        is_valid.then(|| Incarnation {
            target: self.target.into(),
            started_at: self.started_at,
        })
    }
}

/// The rate limit of one target.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitState {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    started_at: u64,
    /// Requests per second; none if the target names no limit any more.
    #[prost(double, optional, tag = "3")]
    limit: Option<f64>,
    /// Milliseconds since the answer that told so arrived.
    #[prost(uint64, tag = "4")]
    age: u64,
}

impl LimitState {
    /// Encodes a notice with the age of its answer, since clocks differ.
    pub(crate) fn encode(now: Moment, notice: &LimitNotice) -> Self {
        Self {
            target: notice.target.to_string(),
            started_at: notice.started_at,
            limit: notice.limit.map(RateLimit::per_second),
            age: age(now, notice.observed_at),
        }
    }

    /// The notice, dated by this process's clock.
    ///
    /// # Errors
    ///
    /// [`RateError`] if the limit is no rate.
    pub(crate) fn decode(self, now: Moment) -> Result<LimitNotice, RateError> {
        Ok(LimitNotice {
            target: self.target.into(),
            started_at: self.started_at,
            limit: self.limit.map(RateLimit::try_from).transpose()?,
            observed_at: now - Duration::from_millis(self.age),
        })
    }
}

/// The milliseconds since `at`.
fn age(now: Moment, at: Moment) -> u64 {
    u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX)
}

/// What an entry knows of one part.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PartState {
    #[prost(fixed64, tag = "1")]
    part: u64,
    /// The crashes under it.
    #[prost(message, repeated, tag = "2")]
    crashes: Vec<CrashState>,
    /// Whether a target has written an answer under it.
    #[prost(bool, tag = "3")]
    cleared: bool,
}

/// A crash of a target under a request with the part.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashState {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint64, tag = "2")]
    started_at: u64,
    #[prost(string, tag = "3")]
    request: String,
    /// Whether the answer was beginning.
    #[prost(bool, tag = "4")]
    beginning: bool,
    /// Milliseconds since the crash.
    #[prost(uint64, tag = "5")]
    age: u64,
}

impl PartState {
    /// Encodes a notice; crashes are sent with their age, since clocks differ.
    pub(crate) fn encode(now: Moment, notice: &PartNotice) -> Self {
        let encode = |crash: &Crash| CrashState {
            target: crash.target.to_string(),
            started_at: crash.started_at,
            request: crash.request.to_string(),
            beginning: crash.beginning,
            age: age(now, crash.at),
        };
        Self {
            part: notice.part.0,
            crashes: notice.crashes.iter().map(encode).collect(),
            cleared: notice.cleared,
        }
    }

    /// The notice, with crashes dated by this process's clock. Crashes with names that are
    /// too long are left out.
    pub(crate) fn decode(self, now: Moment) -> PartNotice {
        let is_valid = |crash: &CrashState| {
            crash.target.len() <= MAX_NAME_BYTES && crash.request.len() <= MAX_NAME_BYTES
        };
        let decode = |crash: CrashState| Crash {
            target: crash.target.into(),
            started_at: crash.started_at,
            request: crash.request.into(),
            beginning: crash.beginning,
            at: now - Duration::from_millis(crash.age),
        };
        let crashes = self.crashes.into_iter().take(MAX_CRASHES);
        PartNotice {
            part: PartId(self.part),
            crashes: crashes.filter(is_valid).map(decode).collect(),
            cleared: self.cleared,
        }
    }
}
