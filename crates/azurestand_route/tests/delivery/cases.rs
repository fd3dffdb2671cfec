//! Regression tests, one for each fault that was found.

use azurestand_route::{Attempt, Delivery, DeliveryAction, DeliveryEvent, RetryBudget};
use azurestand_types::{Outcome, Refusal, Uncertainty};

use crate::world::choice;

fn sent(idempotent: bool) -> (Delivery, RetryBudget) {
    let mut budget = RetryBudget::new(0.1);
    let mut delivery = Delivery::new(idempotent);
    delivery.handle(DeliveryEvent::Chosen(choice(0)), &mut budget);
    (delivery, budget)
}

/// The first target may have run it; the lack of room at the others doesn't change
/// that.
#[test]
fn a_request_that_may_have_run_is_never_called_not_run() {
    let (mut delivery, mut budget) = sent(true);
    let failed = DeliveryEvent::Failed(Uncertainty::Unreachable);
    let actions = delivery.handle(failed, &mut budget);
    assert_eq!(actions.last(), Some(&DeliveryAction::Choose));
    let actions = delivery.handle(DeliveryEvent::NoTarget(Refusal::Busy), &mut budget);
    let outcome = Outcome::Unknown(Uncertainty::Unreachable);
    assert_eq!(actions, [DeliveryAction::Finish(outcome)]);
}

/// The same refusal arrived on the old link and on the new one.
#[test]
fn a_repeated_refusal_does_not_count_for_the_next_target() {
    let (mut delivery, mut budget) = sent(false);
    let refused = DeliveryEvent::Refused(Refusal::Busy);
    delivery.handle_answer(Attempt(1), refused.clone(), &mut budget);
    delivery.handle(DeliveryEvent::Chosen(choice(1)), &mut budget);
    assert_eq!(delivery.attempt(), Attempt(2));
    let actions = delivery.handle_answer(Attempt(1), refused, &mut budget);
    assert!(actions.is_empty(), "the second target runs it now");
    assert!(!delivery.is_done());
}

/// The head of an abandoned answer must not precede another answer's body.
#[test]
fn a_late_head_of_an_earlier_target_is_dropped() {
    let (mut delivery, mut budget) = sent(true);
    let failed = DeliveryEvent::Failed(Uncertainty::Unreachable);
    delivery.handle_answer(Attempt(1), failed, &mut budget);
    let actions = delivery.handle_answer(Attempt(1), DeliveryEvent::HeadReceived, &mut budget);
    assert!(actions.is_empty() && !delivery.has_begun());
}

/// The cancel needs the target's name, so the choice must be kept.
#[test]
fn a_cancel_goes_to_the_abandoned_target() {
    let (mut delivery, mut budget) = sent(true);
    let failed = DeliveryEvent::Failed(Uncertainty::Unreachable);
    let actions = delivery.handle(failed, &mut budget);
    assert_eq!(actions[0], DeliveryAction::Cancel);
    assert_eq!(delivery.choice(), Some(&choice(0)));
}

/// A resumed delivery doesn't have the request, so another target would get an empty
/// one.
#[test]
fn a_refused_resumption_is_not_sent_to_another_target() {
    let mut budget = RetryBudget::new(0.1);
    let refused = DeliveryEvent::Refused(Refusal::Draining);
    let mut delivery = Delivery::resumed(choice(0), 0);
    let actions = delivery.handle(refused.clone(), &mut budget);
    let outcome = Outcome::NotRun(Refusal::Draining);
    assert_eq!(actions, [DeliveryAction::Finish(outcome)]);
    let mut later = Delivery::resumed(choice(0), 10);
    let actions = later.handle(refused, &mut budget);
    let outcome = Outcome::Unknown(Uncertainty::TargetFailed);
    assert_eq!(actions, [DeliveryAction::Finish(outcome)]);
}
