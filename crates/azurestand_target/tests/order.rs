//! Load orders: leases, fencing, lost answers, permits, crashes and new
//! versions.

use std::time::Duration;

use azurestand_target::{
    EngineState, Order, OrderAction, OrderEvent, OrderPhase, OrderReply, OrderSettings, Orders,
    Verified, VerifyError,
};
use azurestand_types::{BootId, Digest, Fence, Moment};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LEASE: Duration = Duration::from_secs(5);
const LOAD: Duration = Duration::from_secs(4);

fn verified(version: u8) -> Verified {
    let chunks = [Digest::of(b"a"), Digest::of(b"b")];
    let manifest = [version];
    Verified::check(Digest::of(&manifest), &manifest, &chunks, chunks).unwrap()
}

fn digest(version: u8) -> Digest {
    verified(version).digest()
}

fn settings(fenced: bool) -> OrderSettings {
    OrderSettings {
        fenced,
        max_delay: Duration::from_secs(3),
        query_interval: Duration::from_millis(500),
        ..OrderSettings::default()
    }
}

/// An engine that records its orders and checks that no old order takes effect.
#[derive(Default)]
struct Engine {
    fenced: bool,
    boot: u64,
    serves: Option<Digest>,
    loading: Option<(Digest, Moment)>,
    fence: Fence,
    orders: Vec<Order>,
}

impl Engine {
    fn receive(&mut self, now: Moment, order: Order) -> OrderReply {
        if self.fenced && order.fence < self.fence {
            return OrderReply::OldFence;
        }
        assert!(
            order.fence >= self.fence,
            "an order of an earlier holder took effect"
        );
        self.fence = order.fence;
        self.orders.push(order);
        self.serves = None;
        self.loading = Some((order.digest, now + LOAD));
        OrderReply::Accepted
    }

    fn advance(&mut self, now: Moment) {
        if let Some((digest, end)) = self.loading
            && end <= now
        {
            self.serves = Some(digest);
            self.loading = None;
        }
    }

    fn crash(&mut self) {
        self.boot += 1;
        self.serves = None;
        self.loading = None;
    }

    fn state(&self, queried_at: Moment) -> EngineState {
        EngineState {
            boot: BootId(self.boot),
            digest: self.serves,
            loading: self.loading.map(|(digest, _)| digest),
            queried_at,
        }
    }
}

/// One agent's orders and the engine that they go to.
struct Harness {
    orders: Orders,
    engine: Engine,
    now: Moment,
    sent: Vec<Order>,
    actions: Vec<OrderAction>,
    permits: bool,
    drains: bool,
    lost: bool,
}

impl Harness {
    fn new(fenced: bool) -> Self {
        let mut harness = Self {
            orders: Orders::new(settings(fenced)),
            engine: Engine {
                fenced,
                boot: 1,
                ..Engine::default()
            },
            now: Moment::START,
            sent: Vec::new(),
            actions: Vec::new(),
            permits: true,
            drains: true,
            lost: false,
        };
        harness.hold(1, None);
        harness
    }

    fn serving(version: u8) -> Self {
        let mut harness = Self::new(true);
        harness.send(OrderEvent::Want(verified(version)));
        harness.advance(6_000);
        assert_eq!(harness.engine.serves, Some(digest(version)));
        assert_eq!(harness.orders.phase(), OrderPhase::Settled);
        harness.actions.clear();
        harness
    }

    fn hold(&mut self, fence: u64, prior: Option<Duration>) {
        let until = self.now + LEASE;
        self.send(OrderEvent::LeaseHeld {
            fence: Fence(fence),
            until,
            prior,
        });
    }

