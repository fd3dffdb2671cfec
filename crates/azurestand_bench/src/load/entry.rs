//! One entry: its placement, and the callers that wait there for room.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{
    AdmissionControl, Directory, Lateness, LeastShare, Levels, Need, NoTarget, Placement, Rank,
    Regions, RequestQueue, RequestSize, SendShare, Service, Target, TargetRequirements, Terms,
    Waiter, max_wait,
};
use azurestand_types::Moment;

use super::Policy;
use super::caller::Class;

/// The shortest and the longest time after which a refused caller may return.
const RETURN_MS: (f64, f64) = (150.0, 1_200.0);
/// When a caller may return that was displaced, before jitter.
const DISPLACED_RETURN: Duration = Duration::from_millis(300);
/// The same where no entry predicts, in milliseconds.
const BLIND_RETURN_MS: f64 = 150.0;

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Decision {
    /// To this target.
    Send(usize),
    /// Into the line, until this moment in milliseconds.
    Wait(f64),
    /// Back to its caller, who may return after this many milliseconds.
    Refuse(f64),
}

/// A request as an entry sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask<'a> {
    pub(super) caller: usize,
    pub(super) class: &'a Class,
    pub(super) work: RequestSize,
    /// When it came to this entry, in milliseconds.
    pub(super) arrived: f64,
    /// Whether it stands in line already.
    pub(super) waits: bool,
}

/// One entry.
pub(super) struct Entry {
    policy: Policy,
    placement: Placement,
    targets: Vec<Arc<Target>>,
    service: Arc<Service>,
    queue: RequestQueue,
    admission: AdmissionControl,
    /// The terms of the callers that are here.
    terms: BTreeMap<usize, Terms>,
    standing: BTreeMap<usize, (Rank, Waiter)>,
    callers: BTreeMap<Waiter, usize>,
    /// What this entry has at each target.
    own: Vec<u32>,
    open: Vec<bool>,
    expected: BTreeMap<usize, (f64, Duration)>,
    rng: fastrand::Rng,
}

impl Entry {
    pub(super) fn new(
        policy: Policy,
        levels: Levels,
        placement: Placement,
        targets: Vec<Arc<Target>>,
        service: Arc<Service>,
        rng: fastrand::Rng,
    ) -> Self {
        let count = targets.len();
        let mut admission = AdmissionControl::default();
        admission.configure(levels, Some(LeastShare::default()));
        Self {
            policy,
            placement,
            targets,
            service,
            queue: RequestQueue::default(),
            admission,
            terms: BTreeMap::new(),
            standing: BTreeMap::new(),
            callers: BTreeMap::new(),
            own: vec![0; count],
            open: vec![true; count],
            expected: BTreeMap::new(),
            rng,
        }
    }

    /// Takes in which targets there are and may be used.
    pub(super) fn set_targets(&mut self, now: f64, targets: &[Arc<Target>], open: &[bool]) {
        let mut directory = Directory::default();
        for (target, _) in targets.iter().zip(open).filter(|(_, open)| **open) {
            directory.put(Moment::START, Target::clone(target));
        }
        self.targets = targets.to_vec();
        self.own.resize(targets.len(), 0);
        self.open = open.to_vec();
        self.placement.set_targets(moment(now), &directory);
    }

    pub(super) fn placement(&mut self) -> &mut Placement {
        &mut self.placement
    }

    pub(super) fn set_send_share(&mut self, share: SendShare) {
        self.placement.set_send_share(share);
    }

    /// The caller whose turn it is.
    pub(super) fn first(&self) -> Option<usize> {
        let waiter = self.queue.first()?;
        self.callers.get(&waiter).copied()
    }

    /// Decides about a request now.
    pub(super) fn decide(&mut self, now: f64, ask: &Ask<'_>) -> Decision {
        match self.policy {
            Policy::Predicted => self.predict(now, ask),
            Policy::LeastOwn | Policy::Random => self.pick(),
        }
    }

    fn pick(&mut self) -> Decision {
        let open = (0..self.targets.len()).filter(|engine| self.open[*engine]);
        let mut open: Vec<usize> = open.collect();
        self.rng.shuffle(&mut open);
        let chosen = if self.policy == Policy::LeastOwn {
            open.into_iter().min_by_key(|engine| self.own[*engine])
        } else {
            open.first().copied()
        };
        chosen.map_or(Decision::Refuse(BLIND_RETURN_MS), Decision::Send)
    }

