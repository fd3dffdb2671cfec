//! Orders: leases, fencing, lost answers, permits, crashes and new versions.

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
        longest: Duration::from_secs(3),
        ask: Duration::from_millis(500),
        ..OrderSettings::default()
    }
}

/// An engine that counts and checks what it is told.
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
    fn take(&mut self, now: Moment, order: Order) -> OrderReply {
        if self.fenced && order.fence < self.fence {
            return OrderReply::OldFence;
        }
        assert!(
            order.fence >= self.fence,
            "an old holder's order took effect"
        );
        self.fence = order.fence;
        self.orders.push(order);
        self.serves = None;
        self.loading = Some((order.digest, now + LOAD));
        OrderReply::Accepted
    }

    fn pass(&mut self, now: Moment) {
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

    fn state(&self, asked: Moment) -> EngineState {
        EngineState {
            boot: BootId(self.boot),
            digest: self.serves,
            loading: self.loading.map(|(digest, _)| digest),
            asked,
        }
    }
}

/// One agent's orders beside the engine.
struct Bench {
    orders: Orders,
    engine: Engine,
    now: Moment,
    sent: Vec<Order>,
    seen: Vec<OrderAction>,
    permits: bool,
    drains: bool,
    lost: bool,
}

impl Bench {
    fn new(fenced: bool) -> Self {
        let mut bench = Self {
            orders: Orders::new(settings(fenced)),
            engine: Engine {
                fenced,
                boot: 1,
                ..Engine::default()
            },
            now: Moment::START,
            sent: Vec::new(),
            seen: Vec::new(),
            permits: true,
            drains: true,
            lost: false,
        };
        bench.hold(1, None);
        bench
    }

    fn serving(version: u8) -> Self {
        let mut bench = Self::new(true);
        bench.send(OrderEvent::Want(verified(version)));
        bench.pass(6_000);
        assert_eq!(bench.engine.serves, Some(digest(version)));
        assert_eq!(bench.orders.phase(), OrderPhase::Settled);
        bench.seen.clear();
        bench
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
            self.act(action);
        }
    }

    fn act(&mut self, action: OrderAction) {
        self.seen.push(action);
        match action {
            OrderAction::Send(order) => self.sent.push(order),
            OrderAction::Ask => self.send(OrderEvent::Engine(self.engine.state(self.now))),
            OrderAction::TakePermit if self.permits => {
                self.send(OrderEvent::PermitHeld(self.now + Duration::from_mins(1)));
            }
            OrderAction::Drain if self.drains => self.send(OrderEvent::Drained),
            _ => {}
        }
    }

    /// Carries the orders that were decided to the engine.
    fn deliver(&mut self) {
        for order in std::mem::take(&mut self.sent) {
            let reply = if order.may_send(self.now) {
                self.engine.take(self.now, order)
            } else {
                OrderReply::NotSent
            };
            let reply = if self.lost { OrderReply::Lost } else { reply };
            self.send(OrderEvent::Replied(order.number, reply));
        }
    }

    /// Lets time pass while the lease is renewed.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.engine.pass(self.now);
            if self.orders.wanted().is_some() {
                self.hold(1, None);
            }
            self.deliver();
        }
    }

    fn saw(&self, wanted: OrderAction) -> usize {
        self.seen.iter().filter(|action| **action == wanted).count()
    }
}

#[test]
fn a_first_load_takes_no_permit() {
    let mut bench = Bench::new(false);
    bench.send(OrderEvent::Want(verified(1)));
    bench.pass(6_000);
    assert_eq!(bench.engine.serves, Some(digest(1)));
    assert_eq!(bench.engine.orders.len(), 1);
    assert_eq!(bench.saw(OrderAction::TakePermit), 0);
    assert_eq!(bench.saw(OrderAction::Drain), 0);
}

#[test]
fn a_new_version_drains_under_a_permit_and_gives_it_back() {
    let mut bench = Bench::serving(1);
    bench.send(OrderEvent::Want(verified(2)));
    bench.pass(6_000);
    assert_eq!(bench.engine.serves, Some(digest(2)));
    let wanted = [
        OrderAction::TakePermit,
        OrderAction::Drain,
        OrderAction::Reopen,
        OrderAction::ReturnPermit,
    ];
    assert!(wanted.iter().all(|action| bench.saw(*action) == 1));
}

