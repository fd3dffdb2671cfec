//! Faults drawn from a seed: what breaks, when, and when it is whole again.
//!
//! The plan is pure, so that one seed gives the same faults every time; what
//! the deployment makes of them is judged by the stand-ins' records.

mod drive;

use std::time::Duration;

use crate::{Losses, Plan};

pub use drive::{Driven, Limits, drive};

/// Disturbances in a plan of the full length, beside the taking out of a data centre.
const DISTURBANCES: usize = 14;
const CORRUPT_EVERY: u64 = 5;
const STORE_DELAY: Duration = Duration::from_millis(120);
const LOST_ANSWERS: u32 = 3;
const FAILED_CALLS: u32 = 2;

/// One thing that breaks or is mended. Numbers are places in the deployment's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A model runner's host dies.
    RunnerDies(usize),
    /// It comes back with nothing, under its old name.
    RunnerReturns(usize),
    /// A plain service's host dies.
    BoothDies(usize),
    /// It comes back; its agent remembers nothing.
    BoothReturns(usize),
    /// An entry's host dies.
    EntryDies(usize),
    /// Another takes its place.
    EntryReturns(usize),
    /// Open connections to an engine go silent.
    EngineHangs(usize),
    /// A warm engine is cold again, and its open answers break off.
    EngineCrashes(usize),
    /// Open connections to a service go silent.
    ServiceHangs(usize),
    /// A service loses the answers of its next calls after it ran them.
    ServiceFails(usize),
    /// Downloads from the origin stand still.
    OriginStalls(bool),
    /// Chunks come corrupted.
    Corruption(bool),
    /// The store is down.
    StoreDown(bool),
    /// The store is slow.
    StoreSlow(bool),
    /// Open connections to the store go silent.
    StoreHangs,
    /// The store loses answers of calls that took effect.
    StoreLoses,
    /// Another version is wanted.
    VersionChanges,
    /// The moving data centre is taken out.
    CentreOut,
    /// It is brought back.
    CentreIn,
}

/// A fault and its time since the plan's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultEvent {
    /// When it happens.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Everything that will break, in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultPlan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// When the last fault is mended.
    pub length: Duration,
    /// The faults.
    pub events: Vec<FaultEvent>,
}

impl FaultPlan {
    /// Draws a plan for the deployment `plan` in which all faults are mended after `length`.
    pub fn draw(seed: u64, plan: &Plan, length: Duration) -> Self {
        let mut draw = Draw::new(seed, plan, length);
        draw.centre();
        let first = draw.rng.usize(..KINDS.len());
        for n in 0..DISTURBANCES {
            // Every kind in turn, so that few seeds cover them all.
            draw.disturb(KINDS[(first + n) % KINDS.len()]);
        }
        draw.events.sort_by_key(|event| event.at);
        Self {
            seed,
            length,
            events: draw.events,
        }
    }

    /// How many other versions are wanted in the course of the plan.
    pub fn versions(&self) -> usize {
        let changes = |event: &&FaultEvent| event.fault == Fault::VersionChanges;
        self.events.iter().filter(changes).count()
    }
}

impl Fault {
    /// What the store loses when it loses answers.
    pub(crate) fn losses() -> Losses {
        Losses {
            after_write: LOST_ANSWERS,
            before_write: 1,
            reads: 1,
        }
    }

    pub(crate) fn corrupt_every() -> u64 {
        CORRUPT_EVERY
    }

    pub(crate) fn store_delay() -> Duration {
        STORE_DELAY
    }

    pub(crate) fn failed_calls() -> u32 {
        FAILED_CALLS
    }
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Runner,
    Booth,
    Entry,
    EngineHang,
    EngineCrash,
    ServiceHang,
    ServiceFail,
    Origin,
    Corruption,
    StoreDown,
    StoreSlow,
    StoreHang,
    StoreLoss,
    Version,
}

