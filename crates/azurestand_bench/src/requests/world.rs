//! Entries and fake targets in virtual time: arrivals, sends, ends and late reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_route::{
    AccountLimits, Allowance, CacheEvent, HostReport, QueueLimits, RetryBudget, Spill,
    SpillSettings, Table, TargetRequirements,
};
use azurestand_types::{
    AccountName, DataCentre, HostName, Incarnation, Moment, Refusal, TargetName,
};

use super::Policy;
use super::target::{Effect, Nature, Target, prefix};

const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_millis(1);
const REPORT_EVERY: Duration = Duration::from_millis(50);
const CACHE_LAG: Duration = Duration::from_millis(200);
const ROOM_POLL: Duration = Duration::from_millis(25);
const ROOM_LIMIT: Duration = Duration::from_secs(1);
/// How long a baseline entry waits before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(1);
const BODY_BYTES: u64 = 2_048;
const ANSWER_BYTES: u64 = 8_192;

/// One account's callers: requests at random moments.
#[derive(Debug, Clone)]
pub(super) struct Stream {
    pub(super) account: usize,
    pub(super) rate: f64,
    pub(super) from: Moment,
    pub(super) until: Moment,
}

/// What is run.
#[derive(Debug, Clone)]
pub(super) struct Setup {
    pub(super) policy: Policy,
    pub(super) centres: usize,
    pub(super) entries: usize,
    pub(super) natures: Vec<Nature>,
    pub(super) streams: Vec<Stream>,
    pub(super) allowance: Allowance,
    pub(super) patience: Duration,
    /// Groups of prompts with a common beginning; 0 for none.
    pub(super) groups: u32,
    /// The share of cache events that are lost.
    pub(super) gaps: f64,
    /// A data centre that goes out and comes back.
    pub(super) outage: Option<(usize, Moment, Moment)>,
    pub(super) end: Moment,
    pub(super) seed: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Choose(u64),
    AtTarget(u64, usize),
    Relay(u64, usize),
    End(u64, usize),
    Refused(u64, Option<usize>, Refusal),
    Answer(u64, usize),
    Report(usize),
    Cached(usize, CacheEvent),
    Service(usize, bool),
    Know(usize, bool),
}

#[derive(Debug)]
struct Request {
    account: usize,
    entry: usize,
    /// The entry that chooses the target, another one after a spill.
    chooser: usize,
    arrived: Moment,
    asked: Moment,
    avoid: BTreeSet<TargetName>,
    group: u32,
    hops: u32,
    is_done: bool,
}

#[derive(Debug)]
struct Entry {
    centre: usize,
    out: bool,
    table: Table,
    budget: RetryBudget,
    limits: AccountLimits,
    spill: Spill,
}

/// One answer to a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answered {
    pub(super) account: usize,
    pub(super) centre: usize,
    pub(super) at: Moment,
    pub(super) latency: Duration,
}

/// A run in progress and, after [`World::run`], what came of it.
pub(super) struct World {
    setup: Setup,
    now: Moment,
    queue: BTreeMap<(Moment, u64), Event>,
    serial: u64,
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    pub(super) targets: Vec<Target>,
    sequences: u64,
    requests: Vec<Request>,
    pub(super) firsts: u64,
    pub(super) sends: u64,
    pub(super) answered: Vec<Answered>,
}

pub(super) fn account(n: usize) -> AccountName {
    name(&format!("account-{n}"))
}

fn name<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str>,
{
    T::try_from(text).unwrap_or_else(|_| unreachable!("a fixed name of letters and digits"))
}

fn centre(n: usize) -> DataCentre {
    name(&format!("centre-{n}"))
}