    fn send(&mut self, event: OrderEvent) {
        for action in self.orders.handle(self.now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: OrderAction) {
        self.actions.push(action);
        match action {
            OrderAction::Send(order) => self.sent.push(order),
            OrderAction::QueryState => self.send(OrderEvent::Engine(self.engine.state(self.now))),
            OrderAction::TakePermit if self.permits => {
                self.send(OrderEvent::PermitHeld(self.now + Duration::from_mins(1)));
            }
            OrderAction::Drain if self.drains => self.send(OrderEvent::Drained),
            _ => {}
        }
    }

    /// Delivers the pending orders to the engine.
    fn deliver(&mut self) {
        for order in std::mem::take(&mut self.sent) {
            let reply = if order.may_send(self.now) {
                self.engine.receive(self.now, order)
            } else {
                OrderReply::NotSent
            };
            let reply = if self.lost { OrderReply::Lost } else { reply };
            self.send(OrderEvent::Replied(order.number, reply));
        }
    }

    /// Lets time pass while the lease is renewed.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.engine.advance(self.now);
            if self.orders.wanted().is_some() {
                self.hold(1, None);
            }
            self.deliver();
        }
    }

    fn count(&self, wanted: OrderAction) -> usize {
        self.actions
            .iter()
            .filter(|action| **action == wanted)
            .count()
    }
}

#[test]
fn a_first_load_needs_no_permit() {
    let mut harness = Harness::new(false);
    harness.send(OrderEvent::Want(verified(1)));
    harness.advance(6_000);
    assert_eq!(harness.engine.serves, Some(digest(1)));
    assert_eq!(harness.engine.orders.len(), 1);
    assert_eq!(harness.count(OrderAction::TakePermit), 0);
    assert_eq!(harness.count(OrderAction::Drain), 0);
}

#[test]
fn a_new_version_drains_under_a_permit_and_returns_it() {
    let mut harness = Harness::serving(1);
    harness.send(OrderEvent::Want(verified(2)));
    harness.advance(6_000);
    assert_eq!(harness.engine.serves, Some(digest(2)));
    let wanted = [
        OrderAction::TakePermit,
        OrderAction::Drain,
        OrderAction::Reopen,
        OrderAction::ReturnPermit,
    ];
    assert!(wanted.iter().all(|action| harness.count(*action) == 1));
}

#[test]
fn a_target_without_a_permit_keeps_serving() {
    let mut harness = Harness::serving(1);
    harness.permits = false;
    harness.send(OrderEvent::Want(verified(2)));
    harness.advance(6_000);
    assert_eq!(harness.engine.serves, Some(digest(1)));
    assert_eq!(harness.count(OrderAction::Drain), 0);
    assert_eq!(harness.orders.phase(), OrderPhase::Blocked);
}

#[test]
fn a_permit_lost_while_draining_reopens_the_target() {
    let mut harness = Harness::serving(1);
    harness.drains = false;
    harness.send(OrderEvent::Want(verified(2)));
    harness.send(OrderEvent::Tick);
    assert!(harness.sent.is_empty(), "requests still run");
    harness.permits = false;
    harness.send(OrderEvent::PermitLost);
    assert_eq!(harness.count(OrderAction::Reopen), 1);
    harness.send(OrderEvent::Drained);
    assert!(
        harness.sent.is_empty(),
        "a late end of draining sends no order"
    );
}

#[test]
fn a_lost_lease_while_draining_reopens_the_target() {
    let mut harness = Harness::serving(1);
    harness.drains = false;
    harness.send(OrderEvent::Want(verified(2)));
    assert_eq!(harness.count(OrderAction::Drain), 1);
    harness.send(OrderEvent::LeaseLost);
    assert_eq!(harness.count(OrderAction::Reopen), 1);
    harness.send(OrderEvent::Drained);
    assert!(
        harness.sent.is_empty(),
        "a late end of draining sends no order"
    );
}

#[test]
fn a_holder_paused_beyond_its_lease_sends_nothing() {
    let mut harness = Harness::new(false);
    harness.send(OrderEvent::Want(verified(1)));
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    assert_eq!(harness.sent.len(), 1);
    // Paused between the decision and the send.
    harness.now = harness.now + LEASE;
    harness.deliver();
    assert!(harness.engine.orders.is_empty());
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    harness.send(OrderEvent::Tick);
    assert!(harness.sent.is_empty(), "no order is sent without a lease");
}

#[test]
fn an_unfenced_engine_gets_no_order_until_the_earlier_holders_orders_have_expired() {
    for (fenced, wait) in [(false, 8_000), (true, 0)] {
        let mut harness = Harness::new(fenced);
        harness.send(OrderEvent::LeaseLost);
        harness.hold(3, Some(LEASE));
        harness.send(OrderEvent::Want(verified(1)));
        let mut waited = 0;
        while harness.sent.is_empty() {
            harness.now = harness.now + Duration::from_millis(100);
            waited += 100;
            harness.hold(3, None);
            assert!(waited < 20_000, "no order at all");
        }
        assert!((wait..=wait + 600).contains(&waited), "{waited} ms");
    }
}

