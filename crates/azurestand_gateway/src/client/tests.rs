//! Peers whose responses never end, before each kind of call.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Far above the time to read what a call allows.
const LIMIT: Duration = Duration::from_mins(1);
const MAX_BYTES: usize = 1 << 20;

/// Starts a peer that sends `start` and then `part` without end.
async fn start_peer(start: &'static str, part: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _ = stream.read(&mut request).await;
                let parts = part.repeat(1_024);
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(parts.as_bytes()).await;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn every_kind_of_call_fails_before_its_timeout_on_an_endless_response() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, part) in [
        ("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaa"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (chunked, "10\r\n0123456789abcdef\r\n"),
        (chunked, "1\r\na\r\n"),
        (chunked, "0"),
    ] {
        let peer = start_peer(start, part).await;
        let client = Client::default();
        let request = || plain_request(Method::POST, peer, "/", Bytes::new());
        let outcomes = [
            client.call(peer, request(), LIMIT, MAX_BYTES).await,
            client.call_once(peer, request(), LIMIT, MAX_BYTES).await,
            client
                .call_with_timeouts(peer, request(), LIMIT, LIMIT, MAX_BYTES)
                .await,
        ];
        for outcome in outcomes {
            let is_broken = matches!(outcome, Err(CallError::Broken(_)));
            assert!(is_broken, "{start}{part}: {outcome:?}");
        }
    }
}
