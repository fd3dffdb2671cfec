//! The engine: loads, fencing, cold starts, mixed weights, cancels and silence.

use std::time::Duration;

use crate::client::{self, get, post};
use axum::body::Body;
use azurestand_standin::{Engine, EngineOptions, EngineState, Origin, OriginOptions};
use azurestand_types::Digest;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

const ENDLESS: u32 = 1_000_000;
/// Longer than any test.
const FOREVER: Duration = Duration::from_hours(1);
const CHAT: &str = "/v1/chat/completions";

struct Bench {
    engine: Engine,
    origin: Origin,
}

impl Bench {
    async fn start(options: EngineOptions) -> Self {
        let engine = Engine::start(options, 7).await.unwrap();
        let origin = Origin::start(OriginOptions::default()).await.unwrap();
        Self { engine, origin }
    }

    async fn order(&self, content: &'static [u8], fence: u64) -> StatusCode {
        let digest = Digest::of(content);
        let path = format!("/manifests/{digest}");
        let put = client::request(Method::PUT, self.origin.address(), &path, content.into());
        client::send(put).await.unwrap();
        let source = format!("http://{}{path}", self.origin.address());
        let order = json!({ "model": "m", "version": "v", "digest": digest, "fence": fence, "source": source });
        let address = self.engine.address();
        post(address, "/admin/load", &order).await.unwrap().0
    }

