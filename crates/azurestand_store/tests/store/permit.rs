//! Permits under arbitrary interleavings of holders, losses, delays and pauses.

use std::time::Duration;

use azurestand_store::{
    BackoffLimits, Cause, Commit, Key, LeaseTiming, PermitAction, PermitEvent, PermitNews, Scope,
    Semaphore, SemaphoreOptions, StoreError, Warrant,
};
use azurestand_types::{Fence, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fake::Fake;

const TTL: Duration = Duration::from_secs(6);

/// What happens next in the world.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The call in flight with this number reaches the store.
    Call(usize, Fate),
    /// The answer with this number reaches its holder.
    Answer(usize),
    Pass(u64),
    Pause(usize),
    Resume(usize),
    Want(usize),
    Done(usize),
    Outage(bool),
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Lost,
    /// The holder hears that no answer came; the call stays in flight.
    GivenUp,
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        1 => Just(Fate::GivenUp),
    ];
    prop_oneof![
        12 => (any::<usize>(), fate).prop_map(|(n, fate)| Step::Call(n, fate)),
        12 => any::<usize>().prop_map(Step::Answer),
        5 => (0_u64..2_500).prop_map(Step::Pass),
        1 => any::<usize>().prop_map(Step::Pause),
        2 => any::<usize>().prop_map(Step::Resume),
        3 => any::<usize>().prop_map(Step::Want),
        1 => any::<usize>().prop_map(Step::Done),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

struct Flight {
    who: usize,
    action: PermitAction,
    /// Whether the holder still waits for the answer.
    awaited: bool,
}

struct World {
    now: Moment,
    fake: Fake,
    holders: Vec<Semaphore>,
    paused: Vec<bool>,
    flights: Vec<Flight>,
    answers: Vec<(usize, PermitEvent)>,
    down: bool,
    limit: usize,
    fences: Vec<Fence>,
    held: Vec<bool>,
    /// The last warrant that each holder was told of.
    told: Vec<Option<Warrant>>,
}

fn root() -> Key {
    Key::try_from("permits/tov/atlas").unwrap()
}

fn holder(n: usize, limit: usize) -> Semaphore {
    let options = SemaphoreOptions {
        key: root(),
        holder: format!("runner-{n}.1"),
        limit: u32::try_from(limit).unwrap(),
        timing: LeaseTiming::try_from(TTL).unwrap(),
        retry: BackoffLimits::default(),
        seed: n as u64,
    };
    Semaphore::new(options).unwrap()
}

impl World {
    fn new(holders: usize, limit: usize) -> Self {
        Self {
            now: Moment::START,
            fake: Fake::new(),
            holders: (0..holders).map(|n| holder(n, limit)).collect(),
            paused: vec![false; holders],
            flights: Vec::new(),
            answers: Vec::new(),
            down: false,
            limit,
            fences: Vec::new(),
            held: vec![false; holders],
            told: vec![None; holders],
        }
    }

    fn take(&mut self, step: Step) {
        let count = self.holders.len();
        match step {
            Step::Call(n, fate) if !self.flights.is_empty() => {
                self.call(n % self.flights.len(), fate);
            }
            Step::Answer(n) if !self.answers.is_empty() => self.answer(n % self.answers.len()),
            Step::Pass(millis) => self.pass(Duration::from_millis(millis)),
            Step::Pause(n) => self.paused[n % count] = true,
            Step::Resume(n) => {
                self.paused[n % count] = false;
                self.tick();
            }
            Step::Want(n) if !self.paused[n % count] => self.tell(n % count, PermitEvent::Wanted),
            Step::Done(n) if !self.paused[n % count] => self.tell(n % count, PermitEvent::Done),
            Step::Call(..) | Step::Answer(_) | Step::Want(_) | Step::Done(_) => {}
            Step::Outage(down) => self.down = down,
        }
    }

    fn tell(&mut self, who: usize, event: PermitEvent) {
        for action in self.holders[who].step(self.now, event) {
            match action {
                PermitAction::Report(PermitNews::Held(warrant)) => self.note(who, warrant),
                PermitAction::Report(PermitNews::Lost) => {}
                action => self.flights.push(Flight {
                    who,
                    action,
                    awaited: true,
                }),
            }
        }
    }

    /// A new permit has a number that never came before; an extension keeps its
    /// number and ends later.
    fn note(&mut self, who: usize, warrant: Warrant) {
        match self.told[who] {
            Some(told) if told.fence == warrant.fence => assert!(warrant.until > told.until),
            _ => {
                assert!(!self.fences.contains(&warrant.fence), "a fence came twice");
                self.fences.push(warrant.fence);
            }
        }
        self.told[who] = Some(warrant);
        assert_eq!(self.holders[who].warrant(self.now), Some(warrant));
        self.held[who] = true;
    }

    fn call(&mut self, n: usize, fate: Fate) {
        let fate = if self.down { Fate::Lost } else { fate };
        let flight = self.flights.swap_remove(n);
        let answer = match fate {
            Fate::Answered => self.effect(&flight.action),
            Fate::AnswerLost => {
                self.effect(&flight.action);
                silence(&flight.action)
            }
            Fate::Lost | Fate::GivenUp => silence(&flight.action),
        };
        if flight.awaited
            && let Some(answer) = answer
        {
            self.answers.push((flight.who, answer));
        }
        if matches!(fate, Fate::GivenUp) {
            self.flights.push(Flight {
                awaited: false,
                ..flight
            });
        }
    }

    fn effect(&mut self, action: &PermitAction) -> Option<PermitEvent> {
        self.fake.lapse(self.now);
        let event = match action {
            PermitAction::List(scope) => PermitEvent::Listed(Ok(self.fake.list(scope))),
            PermitAction::Grant(timing) => {
                PermitEvent::Granted(Ok(self.fake.grant(self.now, timing.ttl())))
            }
            PermitAction::Commit(transaction) => {
                PermitEvent::Committed(self.fake.commit(transaction))
            }
            PermitAction::Keep(lease) => PermitEvent::Kept {
                lease: *lease,
                kept: Ok(self.fake.keep(self.now, *lease)),
            },
            PermitAction::Release(lease) => {
                self.fake.release(*lease);
                return None;
            }
            PermitAction::Report(_) => return None,
        };
        Some(event)
    }

    fn answer(&mut self, n: usize) {
        if !self.paused[self.answers[n].0] {
            let (who, event) = self.answers.remove(n);
            self.tell(who, event);
        }
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        self.fake.lapse(self.now);
        self.check();
        self.tick();
    }

    fn tick(&mut self) {
        for who in 0..self.holders.len() {
            let due = self.holders[who].wake().is_some_and(|at| at <= self.now);
            if due && !self.paused[who] {
                self.tell(who, PermitEvent::Tick);
            }
        }
    }

    fn check(&self) {
        let active = self.holders.iter().filter_map(|h| h.warrant(self.now));
        let mut fences: Vec<_> = active.map(|warrant| warrant.fence).collect();
        assert!(fences.len() <= self.limit, "{fences:?} hold at once");
        fences.sort();
        fences.dedup();
        let holders = Scope::Below(root().join("holders").unwrap());
        let stored = self.fake.list(&holders).entries.len();
        assert!(stored <= self.limit);
        assert!(fences.len() <= stored, "a holder outlives its key");
    }

    /// Answers every call at once for `span`; holders give a permit back after a second.
    fn calm(&mut self, span: Duration) {
        self.down = false;
        self.paused.fill(false);
        let end = self.now + span;
        while self.now < end {
            while !self.flights.is_empty() || !self.answers.is_empty() {
                if self.flights.is_empty() {
                    self.answer(0);
                } else {
                    self.call(0, Fate::Answered);
                }
                self.check();
            }
            self.pass(Duration::from_millis(250));
            let who = usize::try_from(self.now.as_micros() / 1_000_000).unwrap();
            let who = who % self.holders.len();
            if self.held[who] && self.holders[who].warrant(self.now).is_some() {
                self.tell(who, PermitEvent::Done);
            }
        }
    }
}

/// What a holder hears when no answer comes.
fn silence(action: &PermitAction) -> Option<PermitEvent> {
    let event = match action {
        PermitAction::List(_) => PermitEvent::Listed(Err(StoreError::Broken)),
        PermitAction::Grant(_) => PermitEvent::Granted(Err(StoreError::Broken)),
        PermitAction::Commit(_) => PermitEvent::Committed(Commit::Unknown),
        PermitAction::Keep(lease) => PermitEvent::Kept {
            lease: *lease,
            kept: Err(StoreError::Broken),
        },
        PermitAction::Release(_) | PermitAction::Report(_) => return None,
    };
    Some(event)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33), cases: 600, failure_persistence: None,
        max_shrink_iters: 2_000, ..ProptestConfig::default()
    })]

    /// Never more than the limit hold at once, no fencing number comes twice,
    /// no holder outlives its key; and once calm, whoever wants a permit gets it.
    #[test]
    fn permits_never_exceed_the_limit_and_all_get_theirs(
        count in 2_usize..6,
        limit in 1_usize..4,
        steps in prop::collection::vec(step(), 0..250),
    ) {
        let mut world = World::new(count, limit);
        for step in steps {
            world.take(step);
            world.check();
        }
        world.held.fill(false);
        for who in 0..count {
            world.paused[who] = false;
            world.tell(who, PermitEvent::Done);
            world.tell(who, PermitEvent::Wanted);
        }
        world.calm(Duration::from_mins(3));
        prop_assert_eq!(world.held, vec![true; count]);
    }
}

