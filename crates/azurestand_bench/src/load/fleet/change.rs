//! What changes in a pattern of load after a third of its time.

use azurestand_direct::Fault;

use super::super::Pattern;
use super::super::caller::State;
use super::{COLD_MS, Event, Fleet, LOAD_MS};

/// The time over which loads are spread, in milliseconds.
const LOAD_SPAN_MS: f64 = 3_000.0;
/// How late the list tells that a target leaves, in milliseconds.
const LATE_LIST_MS: f64 = 4_000.0;

impl Fleet {
    pub(super) fn close(&mut self, engine: usize) {
        self.open[engine] = false;
        self.loading[engine] = true;
        self.tell_targets();
        if self.engines[engine].is_idle() {
            self.at(self.now + LOAD_MS, Event::Open(engine));
        }
    }

    pub(super) fn change(&mut self, begins: bool) {
        let third = self.site.engines / 3;
        match (self.plan.pattern, begins) {
            (Pattern::TargetsLost, true) => {
                for engine in 0..third {
                    self.open[engine] = false;
                    for caller in self.engines[engine].crash() {
                        self.lose(caller);
                    }
                }
            }
            (Pattern::LimitsNamed, true) => {
                let needy = self.limited.iter_mut().skip(third);
                needy.for_each(|limited| limited.begin(self.now));
            }
            (Pattern::LimitsNamed, false) => {
                let needy = self.limited.iter_mut();
                needy.for_each(|limited| limited.end(self.now));
            }
            (Pattern::TurnedAway, true) => self.bar_targets(third),
            (Pattern::ColdAdded, true) => (0..third).for_each(|_| self.add_engine(COLD_MS)),
            (Pattern::CentreOut, _) => {
                let centres = self.site.centres.len();
                let places = (0..self.site.engines).filter(|engine| engine % centres == 0);
                for engine in places {
                    self.open[engine] = !begins;
                }
            }
            (Pattern::NewVersion, true) => {
                let gap = LOAD_SPAN_MS / 8.0 * 15.0 / to_f64(self.site.engines);
                let mut at = self.now;
                for engine in 0..self.site.engines {
                    self.at(at, Event::Close(engine));
                    at += gap;
                }
            }
            _ => {}
        }
        self.tell_targets();
    }

    /// Lets a third of the targets turn requests away, one after the other, and a fifth leave.
    fn bar_targets(&mut self, third: usize) {
        let mut from = self.now;
        for barring in self.barring.iter_mut().take(third) {
            barring.refuse(from);
            from += self.end / 3.0 / 5.0;
        }
        let engines = self.site.engines;
        for engine in engines - engines / 5..engines {
            self.barring[engine].leave(self.now);
            self.at(self.now + LATE_LIST_MS, Event::Unlist(engine));
        }
    }

    pub(super) fn lose(&mut self, caller: usize) {
        let (entry, engine, began) = match self.callers[caller].state {
            State::Sent { entry, engine } => (entry, engine, false),
            State::Begun { entry, engine, .. } => (entry, engine, true),
            _ => return,
        };
        self.entries[entry].ended(engine, began);
        self.entries[entry].failed(self.now, engine, Fault::Unreachable);
        self.callers[caller].state = State::Failed;
    }
}

/// Converts a small number of engines, which no precision is lost of.
fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
