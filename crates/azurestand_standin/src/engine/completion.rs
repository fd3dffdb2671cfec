//! Completions in the usual `/v1` shape, streamed or whole.

use std::sync::Arc;

use axum::body::Body;
use azurestand_types::{BootId, Digest};
use http::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::sleep;

use super::Shared;
use super::state::Hold;
use super::tape::Tape;
use crate::serve::{Answer, Closed, header, json};

const MAX_BODY_BYTES: usize = 1 << 20;
const DEFAULT_TOKENS: u32 = 16;
const DEFAULT_PRIORITY: u8 = 100;

#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

pub(super) async fn answer(shared: Arc<Shared>, request: Request<Body>) -> Answer {
    let chat = request.uri().path().ends_with("/chat/completions");
    let name = header(&request, "x-request-id");
    let priority = header(&request, "x-priority").and_then(|text| text.parse().ok());
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|_| Closed)?;
    let ask: Ask = match serde_json::from_slice(&body) {
        Ok(ask) => ask,
        Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let serves = |loaded: &super::state::Loaded| loaded.model == ask.model;
    if shared
        .lock()
        .loaded
        .as_ref()
        .is_some_and(|loaded| !serves(loaded))
    {
        return Ok(refuse(StatusCode::NOT_FOUND, "this model is not loaded"));
    }
    let mut run = match begin(shared, name.clone(), priority.unwrap_or(DEFAULT_PRIORITY)).await {
        Ok(run) => run,
        Err(text) => return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, text)),
    };
    run.chat = chat;
    run.total = ask.max_tokens.unwrap_or(DEFAULT_TOKENS);
    run.model = ask.model;
    if ask.stream {
        Ok(streamed(run, name))
    } else {
        whole(run).await
    }
}

fn refuse(status: StatusCode, text: &str) -> Response<Body> {
    json(status, &json!({ "error": { "message": text } }))
}

/// Waits for a turn; a caller that leaves gives its place up.
async fn begin(
    shared: Arc<Shared>,
    name: Option<String>,
    priority: u8,
) -> Result<Run, &'static str> {
    let mut turns = shared.turns.subscribe();
    let boots = shared.boots.subscribe();
    let place = shared.lock().enqueue(priority);
    let waiting = Place {
        shared: Arc::clone(&shared),
        place,
    };
    loop {
        turns.mark_unchanged();
        match start(&shared, place, name.as_deref()) {
            Ok((index, boot)) => {
                drop(waiting);
                // Another waiting request may now be the first in the queue.
                shared.wake();
                return Ok(Run::new(shared, index, boot, boots));
            }
            Err(Hold::Unready) => return Err("no weights are loaded"),
            Err(Hold::FellOver) => {
                shared.lock().record.overloads += 1;
                shared.reboot(false);
                return Err("the engine was overloaded while cold and restarts");
            }
            Err(Hold::Wait) if boots.has_changed().unwrap_or(true) => {
                return Err("the engine restarted");
            }
            Err(Hold::Wait) => {}
        }
        if turns.changed().await.is_err() {
            return Err("the engine stopped");
        }
    }
}

fn start(shared: &Shared, place: (u8, u64), name: Option<&str>) -> Result<(usize, BootId), Hold> {
    let mut state = shared.lock();
    let index = state.start_run(place, name)?;
    Ok((index, state.boot))
}

struct Place {
    shared: Arc<Shared>,
    place: (u8, u64),
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.lock().leave_queue(self.place);
        self.shared.wake();
    }
}

/// One answer in the making; dropping it before the end cancels it.
struct Run {
    shared: Arc<Shared>,
    index: usize,
    boot: BootId,
    boots: watch::Receiver<BootId>,
    chat: bool,
    model: String,
    total: u32,
    made: u32,
    finished: bool,
}

impl Run {
    fn new(
        shared: Arc<Shared>,
        index: usize,
        boot: BootId,
        boots: watch::Receiver<BootId>,
    ) -> Self {
        Self {
            shared,
            index,
            boot,
            boots,
            chat: false,
            model: String::new(),
            total: 0,
            made: 0,
            finished: false,
        }
    }