const KINDS: [Kind; 14] = [
    Kind::Runner,
    Kind::Version,
    Kind::StoreDown,
    Kind::Entry,
    Kind::EngineHang,
    Kind::Corruption,
    Kind::Booth,
    Kind::StoreLoss,
    Kind::EngineCrash,
    Kind::Origin,
    Kind::ServiceFail,
    Kind::StoreSlow,
    Kind::ServiceHang,
    Kind::StoreHang,
];

struct Draw {
    rng: fastrand::Rng,
    length: Duration,
    /// Hosts that have not died yet: each dies at most once, so that no two deaths overlap.
    runners: Vec<usize>,
    booths: Vec<usize>,
    entries: Vec<usize>,
    engines: usize,
    services: usize,
    events: Vec<FaultEvent>,
}

impl Draw {
    fn new(seed: u64, plan: &Plan, length: Duration) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let services = plan.centres.iter();
        let services = services.map(|centre| centre.bookings + centre.clerks).sum();
        let entries = plan.centres.iter().map(|centre| centre.entries).sum();
        let mut shuffled = |count: usize| {
            let mut hosts: Vec<_> = (0..count).collect();
            rng.shuffle(&mut hosts);
            hosts
        };
        Self {
            runners: shuffled(plan.engines()),
            booths: shuffled(services),
            entries: shuffled(entries),
            engines: plan.engines(),
            services,
            rng,
            length,
            events: Vec::new(),
        }
    }

    fn push(&mut self, share: f64, fault: Fault) {
        let at = self.length.mul_f64(share);
        self.events.push(FaultEvent { at, fault });
    }

    fn once(&mut self, fault: Fault) {
        let share = 0.05 + 0.85 * self.rng.f64();
        self.push(share, fault);
    }

    fn span(&mut self, begin: Fault, end: Fault) {
        let start = 0.05 + 0.6 * self.rng.f64();
        let stop = start + 0.1 + 0.2 * self.rng.f64();
        self.push(start, begin);
        self.push(stop, end);
    }

    /// The data centre stays out long enough to see whether work still comes.
    fn centre(&mut self) {
        let start = 0.1 + 0.2 * self.rng.f64();
        self.push(start, Fault::CentreOut);
        self.push(start + 0.6, Fault::CentreIn);
    }

    fn disturb(&mut self, kind: Kind) {
        match kind {
            Kind::Runner => {
                if let Some(n) = self.runners.pop() {
                    self.span(Fault::RunnerDies(n), Fault::RunnerReturns(n));
                }
            }
            Kind::Booth => {
                if let Some(n) = self.booths.pop() {
                    self.span(Fault::BoothDies(n), Fault::BoothReturns(n));
                }
            }
            Kind::Entry => {
                if let Some(n) = self.entries.pop() {
                    self.span(Fault::EntryDies(n), Fault::EntryReturns(n));
                }
            }
            Kind::EngineHang => {
                let n = self.rng.usize(..self.engines);
                self.once(Fault::EngineHangs(n));
            }
            Kind::EngineCrash => {
                let n = self.rng.usize(..self.engines);
                self.once(Fault::EngineCrashes(n));
            }
            Kind::ServiceHang => {
                let n = self.rng.usize(..self.services);
                self.once(Fault::ServiceHangs(n));
            }
            Kind::ServiceFail => {
                let n = self.rng.usize(..self.services);
                self.once(Fault::ServiceFails(n));
            }
            Kind::Origin => self.span(Fault::OriginStalls(true), Fault::OriginStalls(false)),
            Kind::Corruption => self.span(Fault::Corruption(true), Fault::Corruption(false)),
            Kind::StoreDown => self.span(Fault::StoreDown(true), Fault::StoreDown(false)),
            Kind::StoreSlow => self.span(Fault::StoreSlow(true), Fault::StoreSlow(false)),
            Kind::StoreHang => self.once(Fault::StoreHangs),
            Kind::StoreLoss => self.once(Fault::StoreLoses),
            Kind::Version => self.once(Fault::VersionChanges),
        }
    }
}
