//! Links over real sockets: authentication, ordering, timeouts and forged frames.

use azurestand_types::{DataCentre, HostName, Incarnation};
use azurestand_wire::{
    Body, FleetKey, Gossip, Identity, Link, LinkError, Ping, Purpose, Role, Session, accept,
    connect,
};
use bytes::Bytes;
use proptest::prelude::*;
use tokio::net::{TcpListener, TcpStream};

fn key(digit: &str) -> FleetKey {
    FleetKey::try_from(digit.repeat(64).as_str()).unwrap()
}

fn identity(host: &str) -> Identity {
    Identity {
        host: HostName::try_from(host).unwrap(),
        incarnation: Incarnation(1),
        role: Role::Agent,
        centre: DataCentre::try_from("tov").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
    }
}

fn gossip(text: &'static str) -> Body {
    Body::Gossip(Gossip {
        bytes: Bytes::from_static(text.as_bytes()),
    })
}

async fn open(
    ours: &FleetKey,
    theirs: &FleetKey,
) -> (Result<Link, LinkError>, Result<Link, LinkError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (left, right) = (identity("left"), identity("right"));
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, theirs, &right).await
    };
    tokio::join!(connect(address, ours, &left, Purpose::Control), accepting)
}

#[tokio::test]
async fn messages_arrive_whole_and_in_order() {
    let (left, right) = open(&key("a"), &key("a")).await;
    let (left, mut right) = (left.unwrap(), right.unwrap());
    assert_eq!(left.peer.host.as_str(), "right");
    assert_eq!(right.purpose, Purpose::Control);
    left.outbox.send(gossip("one")).await.unwrap();
    left.outbox.send(gossip("two")).await.unwrap();
    assert_eq!(right.inbox.receive().await, Some(gossip("one")));
    assert_eq!(right.inbox.receive().await, Some(gossip("two")));
    left.outbox.close();
    assert_eq!(right.inbox.receive().await, None);
}

#[tokio::test]
async fn another_fleets_key_is_refused() {
    let (left, right) = open(&key("a"), &key("b")).await;
    assert!(left.is_err());
    assert!(right.is_err());
}

#[tokio::test]
async fn a_peer_that_sends_no_hello_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = TcpStream::connect(address);
    let (stream, accepted) = tokio::join!(silent, listener.accept());
    let _held = stream.unwrap();
    let refused = accept(accepted.unwrap().0, &key("a"), &identity("right")).await;
    assert!(matches!(refused, Err(LinkError::Silent)));
}

#[test]
fn forged_and_replayed_frames_are_refused() {
    let (mut left, mut right) = Session::pair(&key("a"), b"1", b"2");
    let first = left.seal(gossip("one"));
    let second = left.seal(gossip("two"));
    let mut forged = second.to_vec();
    *forged.last_mut().unwrap() ^= 1;
    assert!(right.open(&first).is_ok());
    assert!(right.open(&Bytes::from(forged)).is_err());
    let (_, mut other) = Session::pair(&key("a"), b"1", b"3");
    assert!(other.open(&first).is_err(), "another session's frame");
    let echoed = right.seal(Body::Ping(Ping {}));
    assert!(right.open(&echoed).is_err(), "our own frame sent back");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_open(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (_, mut right) = Session::pair(&key("a"), b"1", b"2");
        prop_assert!(right.open(&Bytes::from(bytes)).is_err());
    }
}
