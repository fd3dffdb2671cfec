//! The deployments whose load is emulated: how many entries and engines there are, and what
//! callers ask of them.

use azurestand_direct::CostModel;

use super::Size;
use super::caller::{BASE_CLASSES, Class, LARGE_CLASSES, RANKED_CLASSES};

/// An emulated deployment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Site {
    /// The data centres, among which entries and engines are spread evenly.
    pub(super) centres: &'static [&'static str],
    pub(super) entries: usize,
    pub(super) engines: usize,
    /// Requests that an engine runs at once.
    pub(super) slots: u32,
    pub(super) cost_model: CostModel,
    pub(super) classes: &'static [Class; 3],
    /// Sends a second that a cold engine bears.
    pub(super) cold_rate: f64,
    /// How long a message between two hosts takes, in milliseconds.
    pub(super) delay: f64,
    /// Whether each engine's agent reports at a time of its own, and to entries of other data
    /// centres only now and then; otherwise all do at once, to all entries.
    pub(super) is_staggered: bool,
}

/// Three data centres with 9 entries and 15 engines.
const BASE: Site = Site {
    centres: &["north", "middle", "south"],
    entries: 9,
    engines: 15,
    slots: 16,
    cost_model: CostModel {
        step_ms: 6.73,
        request_ms: 0.0219,
        context_ms: 0.0068,
        read_rate: 30.6,
        pairs_ms: 0.647,
        chunk: 2_048,
        stride: 6,
        mean_prompt: 964,
        mean_answer: 119,
        load_time: std::time::Duration::from_millis(300),
        layers: 16,
    },
    classes: &BASE_CLASSES,
    cold_rate: 36.0,
    delay: 0.0,
    is_staggered: false,
};

/// Five data centres with 148 entries and 90 engines.
const LARGE: Site = Site {
    centres: &["north", "west", "middle", "east", "south"],
    entries: 148,
    engines: 90,
    slots: 8,
    cost_model: CostModel {
        step_ms: 10.1,
        request_ms: 0.0328,
        context_ms: 0.0102,
        read_rate: 20.4,
        pairs_ms: 0.971,
        chunk: 2_048,
        stride: 7,
        mean_prompt: 992,
        mean_answer: 91,
        load_time: std::time::Duration::from_millis(300),
        layers: 16,
    },
    classes: &LARGE_CLASSES,
    cold_rate: 14.0,
    delay: 2.0,
    is_staggered: true,
};

/// Three data centres with 33 entries and 58 engines, whose callers compete by priority.
const RANKED: Site = Site {
    centres: &["west", "east", "north"],
    entries: 33,
    engines: 58,
    slots: 12,
    cost_model: CostModel {
        step_ms: 9.27,
        request_ms: 0.0232,
        context_ms: 0.0322,
        read_rate: 20.7,
        pairs_ms: 1.18,
        chunk: 2_048,
        stride: 5,
        mean_prompt: 954,
        mean_answer: 95,
        load_time: std::time::Duration::from_millis(300),
        layers: 16,
    },
    classes: &RANKED_CLASSES,
    cold_rate: 15.0,
    delay: 1.0,
    is_staggered: true,
};

impl Site {
    pub(super) const fn of(size: Size) -> Self {
        match size {
            Size::Base => BASE,
            Size::Large => LARGE,
            Size::Ranked => RANKED,
        }
    }
}
