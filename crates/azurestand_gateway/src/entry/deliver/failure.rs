//! What follows from a failed attempt: whether the request may go to another target, and what
//! its caller is told.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Fault, Target};
use http::Response;

use super::super::admission::AdmissionInputs;
use super::super::place::{Obstacle, obstacle, turned_away};
use super::super::quarantine;
use super::super::response::{Body, RequestError};
use super::{Delivery, MIN_HEAD_TIMEOUT, PROVEN_BATCHES, REFUSED_RETRY_AFTER};
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::metrics::{self, Span};
use crate::platform::Platform;

/// Failed connection attempts after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Targets that may end under one request; it isn't offered to another one then.
const MAX_ENDED_TARGETS: u32 = 2;

impl<P> Delivery<P>
where
    P: Platform,
{
    pub(super) fn error_response(&self, error: RequestError) -> Response<Body> {
        let error = match error {
            RequestError::Unknown | RequestError::TimedOut => error,
            // An earlier target may have run the request.
            _ if self.maybe_ran => RequestError::Unknown,
            _ => error,
        };
        let (event, span) = if error.retry_after().is_some() {
            (LogEvent::Refused, Span::Refusal)
        } else {
            (LogEvent::Unknown, Span::Doubt)
        };
        metrics::time(span, self.call.waited());
        let shortage = error.shortage();
        let account = self.call.account.as_ref();
        let mut fields = vec![
            ("request", self.call.id().into()),
            ("service", self.call.service.name.as_ref().into()),
            ("route", self.call.route.name.as_ref().into()),
            (
                "account",
                account.map(|account| account.name.as_ref()).into(),
            ),
            ("priority", u64::from(self.call.priority()).into()),
            ("ahead", shortage.map(|known| known.ahead).into()),
            ("limit_ms", shortage.map(|known| millis(known.limit)).into()),
            (
                "soonest_ms",
                shortage.and_then(|known| known.soonest).map(millis).into(),
            ),
            ("why", error.to_string().into()),
            ("part", error.part().map(|part| part.to_string()).into()),
            ("status", error.status().as_u16().into()),
            ("sends", self.sends.into()),
            ("waited_ms", millis(self.call.waited())),
        ];
        let admission = shortage.and_then(|known| known.admission);
        fields.extend(admission.into_iter().flat_map(AdmissionInputs::fields));
        event.log(&fields);
        error.response()
    }

    /// Whether another target may be tried after a failure.
    pub(super) fn may_repeat(&self) -> bool {
        let repeatable = self.call.route.kind.may_repeat();
        repeatable && self.has_attempts_left()
    }

    pub(super) fn has_attempts_left(&self) -> bool {
        self.sends < self.call.route.attempts.max(1)
    }

    /// Takes one retry from the retry budget; returns whether there was one.
    pub(super) fn spend_retry(&self) -> bool {
        self.shared.state().retries.spend()
    }

    /// Logs that a request was cancelled at its target, which may have begun it at the same
    /// moment.
    pub(crate) fn log_withdrawn(&self, target: &Target, why: &str) {
        LogEvent::Withdrawn.log(&[
            ("request", self.call.id().into()),
            ("target", target.id.as_ref().into()),
            ("why", why.into()),
            ("waited_ms", millis(self.call.waited())),
        ]);
    }

    /// Handles a request that may no longer go to its target, before anything was sent.
    ///
    /// # Errors
    ///
    /// [`RequestError::Stale`] if no target may be chosen by the rules known here.
    pub(super) fn withheld(&mut self, target: &Target) -> Result<(), RequestError> {
        self.sends -= 1;
        let obstacle = obstacle(&self.shared, &self.call.residency, target);
        let why = obstacle.map_or_else(|| "passing".to_owned(), |obstacle| obstacle.to_string());
        self.log_withdrawn(target, &why);
        match obstacle {
            Some(Obstacle::Rules) => return Err(RequestError::Stale),
            Some(Obstacle::Region | Obstacle::Target) => {
                self.constraints.avoid.push(target.id.clone());
            }
            // A proof has come meanwhile.
            None => {}
        }
        Ok(())
    }

    /// The refusal of a request that no further target may be tried for.
    pub(super) fn target_refused(&self) -> RequestError {
        let state = self.shared.state();
        let after = turned_away(&state, BootClock.now(), &self.call);
        RequestError::TargetRefused(after.unwrap_or(REFUSED_RETRY_AFTER))
    }

    /// Handles a failed connection: nothing was sent, so the attempt isn't counted.
    pub(super) fn unsent(
        &mut self,
        target: &Arc<Target>,
        reason: &str,
    ) -> Result<(), RequestError> {
        self.record_fault(target, Fault::Unreachable, reason);
        self.sends -= 1;
        self.connect_failures += 1;
        self.constraints.avoid.push(target.id.clone());
        if self.connect_failures >= MAX_CONNECT_FAILURES {
            return Err(RequestError::NoTarget(REFUSED_RETRY_AFTER));
        }
        Ok(())
    }

    /// Handles a connection that broke: the target may have run the request, and may have
    /// crashed under it.
    pub(crate) async fn broke(
        &mut self,
        target: &Arc<Target>,
        fault: Fault,
        reason: &str,
    ) -> Result<(), RequestError> {
        self.record_if_crashed(target).await;
        self.failed(target, fault, reason)
    }

    /// Records a crash if the target has ended before it had gone on writing the answer.
    pub(crate) async fn record_if_crashed(&mut self, target: &Arc<Target>) {
        let at = BootClock.now();
        let is_unproven = self.written.batches < PROVEN_BATCHES;
        if is_unproven && quarantine::has_ended(&self.shared, target).await {
            self.ended_targets += 1;
            self.constraints.crashed = true;
            let beginning = self.written.head;
            quarantine::record_crash(&self.shared, &self.call, target, beginning, at);
        }
    }

    /// Handles a failure after which the target may have run the request.
    pub(crate) fn failed(
        &mut self,
        target: &Arc<Target>,
        fault: Fault,
        reason: &str,
    ) -> Result<(), RequestError> {
        self.record_fault(target, fault, reason);
        self.try_another(target)
    }

    /// Lets the request go to another target although this one may have run it.
    ///
    /// # Errors
    ///
    /// [`RequestError::Unknown`] if it may not be repeated.
    pub(super) fn try_another(&mut self, target: &Arc<Target>) -> Result<(), RequestError> {
        self.leave(target);
        if self.may_try_another() && self.spend_retry() {
            return Ok(());
        }
        Err(RequestError::Unknown)
    }

    /// Whether another target may be tried although this one may have run the request.
    pub(super) fn may_try_another(&self) -> bool {
        self.may_repeat() && self.ended_targets < MAX_ENDED_TARGETS
    }

    /// Excludes a target that may have run the request from the next attempts.
    pub(crate) fn leave(&mut self, target: &Target) {
        self.maybe_ran = true;
        self.constraints.avoid.push(target.id.clone());
    }

    /// Records that the target is silent; it may still go on.
    pub(crate) fn record_silence(&self, target: &Arc<Target>) {
        self.record_fault(target, Fault::Silent, "silent");
    }

    /// Handles a target that has sent no response in time; another one may be reserved.
    pub(super) fn timed_out(
        &mut self,
        target: &Arc<Target>,
        waited: Duration,
    ) -> Result<(), RequestError> {
        if self.replacement.is_some() {
            self.leave(target);
            return Ok(());
        }
        // A missed deadline that was short is no sign of a faulty target.
        if waited >= MIN_HEAD_TIMEOUT {
            self.record_fault(target, Fault::Silent, "no answer in time");
        }
        Err(RequestError::TimedOut)
    }

    pub(crate) fn record_fault(&self, target: &Arc<Target>, fault: Fault, reason: &str) {
        let now = BootClock.now();
        self.shared
            .state()
            .placement
            .record_fault(now, target, fault);
        LogEvent::AttemptFailed.log(&[
            ("request", self.call.id().into()),
            ("target", target.id.as_ref().into()),
            ("fault", format!("{fault:?}").into()),
            ("why", reason.into()),
            ("started_at", target.started_at.into()),
            ("head", self.written.head.into()),
            ("batches", self.written.batches.into()),
            ("parts", self.call.parts_text().into()),
            ("waited_ms", millis(self.call.waited())),
        ]);
    }
}
