//! What the stand-ins recorded, which the system can't embellish.

use std::collections::BTreeMap;

use azurestand_types::Digest;

use super::Deployment;
use crate::EngineRecord;

/// Counts over all stand-ins, dead ones included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// Runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Answers that came from more than one set of weights.
    pub mixed: u32,
    /// Answers, and engines at this moment, with weights that were never published.
    pub partial: u32,
    /// Times that an engine fell over in cold start, beyond one for each time
    /// that a test made the same engine cold without warning.
    pub overloads: u32,
}

/// What an engine that is gone had recorded.
#[derive(Debug)]
pub(super) struct Retired {
    pub(super) centre: &'static str,
    pub(super) record: EngineRecord,
    pub(super) crashes: u32,
}

impl Deployment {
    /// What the stand-ins recorded.
    pub fn record(&self) -> Record {
        let mut record = Record {
            runs: self.runs_by_key(),
            ..Record::default()
        };
        for runner in &self.runners {
            self.add(&mut record, &runner.engine.record(), runner.crashes);
            let loaded = runner.engine.loaded_weights();
            record.partial += u32::from(loaded.is_some_and(|weights| !self.is_published(weights)));
        }
        for retired in &self.retired {
            self.add(&mut record, &retired.record, retired.crashes);
        }
        record
    }

    fn add(&self, record: &mut Record, engine: &EngineRecord, crashes: u32) {
        record.mixed += engine.mixed;
        record.overloads += engine.overloads.saturating_sub(crashes);
        for run in &engine.runs {
            let whole = run
                .weights
                .iter()
                .all(|weights| self.is_published(*weights));
            record.partial += u32::from(!whole);
        }
    }

    fn is_published(&self, weights: Digest) -> bool {
        self.contents.values().any(|content| *content == weights)
    }

    /// Runs of each idempotency key over all booking runners.
    pub fn runs_by_key(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        let booking = self.plan.booking;
        for booth in self.booths.iter().filter(|booth| booth.kind == booking) {
            for (key, count) in booth.service.runs_by_key() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }

    /// Requests that targets of a data centre have run so far.
    pub fn runs_in(&self, centre: &str) -> usize {
        let runners = self.runners.iter().filter(|runner| runner.centre == centre);
        let retired = self.retired.iter().filter(|gone| gone.centre == centre);
        let booths = self.booths.iter().filter(|booth| booth.centre == centre);
        let engines: usize = runners
            .map(|runner| runner.engine.record().runs.len())
            .sum();
        let gone: usize = retired.map(|gone| gone.record.runs.len()).sum();
        let services: usize = booths.map(|booth| booth.service.runs().len()).sum();
        engines + gone + services
    }
}
