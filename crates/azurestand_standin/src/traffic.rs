//! Callers that send requests and keep their own record of what they were told.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::plan::Plan;

/// A caller that hears nothing for this long counts its request as lost.
const CALLER_LIMIT: Duration = Duration::from_secs(40);
/// The deadline that a caller asks for, unless its headers name another.
const PATIENCE_MILLIS: u32 = 10_000;
/// How often a caller repeats a request that it was told did not run.
const CALLER_TRIES: u32 = 20;
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_millis(150);
const TOKENS: u64 = 24;
const TOKEN_SPREAD: u64 = 17;

/// What all callers were told, counted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests sent, a caller's own repeats not counted.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers that said "not run" to the last try.
    pub not_run: u64,
    /// Answers that said that it can't be known.
    pub unknown: u64,
    /// Requests without any word, or with an answer cut off without a word.
    pub lost: u64,
    /// Requests whose entry was killed before it gave the whole answer. The
    /// process that owed the word is gone, so no word is allowed here alone.
    pub severed: u64,
    /// Answers that came from more than one set of weights.
    pub mixed: u64,
    /// Answers to somebody else's request.
    pub foreign: u64,
    /// Longest time between two answers, in milliseconds.
    pub gap: u64,
    /// Times to the whole answer, in milliseconds.
    pub latencies: Vec<u64>,
    /// Keys of bookings that were answered.
    pub booked: BTreeSet<String>,
    /// Keys of bookings whose every try was told to have not run.
    pub unbooked: BTreeSet<String>,
}

impl Tally {
    /// The latency that `share` of the answers stayed under, in milliseconds.
    pub fn percentile(&self, share: f64) -> u64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let place = (sorted.len() as f64 * share) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(place.min(last)).copied().unwrap_or(0)
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// One caller's connection to the deployment.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    doors: Arc<RwLock<Vec<SocketAddr>>>,
    killed: Arc<RwLock<BTreeSet<SocketAddr>>>,
    turn: Arc<AtomicU64>,
}

/// What a caller was told.
#[derive(Debug, Clone)]
pub struct Told {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Told {
    /// Whether the answer says this outcome, in its head or as a stream's last event.
    pub fn says(&self, outcome: &str) -> bool {
        let header = self.headers.get("x-azurestand-outcome");
        let streamed = format!("\"outcome\":\"{outcome}\"");
        header.is_some_and(|value| value == outcome)
            || String::from_utf8_lossy(&self.body).contains(&streamed)
    }
}

impl Caller {
    /// A caller behind a balancer over `doors`.
    pub fn new(doors: Vec<SocketAddr>) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(200))
            .retry_canceled_requests(false)
            .build_http();
        Self {
            client,
            doors: Arc::new(RwLock::new(doors)),
            killed: Arc::default(),
            turn: Arc::default(),
        }
    }

    /// Replaces the entries that the balancer sends to.
    pub fn set_doors(&self, doors: Vec<SocketAddr>) {
        *self.doors.write().unwrap_or_else(PoisonError::into_inner) = doors;
    }

    /// Notes that the entry at `door` is about to be killed.
    pub fn note_killed(&self, door: SocketAddr) {
        let mut killed = self.killed.write().unwrap_or_else(PoisonError::into_inner);
        killed.insert(door);
    }

    fn is_killed(&self, door: SocketAddr) -> bool {
        let killed = self.killed.read().unwrap_or_else(PoisonError::into_inner);
        killed.contains(&door)
    }

    fn door(&self) -> Option<SocketAddr> {
        let doors = self.doors.read().unwrap_or_else(PoisonError::into_inner);
        let turn = usize::try_from(self.turn.fetch_add(1, Ordering::Relaxed)).unwrap_or(0);
        doors.get(turn % doors.len().max(1)).copied()
    }

    /// Sends one request and waits for its end; none when nothing came.
    pub async fn call(
        &self,
        key: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Option<Told> {
        self.call_at(self.door()?, key, path, headers, body).await
    }

    /// Sends one request to a certain entry; none when nothing came.
    pub async fn call_at(
        &self,
        door: SocketAddr,
        key: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Option<Told> {
        let request = Request::post(format!("http://{door}{path}"))
            .header("x-azurestand-deadline-ms", PATIENCE_MILLIS)
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json");
        let mut request = request.body(Full::new(body)).ok()?;
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).ok()?;
            let value = HeaderValue::try_from(*value).ok()?;
            request.headers_mut().insert(name, value);
        }
        timeout(CALLER_LIMIT, self.send(request)).await.ok()?
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Told> {
        let (head, mut body) = self.client.request(request).await.ok()?.into_parts();
        let mut bytes = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                whole = false;
                break;
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Some(Told {
            status: head.status,
            headers: head.headers,
            body: bytes.into(),
            whole,
        })
    }
}

