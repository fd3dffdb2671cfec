//! What an engine tells a test afterwards.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_types::Digest;

/// One request that an engine ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRun {
    /// The `x-request-id` header.
    pub request: Option<String>,
    /// The time from the engine's start to the run's start.
    pub started: Duration,
    /// The time from the engine's start to the last token; none if it broke off.
    pub finished: Option<Duration>,
    /// The digests of the weights that made the tokens; two are a mixed answer.
    pub weights: Vec<Digest>,
    /// Tokens made.
    pub tokens: u32,
}

/// What an engine has done so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineRecord {
    /// Every run, in order of its start.
    pub runs: Vec<EngineRun>,
    /// The most requests that ran at once before the engine was warm.
    pub cold_peak: u32,
    /// Times that the engine fell over because it was pressed while cold.
    pub overloads: u32,
    /// Load orders accepted.
    pub loads: u32,
    /// Load orders refused for their fencing number.
    pub refused: u32,
    /// Runs of requests whose digests differ within one answer.
    pub mixed: u32,
}

impl EngineRecord {
    /// Counts the runs of each request id.
    pub fn runs_by_request(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for run in &self.runs {
            if let Some(request) = &run.request {
                *counts.entry(request.clone()).or_default() += 1;
            }
        }
        counts
    }
}
