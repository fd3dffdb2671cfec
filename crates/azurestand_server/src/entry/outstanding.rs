//! The requests that wait for an answer, each with the one carrier that takes it.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use azurestand_route::Attempt;
use azurestand_types::{HostName, RequestId, TargetName};
use tokio::sync::mpsc;

/// What comes back for one request.
#[derive(Debug)]
pub(super) enum Answer {
    /// A message about the request, from the target of this attempt.
    Message(Attempt, azurestand_wire::Body),
    /// The link to the host of this attempt's target ended.
    Lost(Attempt),
    /// The entry that passed the request on wants it no longer.
    Left,
    /// The entry that passed the request on takes it back.
    Expired,
}

/// Where the answers of one request come from and go to.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) host: HostName,
    pub(super) target: TargetName,
    pub(super) attempt: Attempt,
    pub(super) answers: mpsc::UnboundedSender<Answer>,
}

/// All requests that wait. A request that another entry takes up again has two
/// carriers for a moment; the later one gets the answers.
#[derive(Debug, Default)]
pub(super) struct Waiting(BTreeMap<RequestId, Outstanding>);

impl Waiting {
    /// Expects answers to `id`; gives the target from which they were expected before.
    pub(super) fn expect(&mut self, id: RequestId, outstanding: Outstanding) -> Option<TargetName> {
        let earlier = self.0.insert(id, outstanding)?;
        Some(earlier.target)
    }

    /// Expects no more answers for the carrier behind `answers`; gives its target,
    /// or none when it expected nothing or a later carrier took the request up.
    pub(super) fn settle(
        &mut self,
        id: RequestId,
        answers: &mpsc::UnboundedSender<Answer>,
    ) -> Option<TargetName> {
        let own = self.0.get(&id)?.answers.same_channel(answers);
        if !own {
            return None;
        }
        let settled = self.0.remove(&id)?;
        Some(settled.target)
    }

    /// Whether a later carrier than the one behind `answers` took the request up.
    pub(super) fn is_taken(&self, id: RequestId, answers: &mpsc::UnboundedSender<Answer>) -> bool {
        let current = self.0.get(&id);
        current.is_some_and(|current| !current.answers.same_channel(answers))
    }

    /// Hands a message on to the request that waits for it from this host.
    pub(super) fn deliver(&self, peer: &HostName, id: RequestId, body: azurestand_wire::Body) {
        let Some(outstanding) = self.0.get(&id).filter(|found| found.host == *peer) else {
            return;
        };
        let message = Answer::Message(outstanding.attempt, body);
        // The carrier may have ended in between.
        let _ = outstanding.answers.send(message);
    }

    /// Tells every request that waits for `host` that its link ended.
    pub(super) fn lose(&self, host: &HostName) {
        let lost = self.0.values().filter(|found| found.host == *host);
        for outstanding in lost {
            let _ = outstanding.answers.send(Answer::Lost(outstanding.attempt));
        }
    }
}
