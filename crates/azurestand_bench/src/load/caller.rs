//! What callers ask, how long they wait and what an answer is worth to them.

use azurestand_direct::Urgency;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Callers a second.
    pub rate: f64,
    /// The mean prompt, in tokens.
    pub prompt: f64,
    /// The mean answer, in tokens.
    pub answer: f64,
    /// The aim for the first event, in milliseconds.
    pub aim: f64,
    /// What an answer within the aim is worth.
    pub worth: f64,
    /// What a later one is worth.
    pub late: f64,
    /// Its priority; 0 goes first.
    pub priority: u8,
}

impl Class {
    /// Its urgency; no account has a priority of its own.
    pub(super) const fn urgency(&self) -> Urgency {
        Urgency {
            account: self.priority,
            route: self.priority,
        }
    }
}

/// The model requests of one of the users' deployments, for fifteen engines.
pub const BASE_CLASSES: [Class; 3] = [
    Class {
        name: "long",
        rate: 55.7,
        prompt: 1_330.0,
        answer: 144.0,
        aim: 400.0,
        worth: 2.5,
        late: 0.62,
        priority: 1,
    },
    Class {
        name: "middle",
        rate: 39.8,
        prompt: 827.0,
        answer: 144.0,
        aim: 400.0,
        worth: 2.1,
        late: 0.53,
        priority: 1,
    },
    Class {
        name: "short",
        rate: 46.7,
        prompt: 647.0,
        answer: 72.0,
        aim: 300.0,
        worth: 1.3,
        late: 0.33,
        priority: 1,
    },
];

/// The model requests of their large deployment, as many as ninety engines can answer.
pub const LARGE_CLASSES: [Class; 3] = [
    Class {
        name: "long",
        rate: 229.0,
        prompt: 1_330.0,
        answer: 99.0,
        aim: 600.0,
        worth: 2.3,
        late: 0.57,
        priority: 1,
    },
    Class {
        name: "middle",
        rate: 159.0,
        prompt: 827.0,
        answer: 99.0,
        aim: 500.0,
        worth: 2.0,
        late: 0.51,
        priority: 1,
    },
    Class {
        name: "short",
        rate: 148.0,
        prompt: 647.0,
        answer: 70.0,
        aim: 500.0,
        worth: 1.5,
        late: 0.38,
        priority: 1,
    },
];

/// The model requests of a deployment whose kinds differ in priority, somewhat more than its
/// engines can answer. The least urgent kind has the longest aim.
pub const RANKED_CLASSES: [Class; 3] = [
    Class {
        name: "long",
        rate: 211.0,
        prompt: 1_330.0,
        answer: 105.0,
        aim: 1_000.0,
        worth: 1.0,
        late: 0.37,
        priority: 2,
    },
    Class {
        name: "middle",
        rate: 267.0,
        prompt: 827.0,
        answer: 105.0,
        aim: 400.0,
        worth: 3.2,
        late: 0.32,
        priority: 0,
    },
    Class {
        name: "short",
        rate: 147.0,
        prompt: 647.0,
        answer: 70.0,
        aim: 400.0,
        worth: 1.3,
        late: 0.31,
        priority: 1,
    },
];

/// How long a caller waits for the first event, in milliseconds.
pub(super) const PATIENCE_MS: f64 = 2_400.0;
/// Draws larger than this many means are cut.
const MOST_MEANS: f64 = 3.0;

/// One caller on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller {
    pub(super) class: usize,
    /// The data centre that it is in, where that matters.
    pub(super) centre: usize,
    pub(super) arrived: f64,
    pub(super) prompt: u32,
    pub(super) answer: u32,
    /// Times that it may still come back.
    pub(super) returns: u32,
    /// Whether it waits as it is told to before it comes back.
    pub(super) waits: bool,
    pub(super) state: State,
}

/// How far a caller has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum State {
    /// At an entry, or on its way to one.
    Asking,
    /// At a target.
    Sent {
        /// Its entry.
        entry: usize,
        /// Its target.
        engine: usize,
    },
    /// Its answer has begun.
    Begun {
        /// Its entry.
        entry: usize,
        /// Its target.
        engine: usize,
        /// How long after its arrival, in milliseconds.
        after: f64,
    },
    /// Its answer is whole; it began so many milliseconds after the arrival.
    Served(f64),
    /// It was refused at last.
    Refused,
    /// It gave up, or its target was lost.
    Failed,
}

/// The size of one request around `mean`.
pub(super) fn size(rng: &mut fastrand::Rng, mean: f64) -> u32 {
    let drawn = -rng.f64().max(f64::MIN_POSITIVE).ln();
    let tokens = (mean * drawn.min(MOST_MEANS)).max(8.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = tokens as u32;
    tokens
}

/// The time to the next of `rate` arrivals a second, in milliseconds.
pub(super) fn gap(rng: &mut fastrand::Rng, rate: f64) -> f64 {
    -rng.f64().max(f64::MIN_POSITIVE).ln() * 1_000.0 / rate
}
