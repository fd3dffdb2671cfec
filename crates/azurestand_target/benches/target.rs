//! Processor time of the decisions about one target.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_target::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, CommitResult, Ending,
    ExchangeSettings, Exchanges, Holder, HomeAction, HomeEvent, HomeSettings, Homes, KeyedRequest,
    Record, Retention, Shard, ShardContents, Stamp, Version, Weights,
};
use azurestand_types::{
    AccountName, BootId, Digest, HostName, Incarnation, Moment, Outcome, Priority, RequestId,
    RequestKey, ServiceName,
};
use bytes::Bytes;
use divan::Bencher;

const FAR: Moment = Moment::from_millis(u64::MAX / 1_000);

fn main() {
    divan::main();
}

fn weights() -> Weights {
    Weights {
        digest: Some(Digest::of(b"v1")),
        boot: BootId(1),
    }
}

fn arrival(id: u128) -> Arrival {
    Arrival {
        id: RequestId(id),
        account: AccountName::try_from(format!("account-{}", id % 10)).unwrap(),
        weight: 1,
        priority: Priority(u8::try_from(id % 3).unwrap()),
        deadline: FAR,
        pinned: None,
    }
}

/// One request ends and one arrives, with this many waiting.
#[divan::bench(args = [0, 16, 64, 256])]
fn admission_turn(bencher: Bencher, waiting: u128) {
    let mut admission = Admission::new(AdmissionSettings::default());
    let now = Moment::from_millis(1);
    let limit = AdmissionEvent::LimitChanged {
        weights: Some(weights()),
        limit: 1,
    };
    admission.handle(now, limit);
    let mut running = Vec::new();
    for id in 0..=waiting {
        running.extend(admission.handle(now, AdmissionEvent::Arrived(arrival(id))));
    }
    let mut next = waiting;
    let mut current = RequestId(0);
    bencher.bench_local(|| {
        next += 1;
        let mut actions = admission.handle(now, AdmissionEvent::Arrived(arrival(next)));
        actions.extend(admission.handle(now, AdmissionEvent::Finished(current)));
        if let Some(AdmissionAction::Start { id, .. }) = actions.last() {
            current = *id;
        }
        actions
    });
}

/// One request from its send to the acknowledgement of its end, with an answer
/// of 64 records.
#[divan::bench]
fn exchange_turn(bencher: Bencher) {
    let mut exchanges = Exchanges::new(ExchangeSettings::default(), Incarnation(1));
    let mut next = 0;
    let record = Bytes::from(vec![0; 64]);
    bencher.bench_local(|| {
        next += 1;
        let now = Moment::from_millis(next);
        let id = RequestId(u128::from(next));
        let stamp = Stamp {
            incarnation: Incarnation(1),
            at: now,
        };
        exchanges.send(now, id, stamp, Retention::Unread);
        exchanges.start(now, id, weights());
        for n in 1..=64 {
            exchanges.append(id, record.clone());
            exchanges.read(id, (n - 1) * 64);
            exchanges.ack(id, n * 64);
        }
        let ending = Ending::Complete {
            weights: Some(weights()),
        };
        exchanges.end(now, id, ending);
        exchanges.tick(now);
    });
}

/// A process that holds all shards, with a store that answers at once.
struct Store {
    homes: Homes,
    version: u64,
    records: BTreeMap<Shard, (Record, Version)>,
    now: Moment,
    runs: Vec<RequestId>,
}

impl Store {
    fn new() -> Self {
        let host = HostName::try_from("runner").unwrap();
        let service = ServiceName::try_from("booking").unwrap();
        let me = Holder {
            host: host.clone(),
            incarnation: Incarnation(1),
        };
        let settings = HomeSettings {
            max_claims: usize::MAX,
            ..HomeSettings::default()
        };
        let mut store = Self {
            homes: Homes::new(&service, &me, &settings),
            version: 0,
            records: BTreeMap::new(),
            now: Moment::from_millis(1),
            runs: Vec::new(),
        };
        store.send(HomeEvent::Listed(vec![host]));
        store.advance(3_000);
        assert_eq!(store.homes.held(), 8);
        store
    }

    fn send(&mut self, event: HomeEvent) {
        for action in self.homes.handle(self.now, event) {
            let reply = match action {
                HomeAction::Run(id) => {
                    self.runs.push(id);
                    continue;
                }
                HomeAction::Commit(shard, batch) => {
                    self.version += 1;
                    let version = Version(self.version);
                    let write_number = batch.record.write_number;
                    self.records.insert(shard, (batch.record, version));
                    HomeEvent::Committed(shard, write_number, CommitResult::Applied(version))
                }
                HomeAction::Read { shard, .. } => {
                    let loaded = ShardContents {
                        record: self.records.get(&shard).cloned(),
                        batches: Vec::new(),
                    };
                    HomeEvent::Loaded(shard, loaded)
                }
                _ => continue,
            };
            self.send(reply);
        }
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Duration::from_millis(50);
            self.send(HomeEvent::Tick);
        }
    }

    fn submit(&mut self, n: u128) {
        self.send(HomeEvent::Arrived(KeyedRequest {
            id: RequestId(n),
            account: AccountName::try_from("depot").unwrap(),
            key: RequestKey::try_from(format!("key-{n}").as_str()).unwrap(),
            fingerprint: Digest::of(&n.to_le_bytes()),
            deadline: FAR,
        }));
    }

    fn finish(&mut self) {
        for id in std::mem::take(&mut self.runs) {
            self.send(HomeEvent::Finished {
                id,
                outcome: Outcome::Answered,
                answer: Some(Bytes::from_static(&[0; 200])),
            });
        }
    }
}

/// One tick of a process that stores this many claims.
#[divan::bench(args = [0, 1_000, 40_000])]
fn claims_tick(bencher: Bencher, claims: u128) {
    let mut store = Store::new();
    for n in 0..claims {
        store.submit(n);
    }
    store.advance(10_000);
    store.finish();
    store.advance(10_000);
    bencher.bench_local(|| store.send(HomeEvent::Tick));
}

/// 100 keyed requests in one batch, from their claims to their stored answers.
#[divan::bench]
fn claims_hundred(bencher: Bencher) {
    let mut store = Store::new();
    let mut next = 0;
    bencher.bench_local(|| {
        for _ in 0..100 {
            next += 1;
            store.submit(next);
        }
        store.advance(1_000);
        store.finish();
    });
}
