//! Requests that end in other ways than with a whole response.

use futures_util::stream::iter;
use http_body_util::StreamBody;

use super::*;
use crate::entry::response::full;

fn open(timer: &ConnectionTimer) -> OpenRequest {
    OpenRequest::begin(timer.clone(), Some("r-1".into()))
}

fn panicking() -> impl Future<Output = Response<Body>> {
    std::future::poll_fn(|_| panic!("a fault in the handling of a request"))
}

/// Such a caller's connection was closed without an answer.
#[tokio::test]
async fn a_request_whose_handling_panics_is_answered() {
    let timer = ConnectionTimer::default();
    let response = open(&timer).answer(&Method::GET, panicking()).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert!(!response.headers().contains_key(http::header::RETRY_AFTER));
    let body = response.into_body().collect().await;
    assert!(!body.unwrap().to_bytes().is_empty());
    assert!(!timer.has_open_requests());
}

#[tokio::test]
async fn a_request_is_open_until_the_last_bytes_of_its_response_are_taken() {
    let frames = ["a", "b"].map(|text| Ok(Frame::data(Bytes::from(text))));
    let timer = ConnectionTimer::default();
    let body = StreamBody::new(iter(frames)).boxed_unsync();
    let handling = async { Response::new(body) };
    let response = open(&timer).answer(&Method::GET, handling).await;
    let mut body = response.into_body();
    for _ in 0..2 {
        assert!(body.frame().await.is_some());
        assert!(timer.has_open_requests());
    }
    assert!(body.frame().await.is_none());
    assert!(!timer.has_open_requests());
}

#[tokio::test]
async fn a_request_that_is_dropped_is_open_no_more() {
    let timer = ConnectionTimer::default();
    drop(open(&timer));
    assert!(!timer.has_open_requests());

    let handling = async { Response::new(full(Bytes::from("whole"))) };
    let response = open(&timer).answer(&Method::HEAD, handling).await;
    assert!(timer.has_open_requests());
    drop(response);
    assert!(!timer.has_open_requests());
}
