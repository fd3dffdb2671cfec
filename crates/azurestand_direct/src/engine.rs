//! A cost model of an engine, with the figures that its operators publish.
//!
//! An engine works in passes. In each pass it reads at most a chunk of the waiting
//! prompts, then runs a stride of steps. Each step generates one token for every
//! running request.

use std::time::Duration;

/// The parameters of the cost model, common to all engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    /// The fixed part of a step, in milliseconds.
    pub step_ms: f64,
    /// The time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// The time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read per millisecond.
    pub read_rate: f64,
    /// The time that a million pairs of prompt tokens add to reading, in milliseconds.
    pub pairs_ms: f64,
    /// The maximum number of prompt tokens read in one pass.
    pub chunk: u32,
    /// Steps in one pass; the queue is read between passes.
    pub stride: u32,
    /// The mean prompt length of a request, in tokens.
    pub mean_prompt: u32,
    /// The mean answer length of a request, in tokens.
    pub mean_answer: u32,
    /// The time to load the weights.
    pub load_time: Duration,
    /// The number of layers of the model.
    pub layers: u32,
}

/// The size of a request for an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Expected answer length in tokens.
    pub answer: u32,
}

impl CostModel {
    /// The duration of one step with `sequences` running requests, in milliseconds.
    pub fn step(&self, sequences: u32) -> f64 {
        let context = (f64::from(self.mean_prompt) + f64::from(self.mean_answer / 2)) / 1_000.0;
        let sequence_ms = self.request_ms + self.context_ms * context;
        self.step_ms + sequence_ms * f64::from(sequences)
    }

    /// The time to read a prompt, in milliseconds.
    pub fn read(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_rate + pairs * self.pairs_ms
    }

    /// By how much each mean prompt that is to be read before a request delays its first token,
    /// in milliseconds: the reading itself and its part of a stride.
    pub fn read_time(&self) -> f64 {
        let stride = self.step_ms * f64::from(self.stride);
        let chunks = f64::from(self.mean_prompt) / f64::from(self.chunk.max(1));
        self.read(self.mean_prompt) + stride * chunks
    }

    /// How long a request of `size` occupies a slot at an engine with `running` requests, in
    /// milliseconds. It is assumed that each pass also reads one mean prompt.
    pub fn slot_time(&self, size: RequestSize, running: u32) -> f64 {
        let pass = self.step(running) * f64::from(self.stride) + self.read(self.mean_prompt);
        let passes = f64::from(size.answer) / f64::from(self.stride.max(1));
        self.read(size.prompt) + passes.ceil() * pass
    }

    /// How long a mean request occupies a slot, in milliseconds.
    pub fn mean_slot_time(&self, sequences: u32) -> f64 {
        let reads = self.read(self.mean_prompt);
        f64::from(self.mean_answer) * self.step(sequences) + reads * f64::from(sequences.max(1))
    }

    /// How much longer an idle engine takes to the first token of a request of `size` than of a
    /// mean one; zero for shorter ones.
    pub fn excess_time(&self, size: RequestSize) -> Duration {
        let mean = RequestSize {
            prompt: self.mean_prompt,
            answer: self.mean_answer,
        };
        let idle = |size| self.first_token(size, 0, 0, 1);
        let excess = idle(size) - idle(mean);
        Duration::try_from_secs_f64(excess / 1_000.0).unwrap_or_default()
    }

    /// The time to the first token of a request of `size`, in milliseconds, at an engine
    /// with `slots` slots, `running` requests and `waiting` prompts to read.
    ///
    /// It is the sum of half a stride for the current pass, the time to read all waiting
    /// prompts and one stride for each of their chunks. Each request beyond the slots
    /// adds the mean time until a slot becomes free.
    pub fn first_token(&self, size: RequestSize, running: u32, waiting: u32, slots: u32) -> f64 {
        let sequences = running.min(slots);
        let stride = self.step(sequences) * f64::from(self.stride);
        let prompts = f64::from(waiting) * f64::from(self.mean_prompt);
        let tokens = prompts + f64::from(size.prompt);
        let passes = (tokens / f64::from(self.chunk.max(1))).ceil().max(1.0);
        let reads = self.read(self.mean_prompt) * f64::from(waiting) + self.read(size.prompt);
        let current_pass = stride / 2.0;
        let start = current_pass + reads + passes * stride;
        let requests = running.saturating_add(waiting).saturating_add(1);
        let excess = requests.saturating_sub(slots);
        let slot_wait = self.mean_slot_time(slots) / f64::from(slots.max(1));
        start + slot_wait * f64::from(excess)
    }
}
