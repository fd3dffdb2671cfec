//! Large responses that are held at once.

use http_body_util::Full;

use super::*;

const MAX_BYTES: usize = 8 << 20;

async fn collect_of(length: usize) -> Result<Bytes, CollectError> {
    let body = Full::new(Bytes::from(vec![0; length]));
    collect_response(body, MAX_BYTES).await
}

#[tokio::test]
async fn large_responses_at_once_are_bounded_and_small_ones_are_not_refused() {
    let mut held = Vec::new();
    while let Ok(bytes) = collect_of(MAX_BYTES).await {
        held.push(bytes);
        assert!(held.len() * MAX_BYTES <= SHARED_BYTES + held.len() * OWN_BYTES);
    }
    assert!(!held.is_empty());
    let refused = collect_of(MAX_BYTES).await;
    assert!(matches!(refused, Err(CollectError::NoMemory)));
    assert_eq!(collect_of(OWN_BYTES).await.unwrap().len(), OWN_BYTES);
    // A clone, as the connection to a slow caller holds it, keeps the reservation.
    let sent = held[0].clone();
    held.clear();
    let all: Vec<_> = [collect_of(MAX_BYTES).await, collect_of(MAX_BYTES).await].into();
    assert!(all.iter().all(Result::is_ok));
    drop((sent, all));
    assert_eq!(FREE_BLOCKS.available_permits(), SHARED_BYTES / BLOCK_BYTES);
}

#[tokio::test]
async fn a_response_over_the_limit_is_refused() {
    let refused = collect_response(Full::new(Bytes::from_static(b"abcde")), 4).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(4))));
}
