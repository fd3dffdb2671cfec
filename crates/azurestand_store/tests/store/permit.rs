//! Permits under arbitrary interleavings of holders, lost calls, delays and pauses.

use std::time::Duration;

use azurestand_store::{
    BackoffLimits, Cause, Commit, FencedLease, Key, LeaseTiming, PermitAction, PermitEvent,
    PermitUpdate, Scope, Semaphore, SemaphoreOptions, StoreError,
};
use azurestand_types::{Fence, Moment};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fake::Fake;

const TTL: Duration = Duration::from_secs(6);

/// The next step of the simulation.
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

/// The outcome of one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Lost,
    /// The holder is notified that no answer came; the call stays in flight.
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

struct InFlight {
    who: usize,
    action: PermitAction,
    /// Whether the holder still waits for the answer.
    awaited: bool,
}

struct Simulation {
    now: Moment,
    fake: Fake,
    holders: Vec<Semaphore>,
    paused: Vec<bool>,
    in_flight: Vec<InFlight>,
    answers: Vec<(usize, PermitEvent)>,
    down: bool,
    limit: usize,
    fences: Vec<Fence>,
    held: Vec<bool>,
    /// The last fenced lease reported to each holder.
    reported: Vec<Option<FencedLease>>,
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

impl Simulation {
    fn new(holders: usize, limit: usize) -> Self {
        Self {
            now: Moment::START,
            fake: Fake::new(),
            holders: (0..holders).map(|n| holder(n, limit)).collect(),
            paused: vec![false; holders],
            in_flight: Vec::new(),
            answers: Vec::new(),
            down: false,
            limit,
            fences: Vec::new(),
            held: vec![false; holders],
            reported: vec![None; holders],
        }
    }

    fn take(&mut self, step: Step) {
        let len = self.holders.len();
        match step {
            Step::Call(n, fate) if !self.in_flight.is_empty() => {
                self.call(n % self.in_flight.len(), fate);
            }
            Step::Answer(n) if !self.answers.is_empty() => self.answer(n % self.answers.len()),
            Step::Pass(millis) => self.pass(Duration::from_millis(millis)),
            Step::Pause(n) => self.paused[n % len] = true,
            Step::Resume(n) => {
                self.paused[n % len] = false;
                self.tick();
            }
            Step::Want(n) if !self.paused[n % len] => self.send(n % len, PermitEvent::Requested),
            Step::Done(n) if !self.paused[n % len] => self.send(n % len, PermitEvent::Released),
            Step::Call(..) | Step::Answer(_) | Step::Want(_) | Step::Done(_) => {}
            Step::Outage(down) => self.down = down,
        }
    }

    fn send(&mut self, who: usize, event: PermitEvent) {
        for action in self.holders[who].step(self.now, event) {
            match action {
                PermitAction::Report(PermitUpdate::Held(lease)) => self.record(who, lease),
                PermitAction::Report(PermitUpdate::Lost) => {}
                action => self.in_flight.push(InFlight {
                    who,
                    action,
                    awaited: true,
                }),
            }
        }
    }

    /// Checks that a new permit has an unused number, and that an extension keeps its
    /// number and ends later.
    fn record(&mut self, who: usize, lease: FencedLease) {
        match self.reported[who] {
            Some(last) if last.fence == lease.fence => assert!(lease.until > last.until),
            _ => {
                assert!(!self.fences.contains(&lease.fence), "a fence came twice");
                self.fences.push(lease.fence);
            }
        }
        self.reported[who] = Some(lease);
        assert_eq!(self.holders[who].fenced_lease(self.now), Some(lease));
        self.held[who] = true;
    }

