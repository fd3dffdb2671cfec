//! Measures the delay from a commit to the follower's update, in normal operation
//! and after an outage, against the stand-in store on loopback.

use std::sync::Arc;
use std::time::Duration;

use azurestand_standin as standin;
use azurestand_store::{
    Commit, FollowTiming, FollowUpdate, Follower, HttpOptions, HttpStore, Key, Scope, Store,
    Transaction,
};
use tokio::time::Instant;

const CHANGES: usize = 200;
const OUTAGES: u64 = 40;
const OUTAGE: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() {
    for bytes in [1 << 10, 1 << 20] {
        let delays = changes(bytes).await;
        println!("{bytes} byte document, commit to news: {}", summary(delays));
    }
    println!("end of an outage to news: {}", summary(outages().await));
}

struct Pair {
    store: standin::Store,
    client: HttpStore,
    follower: Follower,
    key: Key,
}

async fn pair(seed: u64) -> Pair {
    let store = standin::Store::start(standin::StoreOptions::default())
        .await
        .expect("a loopback port is free");
    let mut options = HttpOptions::single_client(vec![store.address()]);
    options.share.centre.reads = 1e5;
    options.share.centre.writes = 1e5;
    let client = HttpStore::new(options);
    let key = Key::try_from("config/document").expect("the key is valid");
    let scope = Scope::One(key.clone());
    let timing = FollowTiming::default();
    let mut follower = Follower::start(Arc::new(client.clone()), scope, timing, seed);
    follower.next().await;
    Pair {
        store,
        client,
        follower,
        key,
    }
}

impl Pair {
    async fn put(&self, bytes: usize) {
        let put = Transaction::new().put(self.key.clone(), vec![b'x'; bytes]);
        let commit = self.client.commit(&put).await;
        assert!(matches!(commit, Commit::Applied { .. }));
    }

    async fn news(&mut self) {
        while !matches!(
            self.follower.next().await,
            FollowUpdate::Changed(_) | FollowUpdate::Snapshot(_)
        ) {}
    }
}

async fn changes(bytes: usize) -> Vec<Duration> {
    let mut pair = pair(1).await;
    let mut delays = Vec::new();
    for _ in 0..CHANGES {
        let start = Instant::now();
        pair.put(bytes).await;
        pair.news().await;
        delays.push(start.elapsed());
    }
    delays
}

async fn outages() -> Vec<Duration> {
    let tries: Vec<_> = (0..OUTAGES).map(|n| tokio::spawn(outage(n))).collect();
    let mut delays = Vec::new();
    for one in tries {
        delays.push(one.await.expect("the measurement runs"));
    }
    delays
}

async fn outage(seed: u64) -> Duration {
    let mut pair = pair(seed).await;
    pair.store.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    pair.store.set_down(false);
    let start = Instant::now();
    pair.put(1 << 10).await;
    pair.news().await;
    start.elapsed()
}

fn summary(mut delays: Vec<Duration>) -> String {
    delays.sort_unstable();
    let (count, most) = (delays.len(), delays[delays.len() - 1]);
    let middle = delays[count / 2];
    format!("p50 {middle:.1?}, max {most:.1?} of {count}")
}