#[test]
fn a_target_without_a_permit_serves_on() {
    let mut bench = Bench::serving(1);
    bench.permits = false;
    bench.send(OrderEvent::Want(verified(2)));
    bench.pass(6_000);
    assert_eq!(bench.engine.serves, Some(digest(1)));
    assert_eq!(bench.saw(OrderAction::Drain), 0);
    assert_eq!(bench.orders.phase(), OrderPhase::Blocked);
}

#[test]
fn a_permit_lost_while_draining_reopens_the_target() {
    let mut bench = Bench::serving(1);
    bench.drains = false;
    bench.send(OrderEvent::Want(verified(2)));
    bench.send(OrderEvent::Tick);
    assert!(bench.sent.is_empty(), "requests still run");
    bench.permits = false;
    bench.send(OrderEvent::PermitLost);
    assert_eq!(bench.saw(OrderAction::Reopen), 1);
    bench.send(OrderEvent::Drained);
    assert!(
        bench.sent.is_empty(),
        "a late end of draining orders nothing"
    );
}

#[test]
fn a_lost_lease_while_draining_reopens_the_target() {
    let mut bench = Bench::serving(1);
    bench.drains = false;
    bench.send(OrderEvent::Want(verified(2)));
    assert_eq!(bench.saw(OrderAction::Drain), 1);
    bench.send(OrderEvent::LeaseLost);
    assert_eq!(bench.saw(OrderAction::Reopen), 1);
    bench.send(OrderEvent::Drained);
    assert!(
        bench.sent.is_empty(),
        "a late end of draining orders nothing"
    );
}

#[test]
fn paused_holder_wakes_after_its_lease() {
    let mut bench = Bench::new(false);
    bench.send(OrderEvent::Want(verified(1)));
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    assert_eq!(bench.sent.len(), 1);
    // Paused between the decision and the send.
    bench.now = bench.now + LEASE;
    bench.deliver();
    assert!(bench.engine.orders.is_empty());
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    bench.send(OrderEvent::Tick);
    assert!(bench.sent.is_empty(), "nothing is ordered without a lease");
}

#[test]
fn engine_that_ignores_fencing_is_left_alone_until_the_last_holder_can_do_nothing_more() {
    for (fenced, wait) in [(false, 8_000), (true, 0)] {
        let mut bench = Bench::new(fenced);
        bench.send(OrderEvent::LeaseLost);
        bench.hold(3, Some(LEASE));
        bench.send(OrderEvent::Want(verified(1)));
        let mut waited = 0;
        while bench.sent.is_empty() {
            bench.now = bench.now + Duration::from_millis(100);
            waited += 100;
            bench.hold(3, None);
            assert!(waited < 20_000, "no order at all");
        }
        assert!((wait..=wait + 600).contains(&waited), "{waited} ms");
    }
}

#[test]
fn what_an_earlier_holder_left_is_looked_up_before_the_first_order() {
    let mut bench = Bench::new(false);
    bench.hold(3, Some(LEASE));
    bench.send(OrderEvent::Want(verified(1)));
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    // The earlier holder's last order takes effect while this one waits.
    bench.engine.loading = Some((digest(1), bench.now + LOAD));
    bench.now = bench.now + LEASE + settings(false).longest;
    bench.engine.pass(bench.now);
    bench.hold(3, None);
    bench.deliver();
    assert!(bench.engine.orders.is_empty());
    assert_eq!(bench.orders.phase(), OrderPhase::Settled);
}

#[test]
fn a_lease_taken_again_with_nobody_in_between_needs_no_wait() {
    for (fence, orders) in [(2, 1), (3, 0)] {
        let mut bench = Bench::new(false);
        bench.send(OrderEvent::LeaseLost);
        bench.hold(fence, Some(LEASE));
        bench.send(OrderEvent::Want(verified(1)));
        bench.now = bench.now + settings(false).ask;
        bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
        assert_eq!(bench.sent.len(), orders);
    }
}