#[test]
fn the_engine_is_queried_for_an_earlier_holders_load_before_the_first_order() {
    let mut harness = Harness::new(false);
    harness.hold(3, Some(LEASE));
    harness.send(OrderEvent::Want(verified(1)));
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    // The earlier holder's last order takes effect while this process waits.
    harness.engine.loading = Some((digest(1), harness.now + LOAD));
    harness.now = harness.now + LEASE + settings(false).max_delay;
    harness.engine.advance(harness.now);
    harness.hold(3, None);
    harness.deliver();
    assert!(harness.engine.orders.is_empty());
    assert_eq!(harness.orders.phase(), OrderPhase::Settled);
}

#[test]
fn a_lease_reacquired_without_another_holder_in_between_needs_no_wait() {
    for (fence, orders) in [(2, 1), (3, 0)] {
        let mut harness = Harness::new(false);
        harness.send(OrderEvent::LeaseLost);
        harness.hold(fence, Some(LEASE));
        harness.send(OrderEvent::Want(verified(1)));
        harness.now = harness.now + settings(false).query_interval;
        harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
        assert_eq!(harness.sent.len(), orders);
    }
}

#[test]
fn a_late_answer_with_an_old_fence_grants_no_lease() {
    let mut harness = Harness::new(true);
    harness.hold(3, None);
    harness.send(OrderEvent::LeaseLost);
    harness.hold(2, None);
    harness.send(OrderEvent::Want(verified(1)));
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    assert!(harness.sent.is_empty());
}

#[test]
fn a_lost_answer_is_resolved_by_querying_the_engine() {
    let mut harness = Harness::new(true);
    harness.lost = true;
    harness.send(OrderEvent::Want(verified(1)));
    harness.advance(6_000);
    assert_eq!(
        harness.engine.orders.len(),
        1,
        "the order took effect, so it isn't repeated"
    );
    assert_eq!(harness.engine.serves, Some(digest(1)));
    assert_eq!(harness.orders.phase(), OrderPhase::Settled);
}

#[test]
fn a_lost_order_is_repeated_only_after_it_has_expired() {
    let mut harness = Harness::new(true);
    harness.send(OrderEvent::Want(verified(1)));
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    let order = harness.sent.pop().unwrap();
    harness.send(OrderEvent::Replied(order.number, OrderReply::Lost));
    for _ in 0..29 {
        harness.now = harness.now + Duration::from_millis(100);
        harness.hold(1, None);
        assert!(harness.sent.is_empty());
    }
    harness.advance(6_000);
    assert_eq!(harness.engine.serves, Some(digest(1)));
}

#[test]
fn a_load_is_retried_after_an_engine_crash() {
    let mut harness = Harness::serving(1);
    harness.send(OrderEvent::Want(verified(2)));
    harness.advance(1_000);
    harness.engine.crash();
    harness.advance(1_000);
    let failed = OrderAction::Failed {
        digest: digest(2),
        times: 1,
    };
    assert_eq!(harness.count(failed), 1);
    assert_eq!(
        harness.engine.orders.len(),
        2,
        "there is a pause before the next attempt"
    );
    harness.advance(8_000);
    assert_eq!(harness.engine.serves, Some(digest(2)));
    assert_eq!(
        harness.count(OrderAction::TakePermit),
        1,
        "the permit was kept"
    );
}

#[test]
fn the_newest_version_is_loaded_after_one_superseded_during_its_load() {
    let mut harness = Harness::serving(1);
    harness.send(OrderEvent::Want(verified(2)));
    harness.advance(1_000);
    harness.send(OrderEvent::Want(verified(3)));
    harness.advance(12_000);
    let loaded: Vec<_> = harness
        .engine
        .orders
        .iter()
        .map(|order| order.digest)
        .collect();
    assert_eq!(loaded, [digest(1), digest(2), digest(3)]);
    assert_eq!(
        harness.count(OrderAction::Reopen),
        1,
        "no requests run on the superseded version"
    );
}