/// One holder that takes the only permit in a calm world.
fn held() -> World {
    let mut world = World::new(2, 1);
    world.tell(0, PermitEvent::Wanted);
    while world.holders[0].warrant(world.now).is_none() {
        world.answers_and_calls();
    }
    world
}

impl World {
    fn answers_and_calls(&mut self) {
        while !self.flights.is_empty() || !self.answers.is_empty() {
            if self.flights.is_empty() {
                self.answer(0);
            } else {
                self.call(0, Fate::Answered);
            }
        }
    }
}

#[test]
fn a_store_outage_gives_no_permit_and_ends_held_ones_with_their_lease() {
    let mut world = held();
    world.down = true;
    world.tell(1, PermitEvent::Wanted);
    for _ in 0..40 {
        world.answers_and_calls();
        world.pass(Duration::from_millis(250));
        assert!(world.holders[1].warrant(world.now).is_none());
    }
    assert!(world.holders[0].warrant(world.now).is_none());
}

#[test]
fn a_paused_holder_wakes_without_its_permit() {
    let mut world = held();
    world.paused[0] = true;
    world.tell(1, PermitEvent::Wanted);
    for _ in 0..48 {
        world.answers_and_calls();
        world.pass(Duration::from_millis(250));
        world.check();
    }
    let first = world.fences[0];
    let second = world.holders[1].warrant(world.now).unwrap();
    assert!(second.fence > first);
    // Nothing tells the sleeper; its own clock does.
    assert!(world.holders[0].warrant(world.now).is_none());
}

