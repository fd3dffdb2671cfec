//! The client against a failing store over real connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use azurestand_standin as standin;
use azurestand_standin::{Losses, StoreOptions};
use azurestand_store::{
    BackoffLimits, Cause, Commit, FollowTiming, FollowUpdate, Follower, HttpOptions, HttpStore,
    Key, LeaseTiming, Permit, Renewal, Scope, SemaphoreOptions, Settled, Store, StoreError,
    Transaction, Version, WatchEvent, commit_settled,
};
use azurestand_types::Moment;

const PATIENCE: Duration = Duration::from_secs(30);

fn key(raw: &str) -> Key {
    Key::try_from(raw).unwrap()
}

fn options(addresses: Vec<SocketAddr>) -> HttpOptions {
    let mut options = HttpOptions::single_client(addresses);
    options.burst = 1_000;
    options.share.centre.reads = 1_000.0;
    options.share.centre.writes = 1_000.0;
    options
}

async fn pair() -> (standin::Store, HttpStore) {
    let store = standin::Store::start(StoreOptions::default())
        .await
        .unwrap();
    let client = HttpStore::new(options(vec![store.address()]));
    // Fills the bucket, which starts empty.
    tokio::time::sleep(Duration::from_millis(50)).await;
    (store, client)
}

fn hasty(store: &standin::Store, timeout: Duration) -> HttpStore {
    let mut options = options(vec![store.address()]);
    options.timeout = timeout;
    HttpStore::new(options)
}

fn create(name: &str, value: &'static str) -> Transaction {
    Transaction::new()
        .when_absent(key(name))
        .put(key(name), value)
}

async fn applied(client: &HttpStore, transaction: &Transaction) -> Version {
    match client.commit(transaction).await {
        Commit::Applied { version } => version,
        other => panic!("expected it to apply: {other:?}"),
    }
}

#[tokio::test]
async fn values_up_to_a_megabyte_come_back_whole() {
    let (_store, client) = pair().await;
    let value = vec![0xa5; 1 << 20];
    let put = Transaction::new().put(key("large"), value.clone());
    let version = applied(&client, &put).await;
    let found = client.read(&key("large")).await.unwrap().unwrap();
    assert_eq!(found.value, value);
    assert_eq!(found.version, version);
    assert_eq!(client.read(&key("none")).await, Ok(None));
}

#[tokio::test]
async fn a_listing_holds_what_is_below_and_nothing_else() {
    let (_store, client) = pair().await;
    for name in ["a", "a/1", "a/2", "a0", "ab/1"] {
        applied(&client, &create(name, "x")).await;
    }
    let listing = client.list(&Scope::Below(key("a"))).await.unwrap();
    let keys: Vec<_> = listing.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    let versions = client.versions(&Scope::Below(key("a"))).await.unwrap();
    assert_eq!(versions.keys.len(), 2);
    assert_eq!(versions.version, listing.version);
}

