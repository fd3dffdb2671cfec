//! Overload in virtual time: emulated engines that batch by the published figures,
//! entries that place requests, callers that come back once when refused.
//!
//! A pattern of load runs with the entries' own way of placing and with two plain ones
//! beside it. [docs/OVERLOAD.md](../../../docs/OVERLOAD.md) reads the figures.

mod barring;
mod caller;
mod engine;
mod entry;
mod fleet;
mod limited;
mod queue;
mod site;
mod tally;

use std::time::Duration;

use serde::Serialize;

pub use caller::{BASE_CLASSES, Class, LARGE_CLASSES, RANKED_CLASSES};
pub use fleet::run;

/// How an entry finds the target of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Policy {
    /// The entries' own placement, with a short wait and refusals.
    Predicted,
    /// The target with the fewest requests of this entry.
    LeastOwn,
    /// Any target.
    Random,
}

/// All policies, the entries' own first.
pub const POLICIES: [Policy; 3] = [Policy::Predicted, Policy::LeastOwn, Policy::Random];

/// What happens while the load lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Pattern {
    /// Nothing else.
    Steady,
    /// 1.7 times the load for a third of the time.
    Burst,
    /// Three times the load of the least urgent kind for a third of the time.
    LeastUrgentBurst,
    /// Twice the load of the most urgent kind for a third of the time.
    UrgentBurst,
    /// A third of the targets is lost after a third of the time.
    TargetsLost,
    /// A third of the targets comes after a third of the time, cold at first.
    ColdAdded,
    /// One data centre is taken out for a third of the time.
    CentreOut,
    /// All engines load a new version, by turns.
    NewVersion,
    /// A third of the callers come back at once, three times.
    Abuse,
    /// Two thirds of the targets name a rate limit for a third of the time.
    LimitsNamed,
    /// Half of the callers are in one of three data centres.
    Uneven,
    /// A third of the targets turns requests away for a time, one after the other, and a fifth
    /// leaves, which the list tells late.
    TurnedAway,
}

/// All patterns.
pub const PATTERNS: [Pattern; 10] = [
    Pattern::Steady,
    Pattern::Burst,
    Pattern::TargetsLost,
    Pattern::ColdAdded,
    Pattern::CentreOut,
    Pattern::NewVersion,
    Pattern::Abuse,
    Pattern::LimitsNamed,
    Pattern::Uneven,
    Pattern::TurnedAway,
];

/// Patterns of a deployment whose kinds of requests differ in priority.
pub const RANKED_PATTERNS: [Pattern; 2] = [Pattern::LeastUrgentBurst, Pattern::UrgentBurst];

/// How large the emulated deployment is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Size {
    /// 9 entries and 15 engines in three data centres; all know all loads at once.
    Base,
    /// 148 entries and 90 engines in five data centres; loads are reported at intervals.
    Large,
    /// 33 entries and 58 engines in three data centres, whose kinds of requests differ in
    /// priority; loads are reported at intervals.
    Ranked,
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The deployment.
    pub size: Size,
    /// How requests are placed.
    pub policy: Policy,
    /// Whether entries admit requests by their priorities, where these differ.
    pub admits: bool,
    /// What happens.
    pub pattern: Pattern,
    /// The load, as a multiple of the classes' rates.
    pub load: f64,
    /// How long callers come.
    pub time: Duration,
    /// Makes the same plan run the same way.
    pub seed: u64,
}

/// What came of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Callers.
    pub asked: u32,
    /// Answers that began within the aim of their class.
    pub in_aim: u32,
    /// Answers that began later.
    pub late: u32,
    /// Callers that were refused at last.
    pub refused: u32,
    /// Callers that gave up, or whose target was lost.
    pub failed: u32,
    /// What answers were worth, as a part of what all would have been worth.
    pub worth: f64,
    /// The part of the callers that were served, by class.
    pub served: Vec<f64>,
    /// What answers were worth, as a part of what all would have been worth, by class.
    pub earned: Vec<f64>,
    /// The same of the tenth of the callers with the longest prompts.
    pub served_longest: Vec<f64>,
    /// The part of the callers that were served, by data centre.
    pub served_centres: Vec<f64>,
    /// Half of the answers began within this time, in milliseconds.
    pub first_p50: f64,
    /// 99 of 100 answers began within this time, in milliseconds.
    pub first_p99: f64,
    /// The most sends to one cold target in a second.
    pub cold_peak: u32,
    /// The most sends to one target in 4 s, from 3 s after it first named a limit.
    pub limited_peak: u32,
    /// Sends to targets in that time, as a part of what their limits allow.
    pub limited_use: f64,
    /// Sends to targets that had told the same entry that they want nothing.
    pub barred_sends: u32,
}
