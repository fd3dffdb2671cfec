//! The checks of a request, in order: route, account, freshness and body; then delivery.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{Account, InputLimits, Residency, Route, Service, Urgency};
use bytes::Bytes;
use http::{Request, Response, header, request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::admission;
use super::call::Call;
use super::deliver;
use super::memory;
use super::response::{Body, RequestError};
use super::shared::Shared;
use crate::client::CollectError;
use crate::clock::BootClock;
use crate::log::LogEvent;
use crate::platform::{Platform, RequestHead};

/// How much of a body is read in vain, in bytes, so that its caller gets the refusal. A body
/// that the operators' limit allows is read to its end.
const MAX_DISCARDED_BYTES: usize = 2 << 20;
/// How long a body is read in vain while no configuration is known.
const DEFAULT_DISCARD_TIME: Duration = Duration::from_secs(3);
/// The deadline of requests that state none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// A request whose head has arrived.
pub(crate) struct ReceivedRequest {
    pub(crate) head: request::Parts,
    /// What the platform reads in the head.
    pub(crate) request: RequestHead,
    body: Incoming,
}

impl ReceivedRequest {
    pub(crate) fn read<P>(platform: &P, request: Request<Incoming>) -> Self
    where
        P: Platform,
    {
        let (head, body) = request.into_parts();
        let request = platform.read_request(&head);
        Self {
            head,
            request,
            body,
        }
    }
}

/// The route, service and account of a request, with the limits of its body.
struct Destination {
    route: Arc<Route>,
    service: Arc<Service>,
    account: Option<Arc<Account>>,
    limits: InputLimits,
    residency: Residency,
    /// The age of the proof that the rules are the latest.
    proof_age: Option<Duration>,
}

/// Checks one request and delivers it.
pub(crate) async fn run<P>(shared: &Arc<Shared<P>>, received: ReceivedRequest) -> Response<Body>
where
    P: Platform,
{
    let arrived = BootClock.now();
    let ReceivedRequest {
        head,
        request,
        mut body,
    } = received;
    let checked = check(shared, &head, &request, &mut body).await;
    let (destination, body) = match checked {
        Ok(checked) => checked,
        Err(error) => {
            // The time for a body that did not arrive is over.
            if error != RequestError::NoBody {
                discard_body(shared, &head, body).await;
            }
            return error_response(request.id.as_deref(), error);
        }
    };
    let deadline = arrived + request.deadline.unwrap_or(DEFAULT_DEADLINE);
    let expires_at = deadline.min(arrived + destination.route.timeout);
    if !shared.takes(expires_at) {
        return error_response(request.id.as_deref(), RequestError::Stopping);
    }
    let urgency = Urgency::new(&destination.route, destination.account.as_deref());
    let least_share = shared.settings.bounds.now().least_share;
    let service = &destination.service.name;
    let terms = admission::arrive(&mut shared.state(), arrived, service, urgency, least_share);
    let call = Call {
        expires_at,
        deadline,
        head,
        body,
        request,
        route: destination.route,
        service: destination.service,
        account: destination.account,
        terms,
        residency: destination.residency,
        proof_age: destination.proof_age,
        arrived,
    };
    deliver::run(shared.clone(), call).await
}

async fn check<P>(
    shared: &Shared<P>,
    head: &request::Parts,
    request: &RequestHead,
    body: &mut Incoming,
) -> Result<(Destination, Bytes), RequestError>
where
    P: Platform,
{
    let destination = find_destination(shared, head, request)?;
    let body = read_body(body, destination.limits).await?;
    Ok((destination, body))
}

/// Reads what is left of the body of a refused request. A connection that is closed with
/// unread bytes is reset, and the caller may never see the refusal.
async fn discard_body<P>(shared: &Shared<P>, head: &request::Parts, mut body: Incoming) {
    // Such a caller sends the body only when asked to, and reading it would ask.
    if head.headers.contains_key(header::EXPECT) {
        return;
    }
    let limits = shared.state().rules.as_ref().map(|rules| rules.limits());
    let limit = limits.map_or(DEFAULT_DISCARD_TIME, |limits| limits.head_time);
    let max_bytes = limits.map_or(0, |limits| limits.body_bytes);
    let max_bytes = max_bytes.max(MAX_DISCARDED_BYTES);
    let discard = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > max_bytes {
                break;
            }
        }
    };
    // The refusal is sent either way.
    let _ = timeout(limit, discard).await;
}

/// Logs and answers a request that no target got, or that is given up.
pub(crate) fn error_response(id: Option<&str>, error: RequestError) -> Response<Body> {
    let event = match error {
        RequestError::GivenUp => LogEvent::Unknown,
        _ => LogEvent::Refused,
    };
    event.log(&[
        ("request", id.unwrap_or("-").into()),
        ("why", error.to_string().into()),
        ("status", error.status().as_u16().into()),
    ]);
    error.response()
}

/// Finds the route, service and account of a request by rules that are in force. An entry that
/// may lack a change that is in force everywhere else can tell neither that a request is allowed
/// nor that it isn't.
fn find_destination<P>(
    shared: &Shared<P>,
    head: &request::Parts,
    request: &RequestHead,
) -> Result<Destination, RequestError>
where
    P: Platform,
{
    let state = shared.state();
    let now = BootClock.now();
    let rules = state.rules_in_force(now, shared.max_rules_age())?;
    let host = host(head).ok_or(RequestError::NoRoute)?;
    let path = head.uri.path();
    let route = rules.route(host, path).ok_or(RequestError::NoRoute)?;
    let account = if rules.needs_account(route) {
        state.rules_in_force(now, shared.max_key_age())?;
        let account = request.key.as_deref().and_then(|key| rules.account(key));
        Some(account.cloned().ok_or(RequestError::NoAccount)?)
    } else {
        None
    };
    let name = route.choose_service(fastrand::f64());
    let service = name.and_then(|name| rules.service(name));
    let no_target = RequestError::NoTarget(Duration::from_millis(500));
    Ok(Destination {
        route: route.clone(),
        service: service.cloned().ok_or(no_target)?,
        account,
        limits: rules.limits(),
        residency: Residency::new(rules.clone(), host, path, request.key.clone()),
        proof_age: state.freshness.age(now),
    })
}

fn host(head: &request::Parts) -> Option<&str> {
    let from_header = head.headers.get(header::HOST);
    let from_header = from_header.and_then(|value| value.to_str().ok());
    let host = from_header.or_else(|| head.uri.host())?;
    Some(host.split(':').next().unwrap_or(host))
}

async fn read_body(body: &mut Incoming, limits: InputLimits) -> Result<Bytes, RequestError> {
    let body = memory::collect_request(body, limits.body_bytes);
    let body = timeout(limits.head_time, body).await;
    let body = body.map_err(|_| RequestError::NoBody)?;
    body.map_err(|error| match error {
        CollectError::TooLarge(_) => RequestError::TooLarge,
        CollectError::NoMemory => RequestError::NoMemory,
        CollectError::Broken(_) => RequestError::NoBody,
    })
}
