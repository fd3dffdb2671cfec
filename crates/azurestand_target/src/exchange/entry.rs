//! One request that the agent has received.

use azurestand_types::{Moment, Outcome, Refusal, Uncertainty};
use bytes::Bytes;

use super::buffer::Buffer;
use crate::lifecycle::Weights;

/// How much of an answer is buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// Only the bytes that its reader hasn't acknowledged.
    Unread,
    /// All bytes, up to the size of the buffer, for readers that attach later.
    All,
}

/// How the engine's work on a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The engine sent the end of the answer.
    Complete {
        /// The weights that the engine gave with the answer. If it gave none,
        /// the end stays unconfirmed until the engine's next report.
        weights: Option<Weights>,
    },
    /// It may have run, but there is no answer; or it waited for the answer to
    /// another request, which its reader received instead.
    Unknown(Uncertainty),
    /// It was never started.
    NotRun(Refusal),
    /// The engine certainly did not run it: the connection failed, or the
    /// engine answered that it has no capacity. Valid only before the first
    /// byte of an answer.
    Declined(Refusal),
}

/// The result of reading an answer at an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The next bytes.
    Bytes(Bytes),
    /// No bytes yet.
    Pending,
    /// The end of the answer.
    End {
        /// How the request ended.
        outcome: Outcome,
        /// The length of the complete answer in bytes; a reader that has
        /// received another number of bytes doesn't have the complete answer.
        length: u64,
    },
    /// The bytes at this offset were released or never existed.
    Gap {
        /// How the request ended, if it has.
        outcome: Option<Outcome>,
    },
    /// The agent has no such request.
    Missing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Revoked before it arrived.
    Revoked,
    Waiting,
    Running(Weights, Moment),
    /// The engine sent the end; no later report has confirmed the weights yet.
    Unconfirmed(Weights, Moment),
    Ended(Outcome, Moment),
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) stamp: Moment,
    pub(crate) state: State,
    pub(crate) buffer: Buffer,
    retention: Retention,
    acked: u64,
    /// The answer was dropped at the end of its retention time.
    expired: bool,
}

impl Entry {
    pub(crate) fn new(stamp: Moment, retention: Retention, state: State) -> Self {
        Self {
            stamp,
            state,
            buffer: Buffer::default(),
            retention,
            acked: 0,
            expired: false,
        }
    }

    /// When it ended, unless its answer has been dropped since.
    pub(crate) fn ended_at(&self) -> Option<Moment> {
        match self.state {
            State::Ended(_, at) if !self.expired => Some(at),
            _ => None,
        }
    }

    pub(crate) fn is_removable(&self) -> bool {
        match self.state {
            State::Revoked => true,
            State::Ended(..) => self.expired,
            _ => false,
        }
    }

    pub(crate) fn end(&mut self, now: Moment, ending: Ending) {
        let outcome = match (self.state, ending) {
            (State::Waiting, Ending::NotRun(refusal) | Ending::Declined(refusal)) => {
                Outcome::NotRun(refusal)
            }
            // It never starts after this event.
            (State::Waiting, Ending::Unknown(uncertainty)) => Outcome::Unknown(uncertainty),
            (State::Running(..), Ending::Declined(refusal)) if self.buffer.end() == 0 => {
                Outcome::NotRun(refusal)
            }
            (State::Running(..), Ending::NotRun(_) | Ending::Declined(_)) => {
                // After the start, only the engine itself can rule out a run.
                Outcome::Unknown(Uncertainty::TargetFailed)
            }
            (State::Running(started, _), Ending::Complete { weights }) => match weights {
                Some(weights) if weights == started => Outcome::Answered,
                Some(_) => Outcome::Unknown(Uncertainty::WeightsChanged),
                None if started.digest.is_none() => Outcome::Answered,
                None => {
                    self.state = State::Unconfirmed(started, now);
                    return;
                }
            },
            (State::Running(..) | State::Unconfirmed(..), Ending::Unknown(uncertainty)) => {
                Outcome::Unknown(uncertainty)
            }
            _ => return,
        };
        self.state = State::Ended(outcome, now);
    }

    /// Compares a report with the weights of the answer; returns true if it
    /// ends a running request.
    pub(crate) fn report(&mut self, now: Moment, taken: Moment, weights: Weights) -> bool {
        match self.state {
            State::Running(started, since) if taken >= since && started != weights => {
                self.state = State::Ended(Self::weights_changed(started), now);
                true
            }
            State::Unconfirmed(started, since) if taken >= since => {
                let outcome = if started == weights {
                    Outcome::Answered
                } else {
                    Self::weights_changed(started)
                };
                self.state = State::Ended(outcome, now);
                false
            }
            _ => false,
        }
    }

    fn weights_changed(started: Weights) -> Outcome {
        match started.digest {
            Some(_) => Outcome::Unknown(Uncertainty::WeightsChanged),
            None => Outcome::Unknown(Uncertainty::TargetFailed),
        }
    }

    pub(crate) fn read(&self, offset: u64) -> Read {
        let outcome = match self.state {
            State::Ended(outcome, _) => Some(outcome),
            State::Revoked => Some(Outcome::NotRun(Refusal::Revoked)),
            _ => None,
        };
        let length = self.buffer.end();
        match (self.buffer.read(offset), outcome) {
            // A request without a complete answer has only an end to read.
            (_, Some(outcome)) if outcome != Outcome::Answered => Read::End { outcome, length },
            (Some(bytes), _) if !bytes.is_empty() => Read::Bytes(bytes),
            (Some(_), Some(outcome)) => Read::End { outcome, length },
            (Some(_), None) => Read::Pending,
            (None, outcome) => Read::Gap { outcome },
        }
    }

    pub(crate) fn complete_answer(&self) -> Option<Bytes> {
        match self.state {
            State::Ended(Outcome::Answered, _) => self.buffer.contents(),
            _ => None,
        }
    }

    /// Releases what the reader has received and returns the number of bytes
    /// released.
    pub(crate) fn ack(&mut self, offset: u64, bound: usize) -> usize {
        self.acked = self.acked.max(offset.min(self.buffer.end()));
        match self.retention {
            Retention::All if self.buffer.len() < bound => 0,
            // Of an answer that is too large for the buffer, only the unread
            // part is kept.
            _ => self.buffer.release(self.acked),
        }
    }

    /// Drops the bytes of an answer that can't become complete any more, and
    /// returns their number.
    pub(crate) fn drop_partial(&mut self) -> usize {
        match self.state {
            State::Ended(Outcome::Answered, _) | State::Running(..) | State::Unconfirmed(..) => 0,
            _ => self.buffer.release(self.buffer.end()),
        }
    }

    /// Drops the answer at the end of its retention time and returns the number
    /// of bytes dropped.
    pub(crate) fn expire(&mut self) -> usize {
        self.expired = true;
        self.buffer.release(self.buffer.end())
    }
}
