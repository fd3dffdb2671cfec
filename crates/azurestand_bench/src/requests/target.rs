//! A target that has slots, a service time and a cold start, and nothing else.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use azurestand_route::{CacheChange, CacheEvent, Load, Prefix};
use azurestand_target::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, Kind, Lifecycle,
    LifecycleEvent, LifecycleSettings, Report,
};
use azurestand_types::{AccountName, BootId, Moment, Priority, Refusal, RequestId, TargetName};

use super::Policy;

/// Groups of prompts whose beginning a target keeps.
const CACHED: usize = 40;
/// A target fails requests at once from this many times its slots.
const BREAKING: u32 = 4;
const MISS_FACTOR: u32 = 5;
const HIT_FACTOR: u32 = 2;

/// What a target is like.
#[derive(Debug, Clone, Copy)]
pub(super) struct Nature {
    pub(super) cold: u32,
    pub(super) warm: u32,
    pub(super) service: Duration,
    pub(super) queue: usize,
    pub(super) refuses: bool,
}

/// What comes of a send or of an end.
#[derive(Debug)]
pub(super) enum Effect {
    /// It runs and ends after this time.
    Runs(u64, Duration),
    /// It was refused.
    Refused(u64, Refusal),
    /// The engine broke under it.
    Failed(u64),
}

pub(super) struct Target {
    pub(super) name: TargetName,
    nature: Nature,
    policy: Policy,
    admission: Admission,
    life: Lifecycle,
    started: BTreeMap<u64, Moment>,
    finished: u32,
    groups: BTreeMap<u64, u32>,
    cache: VecDeque<u32>,
    events: u64,
    pub(super) out: bool,
    pub(super) over: u64,
    pub(super) hits: u64,
    pub(super) runs: u64,
}

impl Target {
    pub(super) fn new(name: TargetName, nature: Nature, policy: Policy) -> Self {
        let life = Lifecycle::new(LifecycleSettings {
            kind: Kind::Service,
            cold_limit: nature.cold,
            warm_limit: nature.warm,
            good_token: nature.service * 3,
            slow_token: nature.service * 20,
            ..LifecycleSettings::default()
        });
        let settings = AdmissionSettings {
            queue_length: nature.queue,
            ..AdmissionSettings::default()
        };
        let mut target = Self {
            name,
            nature,
            policy,
            admission: Admission::new(settings),
            life,
            started: BTreeMap::new(),
            finished: 0,
            groups: BTreeMap::new(),
            cache: VecDeque::new(),
            events: 0,
            out: false,
            over: 0,
            hits: 0,
            runs: 0,
        };
        target.refresh(Moment::START);
        target
    }

    /// The engine reports to its agent.
    pub(super) fn refresh(&mut self, now: Moment) -> Vec<Effect> {
        let report = Report {
            boot: BootId(1),
            digest: None,
            ready: true,
            waiting: 0,
        };
        self.life.handle(now, LifecycleEvent::Report(report));
        self.limit(now)
    }

    fn limit(&mut self, now: Moment) -> Vec<Effect> {
        let event = AdmissionEvent::LimitChanged {
            weights: self.life.serves(),
            limit: self.life.limit(),
        };
        self.admit(now, event)
    }

    /// What the engine truly bears now: one more with each request that it finished.
    fn bears(&self) -> u32 {
        self.nature.warm.min(self.nature.cold + self.finished)
    }