#[test]
fn a_late_answer_about_an_old_lease_gives_no_rights() {
    let mut bench = Bench::new(true);
    bench.hold(3, None);
    bench.send(OrderEvent::LeaseLost);
    bench.hold(2, None);
    bench.send(OrderEvent::Want(verified(1)));
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    assert!(bench.sent.is_empty());
}

#[test]
fn lost_answer_is_settled_by_asking() {
    let mut bench = Bench::new(true);
    bench.lost = true;
    bench.send(OrderEvent::Want(verified(1)));
    bench.pass(6_000);
    assert_eq!(
        bench.engine.orders.len(),
        1,
        "the order took effect and isn't repeated"
    );
    assert_eq!(bench.engine.serves, Some(digest(1)));
    assert_eq!(bench.orders.phase(), OrderPhase::Settled);
}

#[test]
fn lost_order_is_repeated_only_once_it_can_take_effect_no_more() {
    let mut bench = Bench::new(true);
    bench.send(OrderEvent::Want(verified(1)));
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    let order = bench.sent.pop().unwrap();
    bench.send(OrderEvent::Replied(order.number, OrderReply::Lost));
    for _ in 0..29 {
        bench.now = bench.now + Duration::from_millis(100);
        bench.hold(1, None);
        assert!(bench.sent.is_empty());
    }
    bench.pass(6_000);
    assert_eq!(bench.engine.serves, Some(digest(1)));
}

#[test]
fn engine_crashes_during_a_load() {
    let mut bench = Bench::serving(1);
    bench.send(OrderEvent::Want(verified(2)));
    bench.pass(1_000);
    bench.engine.crash();
    bench.pass(1_000);
    let failed = OrderAction::Failed {
        digest: digest(2),
        times: 1,
    };
    assert_eq!(bench.saw(failed), 1);
    assert_eq!(
        bench.engine.orders.len(),
        2,
        "it pauses before the next try"
    );
    bench.pass(8_000);
    assert_eq!(bench.engine.serves, Some(digest(2)));
    assert_eq!(bench.saw(OrderAction::TakePermit), 1, "it kept its permit");
}

#[test]
fn a_version_superseded_in_mid_load_is_followed_by_the_newest() {
    let mut bench = Bench::serving(1);
    bench.send(OrderEvent::Want(verified(2)));
    bench.pass(1_000);
    bench.send(OrderEvent::Want(verified(3)));
    bench.pass(12_000);
    let loaded: Vec<_> = bench
        .engine
        .orders
        .iter()
        .map(|order| order.digest)
        .collect();
    assert_eq!(loaded, [digest(1), digest(2), digest(3)]);
    assert_eq!(
        bench.saw(OrderAction::Reopen),
        1,
        "no requests on the superseded one"
    );
}

#[test]
fn a_roll_back_loads_the_old_version_again() {
    let mut bench = Bench::serving(1);
    bench.send(OrderEvent::Want(verified(2)));
    bench.pass(6_000);
    bench.send(OrderEvent::Want(verified(1)));
    bench.pass(6_000);
    assert_eq!(bench.engine.serves, Some(digest(1)));
}

#[test]
fn an_old_fence_ends_the_holders_rights() {
    let mut bench = Bench::new(true);
    bench.engine.fence = Fence(5);
    bench.send(OrderEvent::Want(verified(1)));
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    bench.deliver();
    bench.send(OrderEvent::Tick);
    assert!(bench.sent.is_empty() && bench.engine.orders.is_empty());
    bench.hold(6, None);
    bench.send(OrderEvent::Engine(bench.engine.state(bench.now)));
    bench.deliver();
    assert_eq!(bench.engine.orders.len(), 1);
}

#[test]
fn only_whole_weights_are_verified() {
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
    /// The lease lapses under its holder, paused or not, and the other takes it.
    Usurp(usize, bool),
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
        3 => (holder.clone(), any::<bool>()).prop_map(|(holder, on)| Step::Usurp(holder, on)),
        1 => Just(Step::Crash),
        1 => (holder, any::<bool>()).prop_map(|(holder, on)| Step::Permit(holder, on)),
    ]
}

