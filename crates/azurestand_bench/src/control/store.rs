//! A fake store: it serves calls one after the other, counts them, and has outages.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use azurestand_membership::{Config, Section, SectionName};
use azurestand_types::{Moment, Revision};

/// A store of 2,000 calls a second.
const SERVICE: Duration = Duration::from_micros(500);

/// A waiting watch is opened again after this long, since its connection may have
/// gone silent for good.
pub(super) const WATCH_SPAN: Duration = Duration::from_secs(10);

/// The longest pause before a failed call is tried again.
pub(super) const BACK_OFF: Duration = Duration::from_secs(5);

const SECTIONS: usize = 16;
const SECTION_BYTES: usize = 6_000;

#[derive(Debug)]
pub(super) struct Store {
    pub(super) config: Option<Arc<Config>>,
    pub(super) down: bool,
    pub(super) watchers: BTreeSet<usize>,
    free: Moment,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            config: None,
            down: false,
            watchers: BTreeSet::new(),
            free: Moment::START,
        }
    }

    /// When a call that arrives now has been served.
    pub(super) fn serve(&mut self, now: Moment) -> Moment {
        self.free = self.free.max(now) + SERVICE;
        self.free
    }
}

/// A document of about 96 kB; each revision changes one section of it.
pub(super) fn config(revision: u64) -> Arc<Config> {
    let section = |number: usize| {
        let number_ = number as u64;
        // The latest revision, from 1 on, that fell on this section.
        let count = SECTIONS as u64;
        let back = (revision + count - number_ % count) % count;
        let changed = revision.saturating_sub(back).max(1);
        let name = SectionName::try_from(format!("section-{number}").as_str()).ok()?;
        let line = format!("section {number} at {changed}\n");
        let text = line.repeat(SECTION_BYTES / line.len()).into();
        let revision = Revision(changed);
        Some((name, Section { revision, text }))
    };
    let sections = (0..SECTIONS).filter_map(section).collect();
    let config = Config::new(Revision(revision), sections);
    Arc::new(config.unwrap_or_else(|error| unreachable!("{error}")))
}

/// The bytes of a document on the wire.
pub(super) fn size(config: &Config) -> usize {
    config
        .sections()
        .values()
        .map(|section| section.text.len())
        .sum()
}
