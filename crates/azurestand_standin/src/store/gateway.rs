//! The HTTP face: one path a call, a stream of JSON lines for a watch.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use futures_util::stream;
use http::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::message::{LeaseCall, Op, Put, Range, Txn, WatchCall, WatchCreate};
use super::meter::Kind;
use super::{Inner, Shared};
use crate::serve::{Answer, Closed, json};

const MAX_BODY_BYTES: usize = 4 << 20;
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const RESOURCE_EXHAUSTED: u32 = 8;

enum Call {
    Range(Range),
    Txn(Txn),
    Grant(LeaseCall),
    Keep(LeaseCall),
    Revoke(LeaseCall),
    Watch(WatchCreate),
}

impl Call {
    fn parse(path: &str, body: &[u8]) -> Result<Option<Self>, serde_json::Error> {
        let call = match path {
            "/v3/kv/range" => Self::Range(read(body)?),
            "/v3/kv/txn" => Self::Txn(read(body)?),
            "/v3/kv/put" => Self::Txn(single(Op::Put(read::<Put>(body)?))),
            "/v3/kv/deleterange" => Self::Txn(single(Op::Delete(read(body)?))),
            "/v3/lease/grant" => Self::Grant(read(body)?),
            "/v3/lease/keepalive" => Self::Keep(read(body)?),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Self::Revoke(read(body)?),
            "/v3/watch" => Self::Watch(read::<WatchCall>(body)?.create_request),
            _ => return Ok(None),
        };
        Ok(Some(call))
    }

    fn kind(&self) -> Kind {
        match self {
            Self::Range(_) => Kind::Read,
            Self::Txn(txn) if !txn.writes() => Kind::Read,
            Self::Watch(_) => Kind::Watch,
            Self::Txn(_) | Self::Grant(_) | Self::Keep(_) | Self::Revoke(_) => Kind::Write,
        }
    }
}

fn read<T>(body: &[u8]) -> Result<T, serde_json::Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body)
}

fn single(op: Op) -> Txn {
    Txn {
        success: vec![op],
        ..Txn::default()
    }
}

pub(super) async fn answer(shared: Arc<Shared>, request: Request<Body>) -> Answer {
    let path = request.uri().path().to_owned();
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| Closed)?;
    let call = match Call::parse(&path, &body) {
        Ok(Some(call)) => call,
        Ok(None) => return Ok(refuse(StatusCode::NOT_FOUND, NOT_FOUND, "Not Found")),
        Err(error) => {
            let text = error.to_string();
            return Ok(refuse(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, &text));
        }
    };
    if !shared.lock().meter.admit(call.kind(), Instant::now()) {
        let text = "etcdserver: too many requests";
        return Ok(refuse(
            StatusCode::TOO_MANY_REQUESTS,
            RESOURCE_EXHAUSTED,
            text,
        ));
    }
    if call.kind() != Kind::Write {
        wait(&shared).await;
    }
    let kind = call.kind();
    let response = match call {
        Call::Watch(create) => return Ok(watch(shared, create)),
        call => run(&shared, &call)?,
    };
    if kind == Kind::Write {
        // A slow store is slow after the write, which is the harder case.
        wait(&shared).await;
    }
    Ok(response)
}