/// Two processes that both believe at times to hold the lease.
struct Rivals {
    orders: [Orders; 2],
    paused: [bool; 2],
    engine: Engine,
    now: Moment,
    /// The lease in the store: holder, fence and end.
    lease: Option<(usize, Fence, Moment)>,
    fences: u64,
    /// Decided and sent orders on their way, with the moment of sending.
    flight: Vec<(usize, Order, Option<Moment>)>,
}

impl Rivals {
    fn send(&mut self, holder: usize, event: OrderEvent) {
        if self.paused[holder] {
            return;
        }
        for action in self.orders[holder].handle(self.now, event) {
            match action {
                OrderAction::Send(order) => self.flight.push((holder, order, None)),
                OrderAction::Ask => {
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

    fn pass(&mut self, millis: u64) {
        for _ in 0..=millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.engine.pass(self.now);
            for holder in 0..2 {
                // The agent asks its engine anyway, for load reports.
                let state = self.engine.state(self.now);
                self.send(holder, OrderEvent::Engine(state));
                self.depart(holder);
            }
            // A sent order takes effect within the longest order or never.
            let now = self.now;
            self.flight.retain(|(_, _, sent)| {
                sent.is_none_or(|at| now.since(at) < Duration::from_secs(3))
            });
        }
    }

    /// A process that isn't paused sends what it decided, after its last check.
    fn depart(&mut self, holder: usize) {
        if self.paused[holder] {
            return;
        }
        let mut refused = Vec::new();
        let now = self.now;
        self.flight.retain_mut(|(of, order, sent)| {
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
        self.fences += 1;
        let fence = Fence(self.fences);
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
        let sent: Vec<_> = (0..self.flight.len())
            .filter(|index| self.flight[*index].2.is_some())
            .collect();
        if sent.is_empty() {
            return;
        }
        let (holder, order, _) = self.flight.remove(sent[n % sent.len()]);
        // The assertion against an old holder's order is in the engine.
        let reply = self.engine.take(self.now, order);
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
    fn no_old_holders_order_takes_effect_and_the_newest_version_is_served_in_the_end(
        fenced in any::<bool>(),
        steps in vec(step(), 1..150),
    ) {
        let mut world = Rivals {
            orders: [0, 1].map(|_| Orders::new(settings(fenced))),
            paused: [false; 2],
            engine: Engine { fenced, boot: 1, ..Engine::default() },
            now: Moment::START,
            lease: None,
            fences: 0,
            flight: Vec::new(),
        };
        let mut wanted = 1;
        for step in steps {
            match step {
                Step::Pass(millis) => world.pass(millis),
                Step::Want(version) => wanted = version,
                Step::Hold(holder) => world.hold(holder),
                Step::Renew(holder) => world.renew(holder),
                Step::Pause(holder, on) => world.paused[holder] = on,
                Step::Deliver(n, lost) => world.deliver(n, lost),
                Step::Usurp(holder, paused) => {
                    world.paused[1 - holder] = paused;
                    world.pass(5_000);
                    world.hold(holder);
                }
                Step::Crash => world.engine.crash(),
                Step::Permit(holder, true) => {
                    let until = world.now + Duration::from_secs(5);
                    world.send(holder, OrderEvent::PermitHeld(until));
                }
                Step::Permit(holder, false) => world.send(holder, OrderEvent::PermitLost),
            }
            for holder in 0..2 {
                world.send(holder, OrderEvent::Want(verified(wanted)));
            }
        }
        // The faults end, and the first process holds the lease from now on.
        world.paused = [false, true];
        world.send(0, OrderEvent::Want(verified(wanted)));
        world.pass(6_000);
        for _ in 0..1_500 {
            world.hold(0);
            world.renew(0);
            world.pass(0);
            world.deliver(0, false);
        }
        prop_assert_eq!(world.engine.serves, Some(digest(wanted)));
    }
}