    /// Makes the next token; an error when the engine restarted under it.
    async fn token(&mut self) -> Result<Digest, Closed> {
        let options = self.shared.lock().options;
        let time = if self.made == 0 {
            options.first_token
        } else {
            options.token_time
        };
        let boot = self.boot;
        tokio::select! {
            () = sleep(time) => {}
            _ = self.boots.wait_for(|now| *now != boot) => return Err(Closed),
        }
        let weights = self.shared.lock().token(self.index).ok_or(Closed)?;
        self.made += 1;
        Ok(weights)
    }

    fn finish(&mut self) {
        self.finished = true;
        self.shared.lock().end_run(self.index, self.boot, true);
        self.shared.wake();
    }

    fn text(&self) -> String {
        format!("word{} ", self.made)
    }

    fn chunk(&self, weights: Digest) -> Value {
        let last = (self.made == self.total).then_some("stop");
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "role": "assistant", "content": self.text() }, "finish_reason": last })
        } else {
            json!({ "index": 0, "text": self.text(), "finish_reason": last })
        };
        self.envelope("chunk", &choice, weights)
    }

    fn whole(&self, text: &str, weights: Digest) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        let mut body = self.envelope("", &choice, weights);
        body["usage"] = json!({ "prompt_tokens": 0, "completion_tokens": self.made, "total_tokens": self.made });
        body
    }

    fn envelope(&self, suffix: &str, choice: &Value, weights: Digest) -> Value {
        let object = match (self.chat, suffix) {
            (true, "") => "chat.completion",
            (true, _) => "chat.completion.chunk",
            (false, _) => "text_completion",
        };
        json!({
            "id": format!("cmpl-{}", self.index),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "weights": weights,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let (shared, index, boot) = (Arc::clone(&self.shared), self.index, self.boot);
        let time = shared.lock().options.cancel_time;
        if time.is_zero() {
            cancel(&shared, index, boot);
            return;
        }
        tokio::spawn(async move {
            sleep(time).await;
            cancel(&shared, index, boot);
        });
    }
}

fn cancel(shared: &Shared, index: usize, boot: BootId) {
    shared.lock().end_run(index, boot, false);
    shared.wake();
}

async fn whole(mut run: Run) -> Answer {
    let mut text = String::new();
    let mut weights = None;
    while run.made < run.total {
        weights = Some(run.token().await?);
        text.push_str(&run.text());
    }
    let Some(weights) = weights else {
        return Ok(refuse(
            StatusCode::BAD_REQUEST,
            "max_tokens is 0; ask for more",
        ));
    };
    let body = run.whole(text.trim_end(), weights);
    run.finish();
    Ok(json(StatusCode::OK, &body))
}

/// The stream is made whether or not its first connection still takes it.
fn streamed(run: Run, name: Option<String>) -> Response<Body> {
    let tape = Tape::new();
    if let Some(name) = name {
        run.shared.lock().keep_stream(name, Arc::clone(&tape));
    }
    let response = tape.response(0);
    tokio::spawn(make(run, tape));
    response
}

async fn make(mut run: Run, tape: Arc<Tape>) {
    while run.made < run.total {
        let weights = tokio::select! {
            weights = run.token() => weights,
            () = tape.abandoned() => Err(Closed),
        };
        let Ok(weights) = weights else {
            tape.close(false);
            return;
        };
        tape.push(format!("data: {}\n\n", run.chunk(weights)).as_bytes());
    }
    run.finish();
    tape.push(b"data: [DONE]\n\n");
    tape.close(true);
}

/// Takes a stream up again: `GET /admin/streams/REQUEST?from=BYTES`.
pub(super) fn resume(shared: &Shared, request: &Request<Body>) -> Response<Body> {
    let path = request.uri().path();
    let name = path.strip_prefix("/admin/streams/").unwrap_or_default();
    let query = request.uri().query().unwrap_or_default();
    let from = query.strip_prefix("from=").unwrap_or("0");
    let tape = shared.lock().stream(name);
    match (tape, from.parse()) {
        (Some(tape), Ok(from)) => tape.response(from),
        (None, _) => refuse(StatusCode::NOT_FOUND, "this stream is unknown"),
        (_, Err(_)) => refuse(StatusCode::BAD_REQUEST, "from is no number"),
    }
}