    async fn load(&self, content: &'static [u8], fence: u64) {
        assert_eq!(self.order(content, fence).await, StatusCode::ACCEPTED);
        let weights = json!(Digest::of(content));
        while self.state().await["weights"] != weights {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn state(&self) -> Value {
        let (_, body) = get(self.engine.address(), "/admin/state").await.unwrap();
        serde_json::from_slice(&body).unwrap()
    }

    async fn first_run(&self) {
        while self.engine.record().runs.iter().all(|run| run.tokens == 0) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until the first run makes no more tokens.
    async fn first_run_stopped(&self) {
        loop {
            let before = self.engine.record().runs[0].tokens;
            tokio::time::sleep(Duration::from_millis(50)).await;
            if self.engine.record().runs[0].tokens == before {
                return;
            }
        }
    }

    async fn ask(&self, tokens: u32) -> Option<(StatusCode, Value)> {
        ask(self.engine.address(), tokens).await
    }
}

async fn ask(address: std::net::SocketAddr, tokens: u32) -> Option<(StatusCode, Value)> {
    let body = json!({ "model": "m", "max_tokens": tokens });
    post(address, CHAT, &body).await
}

fn quick() -> EngineOptions {
    EngineOptions {
        token_time: Duration::from_millis(1),
        first_token: Duration::ZERO,
        load_time: Duration::ZERO,
        ..EngineOptions::default()
    }
}

#[tokio::test]
async fn an_engine_answers_only_from_loaded_weights() {
    let bench = Bench::start(quick()).await;
    assert_eq!(bench.ask(1).await.unwrap().0, 503);
    bench.load(b"weights", 1).await;
    let (status, answer) = bench.ask(3).await.unwrap();
    assert_eq!(status, 200);
    assert_eq!(answer["weights"], json!(Digest::of(b"weights")));
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        "word1 word2 word3"
    );
    assert_eq!(bench.engine.record().runs.len(), 1);
}

#[tokio::test]
async fn a_stream_ends_with_done_and_names_its_weights() {
    let bench = Bench::start(quick()).await;
    bench.load(b"weights", 1).await;
    let body = json!({ "model": "m", "max_tokens": 2, "stream": true }).to_string();
    let request = client::request(Method::POST, bench.engine.address(), CHAT, body.into());
    let (_, bytes) = client::send(request).await.unwrap();
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    assert_eq!(text.matches("\"weights\":").count(), 2);
    assert!(text.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_or_ignored_as_configured() {
    for fenced in [true, false] {
        let options = EngineOptions { fenced, ..quick() };
        let bench = Bench::start(options).await;
        bench.load(b"new", 5).await;
        let expected = if fenced { 409 } else { 202 };
        assert_eq!(bench.order(b"old", 4).await, expected);
    }
}

#[tokio::test]
async fn a_cold_engine_falls_over_when_pressed() {
    let options = EngineOptions {
        cold_limit: 1,
        ..quick()
    };
    let bench = Bench::start(options).await;
    bench.load(b"weights", 1).await;
    let boot = bench.state().await["boot_id"].clone();
    let first = tokio::spawn(ask(bench.engine.address(), ENDLESS));
    bench.first_run().await;
    assert_eq!(bench.ask(1).await.unwrap().0, 503);
    assert_eq!(first.await.unwrap(), None);
    assert_eq!(bench.engine.record().overloads, 1);
    assert_ne!(bench.state().await["boot_id"], boot);
}

#[tokio::test]
async fn an_engine_grows_warm_and_then_queues() {
    let options = EngineOptions {
        cold_limit: 1,
        warm_limit: 2,
        warm_after: 2,
        ..quick()
    };
    let bench = Bench::start(options).await;
    bench.load(b"weights", 1).await;
    for _ in 0..2 {
        bench.ask(1).await.unwrap();
    }
    assert_eq!(bench.engine.state(), EngineState::Warm);
    let address = bench.engine.address();
    let asks: Vec<_> = (0..6).map(|_| tokio::spawn(ask(address, 5))).collect();
    for ask in asks {
        assert_eq!(ask.await.unwrap().unwrap().0, 200);
    }
    assert_eq!(bench.engine.record().overloads, 0);
}

#[tokio::test]
async fn a_load_under_an_open_answer_shows_as_mixed() {
    let bench = Bench::start(quick()).await;
    bench.load(b"old", 1).await;
    let open = tokio::spawn(ask(bench.engine.address(), ENDLESS));
    bench.first_run().await;
    bench.load(b"new", 2).await;
    while bench.engine.record().mixed == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    open.abort();
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_run() {
    let bench = Bench::start(quick()).await;
    bench.load(b"weights", 1).await;
    let body = json!({ "model": "m", "max_tokens": ENDLESS, "stream": true }).to_string();
    let request = client::request(Method::POST, bench.engine.address(), CHAT, body.into());
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let mut answer = client.request(request).await.unwrap();
    answer.frame().await.unwrap().unwrap();
    drop((answer, client));
    bench.first_run_stopped().await;
    assert_eq!(bench.engine.record().runs[0].finished, None);
}

#[tokio::test]
async fn a_cancelled_run_keeps_its_place_for_the_cancel_time() {
    let options = EngineOptions {
        cold_limit: 1,
        cancel_time: FOREVER,
        ..quick()
    };
    let bench = Bench::start(options).await;
    bench.load(b"weights", 1).await;
    let open = tokio::spawn(ask(bench.engine.address(), ENDLESS));
    bench.first_run().await;
    open.abort();
    bench.first_run_stopped().await;
    assert_eq!(bench.ask(1).await.unwrap().0, 503);
    assert_eq!(bench.engine.record().overloads, 1);
}

#[tokio::test]
async fn a_hang_silences_open_connections_and_serves_new_ones() {
    let options = EngineOptions {
        token_time: Duration::from_millis(10),
        ..quick()
    };
    let bench = Bench::start(options).await;
    bench.load(b"weights", 1).await;
    let mut open = tokio::spawn(ask(bench.engine.address(), ENDLESS));
    bench.first_run().await;
    bench.engine.hang();
    assert_eq!(bench.ask(1).await.unwrap().0, 200);
    let silent = tokio::time::timeout(Duration::from_millis(300), &mut open).await;
    assert!(silent.is_err());
    open.abort();
}

#[tokio::test]
async fn a_broken_download_loads_nothing() {
    let bench = Bench::start(quick()).await;
    let order = json!({ "model": "m", "version": "v", "digest": Digest::of(b""), "fence": 1, "source": format!("http://{}/chunks/00", bench.origin.address()) });
    post(bench.engine.address(), "/admin/load", &order)
        .await
        .unwrap();
    while bench.engine.state() == EngineState::Loading {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(bench.engine.state(), EngineState::Empty);
}