#[tokio::test]
async fn of_two_racing_clients_exactly_one_applies() {
    let (store, first) = pair().await;
    let second = HttpStore::new(options(vec![store.address()]));
    for round in 0..20 {
        let name = format!("race/{round}");
        let (a, b) = (create(&name, "a"), create(&name, "b"));
        let (a, b) = tokio::join!(first.commit(&a), second.commit(&b));
        let won = [a, b].map(|commit| matches!(commit, Commit::Applied { .. }));
        assert_ne!(won[0], won[1]);
        let lost = if won[0] { b } else { a };
        assert_eq!(lost, Commit::NotApplied(Cause::Conflict));
    }
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_then_resolved() {
    let (store, client) = pair().await;
    let lose_answer = Losses {
        after_write: 1,
        ..Losses::default()
    };
    store.lose(lose_answer);
    assert_eq!(client.commit(&create("a", "1")).await, Commit::Unknown);
    assert!(client.read(&key("a")).await.unwrap().is_some());

    store.lose(lose_answer);
    let settled = commit_settled(&client, &create("b", "1"), &key("b"), PATIENCE, 1).await;
    let found = client.read(&key("b")).await.unwrap().unwrap();
    let version = found.version;
    assert_eq!(settled, Settled::Applied { version });
}

#[tokio::test]
async fn a_write_lost_on_its_way_is_unknown_and_then_applied_once() {
    let (store, client) = pair().await;
    store.lose(Losses {
        before_write: 1,
        ..Losses::default()
    });
    let settled = commit_settled(&client, &create("a", "1"), &key("a"), PATIENCE, 1).await;
    assert!(matches!(settled, Settled::Applied { .. }));
    assert_eq!(store.calls().writes, 2);
}

#[tokio::test]
async fn an_outage_is_unknown_after_sending_and_not_sent_without_a_connection() {
    let (store, client) = pair().await;
    store.set_down(true);
    assert_eq!(client.commit(&create("a", "1")).await, Commit::Unknown);
    assert!(client.read(&key("a")).await.is_err());
    store.set_down(false);
    assert_eq!(client.read(&key("a")).await, Ok(None));

    let nowhere = HttpStore::new(options(vec![unused().await]));
    let commit = nowhere.commit(&create("a", "1")).await;
    assert_eq!(commit, Commit::NotApplied(Cause::NotSent));
    let read = nowhere.read(&key("a")).await;
    assert_eq!(read, Err(StoreError::Unreachable));
}

/// An address that nothing listens on.
async fn unused() -> SocketAddr {
    let socket = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    socket.unwrap().local_addr().unwrap()
}

#[tokio::test]
async fn the_next_address_is_used_when_one_takes_no_connection() {
    let (store, _) = pair().await;
    let client = HttpStore::new(options(vec![unused().await, store.address()]));
    applied(&client, &create("a", "1")).await;
    assert!(client.read(&key("a")).await.unwrap().is_some());
}

#[tokio::test]
async fn a_slow_write_that_took_effect_is_unknown_not_failed() {
    let (store, _) = pair().await;
    let client = hasty(&store, Duration::from_millis(800));
    store.set_delay(Duration::from_mins(1));
    assert_eq!(client.commit(&create("a", "1")).await, Commit::Unknown);
    store.set_delay(Duration::ZERO);
    assert!(client.read(&key("a")).await.unwrap().is_some());
}

#[tokio::test]
async fn a_silent_connection_is_dropped_after_one_timeout() {
    let (store, _) = pair().await;
    let client = hasty(&store, Duration::from_millis(800));
    applied(&client, &create("a", "1")).await;
    // Two idle connections, both of which stop carrying data.
    store.set_delay(Duration::from_millis(20));
    let name = key("a");
    let (one, two) = tokio::join!(client.read(&name), client.read(&name));
    assert!(one.is_ok() && two.is_ok());
    store.set_delay(Duration::ZERO);
    store.hang();
    let silent = client.read(&key("a")).await;
    assert!(matches!(silent, Err(StoreError::TimedOut(_))));
    assert!(client.read(&key("a")).await.unwrap().is_some());
}

#[tokio::test]
async fn a_throttled_write_certainly_did_not_apply() {
    let (store, client) = pair().await;
    store.set_limits(StoreOptions {
        reads: 0,
        writes: 1,
    });
    let mut throttled = 0;
    for round in 0..50 {
        let name = format!("t/{round}");
        match client.commit(&create(&name, "x")).await {
            Commit::Applied { .. } => {}
            commit => {
                assert_eq!(commit, Commit::NotApplied(Cause::Throttled));
                assert_eq!(client.read(&key(&name)).await, Ok(None));
                throttled += 1;
            }
        }
        if throttled > 0 {
            return;
        }
    }
    panic!("50 writes were never throttled");
}

#[tokio::test]
async fn a_process_over_its_own_budget_sends_nothing() {
    let (store, _) = pair().await;
    let mut options = options(vec![store.address()]);
    options.burst = 1;
    options.share.centre.writes = 0.001;
    options.max_wait = Duration::from_millis(10);
    let client = HttpStore::new(options);
    let commit = client.commit(&create("a", "1")).await;
    assert_eq!(commit, Commit::NotApplied(Cause::OverBudget));
    assert_eq!(store.calls().writes, 0);
}

#[tokio::test]
async fn a_write_under_a_lapsed_lease_is_refused() {
    let (_store, client) = pair().await;
    let grant = client.grant(Duration::from_secs(1)).await.unwrap();
    let put = |name: &str| Transaction::new().put_leased(key(name), "x", grant.lease);
    applied(&client, &put("a")).await;
    assert!(matches!(
        client.renew(grant.lease).await,
        Ok(Renewal::Renewed { .. })
    ));
    // A holder that is paused past the end of its lease and then writes.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(client.renew(grant.lease).await, Ok(Renewal::Expired));
    assert_eq!(client.read(&key("a")).await, Ok(None));
    let commit = client.commit(&put("a")).await;
    assert_eq!(commit, Commit::NotApplied(Cause::LeaseExpired));
    assert_eq!(client.release(grant.lease).await, Ok(()));
}

#[tokio::test]
async fn a_released_lease_takes_its_values_with_it() {
    let (_store, client) = pair().await;
    let grant = client.grant(Duration::from_mins(1)).await.unwrap();
    let put = Transaction::new().put_leased(key("a"), "x", grant.lease);
    applied(&client, &put).await;
    let listing = client.list(&Scope::One(key("a"))).await.unwrap();
    assert_eq!(listing.entries[0].lease, Some(grant.lease));
    client.release(grant.lease).await.unwrap();
    assert_eq!(client.read(&key("a")).await, Ok(None));
}

#[tokio::test]
async fn a_watch_reports_changes_and_the_compaction_gap() {
    let (store, client) = pair().await;
    let first = applied(&client, &create("w/a", "1")).await;
    let scope = Scope::Below(key("w"));
    let mut watch = client.watch(&scope, first).await.unwrap();
    applied(&client, &Transaction::new().delete(key("w/a"))).await;
    let mut seen = Vec::new();
    while seen.len() < 2 {
        match watch.next().await {
            WatchEvent::Changed(changes) => seen.extend(changes),
            other => panic!("expected changes: {other:?}"),
        }
    }
    let versions: Vec<_> = seen.iter().map(azurestand_store::Change::version).collect();
    assert_eq!(versions, [first, first.next()]);

    applied(&client, &create("w/b", "1")).await;
    store.compact();
    let mut late = client.watch(&scope, first).await.unwrap();
    let oldest = Version(u64::try_from(store.revision()).unwrap());
    assert_eq!(late.next().await, WatchEvent::Compacted { oldest });
}

async fn snapshot(follower: &mut Follower, name: &str, value: &str) {
    loop {
        let found = match follower.next().await {
            FollowUpdate::Snapshot(listing) => listing.entries,
            FollowUpdate::Changed(changes) => changes
                .into_iter()
                .filter_map(|change| match change {
                    azurestand_store::Change::Put(entry) => Some(entry),
                    azurestand_store::Change::Deleted { .. } => None,
                })
                .collect(),
            _ => continue,
        };
        let wanted = |e: &azurestand_store::Entry| e.key.as_str() == name && e.value == value;
        if found.iter().any(wanted) {
            return;
        }
    }
}

fn follow(client: &HttpStore) -> Follower {
    let timing = FollowTiming {
        probe: Duration::from_millis(200),
        ..FollowTiming::default()
    };
    let scope = Scope::Below(key("config"));
    Follower::start(Arc::new(client.clone()), scope, timing, 3)
}

#[tokio::test]
async fn a_follower_sees_changes_through_outage_silence_and_compaction() {
    let (store, _) = pair().await;
    let client = hasty(&store, Duration::from_millis(500));
    let other = HttpStore::new(options(vec![store.address()]));
    let put = |value: &'static str| Transaction::new().put(key("config/document"), value);
    applied(&other, &put("1")).await;
    let mut follower = follow(&client);
    snapshot(&mut follower, "config/document", "1").await;
    applied(&other, &put("2")).await;
    snapshot(&mut follower, "config/document", "2").await;

    store.set_down(true);
    while !matches!(follower.next().await, FollowUpdate::Unreachable(_)) {}
    store.set_down(false);
    let fresh = HttpStore::new(options(vec![store.address()]));
    applied(&fresh, &put("3")).await;
    store.compact();
    snapshot(&mut follower, "config/document", "3").await;

    store.hang();
    let fresh = HttpStore::new(options(vec![store.address()]));
    applied(&fresh, &put("4")).await;
    snapshot(&mut follower, "config/document", "4").await;
}

#[tokio::test]
async fn a_follower_reports_that_the_store_was_restored() {
    let (store, client) = pair().await;
    let put = |value: &'static str| Transaction::new().put(key("config/document"), value);
    applied(&client, &put("1")).await;
    let saved = store.snapshot();
    let previous = applied(&client, &put("2")).await;
    let mut follower = follow(&client);
    snapshot(&mut follower, "config/document", "2").await;
    store.restore(&saved);
    loop {
        if let FollowUpdate::Restored {
            previous: seen,
            found,
        } = follower.next().await
        {
            assert_eq!(seen, previous);
            assert!(found < previous);
            break;
        }
    }
    snapshot(&mut follower, "config/document", "1").await;
}

#[tokio::test]
async fn a_permit_passes_on_with_a_higher_fence_through_lost_answers() {
    let (store, client) = pair().await;
    let client = Arc::new(client);
    let start = tokio::time::Instant::now();
    let permit = |name: &str, seed| {
        let options = SemaphoreOptions {
            key: key("permits/tov/atlas"),
            holder: name.to_owned(),
            limit: 1,
            timing: LeaseTiming::try_from(Duration::from_secs(20)).unwrap(),
            retry: BackoffLimits::default(),
            seed,
        };
        Permit::start(Arc::clone(&client), options, start).unwrap()
    };
    let (mut first, mut second) = (permit("a", 1), permit("b", 2));
    let lose_answers = Losses {
        after_write: 2,
        reads: 1,
        ..Losses::default()
    };
    store.lose(lose_answers);
    first.request().await;
    first.changed().await;
    let now = || Moment::START + start.elapsed();
    let held = first.fenced_lease(now()).unwrap();
    second.request().await;
    store.lose(lose_answers);
    first.close().await;
    second.changed().await;
    assert!(second.fenced_lease(now()).unwrap().fence > held.fence);
}
