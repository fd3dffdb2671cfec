//! The whole deployment in virtual time: callers, entries and engines.

mod change;
mod reports;

use std::collections::BTreeMap;
use std::sync::Arc;

use azurestand_direct::{
    Fault, Incarnation, Levels, LimitNotice, LoadedWeights, Placement, RequestSize, RetryAfter,
    SendShare, Service, Target, TargetLoad, TargetState,
};

use super::barring::Barring;
use super::caller::{Caller, PATIENCE_MS, State, gap, size};
use super::engine::{Engine, Job, Word};
use super::entry::{Ask, Decision, Entry, duration, moment};
use super::limited::Limited;
use super::queue::Queue;
use super::site::Site;
use super::tally::tally;
use super::{Figures, Pattern, Plan};

/// The data centres of callers in turn, where they are uneven.
const UNEVEN_CENTRES: [usize; 4] = [0, 1, 0, 2];
/// How long a new engine is cold, in milliseconds.
const COLD_MS: f64 = 3_000.0;
/// How long a load takes, in milliseconds.
const LOAD_MS: f64 = 300.0;
/// How long after a refusal a caller comes that doesn't wait, in milliseconds.
const AT_ONCE_MS: f64 = 5.0;

/// What happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// A new caller of a class.
    Arrive(usize),
    /// A caller comes to an entry, for the first time or again.
    Ask(usize),
    /// A caller's wait in line is over.
    WaitOver { caller: usize, entry: usize },
    /// A caller gives up if its answer hasn't begun.
    GiveUp(usize),
    /// A pass of an engine's life ends.
    Pass { engine: usize, life: u32 },
    /// All agents report.
    Report,
    /// One agent reports, for the n-th time.
    ReportOf { engine: usize, number: u32 },
    /// Entries hear of an engine's load, those of its data centre or all.
    Hear {
        engine: usize,
        load: TargetLoad,
        is_for_all: bool,
    },
    /// A request reaches its engine.
    Offer {
        caller: usize,
        entry: usize,
        engine: usize,
    },
    /// Engines stop taking requests, and load as soon as they are idle.
    Close(usize),
    /// The list tells that an engine has left.
    Unlist(usize),
    /// An engine has loaded.
    Open(usize),
    /// The pattern's change, and its end.
    Change(bool),
}

struct Fleet {
    plan: Plan,
    site: Site,
    now: f64,
    end: f64,
    queue: Queue<Event>,
    targets: Vec<Arc<Target>>,
    engines: Vec<Engine>,
    /// Which targets are on the list.
    open: Vec<bool>,
    /// Which engines wait to be idle for their load.
    loading: Vec<bool>,
    entries: Vec<Entry>,
    callers: Vec<Caller>,
    /// At which entry each caller is, and since when.
    places: BTreeMap<usize, (usize, f64)>,
    /// Sends to each cold target, by second of its life.
    cold: BTreeMap<(usize, u32), u32>,
    born: Vec<f64>,
    limited: Vec<Limited>,
    barring: Vec<Barring>,
    rng: fastrand::Rng,
}

