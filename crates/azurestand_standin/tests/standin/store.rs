//! The store's gateway: transactions, leases, watches and its failures.

use std::time::Duration;

use crate::client::{self, post};
use azurestand_standin::{Losses, Store, StoreOptions};
use serde_json::{Value, json};

// Keys and values in base64.
const KEY: &str = "a2V5";
const ONE: &str = "MQ==";
const TWO: &str = "Mg==";

async fn put(store: &Store, value: &str) -> Option<Value> {
    let body = json!({ "key": KEY, "value": value });
    post(store.address(), "/v3/kv/put", &body)
        .await
        .map(|(_, body)| body)
}

async fn read(store: &Store) -> Value {
    let body = json!({ "key": KEY });
    post(store.address(), "/v3/kv/range", &body)
        .await
        .unwrap()
        .1
}

#[tokio::test]
async fn a_transaction_applies_only_while_its_conditions_hold() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    let txn = |revision: &str, value: &str| {
        json!({
            "compare": [{ "key": KEY, "target": "MOD", "result": "EQUAL", "mod_revision": revision }],
            "success": [{ "request_put": { "key": KEY, "value": value } }],
        })
    };
    let (_, first) = post(store.address(), "/v3/kv/txn", &txn("0", ONE))
        .await
        .unwrap();
    let (_, second) = post(store.address(), "/v3/kv/txn", &txn("0", TWO))
        .await
        .unwrap();
    assert_eq!(first["succeeded"], true);
    assert_eq!(second["succeeded"], Value::Null);
    let found = read(&store).await;
    assert_eq!(found["kvs"][0]["value"], ONE);
    assert_eq!(found["kvs"][0]["mod_revision"], first["header"]["revision"]);
}

#[tokio::test]
async fn a_lost_answer_hides_a_write_that_took_effect() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    store.lose(Losses {
        after_write: 1,
        ..Losses::default()
    });
    assert_eq!(put(&store, ONE).await, None);
    assert_eq!(read(&store).await["count"], "1");
    store.lose(Losses {
        before_write: 1,
        ..Losses::default()
    });
    assert_eq!(put(&store, TWO).await, None);
    assert_eq!(read(&store).await["kvs"][0]["value"], ONE);
}

#[tokio::test]
async fn an_outage_refuses_and_ends() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    store.set_down(true);
    assert_eq!(put(&store, ONE).await, None);
    store.set_down(false);
    assert!(put(&store, ONE).await.is_some());
}

#[tokio::test]
async fn calls_above_the_rate_are_refused_and_counted() {
    let options = StoreOptions {
        reads: 2,
        writes: 1,
    };
    let store = Store::start(options).await.unwrap();
    let body = json!({ "key": KEY });
    let mut refused = 0;
    for _ in 0..4 {
        let (status, _) = post(store.address(), "/v3/kv/range", &body).await.unwrap();
        refused += u64::from(status == 429);
    }
    let calls = store.calls();
    assert_eq!(calls.refused, refused);
    assert_eq!(calls.reads, 4 - refused);
}

#[tokio::test]
async fn a_lapsed_lease_removes_its_keys_and_cannot_be_kept() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    let (_, lease) = post(store.address(), "/v3/lease/grant", &json!({ "TTL": "1" }))
        .await
        .unwrap();
    let id = lease["ID"].clone();
    let body = json!({ "key": KEY, "value": ONE, "lease": id });
    post(store.address(), "/v3/kv/put", &body).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(read(&store).await["count"], Value::Null);
    let (_, kept) = post(store.address(), "/v3/lease/keepalive", &json!({ "ID": id }))
        .await
        .unwrap();
    assert_eq!(kept["result"]["TTL"], Value::Null);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_cancelled() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    put(&store, ONE).await.unwrap();
    put(&store, TWO).await.unwrap();
    store.compact();
    let body = json!({ "create_request": { "key": KEY, "start_revision": "1" } });
    let request = client::request(
        http::Method::POST,
        store.address(),
        "/v3/watch",
        body.to_string().into(),
    );
    let (_, lines) = client::send(request).await.unwrap();
    let lines = String::from_utf8(lines.to_vec()).unwrap();
    let last: Value = serde_json::from_str(lines.lines().last().unwrap()).unwrap();
    assert_eq!(last["result"]["canceled"], true);
    assert_eq!(
        last["result"]["compact_revision"],
        store.revision().to_string()
    );
}

#[tokio::test]
async fn a_restore_goes_back_to_a_lower_revision() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    put(&store, ONE).await.unwrap();
    let snapshot = store.snapshot();
    put(&store, TWO).await.unwrap();
    let newest = store.revision();
    store.restore(&snapshot);
    assert!(store.revision() < newest);
    assert_eq!(read(&store).await["kvs"][0]["value"], ONE);
}
