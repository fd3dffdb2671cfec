//! Bad input gets a clear error, runs nothing and holds nothing up.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::bench;

#[tokio::test(flavor = "multi_thread")]
async fn bodies_keys_and_names_are_wrong() {
    let deployment = bench::start(1).await;
    let door = bench::door(&deployment, 0);
    let runs: usize = deployment
        .plan
        .centres
        .iter()
        .map(|c| deployment.runs_in(c.name))
        .sum();
    let path = "/v1/chat/completions";
    let body = bench::prompt(&deployment, 3, false);
    let unknown = body.clone();
    let oversized = Bytes::from(vec![b' '; 3 << 20]);
    let model = Bytes::from_static(br#"{"model":"nobody","messages":[]}"#);
    let cases = [
        ("nobody's key", path, unknown, 401),
        ("key-9", path, Bytes::from_static(b"{\"model\":"), 400),
        ("key-9", path, Bytes::from_static(b"\xff\xfe"), 400),
        ("key-9", path, model, 404),
        ("key-9", path, oversized, 400),
        ("key-9", "/services/nobody/x", Bytes::new(), 404),
        ("key-9", "/elsewhere", Bytes::new(), 404),
    ];
    for (key, path, body, status) in cases {
        let told = bench::call_as(key, door, path, &[], body).await;
        assert_eq!(told.status.as_u16(), status, "{path} {told:?}");
        assert!(told.says("not-run"), "{told:?}");
    }
    let after: usize = deployment
        .plan
        .centres
        .iter()
        .map(|c| deployment.runs_in(c.name))
        .sum();
    assert_eq!(after, runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_garbled_connections_hold_nobody_up() {
    let deployment = bench::start(1).await;
    let door = bench::door(&deployment, 0);
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(door).await.unwrap();
        stream.write_all(b"POST /v1/chat/comp").await.unwrap();
        slow.push(stream);
    }
    let mut garbled = TcpStream::connect(door).await.unwrap();
    garbled
        .write_all(b"\x00\x01\x02 what\r\n\r\n")
        .await
        .unwrap();
    let mut rest = Vec::new();
    let _ = garbled.read_to_end(&mut rest).await;
    let told = bench::complete(&deployment, door, 3, false).await;
    bench::assert_whole(&told, 3);
}
