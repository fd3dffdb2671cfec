//! Finds out what a request asks for and whether a second run would do harm.

use std::time::Duration;

use azurestand_config::Document;
use azurestand_types::{
    AccountName, DataCentre, ModelName, Priority, Refusal, RequestId, RequestKey, ServiceName,
    TargetName,
};
use azurestand_wire::Header;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, Method};
use serde::Deserialize;

use super::Stop;
use super::read::Whole;

const KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-azurestand-deadline-ms";
const RESUME_HEADER: &str = "last-event-id";

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::entry) enum Subject {
    /// A completion by a model.
    Model(ModelName),
    /// A call of a plain service.
    Service(ServiceName),
    /// Nothing new: the rest of an answer.
    None,
}

impl Subject {
    pub(in crate::entry) fn as_str(&self) -> &str {
        match self {
            Self::Model(model) => model.as_str(),
            Self::Service(service) => service.as_str(),
            Self::None => "",
        }
    }
}

/// Where a caller left off reading a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::entry) struct Place {
    pub(in crate::entry) id: RequestId,
    pub(in crate::entry) target: TargetName,
    pub(in crate::entry) centre: DataCentre,
    pub(in crate::entry) offset: u64,
}

impl TryFrom<&str> for Place {
    type Error = Stop;

    fn try_from(raw: &str) -> Result<Self, Stop> {
        let wrong = || {
            let detail = "the Last-Event-ID header is malformed; send the id of the last event";
            Stop::with(Refusal::Malformed, detail)
        };
        let mut parts = raw.split(':');
        let mut next = || parts.next().ok_or_else(wrong);
        let id = next()?;
        let (target, centre) = next()?.split_once('@').ok_or_else(wrong)?;
        Ok(Self {
            id: RequestId::try_from(id).map_err(|_| wrong())?,
            target: TargetName::try_from(target).map_err(|_| wrong())?,
            centre: DataCentre::try_from(centre).map_err(|_| wrong())?,
            offset: next()?.parse().map_err(|_| wrong())?,
        })
    }
}

/// A request of which everything is known that its way depends on.
#[derive(Debug)]
pub(in crate::entry) struct Classified {
    pub(in crate::entry) id: RequestId,
    pub(in crate::entry) account: AccountName,
    pub(in crate::entry) priority: Priority,
    pub(in crate::entry) subject: Subject,
    pub(in crate::entry) idempotent: bool,
    pub(in crate::entry) key: Option<RequestKey>,
    pub(in crate::entry) patience: Duration,
    pub(in crate::entry) hops: u32,
    pub(in crate::entry) place: Option<Place>,
    pub(in crate::entry) method: Method,
    pub(in crate::entry) path: String,
    pub(in crate::entry) headers: Vec<Header>,
    pub(in crate::entry) body: Bytes,
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
}

pub(super) fn classify(
    document: &Document,
    id: RequestId,
    whole: Whole,
) -> Result<Classified, Stop> {
    let request = &whole.from.request;
    let headers = request.headers();
    let path = request.uri().path();
    let query = request.uri().query();
    let (subject, path, idempotent) = match path {
        "/v1/chat/completions" | "/v1/completions" => {
            let model = find_model(document, &whole.body)?;
            (Subject::Model(model), path.to_owned(), true)
        }
        _ => find_service(document, path, request.method())?,
    };
    let path = match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    Ok(Classified {
        id,
        subject,
        idempotent,
        key: find_key(headers)?,
        patience: find_patience(document, headers)?,
        hops: 0,
        place: text(headers, RESUME_HEADER)
            .map(Place::try_from)
            .transpose()?,
        method: request.method().clone(),
        path,
        headers: keep_headers(headers),
        account: whole.from.account,
        priority: whole.from.priority,
        body: whole.body,
    })
}

fn find_model(document: &Document, body: &[u8]) -> Result<ModelName, Stop> {
    let completion: Completion = serde_json::from_slice(body).map_err(|error| {
        Stop::with(
            Refusal::Malformed,
            format!("the body isn't a completion: {error}"),
        )
    })?;
    let name = ModelName::try_from(completion.model.as_str())
        .map_err(|error| Stop::with(Refusal::Malformed, error.to_string()))?;
    if document.models().contains_key(&name) {
        return Ok(name);
    }
    let detail = format!("model {name} is unknown; choose one of the configuration");
    Err(Stop::with(Refusal::NotServed, detail))
}

fn find_service(
    document: &Document,
    path: &str,
    method: &Method,
) -> Result<(Subject, String, bool), Stop> {
    let unknown = || {
        let detail = "no such path; use /v1/chat/completions, /v1/completions or /services/NAME/";
        Stop::with(Refusal::NotServed, detail)
    };
    let rest = path.strip_prefix("/services/").ok_or_else(unknown)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ServiceName::try_from(name).map_err(|_| unknown())?;
    let Some(service) = document.services().get(&name) else {
        let detail = format!("service {name} is unknown; choose one of the configuration");
        return Err(Stop::with(Refusal::NotServed, detail));
    };
    // HTTP's own safe methods may be repeated whatever the service is like.
    let idempotent = service.idempotent || method.is_safe();
    Ok((Subject::Service(name), format!("/{rest}"), idempotent))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Stop> {
    let Some(raw) = text(headers, name) else {
        return Ok(None);
    };
    let wrong = |_| {
        Stop::with(
            Refusal::Malformed,
            format!("header {name} isn't a number; send digits"),
        )
    };
    raw.parse().map(Some).map_err(wrong)
}

fn find_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Stop> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let raw = value.to_str().unwrap_or_default();
    RequestKey::try_from(raw)
        .map(Some)
        .map_err(|error| Stop::with(Refusal::Malformed, error.to_string()))
}

fn find_patience(document: &Document, headers: &HeaderMap) -> Result<Duration, Stop> {
    let limits = document.limits();
    let asked = number(headers, DEADLINE_HEADER)?.map(Duration::from_millis);
    Ok(asked.unwrap_or(limits.deadline).min(limits.max_deadline))
}

/// The account's key stays here, and headers about the connection concern nobody else.
fn keep_headers(headers: &HeaderMap) -> Vec<Header> {
    let dropped: [HeaderName; 5] = [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TRANSFER_ENCODING,
    ];
    let kept = headers
        .iter()
        .filter(|(name, _)| !dropped.contains(name) && !name.as_str().starts_with("x-azurestand-"));
    kept.map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}
