//! An engine that batches by its published figures, in virtual milliseconds.
//!
//! It works in passes: it reads a chunk of the prompts that it has admitted, then makes
//! a stride of tokens for each answer. An answer begins with the pass that ends its prompt.

use std::collections::VecDeque;

use azurestand_direct::{CostModel, TargetLoad};

/// Requests beyond its slots that an engine takes, as a multiple of its slots.
const QUEUE_FACTOR: usize = 2;

/// One request at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) caller: usize,
    pub(super) prompt: u32,
    pub(super) answer: u32,
    read: u32,
}

impl Job {
    pub(super) fn new(caller: usize, prompt: u32, answer: u32) -> Self {
        Self {
            caller,
            prompt,
            answer,
            read: 0,
        }
    }
}

/// What a pass brought a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Word {
    /// Its answer begins.
    First(usize),
    /// Its answer is whole.
    Last(usize),
}

/// One engine.
#[derive(Debug)]
pub(super) struct Engine {
    cost_model: CostModel,
    slots: usize,
    waiting: VecDeque<Job>,
    reading: Vec<Job>,
    writing: Vec<Job>,
    /// Whether a pass is in progress.
    busy: bool,
    /// Counts its lives; a pass of an earlier one ends nothing.
    pub(super) life: u32,
}

impl Engine {
    pub(super) fn new(cost_model: CostModel, slots: usize) -> Self {
        Self {
            cost_model,
            slots,
            waiting: VecDeque::new(),
            reading: Vec::new(),
            writing: Vec::new(),
            busy: false,
            life: 0,
        }
    }

    /// Takes a request in, unless too many wait.
    pub(super) fn offer(&mut self, job: Job) -> bool {
        let fits = self.waiting.len() < self.slots * QUEUE_FACTOR;
        if fits {
            self.waiting.push_back(job);
        }
        fits
    }

    /// What it is doing.
    pub(super) fn report(&self) -> TargetLoad {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        TargetLoad {
            running: count(self.writing.len()),
            waiting: count(self.waiting.len() + self.reading.len()),
        }
    }

    /// Whether it has no request.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.reading.is_empty() && self.writing.is_empty()
    }

    /// Forgets a request whose caller has left.
    pub(super) fn forget(&mut self, caller: usize) {
        self.waiting.retain(|job| job.caller != caller);
        self.reading.retain(|job| job.caller != caller);
        self.writing.retain(|job| job.caller != caller);
    }

    /// Ends its life; gives the callers that it had.
    pub(super) fn crash(&mut self) -> Vec<usize> {
        self.life += 1;
        self.busy = false;
        let waiting = self.waiting.drain(..);
        let others = self.reading.drain(..).chain(self.writing.drain(..));
        waiting.chain(others).map(|job| job.caller).collect()
    }

    /// Begins a pass if there is work and none is in progress; gives how long it takes.
    pub(super) fn begin(&mut self) -> Option<f64> {
        if self.busy {
            return None;
        }
        while self.reading.len() + self.writing.len() < self.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.reading.push(job);
        }
        if self.reading.is_empty() && self.writing.is_empty() {
            return None;
        }
        self.busy = true;
        let mut chunk = self.cost_model.chunk;
        let mut time = 0.0;
        for job in &mut self.reading {
            let part = chunk.min(job.prompt - job.read);
            time += self.cost_model.read(job.read + part) - self.cost_model.read(job.read);
            job.read += part;
            chunk -= part;
        }
        let writers = u32::try_from(self.writing.len()).unwrap_or(u32::MAX);
        let steps = if self.writing.is_empty() {
            1
        } else {
            self.cost_model.stride
        };
        Some(time + f64::from(steps) * self.cost_model.step(writers))
    }

    /// Ends the pass in progress.
    pub(super) fn end(&mut self) -> Vec<Word> {
        self.busy = false;
        let mut words = Vec::new();
        for job in &mut self.writing {
            job.answer = job.answer.saturating_sub(self.cost_model.stride);
        }
        self.writing.retain(|job| {
            let is_whole = job.answer == 0;
            if is_whole {
                words.push(Word::Last(job.caller));
            }
            !is_whole
        });
        let (whole, reading): (Vec<Job>, Vec<Job>) = self
            .reading
            .drain(..)
            .partition(|job| job.read == job.prompt);
        self.reading = reading;
        words.extend(whole.iter().map(|job| Word::First(job.caller)));
        self.writing.extend(whole);
        words
    }
}
