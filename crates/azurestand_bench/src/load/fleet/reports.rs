//! Agents that report the loads of their engines to entries.

use azurestand_direct::TargetLoad;

use super::super::engine::Engine;
use super::super::entry::moment;
use super::{Event, Fleet};

/// How often an agent reports, in milliseconds.
const REPORT_MS: f64 = 62.0;
/// Of how many reports one goes to entries of other data centres.
const REMOTE_EVERY: u32 = 3;

impl Fleet {
    pub(super) fn start_reports(&mut self) {
        if !self.site.is_staggered {
            self.at(0.0, Event::Report);
            return;
        }
        for engine in 0..self.site.engines {
            let first = self.rng.f64() * REPORT_MS;
            let number = self.rng.u32(..REMOTE_EVERY);
            self.at(first, Event::ReportOf { engine, number });
        }
    }

    fn is_over(&self) -> bool {
        self.now > self.end && self.engines.iter().all(Engine::is_idle)
    }

    pub(super) fn report_of(&mut self, engine: usize, number: u32) {
        let heard = self.now + self.site.delay;
        let hear = Event::Hear {
            engine,
            load: self.engines[engine].report(),
            is_for_all: number.is_multiple_of(REMOTE_EVERY),
        };
        self.at(heard, hear);
        if !self.is_over() {
            let number = number.wrapping_add(1);
            self.at(self.now + REPORT_MS, Event::ReportOf { engine, number });
        }
    }

    pub(super) fn hear(&mut self, engine: usize, load: TargetLoad, is_for_all: bool) {
        let target = self.targets[engine].clone();
        let entries = 0..self.entries.len();
        let is_near = |entry: &usize| self.centre_of(*entry) == target.centre.as_ref();
        let mut hearing: Vec<usize> = entries
            .filter(|entry| is_for_all || is_near(entry))
            .collect();
        self.rng.shuffle(&mut hearing);
        let now = moment(self.now);
        for entry in hearing {
            let placement = self.entries[entry].placement();
            placement.record_load(now, &target, load);
            self.wake_entry(entry);
        }
    }

    pub(super) fn report(&mut self) {
        for (engine, target) in self.engines.iter().zip(&self.targets) {
            for entry in &mut self.entries {
                let placement = entry.placement();
                placement.record_load(moment(self.now), target, engine.report());
            }
        }
        self.wake();
        if !self.is_over() {
            self.at(self.now + REPORT_MS, Event::Report);
        }
    }
}