/// Runs one plan.
pub fn run(plan: &Plan) -> Figures {
    let mut fleet = Fleet::new(*plan);
    while let Some((at, event)) = fleet.queue.pop() {
        fleet.now = at;
        fleet.take(event);
    }
    let mut figures = tally(
        &fleet.callers,
        fleet.site.classes,
        &fleet.cold,
        &fleet.limited,
    );
    figures.barred_sends = fleet.barring.iter().map(Barring::sends).sum();
    figures
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let site = Site::of(plan.size);
        let service = Arc::new(Service {
            name: "llm".into(),
            cold_rate: Some(site.cold_rate),
            engine: Some(site.cost_model),
            models: Vec::new(),
            pieces: None,
        });
        let end = plan.time.as_secs_f64() * 1_000.0;
        let mut fleet = Self {
            plan,
            site,
            now: 0.0,
            end,
            queue: Queue::default(),
            targets: Vec::new(),
            engines: Vec::new(),
            open: Vec::new(),
            loading: Vec::new(),
            entries: Vec::new(),
            callers: Vec::new(),
            places: BTreeMap::new(),
            cold: BTreeMap::new(),
            born: Vec::new(),
            limited: Vec::new(),
            barring: Vec::new(),
            rng: rng.fork(),
        };
        (0..site.engines).for_each(|_| fleet.add_engine(0.0));
        let regions = site.centres.iter();
        let regions: BTreeMap<Arc<str>, Arc<str>> = regions
            .map(|centre| ((*centre).into(), (*centre).into()))
            .collect();
        let names: Vec<Arc<str>> = (0..site.entries).map(|n| format!("e{n}").into()).collect();
        let classes = site.classes.iter();
        let classes = classes.filter(|_| plan.admits);
        let levels = classes.map(|class| (class.urgency(), duration(class.aim)));
        let levels: Levels = levels.collect();
        for number in 0..site.entries {
            let centre = fleet.centre_of(number).into();
            let entries = u32::try_from(site.entries).unwrap_or(u32::MAX);
            let placement = Placement::new(centre, regions.clone(), entries, rng.fork());
            let mut entry = Entry::new(
                plan.policy,
                levels.clone(),
                placement,
                Vec::new(),
                service.clone(),
                rng.fork(),
            );
            entry.set_send_share(SendShare::new(names[number].clone(), names.clone()));
            fleet.entries.push(entry);
        }
        fleet.tell_targets();
        for class in 0..site.classes.len() {
            fleet.at(0.0, Event::Arrive(class));
        }
        fleet.start_reports();
        fleet.at(end / 3.0, Event::Change(true));
        fleet.at(end * 2.0 / 3.0, Event::Change(false));
        fleet
    }

    fn at(&mut self, at: f64, event: Event) {
        self.queue.push(at, event);
    }

    fn add_engine(&mut self, cold: f64) {
        let number = self.targets.len();
        self.targets.push(Arc::new(Target {
            id: format!("t{number}").into(),
            started_at: 1,
            writes: 1,
            service: "llm".into(),
            address: ([10, 0, 0, 1], 80).into(),
            centre: self.centre_of(number).into(),
            state: TargetState::Ready,
            slots: self.site.slots,
            cold: std::time::Duration::from_secs_f64(cold / 1_000.0),
            held: Vec::<LoadedWeights>::new(),
        }));
        let slots = usize::try_from(self.site.slots).unwrap_or(usize::MAX);
        self.engines.push(Engine::new(self.site.cost_model, slots));
        self.open.push(true);
        self.loading.push(false);
        self.limited.push(Limited::default());
        self.barring.push(Barring::default());
        self.born.push(if cold > 0.0 { self.now } else { -COLD_MS });
    }

    fn tell_targets(&mut self) {
        for entry in &mut self.entries {
            entry.set_targets(self.now, &self.targets, &self.open);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Ask(caller) => self.ask(caller),
            Event::WaitOver { caller, entry } => self.wait_over(caller, entry),
            Event::GiveUp(caller) => self.give_up(caller),
            Event::Pass { engine, life } => self.end_pass(engine, life),
            Event::Report => self.report(),
            Event::ReportOf { engine, number } => self.report_of(engine, number),
            Event::Hear {
                engine,
                load,
                is_for_all,
            } => self.hear(engine, load, is_for_all),
            Event::Offer {
                caller,
                entry,
                engine,
            } => self.offer(caller, entry, engine),
            Event::Close(engine) => self.close(engine),
            Event::Unlist(engine) => {
                self.open[engine] = false;
                self.tell_targets();
            }
            Event::Open(engine) => {
                self.loading[engine] = false;
                self.open[engine] = true;
                self.tell_targets();
                self.wake();
            }
            Event::Change(begins) => self.change(begins),
        }
    }

    /// The load of a class now, as a multiple of its rate.
    fn load(&self, class: usize) -> f64 {
        let third = self.end / 3.0;
        let priorities = || self.site.classes.iter().map(|class| class.priority);
        let priority = self.site.classes[class].priority;
        let factor = match self.plan.pattern {
            Pattern::Burst => 1.7,
            Pattern::LeastUrgentBurst if priorities().max() == Some(priority) => 3.0,
            Pattern::UrgentBurst if priorities().min() == Some(priority) => 2.0,
            _ => 1.0,
        };
        let bursts = (third..2.0 * third).contains(&self.now);
        self.plan.load * if bursts { factor } else { 1.0 }
    }

    fn arrive(&mut self, class: usize) {
        let kind = &self.site.classes[class];
        let abuses = self.plan.pattern == Pattern::Abuse && self.rng.f64() < 1.0 / 3.0;
        let caller = Caller {
            class,
            centre: UNEVEN_CENTRES[self.callers.len() % UNEVEN_CENTRES.len()],
            arrived: self.now,
            prompt: size(&mut self.rng, kind.prompt),
            answer: size(&mut self.rng, kind.answer),
            returns: if abuses { 3 } else { 1 },
            waits: !abuses,
            state: State::Asking,
        };
        self.callers.push(caller);
        let number = self.callers.len() - 1;
        self.ask(number);
        let rate = kind.rate * self.load(class);
        let next = self.now + gap(&mut self.rng, rate);
        if next < self.end {
            self.at(next, Event::Arrive(class));
        }
    }

    fn ask(&mut self, caller: usize) {
        let entry = self.entry_of(caller);
        self.places.insert(caller, (entry, self.now));
        self.at(self.now + PATIENCE_MS, Event::GiveUp(caller));
        self.decide(caller, entry, false);
    }

    /// The entry that the balancer gives a caller; where callers are uneven, half of them are
    /// in the first data centre.
    fn entry_of(&mut self, caller: usize) -> usize {
        if self.plan.pattern != Pattern::Uneven {
            return self.rng.usize(..self.site.entries);
        }
        let centre = self.callers[caller].centre;
        let centres = self.site.centres.len();
        centre + centres * self.rng.usize(..self.site.entries / centres)
    }

    fn decide(&mut self, caller: usize, entry: usize, waits: bool) {
        let asked = self.callers[caller];
        let Some((_, arrived)) = self.places.get(&caller).copied() else {
            return;
        };
        let ask = Ask {
            caller,
            class: &self.site.classes[asked.class],
            work: RequestSize {
                prompt: asked.prompt,
                answer: asked.answer,
            },
            arrived,
            waits,
        };
        let decision = self.entries[entry].decide(self.now, &ask);
        self.carry_out(caller, entry, waits, decision);
        self.displace(entry);
    }

    /// Rejects the callers that can't be placed in time.
    fn displace(&mut self, entry: usize) {
        while let Some((caller, after)) = self.entries[entry].displaced(self.now) {
            self.entries[entry].leave(self.now, caller);
            self.refuse(caller, after);
        }
    }

    fn carry_out(&mut self, caller: usize, entry: usize, waits: bool, decision: Decision) {
        match decision {
            Decision::Send(engine) => {
                self.entries[entry].leave(self.now, caller);
                self.send(caller, entry, engine);
            }
            Decision::Wait(until) if !waits => {
                self.at(until, Event::WaitOver { caller, entry });
            }
            Decision::Wait(_) => {}
            Decision::Refuse(after) => {
                self.entries[entry].leave(self.now, caller);
                self.refuse(caller, after);
            }
        }
    }

    fn send(&mut self, caller: usize, entry: usize, engine: usize) {
        self.entries[entry].sent(self.now, engine);
        self.limited[engine].record_send(self.now);
        self.barring[engine].record_send(self.now, entry);
        let age = self.now - self.born[engine];
        if age < COLD_MS {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let second = (age / 1_000.0) as u32;
            *self.cold.entry((engine, second)).or_default() += 1;
        }
        self.callers[caller].state = State::Sent { entry, engine };
        if self.site.delay > 0.0 {
            let arrival = self.now + self.site.delay;
            let offer = Event::Offer {
                caller,
                entry,
                engine,
            };
            self.at(arrival, offer);
        } else {
            self.offer(caller, entry, engine);
        }
    }

    /// A request reaches its engine, which may refuse it.
    fn offer(&mut self, caller: usize, entry: usize, engine: usize) {
        let asked = self.callers[caller];
        if asked.state != (State::Sent { entry, engine }) {
            return;
        }
        let job = Job::new(caller, asked.prompt, asked.answer);
        let is_lost = !self.open[engine] && !self.loading[engine];
        let barring = &self.barring[engine];
        let turns_away = barring.pause(self.now).is_some() || barring.has_left(self.now);
        let is_closed = is_lost || self.loading[engine] || turns_away;
        if is_closed || !self.engines[engine].offer(job) {
            self.entries[entry].ended(engine, false);
            let named = self.barring[engine].pause(self.now);
            self.hear_bar(entry, engine, named);
            self.entries[entry].failed(self.now, engine, Fault::Refused);
            self.callers[caller].state = State::Asking;
            self.refuse(caller, 150.0);
            return;
        }
        self.start_pass(engine);
    }

    fn refuse(&mut self, caller: usize, after: f64) {
        self.places.remove(&caller);
        let asked = &mut self.callers[caller];
        if asked.returns == 0 {
            asked.state = State::Refused;
            return;
        }
        asked.returns -= 1;
        let pause = if asked.waits { after } else { AT_ONCE_MS };
        self.at(self.now + pause, Event::Ask(caller));
    }

    fn wait_over(&mut self, caller: usize, entry: usize) {
        let is_here = self.places.get(&caller).is_some_and(|(at, _)| *at == entry);
        if is_here && self.callers[caller].state == State::Asking {
            self.decide(caller, entry, true);
            let asks = self.callers[caller].state == State::Asking;
            if asks && self.places.contains_key(&caller) {
                let after = self.entries[entry].reject(self.now, caller, 300.0);
                self.refuse(caller, after);
            }
        }
    }

    fn give_up(&mut self, caller: usize) {
        let Some((_, arrived)) = self.places.get(&caller).copied() else {
            return;
        };
        // A caller that was refused meanwhile has a later end.
        if self.now < arrived + PATIENCE_MS {
            return;
        }
        match self.callers[caller].state {
            State::Sent { entry, engine } => {
                self.engines[engine].forget(caller);
                self.entries[entry].ended(engine, false);
                self.callers[caller].state = State::Failed;
            }
            State::Asking => self.callers[caller].state = State::Failed,
            State::Begun { .. } | State::Served(_) | State::Refused | State::Failed => {}
        }
    }

    fn start_pass(&mut self, engine: usize) {
        if let Some(time) = self.engines[engine].begin() {
            let life = self.engines[engine].life;
            self.at(self.now + time, Event::Pass { engine, life });
        }
    }

    fn end_pass(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }
        for word in self.engines[engine].end() {
            match word {
                Word::First(caller) => self.began(caller),
                Word::Last(caller) => self.served(caller),
            }
        }
        self.start_pass(engine);
        if self.loading[engine] && self.engines[engine].is_idle() {
            self.at(self.now + LOAD_MS, Event::Open(engine));
        }
        if !self.site.is_staggered {
            self.wake();
        }
    }

    fn began(&mut self, caller: usize) {
        if let State::Sent { entry, engine } = self.callers[caller].state {
            self.entries[entry].began(self.now, caller, engine);
            self.hear_limit(entry, engine);
            self.hear_bar(entry, engine, None);
            let after = self.now - self.callers[caller].arrived;
            self.callers[caller].state = State::Begun {
                entry,
                engine,
                after,
            };
        }
    }

    /// Lets an entry hear the limit that an answer names, and tell the others of a change.
    fn hear_limit(&mut self, entry: usize, engine: usize) {
        let now = moment(self.now);
        let target = &self.targets[engine];
        let limit = self.limited[engine].limit(self.now);
        let placement = self.entries[entry].placement();
        if !placement.record_limit(now, target, limit) {
            return;
        }
        let notice = LimitNotice {
            target: target.id.clone(),
            started_at: target.started_at,
            limit,
            observed_at: now,
        };
        for other in &mut self.entries {
            other.placement().merge_limit(now, &notice);
        }
    }

    /// Lets an entry hear that a target wants nothing for a time, or leaves, and tell the others
    /// of the latter.
    fn hear_bar(&mut self, entry: usize, engine: usize, named: Option<RetryAfter>) {
        let now = moment(self.now);
        let target = self.targets[engine].clone();
        let barring = &mut self.barring[engine];
        barring.record_answer(self.now, entry, named);
        if let Some(after) = named {
            let placement = self.entries[entry].placement();
            placement.record_retry_after(now, &target, after);
        }
        if barring.is_leaving() {
            let incarnation = Incarnation::from(target.as_ref());
            for entry in &mut self.entries {
                let placement = entry.placement();
                placement.record_leaving(now, incarnation.clone());
            }
        }
    }

    fn served(&mut self, caller: usize) {
        if let State::Begun {
            entry,
            engine,
            after,
        } = self.callers[caller].state
        {
            self.entries[entry].ended(engine, true);
            self.callers[caller].state = State::Served(after);
            if self.site.is_staggered {
                self.wake_entry(entry);
            }
        }
    }

    /// Lets the first in each line look for room; no entry is always the first to do so.
    fn wake(&mut self) {
        let mut entries: Vec<usize> = (0..self.entries.len()).collect();
        self.rng.shuffle(&mut entries);
        for entry in entries {
            self.wake_entry(entry);
        }
    }

    /// Lets the callers that wait at one entry look for room, until one finds none.
    fn wake_entry(&mut self, entry: usize) {
        while let Some(caller) = self.entries[entry].first() {
            self.decide(caller, entry, true);
            if self.entries[entry].first() == Some(caller) {
                break;
            }
        }
    }

    fn centre_of(&self, number: usize) -> &'static str {
        self.site.centres[number % self.site.centres.len()]
    }
}
