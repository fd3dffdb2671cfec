//! A follower never misses the newest value, whatever happens to its watch.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_store::{
    Change, Follow, FollowAction, FollowEvent, FollowTiming, FollowUpdate, Key, Scope, StoreError,
    Transaction, Version, WatchEvent,
};
use azurestand_types::Moment;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fake::Fake;

#[derive(Debug, Clone, Copy)]
enum Step {
    Put(u8),
    Delete(u8),
    /// The watch delivers the pending changes.
    Deliver,
    /// The watch ends.
    End,
    /// The watch stops delivering without ending.
    Silence,
    Compact,
    Save,
    Restore,
    /// The store is restored and the watch goes on, as to a process that sees no outage. The
    /// given number of values is written at once.
    RestoreUnseen(u8),
    Outage(bool),
    /// The call in flight is answered, or lost.
    Answer(bool),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u8..4).prop_map(Step::Put),
        2 => (0_u8..4).prop_map(Step::Delete),
        6 => Just(Step::Deliver),
        1 => Just(Step::End),
        1 => Just(Step::Silence),
        1 => Just(Step::Compact),
        1 => Just(Step::Save),
        1 => Just(Step::Restore),
        1 => (0_u8..6).prop_map(Step::RestoreUnseen),
        1 => any::<bool>().prop_map(Step::Outage),
        10 => any::<bool>().prop_map(Step::Answer),
        5 => (0_u64..2_000).prop_map(Step::Pass),
    ]
}

struct Open {
    next: Version,
    silent: bool,
}

struct Simulation {
    now: Moment,
    fake: Fake,
    saved: Fake,
    follow: Follow,
    call: Option<FollowAction>,
    watch: Option<Open>,
    down: bool,
    /// The values that the owner has from the updates.
    view: BTreeMap<Key, (Bytes, Version)>,
    restored: u32,
    written: u32,
    updates: Vec<FollowUpdate>,
}

fn scope() -> Scope {
    Scope::Below(Key::try_from("config").unwrap())
}

impl Simulation {
    fn new(refresh: Duration) -> Self {
        let timing = FollowTiming {
            refresh,
            ..FollowTiming::default()
        };
        Self {
            now: Moment::START,
            fake: Fake::new(),
            saved: Fake::new(),
            follow: Follow::new(timing, Moment::START, 9),
            call: None,
            watch: None,
            down: false,
            view: BTreeMap::new(),
            restored: 0,
            written: 0,
            updates: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Put(n) => self.write(|key, text| Transaction::new().put(key, text), n),
            Step::Delete(n) => self.write(|key, _| Transaction::new().delete(key), n),
            Step::Deliver => self.deliver(),
            Step::End => self.end(),
            Step::Silence => {
                if let Some(open) = &mut self.watch {
                    open.silent = true;
                }
            }
            Step::Compact => self.fake.compact(),
            Step::Save => self.saved = self.fake.clone(),
            Step::Restore => {
                self.fake = self.saved.clone();
                self.end();
            }
            Step::RestoreUnseen(count) => {
                self.fake = self.saved.clone();
                for n in 0..count {
                    self.take(Step::Put(n % 4));
                }
            }
            Step::Outage(down) => {
                self.down = down;
                if down {
                    self.end();
                }
            }
            Step::Answer(whole) => self.answer(whole),
            Step::Pass(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                if self.follow.wake().is_some_and(|at| at <= self.now) {
                    self.send(FollowEvent::Tick);
                }
            }
        }
    }

    fn write<F>(&mut self, make: F, n: u8)
    where
        F: Fn(Key, String) -> Transaction,
    {
        let key = Key::try_from(format!("config/{n}")).unwrap();
        // Unlike a version, a value never repeats after a restore.
        self.written += 1;
        let text = self.written.to_string();
        let _ = self.fake.commit(&make(key, text));
    }

    fn send(&mut self, event: FollowEvent) {
        for action in self.follow.step(self.now, event) {
            match action {
                FollowAction::Report(update) => self.handle_update(update),
                FollowAction::Close => self.watch = None,
                call => self.call = Some(call),
            }
        }
    }

    fn handle_update(&mut self, update: FollowUpdate) {
        self.updates.push(update.clone());
        match update {
            FollowUpdate::Snapshot(listing) => {
                let entries = listing.entries.into_iter();
                self.view = entries
                    .map(|entry| (entry.key, (entry.value, entry.version)))
                    .collect();
            }
            FollowUpdate::Changed(changes) => changes.into_iter().for_each(|each| self.apply(each)),
            FollowUpdate::Restored { .. } => self.restored += 1,
            FollowUpdate::Current { .. } | FollowUpdate::Unreachable(_) => {}
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put(entry) => {
                let old = self.view.get(&entry.key);
                assert!(old.is_none_or(|(_, version)| *version < entry.version));
                self.view.insert(entry.key, (entry.value, entry.version));
            }
            Change::Deleted { key, .. } => {
                self.view.remove(&key);
            }
        }
    }

    fn answer(&mut self, whole: bool) {
        let Some(call) = self.call.take() else {
            return;
        };
        let whole = whole && !self.down;
        let lost = StoreError::Broken;
        let event = match call {
            FollowAction::List if whole => FollowEvent::Listed(Ok(self.fake.list(&scope()))),
            FollowAction::List => FollowEvent::Listed(Err(lost)),
            FollowAction::Probe if whole => FollowEvent::Probed(Ok(self.fake.versions(&scope()))),
            FollowAction::Probe => FollowEvent::Probed(Err(lost)),
            FollowAction::Open if whole => {
                let (next, silent) = (self.fake.version.next(), false);
                self.watch = Some(Open { next, silent });
                FollowEvent::Opened(Ok(self.fake.version))
            }
            FollowAction::Open => FollowEvent::Opened(Err(lost)),
            FollowAction::Close | FollowAction::Report(_) => return,
        };
        self.send(event);
    }

