//! The origin and the plain service.

use crate::client;
use std::time::{Duration, Instant};

use axum::body::Body;
use azurestand_standin::{Origin, OriginOptions, Service, ServiceOptions};
use azurestand_types::Digest;
use http::{Method, Request, StatusCode};

async fn chunk(origin: &Origin, content: &[u8]) -> String {
    let path = format!("/chunks/{}", Digest::of(content));
    let body = Body::from(content.to_vec());
    let put = client::request(Method::PUT, origin.address(), &path, body);
    assert_eq!(client::send(put).await.unwrap().0, StatusCode::NO_CONTENT);
    path
}

#[tokio::test]
async fn downloads_share_one_link_and_are_counted_by_region() {
    const RATE: u64 = 1 << 20;
    let origin = Origin::start(OriginOptions { rate: RATE }).await.unwrap();
    let content = vec![5; 128 << 10];
    let path = chunk(&origin, &content).await;
    let start = Instant::now();
    let download = |region: &'static str| {
        let mut request = client::request(Method::GET, origin.address(), &path, Body::empty());
        let region = http::HeaderValue::from_static(region);
        request.headers_mut().insert("x-azurestand-region", region);
        client::send(request)
    };
    let (west, east) = tokio::join!(download("west"), download("east"));
    assert_eq!(west.unwrap().1, content);
    assert_eq!(east.unwrap().1, content);
    let served = origin.served();
    assert_eq!(served.chunks, 256 << 10);
    assert_eq!(served.regions["west"], 128 << 10);
    assert!(start.elapsed() >= Duration::from_millis(240));
}

#[tokio::test]
async fn every_nth_chunk_is_corrupted() {
    let origin = Origin::start(OriginOptions::default()).await.unwrap();
    let path = chunk(&origin, b"a chunk of weights").await;
    origin.corrupt_every(2);
    let mut wrong = 0;
    for _ in 0..4 {
        let (_, body) = client::get(origin.address(), &path).await.unwrap();
        wrong += u32::from(body != b"a chunk of weights"[..]);
    }
    assert_eq!(wrong, 2);
    assert_eq!(origin.served().corrupted, 2);
}

#[tokio::test]
async fn a_stall_holds_downloads_until_it_ends() {
    let origin = Origin::start(OriginOptions::default()).await.unwrap();
    let path = chunk(&origin, b"held").await;
    origin.set_stalled(true);
    let held = tokio::time::timeout(
        Duration::from_millis(100),
        client::get(origin.address(), &path),
    );
    assert!(held.await.is_err());
    origin.set_stalled(false);
    assert_eq!(
        client::get(origin.address(), &path).await.unwrap().1,
        "held"
    );
}

fn call(service: &Service, key: &str) -> Request<Body> {
    let mut request = client::request(
        Method::POST,
        service.address(),
        "/shifts/7",
        Body::from("{}"),
    );
    let headers = request.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    headers.insert("x-request-id", "r1".parse().unwrap());
    request
}

#[tokio::test]
async fn a_service_counts_runs_even_when_the_answer_is_lost() {
    let service = Service::start(ServiceOptions::default()).await.unwrap();
    service.fail_after_run(1);
    assert_eq!(client::send(call(&service, "k")).await, None);
    assert_eq!(client::send(call(&service, "k")).await.unwrap().0, 200);
    assert_eq!(service.runs_by_key()["k"], 2);
    assert_eq!(service.runs_by_request()["r1"], 2);
    let answered: Vec<_> = service.runs().iter().map(|run| run.answered).collect();
    assert_eq!(answered, [false, true]);
}

#[tokio::test]
async fn a_dead_service_refuses_until_it_is_revived() {
    let service = Service::start(ServiceOptions::default()).await.unwrap();
    service.die();
    assert_eq!(client::send(call(&service, "k")).await, None);
    service.revive();
    assert!(client::send(call(&service, "k")).await.is_some());
}
