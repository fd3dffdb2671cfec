//! Faults that were found, each by the harm that it did.

use azurestand_route::{Attempt, Delivery, DeliveryAction, DeliveryEvent, RetryBudget};
use azurestand_types::{Outcome, Refusal, Uncertainty};

use crate::world::choice;

fn sent(idempotent: bool) -> (Delivery, RetryBudget) {
    let mut budget = RetryBudget::new(0.1);
    let mut delivery = Delivery::new(idempotent);
    delivery.handle(DeliveryEvent::Chosen(choice(0)), &mut budget);
    (delivery, budget)
}

/// The first target may have run it; that the others have no room changes nothing.
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

/// The same refusal came on the old link and on the new one.
#[test]
fn a_repeated_refusal_does_not_speak_for_the_next_target() {
    let (mut delivery, mut budget) = sent(false);
    let refused = DeliveryEvent::Refused(Refusal::Busy);
    delivery.answer(Attempt(1), refused.clone(), &mut budget);
    delivery.handle(DeliveryEvent::Chosen(choice(1)), &mut budget);
    assert_eq!(delivery.attempt(), Attempt(2));
    let actions = delivery.answer(Attempt(1), refused, &mut budget);
    assert!(actions.is_empty(), "the second target runs it now");
    assert!(!delivery.is_done());
}

/// The head of an answer that was given up must not stand before another body.
#[test]
fn a_late_head_of_an_earlier_target_is_dropped() {
    let (mut delivery, mut budget) = sent(true);
    let failed = DeliveryEvent::Failed(Uncertainty::Unreachable);
    delivery.answer(Attempt(1), failed, &mut budget);
    let actions = delivery.answer(Attempt(1), DeliveryEvent::Began, &mut budget);
    assert!(actions.is_empty() && !delivery.has_begun());
}

/// A cancel without a target's name reaches nobody.
#[test]
fn a_cancel_goes_to_the_target_that_was_given_up() {
    let (mut delivery, mut budget) = sent(true);
    let failed = DeliveryEvent::Failed(Uncertainty::Unreachable);
    let actions = delivery.handle(failed, &mut budget);
    assert_eq!(actions[0], DeliveryAction::Cancel);
    assert_eq!(delivery.choice(), Some(&choice(0)));
}

/// Whoever takes an answer up has no request, so an empty one would go to the next target.
#[test]
fn a_refused_take_up_is_sent_nowhere_else() {
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
