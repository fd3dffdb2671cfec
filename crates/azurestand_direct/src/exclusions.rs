//! Data centres that the operators have taken out of service.
//!
//! A data centre stays out until the operators take it back. A store that came back from an
//! older copy may lack their mark, which is no taking back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use azurestand_types::Moment;

/// How long a data centre stays out although an older copy of the store lacks its mark. The
/// operators write it again sooner.
const UNCONFIRMED_TIME: Duration = Duration::from_secs(5);

/// The data centres that are out of service.
#[derive(Debug, Clone, Default)]
pub struct Exclusions {
    marked: BTreeSet<Arc<str>>,
    /// Those whose mark an older copy of the store lacks.
    unconfirmed: BTreeSet<Arc<str>>,
    /// When the unconfirmed ones are taken back.
    unconfirmed_until: Moment,
}

impl Exclusions {
    /// Replaces the marks by those of a full listing.
    pub fn replace(&mut self, marked: BTreeSet<Arc<str>>) {
        self.unconfirmed.retain(|centre| !marked.contains(centre));
        self.marked = marked;
    }

    /// Replaces the marks by those of a store that came back from an older copy at `now`.
    pub fn replace_restarted(&mut self, now: Moment, marked: BTreeSet<Arc<str>>) {
        self.unconfirmed.append(&mut self.marked);
        self.unconfirmed_until = now + UNCONFIRMED_TIME;
        self.replace(marked);
    }

    /// Takes a data centre out.
    pub fn exclude(&mut self, centre: Arc<str>) {
        self.unconfirmed.remove(&centre);
        self.marked.insert(centre);
    }

    /// Takes a data centre back.
    pub fn include(&mut self, centre: &str) {
        self.unconfirmed.remove(centre);
        self.marked.remove(centre);
    }

    /// Takes back the data centres whose marks were not written again in time; returns them.
    pub fn expire(&mut self, now: Moment) -> BTreeSet<Arc<str>> {
        if now < self.unconfirmed_until {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.unconfirmed)
    }

    /// All data centres that are out of service.
    pub fn centres(&self) -> BTreeSet<Arc<str>> {
        self.marked.union(&self.unconfirmed).cloned().collect()
    }
}
