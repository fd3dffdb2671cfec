//! Large bodies that are held at once.

use std::convert::Infallible;

use futures_util::stream::iter;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::Mutex;

use super::*;

const MAX_BYTES: usize = 8 << 20;
/// The tests of a pool run one after the other.
static REQUESTS_TEST: Mutex<()> = Mutex::const_new(());

fn body_of(length: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![0; length]))
}

async fn collect_of(length: usize) -> Result<Bytes, CollectError> {
    collect_response(body_of(length), MAX_BYTES).await
}

#[tokio::test]
async fn large_responses_at_once_are_bounded_and_small_ones_are_not_refused() {
    let mut held = Vec::new();
    while let Ok(bytes) = collect_of(MAX_BYTES).await {
        held.push(bytes);
        assert!(held.len() * MAX_BYTES <= SHARED_BYTES + held.len() * RESPONSE_OWN_BYTES);
    }
    assert!(!held.is_empty());
    let refused = collect_of(MAX_BYTES).await;
    assert!(matches!(refused, Err(CollectError::NoMemory)));
    let small = collect_of(RESPONSE_OWN_BYTES).await;
    assert_eq!(small.unwrap().len(), RESPONSE_OWN_BYTES);
    // A clone, as the connection to a slow caller holds it, keeps the reservation.
    let sent = held[0].clone();
    held.clear();
    let all: Vec<_> = [collect_of(MAX_BYTES).await, collect_of(MAX_BYTES).await].into();
    assert!(all.iter().all(Result::is_ok));
    drop((sent, all));
    let free = RESPONSES.free_blocks.available_permits();
    assert_eq!(free, SHARED_BYTES / BLOCK_BYTES);
}

#[tokio::test]
async fn a_response_over_the_limit_is_refused() {
    let refused = collect_response(Full::new(Bytes::from_static(b"abcde")), 4).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(4))));
}

/// Each body was within the operators' limit; together they used up the memory of the process.
#[tokio::test]
async fn large_requests_at_once_are_bounded_and_small_ones_are_not_refused() {
    let _alone = REQUESTS_TEST.lock().await;
    let mut held = Vec::new();
    while let Ok(bytes) = collect_request(body_of(4_190_000), MAX_BYTES).await {
        held.push(bytes);
        assert!(held.len() * 4_190_000 <= SHARED_BYTES + held.len() * REQUEST_OWN_BYTES);
    }
    assert!(!held.is_empty());
    let small = collect_request(body_of(REQUEST_OWN_BYTES), MAX_BYTES).await;
    assert!(small.is_ok());
    drop(held);
    let free = REQUESTS.free_blocks.available_permits();
    assert_eq!(free, SHARED_BYTES / BLOCK_BYTES);
}

#[tokio::test]
async fn a_request_in_many_small_parts_is_within_the_limit_by_its_bytes_alone() {
    let _alone = REQUESTS_TEST.lock().await;
    let part = |_| Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"a")));
    let parts = || iter((0..5).map(part));
    let whole = collect_request(StreamBody::new(parts()), 5).await;
    assert_eq!(whole.unwrap(), "aaaaa");
    let longer = collect_request(StreamBody::new(parts()), 4).await;
    assert!(matches!(longer, Err(CollectError::TooLarge(4))));
}