#[test]
fn a_roll_back_loads_the_old_version_again() {
    let mut harness = Harness::serving(1);
    harness.send(OrderEvent::Want(verified(2)));
    harness.advance(6_000);
    harness.send(OrderEvent::Want(verified(1)));
    harness.advance(6_000);
    assert_eq!(harness.engine.serves, Some(digest(1)));
}

#[test]
fn an_order_refused_for_an_old_fence_ends_the_lease() {
    let mut harness = Harness::new(true);
    harness.engine.fence = Fence(5);
    harness.send(OrderEvent::Want(verified(1)));
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    harness.deliver();
    harness.send(OrderEvent::Tick);
    assert!(harness.sent.is_empty() && harness.engine.orders.is_empty());
    harness.hold(6, None);
    harness.send(OrderEvent::Engine(harness.engine.state(harness.now)));
    harness.deliver();
    assert_eq!(harness.engine.orders.len(), 1);
}

#[test]
fn only_complete_weights_are_verified() {
    let chunks = [Digest::of(b"a"), Digest::of(b"b")];
    let mixed = [Digest::of(b"a"), Digest::of(b"c")];
    let named = Digest::of(b"manifest");
    let check = |manifest: &[u8], staged: &[Digest]| {
        Verified::check(named, manifest, &chunks, staged.iter().copied())
    };
    assert!(check(b"manifest", &chunks).is_ok());
    assert!(matches!(
        check(b"other", &chunks),
        Err(VerifyError::Manifest(..))
    ));
    assert_eq!(check(b"manifest", &mixed), Err(VerifyError::Chunk(1)));
    assert_eq!(
        check(b"manifest", &chunks[..1]),
        Err(VerifyError::Count(2, 1))
    );
}

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Want(u8),
    Hold(usize),
    Renew(usize),
    Pause(usize, bool),
    Deliver(usize, bool),
    Crash,
    Permit(usize, bool),
    /// The lease of one holder ends, paused or not, and the other holder
    /// acquires it.
    TakeOver(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let holder = 0_usize..2;
    prop_oneof![
        8 => (100_u64..3_000).prop_map(Step::Pass),
        2 => (1_u8..4).prop_map(Step::Want),
        2 => holder.clone().prop_map(Step::Hold),
        4 => holder.clone().prop_map(Step::Renew),
        2 => (holder.clone(), any::<bool>()).prop_map(|(holder, on)| Step::Pause(holder, on)),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(n, lost)| Step::Deliver(n, lost)),
        3 => (holder.clone(), any::<bool>()).prop_map(|(holder, on)| Step::TakeOver(holder, on)),
        1 => Just(Step::Crash),
        1 => (holder, any::<bool>()).prop_map(|(holder, on)| Step::Permit(holder, on)),
    ]
}

/// Two processes that may both consider themselves holders of the lease at the
/// same time.
struct CompetingHolders {
    orders: [Orders; 2],
    paused: [bool; 2],
    engine: Engine,
    now: Moment,
    /// The lease in the store: holder, fence and end.
    lease: Option<(usize, Fence, Moment)>,
    last_fence: u64,
    /// Orders that were decided, and sent if a send time is set.
    in_flight: Vec<(usize, Order, Option<Moment>)>,
}

