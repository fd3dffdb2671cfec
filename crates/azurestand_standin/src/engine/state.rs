//! What the engine holds and what it has recorded.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use azurestand_types::{BootId, Digest, Fence};
use serde::Serialize;
use tokio::time::Instant;

use super::EngineOptions;
use super::record::{EngineRecord, EngineRun};
use super::tape::Tape;

const MAX_STREAMS: usize = 512;

/// What an engine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineState {
    /// No weights are loaded.
    Empty,
    /// A load order is being carried out.
    Loading,
    /// Weights are loaded; only a little load is borne.
    Cold,
    /// Full load is borne.
    Warm,
}

/// Weights that are loaded.
#[derive(Debug, Clone)]
pub(super) struct Loaded {
    pub(super) model: String,
    pub(super) version: String,
    pub(super) digest: Digest,
    pub(super) weights: Digest,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// Why a request can't start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    /// All slots are taken; wait for a turn.
    Wait,
    /// No weights serve; answer 503.
    Unready,
    /// The request was one too many for a cold engine, which falls over.
    FellOver,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) options: EngineOptions,
    pub(super) boot: BootId,
    pub(super) phase: EngineState,
    pub(super) loaded: Option<Loaded>,
    /// Streams that can be taken up again, by request.
    streams: BTreeMap<String, Arc<Tape>>,
    /// The version that is being loaded.
    pub(super) loading: Option<Digest>,
    pub(super) fence: Fence,
    /// Counts load orders; only the newest one may finish.
    pub(super) order: u64,
    pub(super) record: EngineRecord,
    running: u32,
    finished: u32,
    /// Waiting requests: the lowest priority and then ticket goes first.
    queue: Vec<(u8, u64)>,
    tickets: u64,
    samples: VecDeque<Sample>,
    start: Instant,
    rng: fastrand::Rng,
}

impl State {
    pub(super) fn new(options: EngineOptions, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Self {
            options,
            boot: BootId(rng.u64(1..1 << 53)),
            phase: EngineState::Empty,
            loaded: None,
            streams: BTreeMap::new(),
            loading: None,
            fence: Fence(0),
            order: 0,
            record: EngineRecord::default(),
            running: 0,
            finished: 0,
            queue: Vec::new(),
            tickets: 0,
            samples: VecDeque::new(),
            start: Instant::now(),
            rng,
        }
    }

    /// Starts afresh; the weights are kept unless `empty`.
    pub(super) fn reboot(&mut self, empty: bool) {
        // Below 2^53, so that every JSON reader keeps the number whole.
        self.boot = BootId(self.rng.u64(1..1 << 53));
        self.streams.clear();
        self.loading = None;
        self.order += 1;
        self.running = 0;
        self.finished = 0;
        self.queue.clear();
        if empty {
            self.loaded = None;
            self.fence = Fence(0);
        }
        self.phase = self
            .loaded
            .as_ref()
            .map_or(EngineState::Empty, |_| EngineState::Cold);
        self.sample();
    }

    pub(super) fn begin_load(&mut self, fence: Fence, digest: Digest) -> u64 {
        self.fence = fence;
        self.loading = Some(digest);
        self.order += 1;
        self.phase = EngineState::Loading;
        self.record.loads += 1;
        self.order
    }

    /// Ends the load `order` unless a newer one or a restart overtook it.
    pub(super) fn end_load(&mut self, order: u64, loaded: Option<Loaded>) {
        if order != self.order {
            return;
        }
        self.loading = None;
        self.loaded = loaded;
        self.finished = 0;
        self.phase = self
            .loaded
            .as_ref()
            .map_or(EngineState::Empty, |_| EngineState::Cold);
    }

    /// How many requests are borne at once now.
    pub(super) fn limit(&self) -> u32 {
        let EngineOptions {
            cold_limit,
            warm_limit,
            warm_after,
            ..
        } = self.options;
        match self.phase {
            EngineState::Empty | EngineState::Loading => 0,
            EngineState::Warm => warm_limit,
            EngineState::Cold => {
                let gain = warm_limit.saturating_sub(cold_limit);
                cold_limit + gain * self.finished / warm_after.max(1)
            }
        }
    }

    pub(super) fn enqueue(&mut self, priority: u8) -> (u8, u64) {
        self.tickets += 1;
        let place = (priority, self.tickets);
        self.queue.push(place);
        self.sample();
        place
    }

    pub(super) fn leave_queue(&mut self, place: (u8, u64)) {
        self.queue.retain(|other| *other != place);
        self.sample();
    }

    /// Starts the run of a waiting request; the index is into the record.
    pub(super) fn start_run(
        &mut self,
        place: (u8, u64),
        request: Option<&str>,
    ) -> Result<usize, Hold> {
        match self.phase {
            EngineState::Empty | EngineState::Loading => return Err(Hold::Unready),
            EngineState::Cold if self.running >= self.limit() => return Err(Hold::FellOver),
            EngineState::Warm if self.running >= self.limit() => return Err(Hold::Wait),
            EngineState::Cold | EngineState::Warm => {}
        }
        if self.queue.iter().min() != Some(&place) {
            return Err(Hold::Wait);
        }
        self.queue.retain(|other| *other != place);
        self.running += 1;
        if self.phase == EngineState::Cold {
            self.record.cold_peak = self.record.cold_peak.max(self.running);
        }
        self.sample();
        self.record.runs.push(EngineRun {
            request: request.map(str::to_owned),
            started: self.start.elapsed(),
            finished: None,
            weights: Vec::new(),
            tokens: 0,
        });
        Ok(self.record.runs.len() - 1)
    }

    /// Makes one token of run `index`; none when no weights are loaded.
    pub(super) fn token(&mut self, index: usize) -> Option<Digest> {
        let weights = self.loaded.as_ref()?.weights;
        let run = &mut self.record.runs[index];
        run.tokens += 1;
        if !run.weights.contains(&weights) {
            run.weights.push(weights);
            if run.weights.len() == 2 {
                self.record.mixed += 1;
            }
        }
        Some(weights)
    }

    /// Ends run `index`, which began under `boot`.
    /// Keeps a stream for readers that come back; a few are enough.
    pub(super) fn keep_stream(&mut self, name: String, tape: Arc<Tape>) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams.pop_first();
        }
        self.streams.insert(name, tape);
    }

    pub(super) fn stream(&self, name: &str) -> Option<Arc<Tape>> {
        self.streams.get(name).cloned()
    }

    pub(super) fn end_run(&mut self, index: usize, boot: BootId, whole: bool) {
        if whole {
            self.record.runs[index].finished = Some(self.start.elapsed());
        }
        if boot != self.boot {
            return;
        }
        self.running = self.running.saturating_sub(1);
        if whole {
            self.finished += 1;
        }
        if self.phase == EngineState::Cold && self.finished >= self.options.warm_after {
            self.phase = EngineState::Warm;
        }
        self.sample();
    }

    fn sample(&mut self) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.samples.push_back(Sample {
            at: Instant::now(),
            running: self.running,
            waiting,
        });
        self.forget_samples();
    }

    /// Drops the samples that no report will need again.
    fn forget_samples(&mut self) {
        let lag = self.options.report_lag;
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at.elapsed() >= lag)
        {
            self.samples.pop_front();
        }
    }

    /// Running and waiting requests as they were `report_lag` ago.
    pub(super) fn load(&mut self) -> (u32, u32) {
        self.forget_samples();
        let lag = self.options.report_lag;
        let first = self.samples.front();
        let old = first.filter(|sample| sample.at.elapsed() >= lag);
        old.map_or((0, 0), |sample| (sample.running, sample.waiting))
    }
}
