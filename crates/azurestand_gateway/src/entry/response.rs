//! Error responses that the entry itself sends, and the type of response bodies.

use std::time::Duration;

use azurestand_direct::PartId;
use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::admission::AdmissionInputs;

/// The error with which a response body ends early.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of any response of this entry.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// The inputs of the decision that no target has capacity for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shortage {
    /// The time after which the caller may retry.
    pub(crate) retry_after: Duration,
    /// The shortest predicted time to the first byte; none if the request only waited behind
    /// others.
    pub(crate) soonest: Option<Duration>,
    /// The longest predicted time with which it might have been sent when it was refused.
    pub(crate) limit: Duration,
    /// The number of requests that were queued before it when it arrived.
    pub(crate) ahead: usize,
    /// What admission by priority decided, where it is in force.
    pub(crate) admission: Option<AdmissionInputs>,
}

/// Why the entry answers a request with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum RequestError {
    /// No configuration has been read yet.
    #[display("this entry has no configuration yet")]
    NoRules,
    /// The configuration known here may have been replaced.
    #[display("this entry's configuration is out of date; try again")]
    Stale,
    /// No route matches.
    #[display("no route matches the request")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is unknown")]
    NoAccount,
    /// The body is larger than the operators allow.
    #[display("the body is too large")]
    TooLarge,
    /// The bodies of other requests take up the memory for bodies.
    #[display("no memory is left for a body of this size; send it again")]
    NoMemory,
    /// The request body did not arrive in time or was cut off.
    #[display("the body did not arrive")]
    NoBody,
    /// No target can serve the request now; the caller may retry after this time.
    #[display("no target can take the request now")]
    NoTarget(Duration),
    /// All targets are at capacity.
    #[display("all targets are busy")]
    Busy(Shortage),
    /// All targets have named a time for which they want nothing.
    #[display("all targets have asked for a pause")]
    TurnedAway(Duration),
    /// A target refused the request, and no other target may be tried.
    #[display("the target refused the request")]
    TargetRefused(Duration),
    /// A part of the prompt is suspected to crash targets, and another request tries it.
    #[display("the part {_0} of the prompt may crash targets and is being tried")]
    Suspected(PartId, Duration),
    /// A part of the prompt crashes targets.
    #[display("the part {_0} of the prompt crashes targets; leave it out")]
    Quarantined(PartId, Duration),
    /// The deadline passed before the request was sent.
    #[display("the deadline passed before the request was sent")]
    Expired,
    /// This entry stops before the request's time ends.
    #[display("this entry stops before the request's time ends; send it again")]
    Stopping,
    /// The request was still open when this entry had to end.
    #[display("this entry stops; the request may have run")]
    GivenUp,
    /// The request was sent, and it is unknown whether it ran.
    #[display("the target sent no complete response; the request may have run")]
    Unknown,
    /// The request was sent, and no response came in time.
    #[display("no answer came in time; the request may have run")]
    TimedOut,
}

impl RequestError {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRules
            | Self::Stale
            | Self::NoTarget(_)
            | Self::Busy(_)
            | Self::TurnedAway(_)
            | Self::TargetRefused(_)
            | Self::Suspected(..)
            | Self::Quarantined(..)
            | Self::NoMemory
            | Self::Stopping
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccount => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown | Self::GivenUp => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may retry; none where a retry is useless or could run the request twice.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRules | Self::Stale | Self::Stopping => Some(Duration::from_millis(50)),
            Self::NoTarget(after)
            | Self::TurnedAway(after)
            | Self::TargetRefused(after)
            | Self::Suspected(_, after)
            | Self::Quarantined(_, after) => Some(after),
            Self::Busy(shortage) => Some(shortage.retry_after),
            Self::NoMemory => Some(Duration::from_millis(300)),
            Self::Expired => Some(Duration::ZERO),
            Self::NoRoute
            | Self::NoAccount
            | Self::TooLarge
            | Self::NoBody
            | Self::GivenUp
            | Self::Unknown
            | Self::TimedOut => None,
        }
    }

    /// Why there was no capacity, if that is why the request is refused.
    pub(crate) fn shortage(self) -> Option<Shortage> {
        match self {
            Self::Busy(shortage) => Some(shortage),
            _ => None,
        }
    }

    /// The part of the prompt for which the request is refused.
    pub(crate) fn part(self) -> Option<PartId> {
        match self {
            Self::Suspected(part, _) | Self::Quarantined(part, _) => Some(part),
            _ => None,
        }
    }

    /// The response for the caller.
    pub(crate) fn response(self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::from(format!("{self}\n"))));
        *response.status_mut() = self.status();
        let seconds = self
            .retry_after()
            .map(|after| format!("{:.3}", after.as_secs_f64()));
        let value = seconds.and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(value) = value {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        // Other entries may be up to date, and the balancer leads a new connection there.
        if self == Self::Stale {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// A body whose bytes are all known.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