async fn wait(shared: &Shared) {
    let delay = shared.lock().delay;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn run(shared: &Shared, call: &Call) -> Answer {
    let mut inner = shared.lock();
    let writes = call.kind() == Kind::Write;
    let losses = &mut inner.losses;
    if writes && take(&mut losses.before_write) || !writes && take(&mut losses.reads) {
        return Err(Closed);
    }
    let before = inner.data.revision;
    let response = effect(&mut inner, call);
    let changed = inner.data.revision != before;
    let lost = writes && take(&mut inner.losses.after_write);
    drop(inner);
    if changed {
        shared.wake_watches();
    }
    if lost { Err(Closed) } else { Ok(response) }
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn effect(inner: &mut Inner, call: &Call) -> Response<Body> {
    let data = &mut inner.data;
    data.lapse(Instant::now());
    match call {
        Call::Range(range) => {
            let answer = data.range(range);
            accept(data.revision, json!(answer))
        }
        Call::Txn(txn) => match data.txn(txn) {
            Ok((true, responses)) => accept(
                data.revision,
                json!({ "succeeded": true, "responses": responses }),
            ),
            Ok((false, responses)) => accept(data.revision, json!({ "responses": responses })),
            Err(text) => refuse(StatusCode::NOT_FOUND, NOT_FOUND, &text),
        },
        Call::Grant(call) => {
            let ttl = Duration::from_secs(u64::try_from(call.ttl).unwrap_or(0).max(1));
            let id = data.grant(ttl, Instant::now());
            let body = json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() });
            accept(data.revision, body)
        }
        Call::Keep(call) => {
            let ttl = data.keep(call.id, Instant::now()).map(|ttl| ttl.as_secs());
            let mut body = json!({ "ID": call.id.to_string(), "header": head(data.revision) });
            if let Some(ttl) = ttl {
                body["TTL"] = json!(ttl.to_string());
            }
            json(StatusCode::OK, &json!({ "result": body }))
        }
        Call::Revoke(call) if data.revoke(call.id) => accept(data.revision, json!({})),
        Call::Revoke(_) | Call::Watch(_) => {
            let text = "etcdserver: requested lease not found";
            refuse(StatusCode::NOT_FOUND, NOT_FOUND, text)
        }
    }
}

fn head(revision: i64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "raft_term": "1", "revision": revision.to_string() })
}

fn accept(revision: i64, mut body: Value) -> Response<Body> {
    body["header"] = head(revision);
    json(StatusCode::OK, &body)
}

fn refuse(status: StatusCode, code: u32, text: &str) -> Response<Body> {
    json(
        status,
        &json!({ "error": text, "code": code, "message": text }),
    )
}

struct Watcher {
    shared: Arc<Shared>,
    range: Range,
    /// The next revision to report; none before the watch is confirmed.
    next: Option<i64>,
    start: i64,
    changes: watch::Receiver<u64>,
    restores: watch::Receiver<u64>,
    ended: bool,
}

fn watch(shared: Arc<Shared>, create: WatchCreate) -> Response<Body> {
    let watcher = Watcher {
        changes: shared.changes.subscribe(),
        restores: shared.restores.subscribe(),
        shared,
        range: create.range,
        next: None,
        start: create.start_revision,
        ended: false,
    };
    let lines = stream::unfold(watcher, |mut watcher| async {
        let line = watcher.line().await?;
        Some((Ok::<_, Infallible>(line), watcher))
    });
    Response::new(Body::from_stream(lines))
}

impl Watcher {
    async fn line(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        loop {
            if let Some(body) = self.step() {
                wait(&self.shared).await;
                let mut text = json!({ "result": body }).to_string();
                text.push('\n');
                return Some(text.into());
            }
            tokio::select! {
                changed = self.changes.changed() => changed.ok()?,
                _ = self.restores.changed() => return None,
            }
        }
    }

    fn step(&mut self) -> Option<Value> {
        self.changes.mark_unchanged();
        let inner = self.shared.lock();
        let revision = inner.data.revision;
        let Some(next) = self.next else {
            let start = if self.start == 0 {
                revision + 1
            } else {
                self.start
            };
            self.next = Some(start);
            return Some(json!({ "header": head(revision), "created": true }));
        };
        let Some(events) = inner.data.events(&self.range, next) else {
            self.ended = true;
            let compacted = inner.data.compacted;
            return Some(json!({
                "header": head(revision),
                "canceled": true,
                "compact_revision": compacted.to_string(),
            }));
        };
        self.next = Some(next.max(revision + 1));
        let some = !events.is_empty();
        some.then(|| json!({ "header": head(revision), "events": events }))
    }
}
