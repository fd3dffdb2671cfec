//! A follower never misses the newest value, whatever its watch goes through.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_store::{
    Change, Follow, FollowAction, FollowEvent, FollowTiming, Key, News, Scope, StoreError,
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
    /// The watch delivers what is pending.
    Deliver,
    /// The watch ends.
    End,
    /// The watch goes silent without ending.
    Silence,
    Compact,
    Save,
    Restore,
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
        1 => any::<bool>().prop_map(Step::Outage),
        10 => any::<bool>().prop_map(Step::Answer),
        5 => (0_u64..2_000).prop_map(Step::Pass),
    ]
}

struct Open {
    next: Version,
    silent: bool,
}

struct World {
    now: Moment,
    fake: Fake,
    saved: Fake,
    follow: Follow,
    call: Option<FollowAction>,
    watch: Option<Open>,
    down: bool,
    /// What the owner knows from the news.
    view: BTreeMap<Key, (Bytes, Version)>,
    restored: u32,
    written: u32,
    news: Vec<News>,
}

fn scope() -> Scope {
    Scope::Below(Key::try_from("config").unwrap())
}

impl World {
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
            news: Vec::new(),
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
                    self.tell(FollowEvent::Tick);
                }
            }
        }
    }

    fn write<F>(&mut self, make: F, n: u8)
    where
        F: Fn(Key, String) -> Transaction,
    {
        let key = Key::try_from(format!("config/{n}")).unwrap();
        // Unlike a version, a value never comes again after a restore.
        self.written += 1;
        let text = self.written.to_string();
        let _ = self.fake.commit(&make(key, text));
    }

    fn tell(&mut self, event: FollowEvent) {
        for action in self.follow.step(self.now, event) {
            match action {
                FollowAction::Report(news) => self.learn(news),
                FollowAction::Close => self.watch = None,
                call => self.call = Some(call),
            }
        }
    }

    fn learn(&mut self, news: News) {
        self.news.push(news.clone());
        match news {
            News::Snapshot(listing) => {
                let entries = listing.entries.into_iter();
                self.view = entries
                    .map(|entry| (entry.key, (entry.value, entry.version)))
                    .collect();
            }
            News::Changed(changes) => changes.into_iter().for_each(|change| self.apply(change)),
            News::Restored { .. } => self.restored += 1,
            News::Current { .. } | News::Unreachable(_) => {}
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
        self.tell(event);
    }

    fn deliver(&mut self) {
        let Some(open) = self.watch.as_mut().filter(|open| !open.silent) else {
            return;
        };
        if open.next < self.fake.compacted {
            let oldest = self.fake.compacted;
            self.tell(FollowEvent::Watched(WatchEvent::Compacted { oldest }));
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
            self.tell(FollowEvent::Watched(WatchEvent::Changed(changes)));
        }
    }

    fn end(&mut self) {
        if self.watch.take().is_some() {
            self.tell(FollowEvent::Watched(WatchEvent::Closed));
        }
    }

    /// Lets 20 s pass in which every call is answered.
    fn calm(&mut self) {
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

    /// Through ends, silence, compaction, restores and outages, the owner knows
    /// exactly what the store holds once the store has answered for a while.
    #[test]
    fn the_newest_value_is_never_missed(steps in prop::collection::vec(step(), 0..150)) {
        let mut world = World::new(Duration::from_secs(10));
        for step in steps {
            world.take(step);
        }
        world.calm();
        prop_assert_eq!(&world.view, &world.truth());
    }
}

fn following() -> World {
    let mut world = World::new(Duration::from_mins(5));
    world.take(Step::Put(1));
    world.calm();
    world
}

#[test]
fn a_restore_to_an_older_state_is_told_with_both_versions() {
    let mut world = following();
    world.take(Step::Save);
    let found = world.fake.version;
    world.take(Step::Put(1));
    world.take(Step::Deliver);
    let had = world.fake.version;
    world.news.clear();
    world.take(Step::Restore);
    world.calm();
    assert_eq!(world.news[0], News::Restored { had, found });
    assert!(matches!(world.news[1], News::Snapshot(_)));
}

#[test]
fn a_restore_that_grew_past_the_old_version_is_told_by_an_older_value() {
    let mut world = following();
    world.take(Step::Save);
    world.take(Step::Put(1));
    world.take(Step::Deliver);
    world.fake = world.saved.clone();
    for _ in 0..5 {
        world.take(Step::Put(2));
    }
    world.take(Step::End);
    world.calm();
    assert_eq!(world.restored, 1);
    assert_eq!(world.view, world.truth());
}

#[test]
fn a_silent_watch_is_found_by_the_next_probe() {
    let mut world = following();
    world.take(Step::Silence);
    world.take(Step::Put(2));
    assert_ne!(world.view, world.truth());
    world.take(Step::Pass(2_000));
    for _ in 0..3 {
        world.take(Step::Answer(true));
    }
    assert_eq!(world.view, world.truth());
}

#[test]
fn a_change_that_overtakes_a_probe_is_no_restore() {
    let mut world = following();
    world.take(Step::Pass(2_000));
    assert_eq!(world.call, Some(FollowAction::Probe));
    let answer = FollowEvent::Probed(Ok(world.fake.versions(&scope())));
    world.take(Step::Put(1));
    world.take(Step::Deliver);
    world.call = None;
    world.tell(answer);
    world.calm();
    assert_eq!(world.restored, 0);
    assert_eq!(world.view, world.truth());
}

#[test]
fn a_compaction_gap_is_read_over_at_once() {
    let mut world = following();
    world.take(Step::Put(1));
    world.take(Step::Put(2));
    world.fake.compact();
    world.take(Step::Deliver);
    for _ in 0..2 {
        world.take(Step::Answer(true));
    }
    assert_eq!(world.view, world.truth());
}

#[test]
fn a_change_told_before_the_listing_came_is_not_lost() {
    let mut world = World::new(Duration::from_mins(5));
    world.take(Step::Pass(0));
    world.take(Step::Answer(true));
    let listing = FollowEvent::Listed(Ok(world.fake.list(&scope())));
    world.take(Step::Put(1));
    world.take(Step::Deliver);
    world.call = None;
    world.tell(listing);
    assert_eq!(world.view, world.truth());
}
