//! A caller's request while the entry handles it.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    Account, Residency, Route, RouteKind, Service, Target, Terms, Urgency, longest_gap,
};
use azurestand_types::Moment;
use bytes::Bytes;
use http::request;
use serde_json::Value;

use crate::clock::BootClock;
use crate::log::millis;
use crate::platform::RequestHead;

/// A request that has passed the checks of the filter.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) request: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) account: Option<Arc<Account>>,
    /// By what it is ordered among those that wait for a target.
    pub(crate) terms: Terms,
    /// The regions that may serve it.
    pub(crate) residency: Residency,
    /// The age of the proof that the rules which admitted it were the latest.
    pub(crate) proof_age: Option<Duration>,
    pub(crate) arrived: Moment,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(crate) expires_at: Moment,
    /// When the caller stops waiting.
    pub(crate) deadline: Moment,
}

impl Call {
    /// How long the caller has waited so far.
    pub(crate) fn waited(&self) -> Duration {
        BootClock.now().since(self.arrived)
    }

    /// How long this entry may still work on the request.
    pub(crate) fn time_left(&self) -> Duration {
        self.expires_at.since(BootClock.now())
    }

    /// How long the caller will still wait.
    pub(crate) fn caller_time_left(&self) -> Duration {
        self.deadline.since(BootClock.now())
    }

    /// How long the caller waits for the first or the next event of a stream; none if the
    /// request isn't for a stream.
    pub(crate) fn longest_gap(&self) -> Option<Duration> {
        match self.route.kind {
            RouteKind::Streaming { gap_target, .. } => {
                Some(longest_gap(self.route.latency_target, gap_target))
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => None,
        }
    }

    /// The priority that is stated to the target: the level of urgency where levels compete.
    pub(crate) fn stated_priority(&self) -> u8 {
        self.terms.own
    }

    /// The priority of the account, or of the route where the account has none.
    pub(crate) fn priority(&self) -> u8 {
        Urgency::new(&self.route, self.account.as_deref()).account
    }

    /// The shared parts of the prompt as logged.
    pub(crate) fn parts_text(&self) -> String {
        let parts: Vec<String> = self.request.parts.iter().map(ToString::to_string).collect();
        parts.join(",")
    }

    /// What decided which targets might serve the request, and where `target` is, as logged.
    pub(crate) fn placement_inputs(&self, target: &Target) -> [(&'static str, Value); 4] {
        [
            ("config", self.residency.version().into()),
            ("proof_age_ms", self.proof_age.map(millis).into()),
            ("regions", self.residency.admitted().to_string().into()),
            ("centre", target.centre.as_ref().into()),
        ]
    }

    /// The request id as logged; `-` without one.
    pub(crate) fn id(&self) -> &str {
        self.request.id.as_deref().unwrap_or("-")
    }
}