#[derive(Debug)]
struct Shared {
    tally: Mutex<Tally>,
    last: Mutex<Option<Instant>>,
    running: std::sync::atomic::AtomicBool,
}

impl Shared {
    fn count<F>(&self, change: F)
    where
        F: FnOnce(&mut Tally),
    {
        change(&mut self.tally.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn note_answer(&self, started: Instant) {
        let now = Instant::now();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = last.map_or(0, |last| millis(now - last));
        *last = Some(now);
        self.count(|tally| {
            tally.answered += 1;
            tally.gap = tally.gap.max(gap);
            tally.latencies.push(millis(now - started));
        });
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Many callers at once, until they are stopped.
#[derive(Debug)]
pub struct Traffic {
    caller: Caller,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `callers` callers, each with `pause` between its requests.
    pub fn start(plan: &Plan, doors: Vec<SocketAddr>, callers: usize, pause: Duration) -> Self {
        let caller = Caller::new(doors);
        let shared = Arc::new(Shared {
            tally: Mutex::default(),
            last: Mutex::default(),
            running: true.into(),
        });
        let tasks = (0..callers).map(|n| {
            let work = Work {
                plan: plan.clone(),
                caller: caller.clone(),
                shared: shared.clone(),
                key: plan.account_key(n % plan.accounts),
                number: n,
            };
            tokio::spawn(work.run(pause))
        });
        Self {
            tasks: tasks.collect(),
            caller,
            shared,
        }
    }

    /// Replaces the entries that the balancer sends to.
    pub fn set_doors(&self, doors: Vec<SocketAddr>) {
        self.caller.set_doors(doors);
    }

    /// Notes that the entry at `door` is about to be killed.
    pub fn note_killed(&self, door: SocketAddr) {
        self.caller.note_killed(door);
    }

    /// What callers were told so far.
    pub fn tally(&self) -> Tally {
        let tally = self.shared.tally.lock();
        tally.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts the measure of the longest gap afresh.
    pub fn forget_gap(&self) {
        self.shared.count(|tally| tally.gap = 0);
    }

    /// Lets every caller finish its request, and gives the whole count.
    pub async fn stop(self) -> Tally {
        self.shared.running.store(false, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        let tally = self.shared.tally.lock();
        tally.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// What came of one try.
enum Word {
    Told(Told),
    /// The entry was killed before the answer was whole.
    Severed,
    Silence,
}

/// Why a caller can't say that its request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    Severed,
    Unknown,
}

struct Work {
    plan: Plan,
    caller: Caller,
    shared: Arc<Shared>,
    key: String,
    number: usize,
}

impl Work {
    async fn run(self, pause: Duration) {
        let mut count = 0_u64;
        while self.shared.running.load(Ordering::Relaxed) {
            count += 1;
            self.shared.count(|tally| tally.sent += 1);
            match count % 4 {
                0 => self.book(count).await,
                1 => self.complete(count, true).await,
                _ => self.complete(count, false).await,
            }
            sleep(pause).await;
        }
    }

    async fn complete(&self, count: u64, stream: bool) {
        let mark = format!("caller {} request {count}", self.number);
        // Answers differ in length, so that somebody else's shows.
        let tokens = TOKENS + (self.number as u64 * 7 + count) % TOKEN_SPREAD;
        let body = json!({
            "model": self.plan.model,
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": mark }],
        });
        let body = Bytes::from(body.to_string());
        let started = Instant::now();
        for _ in 0..CALLER_TRIES {
            let word = self.call("/v1/chat/completions", &[], body.clone()).await;
            let told = match word {
                Word::Told(told) => told,
                Word::Severed => return self.shared.count(|tally| tally.severed += 1),
                Word::Silence => return self.shared.count(|tally| tally.lost += 1),
            };
            if told.says("not-run") {
                sleep(PAUSE_AFTER_REFUSAL).await;
                continue;
            }
            self.judge(&told, tokens, started);
            return;
        }
        self.shared.count(|tally| tally.not_run += 1);
    }

    async fn call(&self, path: &str, headers: &[(&str, &str)], body: Bytes) -> Word {
        let Some(door) = self.caller.door() else {
            return Word::Severed;
        };
        let told = self.caller.call_at(door, &self.key, path, headers, body);
        match told.await {
            Some(told) if told.whole => Word::Told(told),
            _ if self.caller.is_killed(door) => Word::Severed,
            _ => Word::Silence,
        }
    }

    fn judge(&self, told: &Told, tokens: u64, started: Instant) {
        if told.says("unknown") {
            self.shared.count(|tally| tally.unknown += 1);
            return;
        }
        let text = String::from_utf8_lossy(&told.body);
        let streamed = text.contains("data: [DONE]");
        let complete = streamed || serde_json::from_str::<Value>(&text).is_ok();
        if !told.status.is_success() || !complete {
            self.shared.count(|tally| tally.lost += 1);
            return;
        }
        if !words(&text).eq(1..=tokens) {
            self.shared.count(|tally| tally.foreign += 1);
        }
        if weights(&text).len() > 1 {
            self.shared.count(|tally| tally.mixed += 1);
        }
        self.shared.note_answer(started);
    }

    async fn book(&self, count: u64) {
        let path = format!("/services/{}/book", self.plan.booking);
        let key = format!("booking-{}-{count}", self.number);
        let body = Bytes::from(json!({ "slot": key }).to_string());
        let started = Instant::now();
        let mut doubt = None;
        for _ in 0..CALLER_TRIES {
            let headers = [("idempotency-key", key.as_str())];
            let told = match self.call(&path, &headers, body.clone()).await {
                Word::Told(told) => told,
                // A caller without a word asks again under the same key.
                Word::Severed => {
                    doubt = doubt.or(Some(Doubt::Severed));
                    sleep(PAUSE_AFTER_REFUSAL).await;
                    continue;
                }
                Word::Silence => return self.shared.count(|tally| tally.lost += 1),
            };
            if told.says("answered") {
                self.judge_booking(&told, &key, started);
                return;
            }
            if told.says("unknown") {
                // Once more, since a second run would be the worst answer.
                if doubt.replace(Doubt::Unknown) == Some(Doubt::Unknown) {
                    break;
                }
            } else if !told.says("not-run") {
                return self.shared.count(|tally| tally.lost += 1);
            }
            sleep(PAUSE_AFTER_REFUSAL).await;
        }
        self.shared.count(|tally| match doubt {
            Some(Doubt::Unknown) => tally.unknown += 1,
            Some(Doubt::Severed) => tally.severed += 1,
            None => {
                tally.not_run += 1;
                tally.unbooked.insert(key);
            }
        });
    }

    fn judge_booking(&self, told: &Told, key: &str, started: Instant) {
        let answer: Option<Value> = serde_json::from_slice(&told.body).ok();
        let Some(answer) = answer.filter(|_| told.whole && told.status.is_success()) else {
            self.shared.count(|tally| tally.lost += 1);
            return;
        };
        if answer["key"] != key {
            self.shared.count(|tally| tally.foreign += 1);
        }
        self.shared.count(|tally| {
            tally.booked.insert(key.to_owned());
        });
        self.shared.note_answer(started);
    }
}

/// The weights that an answer names.
fn weights(text: &str) -> BTreeSet<&str> {
    let marks = text.split("\"weights\":\"").skip(1);
    marks.filter_map(|rest| rest.split('"').next()).collect()
}

/// The numbers of the answer's words, in the order in which they came.
fn words(text: &str) -> impl Iterator<Item = u64> {
    let marks = text.split("word").skip(1);
    marks.filter_map(|rest| {
        let end = rest.find(|letter: char| !letter.is_ascii_digit());
        rest[..end.unwrap_or(rest.len())].parse().ok()
    })
}