    fn predict(&mut self, now: f64, ask: &Ask<'_>) -> Decision {
        let aim = duration(ask.class.aim);
        let until = ask.arrived + max_wait(aim).as_secs_f64() * 1_000.0;
        let terms = self.terms(now, ask);
        let rank = Rank {
            priority: terms.level,
            untried: true,
            arrived_at: Reverse(moment(ask.arrived)),
        };
        let service = self.service.clone();
        let engine = self.service.engine.as_ref();
        let need = Need {
            latency_target: aim,
            slot_time: engine.map_or(Duration::ZERO, |engine| {
                duration(engine.slot_time(ask.work, 0))
            }),
        };
        if !ask.waits && self.queue.ahead(rank) > 0 {
            self.join(now, ask.caller, rank, need);
            return Decision::Wait(until);
        }
        let excess = engine.map_or(Duration::ZERO, |engine| engine.excess_time(ask.work));
        let lateness = Lateness {
            latency_target: aim,
            waited: duration(now - ask.arrived),
            excess,
            shortest: self.queue.shortest_target(terms.level),
        };
        let fleet = self.placement.fleet(&service.name);
        let reserve = engine.and_then(|engine| {
            let admission = &self.admission;
            admission.reserve(moment(now), terms.level, engine, fleet)
        });
        let ceiling = reserve.map_or(Duration::MAX, |reserve| {
            reserve.ceiling.saturating_add(excess)
        });
        let requirements = TargetRequirements {
            service: &service,
            model: None,
            oldest: 0,
            required_version: None,
            size: ask.work,
            avoid: &[],
            regions: &Regions::Any,
            limit: lateness.limit().min(ceiling),
            spare_slots: reserve.map(|reserve| reserve.slots),
        };
        self.record_waiting(now);
        match self.placement.choose(moment(now), &requirements) {
            Ok(choice) => {
                self.admission.record_placed(moment(now), terms);
                let is_it = |target: &Arc<Target>| target.id == choice.target.id;
                let engine = self.targets.iter().position(is_it);
                self.expected.insert(ask.caller, (now, choice.expected));
                engine.map_or(Decision::Refuse(BLIND_RETURN_MS), Decision::Send)
            }
            Err(NoTarget::TurnedAway { soonest }) if now + millis(soonest) > until => {
                Decision::Refuse(self.spread(terms, soonest))
            }
            Err(NoTarget::Busy { .. } | NoTarget::TurnedAway { .. }) if now < until => {
                if !ask.waits {
                    self.join(now, ask.caller, rank, need);
                }
                Decision::Wait(until)
            }
            Err(NoTarget::Busy { soonest } | NoTarget::TurnedAway { soonest }) => {
                Decision::Refuse(self.spread(terms, soonest))
            }
            Err(NoTarget::NoneEligible) => {
                Decision::Refuse(self.spread(terms, Duration::from_millis(400)))
            }
        }
    }

    /// The terms of a caller, settled when it comes.
    fn terms(&mut self, now: f64, ask: &Ask<'_>) -> Terms {
        let known = self.terms.get(&ask.caller).filter(|_| ask.waits);
        if let Some(known) = known {
            return *known;
        }
        let draw = self.rng.f64();
        let terms = self
            .admission
            .arrive(moment(now), ask.class.urgency(), draw);
        self.terms.insert(ask.caller, terms);
        terms
    }

    /// The caller that is to be rejected, since it can't be placed in time, and when it may
    /// return.
    pub(super) fn displaced(&mut self, now: f64) -> Option<(usize, f64)> {
        let displaced = self.admission.displaced(moment(now), &self.queue)?;
        let caller = *self.callers.get(&displaced.waiter)?;
        let terms = *self.terms.get(&caller)?;
        Some((caller, self.spread(terms, DISPLACED_RETURN)))
    }

    /// Takes a caller out of the line that has waited in vain; returns when it may return.
    pub(super) fn reject(&mut self, now: f64, caller: usize, after: f64) -> f64 {
        self.leave(now, caller);
        let terms = self.terms.get(&caller);
        terms.map_or(after, |terms| {
            millis(self.admission.return_time(*terms, duration(after)))
        })
    }

    fn spread(&mut self, terms: Terms, time: Duration) -> f64 {
        let time = time.as_secs_f64() * 1_000.0;
        let time = duration(time.clamp(RETURN_MS.0, RETURN_MS.1));
        millis(self.admission.return_time(terms, time)) * (0.7 + 0.6 * self.rng.f64())
    }

    fn join(&mut self, now: f64, caller: usize, rank: Rank, need: Need) {
        if let Some(terms) = self.terms.get(&caller) {
            self.admission.record_delayed(moment(now), *terms);
        }
        let waiter = self.queue.push(rank, need);
        self.standing.insert(caller, (rank, waiter));
        self.callers.insert(waiter, caller);
    }

    /// Takes a caller out of the line.
    pub(super) fn leave(&mut self, now: f64, caller: usize) {
        if let Some((rank, waiter)) = self.standing.remove(&caller) {
            self.queue.remove(rank, waiter);
            self.callers.remove(&waiter);
            self.record_waiting(now);
        }
    }

    fn record_waiting(&mut self, now: f64) {
        let name = &self.service.name;
        let now = moment(now);
        let unheld = self.admission.unheld(now, &self.queue);
        self.placement.record_waiting(now, name, unheld);
        let held = self.queue.len() - unheld;
        self.placement.record_held_back(now, name, held);
    }

    /// Counts a send.
    pub(super) fn sent(&mut self, now: f64, engine: usize) {
        self.own[engine] += 1;
        let target = self.targets[engine].clone();
        self.placement
            .record_send(moment(now), &target, self.service.cold_rate);
    }

    /// Takes in that an answer has begun.
    pub(super) fn began(&mut self, now: f64, caller: usize, engine: usize) {
        let target = self.targets[engine].clone();
        self.placement.record_first_byte(&target);
        if let Some((sent, expected)) = self.expected.remove(&caller) {
            let took = duration(now - sent);
            self.placement
                .record_latency(moment(now), &target, expected, took);
        }
    }

    /// Takes in that a request has ended.
    pub(super) fn ended(&mut self, engine: usize, began: bool) {
        self.own[engine] = self.own[engine].saturating_sub(1);
        let target = self.targets[engine].clone();
        self.placement.record_end(&target, began);
    }

    /// Takes in that a target refused or was lost.
    pub(super) fn failed(&mut self, now: f64, engine: usize, fault: azurestand_direct::Fault) {
        let target = self.targets[engine].clone();
        self.placement.record_fault(moment(now), &target, fault);
    }
}

/// A time in milliseconds.
pub(super) fn duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}

/// A moment in virtual milliseconds.
pub(super) fn moment(millis: f64) -> Moment {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let micros = (millis.max(0.0) * 1_000.0) as u64;
    Moment::from_micros(micros)
}

/// A time in virtual milliseconds.
fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