impl World {
    pub(super) fn new(setup: Setup) -> Self {
        let count = setup.centres * setup.entries;
        let link = SpillSettings::new(2_500_000.0, 0.4, setup.entries);
        let queue = setup.natures.iter().map(|nature| nature.queue).max();
        let queue_limits = QueueLimits {
            queue_length: u32::try_from(queue.unwrap_or(0)).unwrap_or(u32::MAX),
            entries: u32::try_from(setup.entries).unwrap_or(u32::MAX),
        };
        let table = || {
            let mut table = Table::default();
            table.set_queue_limits(queue_limits);
            table
        };
        let entries = (0..count).map(|n| Entry {
            centre: n / setup.entries,
            out: false,
            table: table(),
            budget: RetryBudget::new(0.1),
            limits: AccountLimits::default(),
            spill: Spill::new(link),
        });
        let all = (0..setup.centres).flat_map(|_| setup.natures.iter());
        let targets = all.enumerate().map(|(n, nature)| {
            let name = name(&format!("target-{n}"));
            Target::new(name, *nature, setup.policy)
        });
        let mut world = Self {
            entries: entries.collect(),
            targets: targets.collect(),
            now: Moment::START,
            queue: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            sequences: 0,
            requests: Vec::new(),
            firsts: 0,
            sends: 0,
            answered: Vec::new(),
            setup,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for n in 0..self.targets.len() {
            self.plan(Duration::ZERO, Event::Report(n));
        }
        for n in 0..self.setup.streams.len() {
            let from = self.setup.streams[n].from;
            self.plan(from.since(Moment::START), Event::Arrive(n));
        }
        if let Some((centre, out, back)) = self.setup.outage {
            // Agents hear of the change as fast as entries; both refuse by themselves.
            for (at, out) in [(out, true), (back, false)] {
                let at = at.since(Moment::START);
                self.plan(at, Event::Service(centre, out));
                self.plan(at + Duration::from_millis(200), Event::Know(centre, out));
            }
        }
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), event);
    }

    pub(super) fn run(mut self) -> Self {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.setup.end {
                break;
            }
            self.now = at;
            self.take(event);
        }
        self
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::Choose(id) => self.choose(id),
            Event::AtTarget(id, target) => self.at_target(id, target),
            Event::Relay(id, entry) => {
                self.request(id).chooser = entry;
                self.request(id).asked = self.now;
                let from = centre(self.entries[self.requests[at(id)].entry].centre);
                self.entries[entry].spill.record_received(self.now, &from);
                self.choose(id);
            }
            Event::End(id, target) => self.end(id, target),
            Event::Refused(id, target, refusal) => self.refused(id, target, refusal),
            Event::Answer(id, target) => self.answer(id, target),
            Event::Report(target) => self.report(target),
            Event::Cached(entry, event) => self.entries[entry]
                .table
                .apply_cache_event(self.now, &event),
            Event::Service(centre, out) => {
                let each = self.setup.natures.len();
                let own = centre * each..(centre + 1) * each;
                self.targets[own].iter_mut().for_each(|t| t.out = out);
            }
            Event::Know(centre, out) => {
                let near = self.entries.iter_mut().filter(|e| e.centre == centre);
                near.for_each(|entry| entry.out = out);
            }
        }
    }

    fn request(&mut self, id: u64) -> &mut Request {
        &mut self.requests[at(id)]
    }

    fn arrive(&mut self, n: usize) {
        let stream = self.setup.streams[n].clone();
        if self.now >= stream.until {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / stream.rate;
        self.plan(Duration::from_secs_f64(gap), Event::Arrive(n));
        let entry = self.rng.usize(..self.entries.len());
        self.firsts += 1;
        let group = if self.setup.groups == 0 {
            0
        } else {
            1 + self.rng.u32(..self.setup.groups)
        };
        let id = self.requests.len() as u64;
        self.requests.push(Request {
            account: stream.account,
            entry,
            chooser: entry,
            arrived: self.now,
            asked: self.now,
            avoid: BTreeSet::new(),
            group,
            hops: 0,
            is_done: false,
        });
        if self.setup.policy == Policy::Weighed {
            let count = self.entries.len();
            let allowance = self.setup.allowance;
            let limits = &mut self.entries[entry].limits;
            let account = account(stream.account);
            if limits.admit(self.now, &account, allowance, count).is_err() {
                self.requests[at(id)].is_done = true;
                return;
            }
            self.entries[entry].budget.earn();
        }
        self.choose(id);
    }

    fn is_over(&mut self, id: u64) -> bool {
        let deadline = self.requests[at(id)].arrived + self.setup.patience;
        if self.now > deadline {
            self.finish(id);
        }
        self.requests[at(id)].is_done
    }

    fn finish(&mut self, id: u64) {
        let request = &mut self.requests[at(id)];
        if !request.is_done && self.setup.policy == Policy::Weighed {
            let limits = &mut self.entries[request.entry].limits;
            limits.release(&account(request.account));
        }
        request.is_done = true;
    }

    fn choose(&mut self, id: u64) {
        if self.is_over(id) {
            return;
        }
        match self.setup.policy {
            Policy::Baseline => self.choose_any(id),
            Policy::Weighed => self.choose_weighed(id),
        }
    }

    /// Any target of the own data centre.
    fn choose_any(&mut self, id: u64) {
        let own = self.entries[self.requests[at(id)].entry].centre;
        let each = self.setup.natures.len();
        let target = own * each + self.rng.usize(..each);
        self.sends += 1;
        self.plan(NEAR, Event::AtTarget(id, target));
    }

    fn choose_weighed(&mut self, id: u64) {
        let request = &self.requests[at(id)];
        let limits = &self.entries[request.entry].limits;
        let queue_access = limits.queue_access(&account(request.account));
        let entry = &mut self.entries[request.chooser];
        let requirements = TargetRequirements {
            queue_access,
            avoid: request.avoid.clone(),
            prefix: prefix(request.group),
            ..TargetRequirements::subject("dispatch")
        };
        let choice = if entry.out {
            None
        } else {
            entry.table.choose(self.now, &requirements, &mut self.rng)
        };
        if let Some(choice) = choice {
            entry
                .table
                .record_send(self.now, &choice.target, &requirements.prefix);
            let target = self.targets.iter().position(|t| t.name == choice.target);
            self.sends += 1;
            self.plan(NEAR, Event::AtTarget(id, target.unwrap_or(0)));
            return;
        }
        let (hops, waited) = (request.hops, self.now.since(request.asked));
        let own = entry.centre;
        let others = (0..self.setup.centres).filter(|n| *n != own && !self.is_out(*n));
        let others: Vec<_> = others.map(centre).collect();
        let entry = &mut self.entries[self.requests[at(id)].chooser];
        let rng = &mut self.rng;
        let found = entry.spill.choose(self.now, hops, BODY_BYTES, &others, rng);
        if let Some(found) = found {
            self.request(id).hops += 1;
            let near = (0..self.entries.len())
                .filter(|n| centre(self.entries[*n].centre) == found)
                .collect::<Vec<_>>();
            let remote = near[self.rng.usize(..near.len())];
            self.sends += 1;
            self.plan(FAR, Event::Relay(id, remote));
        } else if waited < ROOM_LIMIT {
            self.plan(ROOM_POLL, Event::Choose(id));
        } else if self.requests[at(id)].hops > 0 {
            self.plan(FAR, Event::Refused(id, None, Refusal::Busy));
        } else {
            self.finish(id);
        }
    }

    /// Whether every entry knows that a data centre is out.
    fn is_out(&self, centre: usize) -> bool {
        self.entries[centre * self.setup.entries].out
    }

    fn at_target(&mut self, id: u64, target: usize) {
        let request = &self.requests[at(id)];
        let deadline = request.arrived + self.setup.patience;
        let (account, group) = (account(request.account), request.group);
        let effects = self.targets[target].send(self.now, id, &account, deadline, group);
        self.effect(target, effects);
    }

    fn effect(&mut self, target: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Runs(id, time) => self.plan(time, Event::End(id, target)),
                Effect::Refused(id, refusal) => {
                    self.plan(NEAR, Event::Refused(id, Some(target), refusal));
                }
                Effect::Failed(id) => {
                    self.plan(NEAR, Event::Refused(id, Some(target), Refusal::Busy));
                }
            }
        }
    }

    fn end(&mut self, id: u64, target: usize) {
        let effects = self.targets[target].end(self.now, id);
        self.effect(target, effects);
        let group = self.requests[at(id)].group;
        let events = self.targets[target].cache(group);
        let own = target / self.setup.natures.len();
        for event in events {
            for n in 0..self.entries.len() {
                if self.entries[n].centre == own && self.rng.f64() >= self.setup.gaps {
                    self.plan(CACHE_LAG, Event::Cached(n, event.clone()));
                }
            }
        }
        let crossed = self.requests[at(id)].hops > 0;
        let way = if crossed { NEAR + FAR } else { NEAR };
        self.plan(way, Event::Answer(id, target));
    }

    fn refused(&mut self, id: u64, target: Option<usize>, refusal: Refusal) {
        let chooser = self.requests[at(id)].chooser;
        if let Some(target) = target {
            let name = self.targets[target].name.clone();
            let table = &mut self.entries[chooser].table;
            table.record_end(&name);
            table.record_refusal(self.now, &name);
            self.request(id).avoid.insert(name);
        }
        if self.is_over(id) {
            return;
        }
        if self.setup.policy == Policy::Baseline {
            self.plan(RETRY_PAUSE, Event::Choose(id));
            return;
        }
        let again = refusal != Refusal::Expired && self.entries[chooser].budget.spend();
        if again && target.is_some() {
            self.choose(id);
            return;
        }
        let request = &self.requests[at(id)];
        if request.hops > 0 && chooser != request.entry {
            let from = centre(self.entries[chooser].centre);
            let entry = request.entry;
            self.entries[entry].spill.record_refusal(self.now, &from);
            self.request(id).chooser = entry;
            if self.entries[entry].budget.spend() {
                self.request(id).avoid.clear();
                self.choose(id);
                return;
            }
        }
        self.finish(id);
    }

    fn answer(&mut self, id: u64, target: usize) {
        let name = self.targets[target].name.clone();
        let request = &self.requests[at(id)];
        let (chooser, entry) = (request.chooser, request.entry);
        let table = &mut self.entries[chooser].table;
        table.record_end(&name);
        table.record_accept(&name);
        if chooser != entry {
            let far = centre(self.entries[chooser].centre);
            let spill = &mut self.entries[entry].spill;
            spill.record_accept(self.now, &far);
            spill.spend(self.now, &far, ANSWER_BYTES);
        }
        if self.is_over(id) {
            return;
        }
        let request = &self.requests[at(id)];
        self.answered.push(Answered {
            account: request.account,
            centre: self.entries[entry].centre,
            at: self.now,
            latency: self.now.since(request.arrived),
        });
        self.finish(id);
    }

    fn report(&mut self, target: usize) {
        let mut effects = self.targets[target].refresh(self.now);
        effects.extend(self.targets[target].tick(self.now));
        self.effect(target, effects);
        self.sequences += 1;
        let report = HostReport {
            host: name::<HostName>(&format!("host-{target}")),
            incarnation: Incarnation(1),
            sequence: self.sequences,
            leaving: self.targets[target].out,
            loads: vec![self.targets[target].load()],
        };
        let own = target / self.setup.natures.len();
        for entry in self.entries.iter_mut().filter(|entry| entry.centre == own) {
            entry.table.apply_report(self.now + NEAR, report.clone());
        }
        self.plan(REPORT_EVERY, Event::Report(target));
    }
}

fn at(id: u64) -> usize {
    usize::try_from(id).unwrap_or(usize::MAX)
}

impl World {
    /// Requests of the accounts that count.
    pub(super) fn offered<F>(&self, counts: F) -> u64
    where
        F: Fn(usize) -> bool,
    {
        let counted = self
            .requests
            .iter()
            .filter(|request| counts(request.account));
        counted.count() as u64
    }

    /// Requests that came in a stretch of time.
    pub(super) fn offered_during(&self, from: Moment, until: Moment) -> u64 {
        let span = from..until;
        let counted = self
            .requests
            .iter()
            .filter(|request| span.contains(&request.arrived));
        counted.count() as u64
    }
}