impl CompetingHolders {
    fn send(&mut self, holder: usize, event: OrderEvent) {
        if self.paused[holder] {
            return;
        }
        for action in self.orders[holder].handle(self.now, event) {
            match action {
                OrderAction::Send(order) => self.in_flight.push((holder, order, None)),
                OrderAction::QueryState => {
                    let state = self.engine.state(self.now);
                    self.send(holder, OrderEvent::Engine(state));
                }
                OrderAction::TakePermit => {
                    let until = self.now + Duration::from_secs(30);
                    self.send(holder, OrderEvent::PermitHeld(until));
                }
                OrderAction::Drain => self.send(holder, OrderEvent::Drained),
                _ => {}
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..=millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.engine.advance(self.now);
            for holder in 0..2 {
                // The agent queries its engine regularly, for load reports.
                let state = self.engine.state(self.now);
                self.send(holder, OrderEvent::Engine(state));
                self.send_pending(holder);
            }
            // A sent order takes effect within `OrderSettings::max_delay` or
            // never.
            let now = self.now;
            self.in_flight.retain(|(_, _, sent)| {
                sent.is_none_or(|at| now.since(at) < Duration::from_secs(3))
            });
        }
    }

    /// Sends the decided orders of a process that isn't paused, after the final
    /// check.
    fn send_pending(&mut self, holder: usize) {
        if self.paused[holder] {
            return;
        }
        let mut refused = Vec::new();
        let now = self.now;
        self.in_flight.retain_mut(|(of, order, sent)| {
            if *of != holder || sent.is_some() {
                return true;
            }
            *sent = Some(now);
            if !order.may_send(now) {
                refused.push(order.number);
            }
            order.may_send(now)
        });
        for number in refused {
            self.send(holder, OrderEvent::Replied(number, OrderReply::NotSent));
        }
    }

    fn hold(&mut self, holder: usize) {
        let free = self.lease.is_none_or(|(_, _, end)| end <= self.now);
        if !free || self.paused[holder] {
            return;
        }
        self.last_fence += 1;
        let fence = Fence(self.last_fence);
        let prior = self.lease.map(|_| LEASE);
        let until = self.now + LEASE;
        self.lease = Some((holder, fence, until));
        let event = OrderEvent::LeaseHeld {
            fence,
            until,
            prior,
        };
        self.send(holder, event);
    }

    fn renew(&mut self, holder: usize) {
        if let Some((of, fence, end)) = &mut self.lease
            && *of == holder
            && *end > self.now
            && !self.paused[holder]
        {
            *end = self.now + LEASE;
            let event = OrderEvent::LeaseHeld {
                fence: *fence,
                until: *end,
                prior: None,
            };
            self.send(holder, event);
        }
    }

    fn deliver(&mut self, n: usize, lost: bool) {
        let sent: Vec<_> = (0..self.in_flight.len())
            .filter(|index| self.in_flight[*index].2.is_some())
            .collect();
        if sent.is_empty() {
            return;
        }
        let (holder, order, _) = self.in_flight.remove(sent[n % sent.len()]);
        // The engine asserts that no order of an earlier holder takes effect.
        let reply = self.engine.receive(self.now, order);
        let reply = if lost { OrderReply::Lost } else { reply };
        self.send(holder, OrderEvent::Replied(order.number, reply));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(51),
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_earlier_holders_order_takes_effect_and_the_newest_version_is_finally_served(
        fenced in any::<bool>(),
        steps in vec(step(), 1..150),
    ) {
        let mut holders = CompetingHolders {
            orders: [0, 1].map(|_| Orders::new(settings(fenced))),
            paused: [false; 2],
            engine: Engine { fenced, boot: 1, ..Engine::default() },
            now: Moment::START,
            lease: None,
            last_fence: 0,
            in_flight: Vec::new(),
        };
        let mut wanted = 1;
        for step in steps {
            match step {
                Step::Pass(millis) => holders.advance(millis),
                Step::Want(version) => wanted = version,
                Step::Hold(holder) => holders.hold(holder),
                Step::Renew(holder) => holders.renew(holder),
                Step::Pause(holder, on) => holders.paused[holder] = on,
                Step::Deliver(n, lost) => holders.deliver(n, lost),
                Step::TakeOver(holder, paused) => {
                    holders.paused[1 - holder] = paused;
                    holders.advance(5_000);
                    holders.hold(holder);
                }
                Step::Crash => holders.engine.crash(),
                Step::Permit(holder, true) => {
                    let until = holders.now + Duration::from_secs(5);
                    holders.send(holder, OrderEvent::PermitHeld(until));
                }
                Step::Permit(holder, false) => holders.send(holder, OrderEvent::PermitLost),
            }
            for holder in 0..2 {
                holders.send(holder, OrderEvent::Want(verified(wanted)));
            }
        }
        // The faults end, and the first process holds the lease from now on.
        holders.paused = [false, true];
        holders.send(0, OrderEvent::Want(verified(wanted)));
        holders.advance(6_000);
        for _ in 0..1_500 {
            holders.hold(0);
            holders.renew(0);
            holders.advance(0);
            holders.deliver(0, false);
        }
        prop_assert_eq!(holders.engine.serves, Some(digest(wanted)));
    }
}
