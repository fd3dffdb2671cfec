//! Engines whose streams end early.

use std::sync::Arc;

use azurestand_types::{DataCentre, TargetName};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Calls an engine that answers with `answer` and closes; returns the bytes and the end.
async fn call(answer: &'static str) -> (Vec<u8>, RunEnd) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let id = RequestId(7);
    let target = TargetName::try_from("engine-1").unwrap();
    let centre = DataCentre::try_from("tov").unwrap();
    let (events, mut inputs) = mpsc::channel(64);
    let run = Run {
        id,
        message: TargetRequest {
            method: "POST".to_owned(),
            path: "/v1".to_owned(),
            ..TargetRequest::default()
        },
        address,
        engine: true,
        deadline: Instant::now() + Duration::from_secs(30),
        stamper: Stamper::new(id, &target, &centre),
        window: Arc::new(Semaphore::new(1 << 20)),
        events,
    };
    run.carry_out(HttpClient::new()).await;
    let mut bytes = Vec::new();
    while let Some(Input::Run { event, .. }) = inputs.recv().await {
        match event {
            RunEvent::Bytes(part) => bytes.extend_from_slice(&part),
            RunEvent::Done(end) => return (bytes, end),
            RunEvent::Head { .. } | RunEvent::Late => {}
        }
    }
    panic!("the call has no end");
}

/// Such a stream was passed on, with the part of its last event, as a complete answer.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_broken_off() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    let cut: &str = Box::leak(format!("{head}data: a\n\ndata: b").into_boxed_str());
    let (bytes, end) = call(cut).await;
    assert_eq!(end, RunEnd::Broken);
    let text = String::from_utf8(bytes).unwrap();
    assert!(text.ends_with("data: a\n\n"), "{text}");
    let whole: &str = Box::leak(format!("{head}data: a\n\ndata: b\n\n").into_boxed_str());
    let (bytes, end) = call(whole).await;
    assert_eq!(end, RunEnd::Whole);
    assert!(bytes.ends_with(b"data: b\n\n"));
}

/// Guards against an engine in trouble whose answer has no status of HTTP reaching the caller.
#[tokio::test]
async fn an_answer_without_a_status_of_http_is_broken_off() {
    for status in ["000", "099", "101", "199", "600", "999", "1000", "abc"] {
        let answer = format!("HTTP/1.1 {status} OK\r\ncontent-length: 4\r\n\r\nleak");
        let (bytes, end) = call(Box::leak(answer.into_boxed_str())).await;
        assert_eq!(end, RunEnd::Broken, "{status}");
        assert!(bytes.is_empty(), "{status}");
    }
}
