//! One request that the agent knows.

use azurestand_types::{Moment, Outcome, Refusal, Uncertainty};
use bytes::Bytes;

use super::buffer::Buffer;
use crate::life::Weights;

/// How much of an answer is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// What its reader hasn't acknowledged.
    Unread,
    /// All of it while the buffer's bound allows, for readers that attach later.
    All,
}

/// How the engine's work on a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The engine sent the answer's end.
    Whole {
        /// The weights that the engine named with the answer. An engine that
        /// names none leaves the end unconfirmed until its next report.
        weights: Option<Weights>,
    },
    /// It may have run, without an answer; or it waited for another request's
    /// answer, which its reader was given in its place.
    Unknown(Uncertainty),
    /// It was never started.
    NotRun(Refusal),
    /// The engine certainly did nothing: it couldn't be connected to, or it
    /// said that it has no room. Counts only before the first byte of an answer.
    Declined(Refusal),
}

/// What a reader of an answer gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// The next bytes.
    Bytes(Bytes),
    /// Nothing yet.
    Pending,
    /// The end.
    End {
        /// How the request ended.
        outcome: Outcome,
        /// Bytes of the whole answer; a reader that has another number of
        /// bytes doesn't have the answer.
        length: u64,
    },
    /// The bytes at this offset were released or never existed.
    Gap {
        /// How the request ended, if it did.
        outcome: Option<Outcome>,
    },
    /// This agent doesn't know the request.
    Missing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Revoked before it came.
    Barred,
    Waiting,
    Running(Weights, Moment),
    /// The engine sent the end; no report has confirmed the weights since.
    Unconfirmed(Weights, Moment),
    Ended(Outcome, Moment),
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) stamp: Moment,
    pub(crate) state: State,
    pub(crate) buffer: Buffer,
    keep: Keep,
    acked: u64,
    /// The answer was dropped after its time.
    expired: bool,
}

impl Entry {
    pub(crate) fn new(stamp: Moment, keep: Keep, state: State) -> Self {
        Self {
            stamp,
            state,
            buffer: Buffer::default(),
            keep,
            acked: 0,
            expired: false,
        }
    }

    /// When it ended, unless its answer was dropped since.
    pub(crate) fn ended_at(&self) -> Option<Moment> {
        match self.state {
            State::Ended(_, at) if !self.expired => Some(at),
            _ => None,
        }
    }

    pub(crate) fn is_forgettable(&self) -> bool {
        match self.state {
            State::Barred => true,
            State::Ended(..) => self.expired,
            _ => false,
        }
    }

    pub(crate) fn end(&mut self, now: Moment, ending: Ending) {
        let outcome = match (self.state, ending) {
            (State::Waiting, Ending::NotRun(refusal) | Ending::Declined(refusal)) => {
                Outcome::NotRun(refusal)
            }
            // It never starts after this.
            (State::Waiting, Ending::Unknown(why)) => Outcome::Unknown(why),
            (State::Running(..), Ending::Declined(refusal)) if self.buffer.length() == 0 => {
                Outcome::NotRun(refusal)
            }
            (State::Running(..), Ending::NotRun(_) | Ending::Declined(_)) => {
                // Once started, only the engine's own word could say that nothing ran.
                Outcome::Unknown(Uncertainty::TargetFailed)
            }
            (State::Running(started, _), Ending::Whole { weights }) => match weights {
                Some(weights) if weights == started => Outcome::Answered,
                Some(_) => Outcome::Unknown(Uncertainty::WeightsChanged),
                None if started.digest.is_none() => Outcome::Answered,
                None => {
                    self.state = State::Unconfirmed(started, now);
                    return;
                }
            },
            (State::Running(..) | State::Unconfirmed(..), Ending::Unknown(why)) => {
                Outcome::Unknown(why)
            }
            _ => return,
        };
        self.state = State::Ended(outcome, now);
    }

    /// Compares a report with the weights of the answer; true when it ends a running one.
    pub(crate) fn report(&mut self, now: Moment, taken: Moment, weights: Weights) -> bool {
        match self.state {
            State::Running(started, since) if taken >= since && started != weights => {
                self.state = State::Ended(Self::changed(started), now);
                true
            }
            State::Unconfirmed(started, since) if taken >= since => {
                let outcome = if started == weights {
                    Outcome::Answered
                } else {
                    Self::changed(started)
                };
                self.state = State::Ended(outcome, now);
                false
            }
            _ => false,
        }
    }

    fn changed(started: Weights) -> Outcome {
        match started.digest {
            Some(_) => Outcome::Unknown(Uncertainty::WeightsChanged),
            None => Outcome::Unknown(Uncertainty::TargetFailed),
        }
    }

    pub(crate) fn read(&self, offset: u64) -> Read {
        let outcome = match self.state {
            State::Ended(outcome, _) => Some(outcome),
            State::Barred => Some(Outcome::NotRun(Refusal::Revoked)),
            _ => None,
        };
        let length = self.buffer.length();
        match (self.buffer.read(offset), outcome) {
            // Without an answer there is nothing to read before the end.
            (_, Some(outcome)) if outcome != Outcome::Answered => Read::End { outcome, length },
            (Some(bytes), _) if !bytes.is_empty() => Read::Bytes(bytes),
            (Some(_), Some(outcome)) => Read::End { outcome, length },
            (Some(_), None) => Read::Pending,
            (None, outcome) => Read::Gap { outcome },
        }
    }

    pub(crate) fn whole(&self) -> Option<Bytes> {
        match self.state {
            State::Ended(Outcome::Answered, _) => self.buffer.whole(),
            _ => None,
        }
    }

    /// Releases what the reader has, and says how many bytes that were.
    pub(crate) fn ack(&mut self, offset: u64, bound: usize) -> usize {
        self.acked = self.acked.max(offset.min(self.buffer.length()));
        match self.keep {
            Keep::All if self.buffer.held() < bound => 0,
            // An answer too large to be held whole is held as far as it is unread.
            _ => self.buffer.release(self.acked),
        }
    }

    /// Drops the bytes of an answer that can't become whole.
    pub(crate) fn drop_useless(&mut self) -> usize {
        match self.state {
            State::Ended(Outcome::Answered, _) | State::Running(..) | State::Unconfirmed(..) => 0,
            _ => self.buffer.release(self.buffer.length()),
        }
    }

    /// Drops the answer after its time.
    pub(crate) fn expire(&mut self) -> usize {
        self.expired = true;
        self.buffer.release(self.buffer.length())
    }
}
