//! One call: a slot in the budget, an address that accepts connections, a timeout.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use azurestand_http::{
    MIN_PART_BYTES, MeteredConnector, READ_BUFFER_BYTES, ResponseBody, collect, meter_connections,
    meter_response,
};
use azurestand_types::Moment;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::time::{Instant, timeout};

use super::HttpOptions;
use super::message::Refusal;
use crate::budget::{Budget, OverBudget, Rates};
use crate::clock::Clock;
use crate::error::StoreError;

const MAX_ANSWER_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const IDLE_CONNECTIONS: usize = 4;
const TOO_MANY_REQUESTS: u16 = 429;

/// Whether a call counts as a read or as a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
}

/// Why a call gave no answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// The budget has no slot in time; nothing was sent.
    OverBudget(OverBudget),
    /// No connection could be made; nothing was sent.
    Unsent,
    /// The connection broke after something may have been sent.
    Broken,
    /// The answer didn't arrive in time.
    TimedOut(Duration),
    /// The store answered with an error.
    Refused { status: u16, refusal: Refusal },
}

impl Failure {
    /// Whether the store answered that the requested object doesn't exist.
    pub(super) fn is_missing(&self) -> bool {
        matches!(self, Self::Refused { refusal, .. } if refusal.is_missing())
    }

    /// Whether the store rejected the call because of its rate limit.
    pub(super) fn is_throttled(&self) -> bool {
        match self {
            Self::Refused { status, refusal } => {
                *status == TOO_MANY_REQUESTS || refusal.is_exhausted()
            }
            _ => false,
        }
    }
}

impl From<Failure> for StoreError {
    fn from(failure: Failure) -> Self {
        let throttled = failure.is_throttled();
        match failure {
            Failure::OverBudget(over) => Self::OverBudget(over.wait),
            Failure::Unsent => Self::Unreachable,
            Failure::Broken => Self::Broken,
            Failure::TimedOut(limit) => Self::TimedOut(limit),
            Failure::Refused { .. } if throttled => Self::Throttled,
            Failure::Refused { status, refusal } => Self::Refused(status, refusal.text()),
        }
    }
}

type Pool = Client<MeteredConnector, Full<Bytes>>;

#[derive(Debug)]
pub(super) struct Caller {
    options: HttpOptions,
    budget: Mutex<Budget>,
    clock: Clock,
    pool: Mutex<Pool>,
    /// The address that is tried first.
    preferred: AtomicUsize,
}

impl Caller {
    pub(super) fn new(options: HttpOptions) -> Self {
        let rates = options.share.rates();
        let budget = Budget::new(rates, options.burst, Moment::START, options.seed);
        Self {
            budget: Mutex::new(budget),
            clock: Clock::new(Instant::now()),
            pool: Mutex::new(pool()),
            preferred: AtomicUsize::new(0),
            options,
        }
    }

    pub(super) fn set_rates(&self, rates: Rates) {
        lock(&self.budget).set_rates(rates, self.clock.now());
    }

    /// Sends a call and reads the complete answer.
    pub(super) async fn call<T>(&self, kind: Kind, path: &str, body: &T) -> Result<Bytes, Failure>
    where
        T: Serialize + Sync,
    {
        self.wait_for_slot(kind).await?;
        let limit = self.options.timeout;
        let answer = timeout(limit, async {
            let response = self.send(path, body).await?;
            read_body(response).await
        });
        let answer = answer.await.unwrap_or(Err(Failure::TimedOut(limit)));
        self.drop_failed(&answer);
        answer
    }

    /// Sends a call with a streaming answer; also returns the timeout for its first line.
    pub(super) async fn open<T>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<(ResponseBody, Duration), Failure>
    where
        T: Serialize + Sync,
    {
        self.wait_for_slot(Kind::Read).await?;
        let limit = self.options.timeout;
        let answer = timeout(limit, async {
            let response = self.send(path, body).await?;
            if response.status().is_success() {
                return Ok((response.into_body(), limit));
            }
            read_body(response).await.and(Err(Failure::Broken))
        });
        let answer = answer.await.unwrap_or(Err(Failure::TimedOut(limit)));
        self.drop_failed(&answer);
        answer
    }

    /// Waits for a slot in the budget.
    async fn wait_for_slot(&self, kind: Kind) -> Result<(), Failure> {
        let (now, max_wait) = (self.clock.now(), self.options.max_wait);
        let place = match kind {
            Kind::Read => lock(&self.budget).read(now, max_wait),
            Kind::Write => lock(&self.budget).write(now, max_wait),
        };
        let place = place.map_err(Failure::OverBudget)?;
        tokio::time::sleep(place.since(now)).await;
        Ok(())
    }

    /// Sends to the first address that accepts a connection.
    async fn send<T>(&self, path: &str, body: &T) -> Result<Response<ResponseBody>, Failure>
    where
        T: Serialize + Sync,
    {
        let body = serde_json::to_vec(body).map_err(|_| Failure::Unsent)?;
        let body = Bytes::from(body);
        let count = self.options.addresses.len();
        let first = self.preferred.load(Relaxed);
        for attempt in 0..count {
            let index = (first + attempt) % count;
            let uri = format!("http://{}{path}", self.options.addresses[index]);
            let request = Request::post(uri).header(CONTENT_TYPE, "application/json");
            let request = request.body(Full::new(body.clone()));
            let request = request.map_err(|_| Failure::Unsent)?;
            let pool = lock(&self.pool).clone();
            match pool.request(request).await {
                Ok(response) => {
                    self.preferred.store(index, Relaxed);
                    return Ok(meter_response(response));
                }
                // Only a connection that was never made proves that nothing was sent.
                Err(error) if error.is_connect() => {}
                Err(_) => return Err(Failure::Broken),
            }
        }
        Err(Failure::Unsent)
    }

    /// Moves on to the next address after a timeout or a broken connection; a timeout
    /// also drops all idle connections.
    fn drop_failed<T>(&self, answer: &Result<T, Failure>) {
        match answer {
            Err(Failure::TimedOut(_)) => {
                // Idle connections may be dead as well; none is used again.
                *lock(&self.pool) = pool();
                self.preferred.fetch_add(1, Relaxed);
            }
            Err(Failure::Broken) => {
                self.preferred.fetch_add(1, Relaxed);
            }
            _ => {}
        }
    }
}

fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(meter_connections(connector))
}

async fn read_body(response: Response<ResponseBody>) -> Result<Bytes, Failure> {
    let status = response.status();
    let body = collect(
        response.into_body(),
        MAX_ANSWER_BYTES,
        MIN_PART_BYTES,
        |_| true,
    )
    .await;
    let body = body.map_err(|_| Failure::Broken)?.freeze();
    if status.is_success() {
        return Ok(body);
    }
    Err(Failure::Refused {
        status: status.as_u16(),
        refusal: Refusal::parse(&body),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