#[test]
fn a_lost_answer_of_a_taken_permit_is_found_by_reading() {
    let mut world = World::new(1, 1);
    world.tell(0, PermitEvent::Wanted);
    world.call(0, Fate::Answered); // list
    world.answer(0);
    world.call(0, Fate::Answered); // grant
    world.answer(0);
    world.call(0, Fate::AnswerLost); // commit
    world.answer(0);
    assert!(world.holders[0].warrant(world.now).is_none());
    world.answers_and_calls();
    let warrant = world.holders[0].warrant(world.now).unwrap();
    assert_eq!(warrant.fence, Fence(1));
}

#[test]
fn a_fence_seen_elsewhere_is_passed_after_a_restore() {
    let mut world = World::new(1, 1);
    world.tell(0, PermitEvent::FenceSeen(Fence(40)));
    world.tell(0, PermitEvent::Wanted);
    world.answers_and_calls();
    assert_eq!(
        world.holders[0].warrant(world.now).unwrap().fence,
        Fence(41)
    );
}

#[test]
fn a_refusal_of_the_budget_is_retried_without_a_new_fence() {
    let mut world = World::new(1, 1);
    world.tell(0, PermitEvent::Wanted);
    world.call(0, Fate::Answered);
    world.answer(0);
    world.call(0, Fate::Answered);
    world.answer(0);
    world.flights.clear();
    world.tell(
        0,
        PermitEvent::Committed(Commit::NotApplied(Cause::OverBudget)),
    );
    for _ in 0..20 {
        world.answers_and_calls();
        world.pass(Duration::from_millis(250));
    }
    assert_eq!(world.holders[0].warrant(world.now).unwrap().fence, Fence(1));
}

#[test]
fn a_grant_that_came_too_late_to_use_is_followed_by_another_try() {
    let mut world = World::new(1, 1);
    world.tell(0, PermitEvent::Wanted);
    world.call(0, Fate::Answered);
    world.answer(0);
    world.call(0, Fate::Answered);
    world.pass(TTL);
    for _ in 0..20 {
        world.answers_and_calls();
        world.pass(Duration::from_millis(250));
    }
    assert!(world.holders[0].warrant(world.now).is_some());
}

#[test]
fn an_extension_is_told_under_the_same_number() {
    let mut world = held();
    let first = world.told[0].unwrap();
    world.pass(TTL / 3);
    world.answers_and_calls();
    let second = world.told[0].unwrap();
    assert_eq!(second.fence, first.fence);
    assert_eq!(second.until, first.until + TTL / 3);
}

#[test]
fn an_answer_about_an_earlier_lease_does_not_extend_the_present_one() {
    let mut world = held();
    world.pass(TTL / 3);
    let late = world.flights.pop().unwrap();
    assert!(matches!(late.action, PermitAction::Keep(_)));
    let answer = world.effect(&late.action).unwrap();
    world.tell(0, PermitEvent::Done);
    world.tell(0, PermitEvent::Wanted);
    world.answers_and_calls();
    world.pass(TTL / 3);
    let until = world.holders[0].warrant(world.now).unwrap().until;
    world.tell(0, answer);
    let warrant = world.holders[0].warrant(world.now).unwrap();
    assert_eq!(warrant.until, until);
}