    fn call(&mut self, n: usize, fate: Fate) {
        let fate = if self.down { Fate::Lost } else { fate };
        let flight = self.in_flight.swap_remove(n);
        let answer = match fate {
            Fate::Answered => self.effect(&flight.action),
            Fate::AnswerLost => {
                self.effect(&flight.action);
                no_answer(&flight.action)
            }
            Fate::Lost | Fate::GivenUp => no_answer(&flight.action),
        };
        if flight.awaited
            && let Some(answer) = answer
        {
            self.answers.push((flight.who, answer));
        }
        if matches!(fate, Fate::GivenUp) {
            self.in_flight.push(InFlight {
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
            PermitAction::Renew(lease) => PermitEvent::Renewed {
                id: *lease,
                answer: Ok(self.fake.renew(self.now, *lease)),
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
            self.send(who, event);
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
                self.send(who, PermitEvent::Tick);
            }
        }
    }

    fn check(&self) {
        let active = self.holders.iter().filter_map(|h| h.fenced_lease(self.now));
        let mut fences: Vec<_> = active.map(|fenced_lease| fenced_lease.fence).collect();
        assert!(fences.len() <= self.limit, "{fences:?} hold at once");
        fences.sort();
        fences.dedup();
        let holders = Scope::Below(root().join("holders").unwrap());
        let stored = self.fake.list(&holders).entries.len();
        assert!(stored <= self.limit);
        assert!(fences.len() <= stored, "a holder outlives its key");
    }

    /// Answers every call at once for `span`; holders release a permit after a second.
    fn run_without_failures(&mut self, span: Duration) {
        self.down = false;
        self.paused.fill(false);
        let end = self.now + span;
        while self.now < end {
            while !self.in_flight.is_empty() || !self.answers.is_empty() {
                if self.in_flight.is_empty() {
                    self.answer(0);
                } else {
                    self.call(0, Fate::Answered);
                }
                self.check();
            }
            self.pass(Duration::from_millis(250));
            let who = usize::try_from(self.now.as_micros() / 1_000_000).unwrap();
            let who = who % self.holders.len();
            if self.held[who] && self.holders[who].fenced_lease(self.now).is_some() {
                self.send(who, PermitEvent::Released);
            }
        }
    }
}

/// The event that a holder receives when no answer comes.
fn no_answer(action: &PermitAction) -> Option<PermitEvent> {
    let event = match action {
        PermitAction::List(_) => PermitEvent::Listed(Err(StoreError::Broken)),
        PermitAction::Grant(_) => PermitEvent::Granted(Err(StoreError::Broken)),
        PermitAction::Commit(_) => PermitEvent::Committed(Commit::Unknown),
        PermitAction::Renew(lease) => PermitEvent::Renewed {
            id: *lease,
            answer: Err(StoreError::Broken),
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

    /// Never more holders than the limit at once, no fencing number is reused, no
    /// holder outlasts its key; and once calls succeed, every request is granted.
    #[test]
    fn permits_never_exceed_the_limit_and_every_request_is_granted(
        count in 2_usize..6,
        limit in 1_usize..4,
        steps in prop::collection::vec(step(), 0..250),
    ) {
        let mut simulation = Simulation::new(count, limit);
        for step in steps {
            simulation.take(step);
            simulation.check();
        }
        simulation.held.fill(false);
        for who in 0..count {
            simulation.paused[who] = false;
            simulation.send(who, PermitEvent::Released);
            simulation.send(who, PermitEvent::Requested);
        }
        simulation.run_without_failures(Duration::from_mins(3));
        prop_assert_eq!(simulation.held, vec![true; count]);
    }
}

/// One holder that acquires the only permit without failures.
fn held() -> Simulation {
    let mut simulation = Simulation::new(2, 1);
    simulation.send(0, PermitEvent::Requested);
    while simulation.holders[0].fenced_lease(simulation.now).is_none() {
        simulation.answers_and_calls();
    }
    simulation
}

impl Simulation {
    fn answers_and_calls(&mut self) {
        while !self.in_flight.is_empty() || !self.answers.is_empty() {
            if self.in_flight.is_empty() {
                self.answer(0);
            } else {
                self.call(0, Fate::Answered);
            }
        }
    }
}

#[test]
fn a_store_outage_gives_no_permit_and_ends_held_ones_with_their_lease() {
    let mut simulation = held();
    simulation.down = true;
    simulation.send(1, PermitEvent::Requested);
    for _ in 0..40 {
        simulation.answers_and_calls();
        simulation.pass(Duration::from_millis(250));
        assert!(simulation.holders[1].fenced_lease(simulation.now).is_none());
    }
    assert!(simulation.holders[0].fenced_lease(simulation.now).is_none());
}

#[test]
fn a_paused_holder_wakes_without_its_permit() {
    let mut simulation = held();
    simulation.paused[0] = true;
    simulation.send(1, PermitEvent::Requested);
    for _ in 0..48 {
        simulation.answers_and_calls();
        simulation.pass(Duration::from_millis(250));
        simulation.check();
    }
    let first = simulation.fences[0];
    let second = simulation.holders[1].fenced_lease(simulation.now).unwrap();
    assert!(second.fence > first);
    // The paused holder gets no notification; its own clock shows the end.
    assert!(simulation.holders[0].fenced_lease(simulation.now).is_none());
}

#[test]
fn a_lost_answer_of_a_taken_permit_is_found_by_reading() {
    let mut simulation = Simulation::new(1, 1);
    simulation.send(0, PermitEvent::Requested);
    simulation.call(0, Fate::Answered); // list
    simulation.answer(0);
    simulation.call(0, Fate::Answered); // grant
    simulation.answer(0);
    simulation.call(0, Fate::AnswerLost); // commit
    simulation.answer(0);
    assert!(simulation.holders[0].fenced_lease(simulation.now).is_none());
    simulation.answers_and_calls();
    let fenced_lease = simulation.holders[0].fenced_lease(simulation.now).unwrap();
    assert_eq!(fenced_lease.fence, Fence(1));
}

#[test]
fn a_fence_seen_elsewhere_is_exceeded_after_a_restore() {
    let mut simulation = Simulation::new(1, 1);
    simulation.send(0, PermitEvent::FenceSeen(Fence(40)));
    simulation.send(0, PermitEvent::Requested);
    simulation.answers_and_calls();
    assert_eq!(
        simulation.holders[0]
            .fenced_lease(simulation.now)
            .unwrap()
            .fence,
        Fence(41)
    );
}

#[test]
fn a_refusal_of_the_budget_is_retried_without_a_new_fence() {
    let mut simulation = Simulation::new(1, 1);
    simulation.send(0, PermitEvent::Requested);
    simulation.call(0, Fate::Answered);
    simulation.answer(0);
    simulation.call(0, Fate::Answered);
    simulation.answer(0);
    simulation.in_flight.clear();
    simulation.send(
        0,
        PermitEvent::Committed(Commit::NotApplied(Cause::OverBudget)),
    );
    for _ in 0..20 {
        simulation.answers_and_calls();
        simulation.pass(Duration::from_millis(250));
    }
    assert_eq!(
        simulation.holders[0]
            .fenced_lease(simulation.now)
            .unwrap()
            .fence,
        Fence(1)
    );
}

#[test]
fn a_grant_that_came_too_late_to_use_is_followed_by_another_attempt() {
    let mut simulation = Simulation::new(1, 1);
    simulation.send(0, PermitEvent::Requested);
    simulation.call(0, Fate::Answered);
    simulation.answer(0);
    simulation.call(0, Fate::Answered);
    simulation.pass(TTL);
    for _ in 0..20 {
        simulation.answers_and_calls();
        simulation.pass(Duration::from_millis(250));
    }
    assert!(simulation.holders[0].fenced_lease(simulation.now).is_some());
}

#[test]
fn an_extension_is_reported_under_the_same_number() {
    let mut simulation = held();
    let first = simulation.reported[0].unwrap();
    simulation.pass(TTL / 3);
    simulation.answers_and_calls();
    let second = simulation.reported[0].unwrap();
    assert_eq!(second.fence, first.fence);
    assert_eq!(second.until, first.until + TTL / 3);
}

#[test]
fn an_answer_about_an_earlier_lease_does_not_extend_the_present_one() {
    let mut simulation = held();
    simulation.pass(TTL / 3);
    let late = simulation.in_flight.pop().unwrap();
    assert!(matches!(late.action, PermitAction::Renew(_)));
    let answer = simulation.effect(&late.action).unwrap();
    simulation.send(0, PermitEvent::Released);
    simulation.send(0, PermitEvent::Requested);
    simulation.answers_and_calls();
    simulation.pass(TTL / 3);
    let until = simulation.holders[0]
        .fenced_lease(simulation.now)
        .unwrap()
        .until;
    simulation.send(0, answer);
    let fenced_lease = simulation.holders[0].fenced_lease(simulation.now).unwrap();
    assert_eq!(fenced_lease.until, until);
}

/// The store came back from an older copy and gave a lease's id out again: its first holder
/// renewed the lease of the second one, and both held the only permit.
#[test]
fn a_holder_does_not_live_on_a_lease_that_the_store_gave_out_again() {
    let mut simulation = Simulation::new(2, 1);
    let copy = simulation.fake.clone();
    simulation.send(0, PermitEvent::Requested);
    simulation.answers_and_calls();
    simulation.fake = copy;
    simulation.send(1, PermitEvent::FenceSeen(Fence(9)));
    simulation.send(1, PermitEvent::Requested);
    simulation.answers_and_calls();
    // Far longer than a lease lasts.
    for _ in 0..40 {
        simulation.now = simulation.now + TTL / 10;
        simulation.tick();
        simulation.answers_and_calls();
    }
    simulation.check();
}
