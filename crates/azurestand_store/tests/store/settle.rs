//! A lost answer is resolved: the change applies once or never, and is reported so.

use std::time::Duration;

use azurestand_store::{
    BackoffLimits, Cause, Commit, Key, Settle, SettleAction, SettleEvent, Settled, StoreError,
    Transaction,
};
use azurestand_types::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fake::Fake;

fn key(raw: &str) -> Key {
    Key::try_from(raw).unwrap()
}

/// Appends a letter to the document on the condition that its version is unchanged.
fn append(fake: &Fake, letter: char) -> Transaction {
    let document = key("document");
    let found = fake.read(&document).unwrap();
    let mut text = String::from_utf8(found.value.to_vec()).unwrap();
    text.push(letter);
    let marker = key(&format!("changes/{letter}"));
    Transaction::new()
        .when_unchanged(document.clone(), found.version)
        .when_absent(marker.clone())
        .put(document, text)
        .put(marker, "")
}

fn store() -> Fake {
    let mut fake = Fake::new();
    let first = Transaction::new().put(key("document"), "");
    assert!(matches!(fake.commit(&first), Commit::Applied { .. }));
    fake
}

fn text(fake: &Fake) -> String {
    let found = fake.read(&key("document")).unwrap();
    String::from_utf8(found.value.to_vec()).unwrap()
}

/// The fate of one call in the network.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// The caller gets no answer, and it takes effect some calls later.
    Late(usize),
    /// Another writer comes first.
    Overtaken,
    /// The store rejects it because of its rate limit.
    Throttled,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        2 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        2 => (1_usize..4).prop_map(Fate::Late),
        1 => Just(Fate::Overtaken),
        1 => Just(Fate::Throttled),
    ]
}

struct Simulation {
    fake: Fake,
    late: Vec<(usize, Transaction)>,
    calls: usize,
    others: u32,
}

impl Simulation {
    /// Counts one call and applies the delayed transactions that are due.
    fn turn(&mut self) {
        self.calls += 1;
        let calls = self.calls;
        let (due, rest) = self.late.drain(..).partition(|(at, _)| *at <= calls);
        self.late = rest;
        let due: Vec<(usize, Transaction)> = due;
        for (_, transaction) in due {
            let _ = self.fake.commit(&transaction);
        }
    }

    fn commit(&mut self, transaction: &Transaction, fate: Fate) -> Commit {
        self.turn();
        match fate {
            Fate::Answered => self.fake.commit(transaction),
            Fate::AnswerLost => {
                let _ = self.fake.commit(transaction);
                Commit::Unknown
            }
            Fate::Lost => Commit::Unknown,
            Fate::Late(calls) => {
                self.late.push((self.calls + calls, transaction.clone()));
                Commit::Unknown
            }
            Fate::Overtaken => {
                let other = append(&self.fake, char::from_digit(self.others % 10, 10).unwrap());
                self.others += 1;
                let _ = self.fake.commit(&other);
                self.fake.commit(transaction)
            }
            Fate::Throttled => Commit::NotApplied(Cause::Throttled),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(32), cases: 2_000, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any losses, delays and races the outcome stays true, even when a copy of
    /// the transaction arrives after it was reported.
    #[test]
    fn the_reported_outcome_stays_true(fates in prop::collection::vec(fate(), 0..12)) {
        let mut simulation = Simulation { fake: store(), late: Vec::new(), calls: 0, others: 0 };
        let transaction = append(&simulation.fake, 'x');
        let marker = key("changes/x");
        let deadline = Moment::from_millis(60_000);
        let (mut settle, mut action) = Settle::new(deadline, BackoffLimits::default(), 5);
        let mut fates = fates.into_iter();
        let mut now = Moment::START;
        let settled = loop {
            let event = match action {
                SettleAction::Commit => {
                    let fate = fates.next().unwrap_or(Fate::Answered);
                    SettleEvent::Committed(simulation.commit(&transaction, fate))
                }
                SettleAction::ReadMarker => {
                    simulation.turn();
                    let lost = matches!(fates.next(), Some(Fate::Lost));
                    let found = if lost { Err(StoreError::Broken) } else { Ok(simulation.fake.read(&marker)) };
                    SettleEvent::MarkerRead(found)
                }
                SettleAction::Wait(span) => {
                    now = now + span;
                    SettleEvent::Tick
                }
                SettleAction::Finish(settled) => break settled,
            };
            action = settle.step(now, event);
        };
        for _ in 0..5 {
            simulation.turn();
        }
        let count = text(&simulation.fake).matches('x').count();
        match settled {
            Settled::Applied { version } => {
                prop_assert_eq!(count, 1);
                prop_assert_eq!(simulation.fake.read(&marker).unwrap().version, version);
            }
            Settled::NotApplied(_) => prop_assert_eq!(count, 0),
            Settled::Undecided => prop_assert!(count <= 1),
        }
    }
}

/// Two editors race over 1,000 schedules; both changes apply, each once.
#[test]
fn two_racing_editors_lose_and_duplicate_no_change() {
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fake = store();
        let mut drafts = [None, None];
        let mut done = [false, false];
        while !done.iter().all(|done| *done) {
            let who = rng.usize(..2);
            if done[who] {
                continue;
            }
            let letter = ['a', 'b'][who];
            match drafts[who].take() {
                None => drafts[who] = Some(append(&fake, letter)),
                Some(draft) => match fake.commit(&draft) {
                    Commit::Applied { .. } => done[who] = true,
                    Commit::NotApplied(cause) => assert_eq!(cause, Cause::Conflict),
                    Commit::Unknown => unreachable!("the fake always answers"),
                },
            }
        }
        let mut letters: Vec<_> = text(&fake).chars().collect();
        letters.sort_unstable();
        assert_eq!(letters, ['a', 'b'], "seed {seed}");
    }
}

#[test]
fn an_outage_to_the_deadline_leaves_it_undecided_only_when_something_was_sent() {
    let verdict = |commit: Commit| {
        let deadline = Moment::from_millis(1_000);
        let (mut settle, _) = Settle::new(deadline, BackoffLimits::default(), 1);
        let mut now = Moment::START;
        let mut event = SettleEvent::Committed(commit);
        loop {
            match settle.step(now, event) {
                SettleAction::Commit => event = SettleEvent::Committed(commit),
                SettleAction::ReadMarker => {
                    event = SettleEvent::MarkerRead(Err(StoreError::Unreachable));
                }
                SettleAction::Wait(span) => {
                    now = now + span.max(Duration::from_millis(1));
                    event = SettleEvent::Tick;
                }
                SettleAction::Finish(settled) => return settled,
            }
        }
    };
    assert_eq!(verdict(Commit::Unknown), Settled::Undecided);
    assert_eq!(
        verdict(Commit::NotApplied(Cause::NotSent)),
        Settled::NotApplied(Cause::NotSent)
    );
}