    fn deliver(&mut self) {
        let Some(open) = self.watch.as_mut().filter(|open| !open.silent) else {
            return;
        };
        if open.next < self.fake.compacted {
            let oldest = self.fake.compacted;
            self.send(FollowEvent::Watched(WatchEvent::Compacted { oldest }));
            return;
        }
        let from = open.next;
        open.next = self.fake.version.next();
        let history = self.fake.history.iter();
        let changes: Vec<_> = history
            .filter(|change| change.version() >= from && scope().covers(change.key()))
            .cloned()
            .collect();
        if !changes.is_empty() {
            self.send(FollowEvent::Watched(WatchEvent::Changed(changes)));
        }
    }

    fn end(&mut self) {
        if self.watch.take().is_some() {
            self.send(FollowEvent::Watched(WatchEvent::Closed));
        }
    }

    /// Advances the clock by 20 s, in which every call is answered.
    fn run_without_failures(&mut self) {
        self.down = false;
        for _ in 0..80 {
            self.take(Step::Pass(250));
            for _ in 0..6 {
                self.take(Step::Answer(true));
                self.deliver();
            }
        }
    }

    fn truth(&self) -> BTreeMap<Key, (Bytes, Version)> {
        let entries = self.fake.list(&scope()).entries.into_iter();
        entries
            .map(|entry| (entry.key, (entry.value, entry.version)))
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(35), cases: 600, failure_persistence: None,
        max_shrink_iters: 2_000, ..ProptestConfig::default()
    })]

    /// After closed and silent watches, compaction, restores and outages, the owner has
    /// exactly the store's values once the store has answered for a while.
    #[test]
    fn the_newest_value_is_never_missed(steps in prop::collection::vec(step(), 0..150)) {
        let mut simulation = Simulation::new(Duration::from_secs(10));
        for step in steps {
            simulation.take(step);
        }
        simulation.run_without_failures();
        prop_assert_eq!(&simulation.view, &simulation.truth());
    }
}

fn following() -> Simulation {
    let mut simulation = Simulation::new(Duration::from_mins(5));
    simulation.take(Step::Put(1));
    simulation.run_without_failures();
    simulation
}

#[test]
fn a_restore_to_an_older_state_is_reported_with_both_versions() {
    let mut simulation = following();
    simulation.take(Step::Save);
    let found = simulation.fake.version;
    simulation.take(Step::Put(1));
    simulation.take(Step::Deliver);
    let previous = simulation.fake.version;
    simulation.updates.clear();
    simulation.take(Step::Restore);
    simulation.run_without_failures();
    assert_eq!(
        simulation.updates[0],
        FollowUpdate::Restored { previous, found }
    );
    assert!(matches!(simulation.updates[1], FollowUpdate::Snapshot(_)));
}

#[test]
fn a_restore_that_grew_past_the_old_version_is_detected_by_an_older_value() {
    let mut simulation = following();
    simulation.take(Step::Save);
    simulation.take(Step::Put(1));
    simulation.take(Step::Deliver);
    simulation.fake = simulation.saved.clone();
    for _ in 0..5 {
        simulation.take(Step::Put(2));
    }
    simulation.take(Step::End);
    simulation.run_without_failures();
    assert_eq!(simulation.restored, 1);
    assert_eq!(simulation.view, simulation.truth());
}

#[test]
fn a_silent_watch_is_detected_by_the_next_probe() {
    let mut simulation = following();
    simulation.take(Step::Silence);
    simulation.take(Step::Put(2));
    assert_ne!(simulation.view, simulation.truth());
    simulation.take(Step::Pass(2_000));
    for _ in 0..3 {
        simulation.take(Step::Answer(true));
    }
    assert_eq!(simulation.view, simulation.truth());
}

#[test]
fn a_change_that_overtakes_a_probe_is_no_restore() {
    let mut simulation = following();
    simulation.take(Step::Pass(2_000));
    assert_eq!(simulation.call, Some(FollowAction::Probe));
    let answer = FollowEvent::Probed(Ok(simulation.fake.versions(&scope())));
    simulation.take(Step::Put(1));
    simulation.take(Step::Deliver);
    simulation.call = None;
    simulation.send(answer);
    simulation.run_without_failures();
    assert_eq!(simulation.restored, 0);
    assert_eq!(simulation.view, simulation.truth());
}

#[test]
fn a_compaction_gap_is_closed_by_a_new_listing_at_once() {
    let mut simulation = following();
    simulation.take(Step::Put(1));
    simulation.take(Step::Put(2));
    simulation.fake.compact();
    simulation.take(Step::Deliver);
    for _ in 0..2 {
        simulation.take(Step::Answer(true));
    }
    assert_eq!(simulation.view, simulation.truth());
}

#[test]
fn a_change_delivered_before_the_listing_is_not_lost() {
    let mut simulation = Simulation::new(Duration::from_mins(5));
    simulation.take(Step::Pass(0));
    simulation.take(Step::Answer(true));
    let listing = FollowEvent::Listed(Ok(simulation.fake.list(&scope())));
    simulation.take(Step::Put(1));
    simulation.take(Step::Deliver);
    simulation.call = None;
    simulation.send(listing);
    assert_eq!(simulation.view, simulation.truth());
}