    pub(super) fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            target: self.name.clone(),
            subject: "dispatch".into(),
            weights: None,
            limit: self.life.limit(),
            running: count(self.started.len()),
            waiting: count(self.admission.waiting()),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Moment,
        id: u64,
        account: &AccountName,
        deadline: Moment,
        group: u32,
    ) -> Vec<Effect> {
        if self.out {
            return vec![Effect::Refused(id, Refusal::Draining)];
        }
        if self.nature.refuses {
            return vec![Effect::Refused(id, Refusal::Busy)];
        }
        self.groups.insert(id, group);
        match self.policy {
            Policy::Weighed => {
                let arrival = Arrival {
                    id: RequestId(u128::from(id)),
                    account: account.clone(),
                    weight: 1,
                    priority: Priority(0),
                    deadline,
                    pinned: None,
                };
                self.admit(now, AdmissionEvent::Arrived(arrival))
            }
            Policy::Baseline => vec![self.run(now, id)],
        }
    }

    fn admit(&mut self, now: Moment, event: AdmissionEvent) -> Vec<Effect> {
        let actions = self.admission.handle(now, event);
        let effects = actions.into_iter().filter_map(|action| match action {
            AdmissionAction::Start { id, .. } => Some(self.run(now, small(id))),
            AdmissionAction::Refuse(id, refusal) => Some(Effect::Refused(small(id), refusal)),
            _ => None,
        });
        effects.collect()
    }

    fn run(&mut self, now: Moment, id: u64) -> Effect {
        let running = u32::try_from(self.started.len()).unwrap_or(u32::MAX) + 1;
        let bears = self.bears();
        if running > bears {
            self.over += 1;
        }
        if running > bears * BREAKING {
            return Effect::Failed(id);
        }
        self.started.insert(id, now);
        self.runs += 1;
        let group = self.groups.remove(&id).unwrap_or(0);
        let is_hit = self.cache.contains(&group);
        self.hits += u64::from(is_hit);
        let factor = if is_hit { HIT_FACTOR } else { MISS_FACTOR };
        let base = if group == 0 {
            self.nature.service
        } else {
            self.nature.service * factor / MISS_FACTOR
        };
        let crowd = f64::from(running.max(bears)) / f64::from(bears);
        Effect::Runs(id, base.mul_f64(crowd))
    }

    /// A request has run to its end.
    pub(super) fn end(&mut self, now: Moment, id: u64) -> Vec<Effect> {
        let running = u32::try_from(self.started.len()).unwrap_or(u32::MAX);
        let start = self.started.remove(&id).unwrap_or(now);
        self.finished += 1;
        if self.policy == Policy::Baseline {
            return Vec::new();
        }
        let latency = now.since(start);
        self.life
            .handle(now, LifecycleEvent::FirstToken { latency, running });
        let id = RequestId(u128::from(id));
        let mut effects = self.admit(now, AdmissionEvent::Finished(id));
        effects.extend(self.limit(now));
        effects
    }

    /// Waiting requests whose deadline passed are refused.
    pub(super) fn tick(&mut self, now: Moment) -> Vec<Effect> {
        self.admit(now, AdmissionEvent::Tick)
    }

    /// The prompt's beginning is cached now; what the engine says of it.
    pub(super) fn cache(&mut self, group: u32) -> Vec<CacheEvent> {
        if group == 0 {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if let Some(place) = self.cache.iter().position(|held| *held == group) {
            self.cache.remove(place);
        } else {
            changes.push(CacheChange::Stored(prefix(group)));
        }
        self.cache.push_back(group);
        if self.cache.len() > CACHED
            && let Some(oldest) = self.cache.pop_front()
        {
            changes.push(CacheChange::Dropped(prefix(oldest)));
        }
        let events = changes.into_iter().map(|change| {
            self.events += 1;
            CacheEvent {
                target: self.name.clone(),
                boot: BootId(1),
                sequence: self.events,
                change,
            }
        });
        events.collect()
    }
}

/// The beginning that all prompts of a group share; group 0 shares nothing.
pub(super) fn prefix(group: u32) -> Prefix {
    match group {
        0 => Prefix::default(),
        _ => Prefix::from_blocks((0..4).map(|n| u64::from(group) << 8 | n).collect()),
    }
}

fn small(id: RequestId) -> u64 {
    u64::try_from(id.0).unwrap_or(u64::MAX)
}
