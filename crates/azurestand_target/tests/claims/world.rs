//! A fake store, a fake service that counts its runs, and the network between.
//!
//! Nothing here knows how homes decide; it only carries their calls, late,
//! twice or never, and counts what was run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_target::{
    Ask, Batch, Claim, ClaimKey, Committed, Holder, HomeAction, HomeEvent, HomeSettings, Homes,
    Loaded, Outage, Record, Shard, Version,
};
use azurestand_types::{
    AccountName, Digest, HostName, Incarnation, Moment, Outcome, Refusal, RequestId, RequestKey,
    ServiceName, Uncertainty,
};
use bytes::Bytes;

/// Host names that the document lists.
pub(crate) const HOSTS: usize = 3;
/// Processes; the last is a second life of the first host, which may go on
/// beside the first one.
pub(crate) const PROCESSES: usize = 4;

pub(crate) fn settings(outage: Outage) -> HomeSettings {
    HomeSettings {
        outage,
        window: Duration::from_secs(20),
        transit: Duration::from_secs(2),
        lease: Duration::from_secs(4),
        margin: Duration::from_millis(500),
        renew: Duration::from_secs(1),
        patience: Duration::from_millis(200),
        step: Duration::from_millis(500),
        ..HomeSettings::default()
    }
}

pub(crate) fn service() -> ServiceName {
    ServiceName::try_from("booking").unwrap()
}

pub(crate) fn host(index: usize) -> HostName {
    HostName::try_from(format!("runner-{}", index % HOSTS)).unwrap()
}

/// What the store holds of one shard, in its encoded form.
#[derive(Default)]
struct Slot {
    record: Option<(Vec<u8>, Version)>,
    batches: BTreeMap<u64, Vec<u8>>,
}

/// A call that is on its way to the store.
#[derive(Clone)]
struct Call {
    host: usize,
    life: u64,
    shard: Shard,
    write: Option<Batch>,
    claims: bool,
}

/// A process of the system, its clock and what cuts it off.
pub(crate) struct Process {
    pub(crate) homes: Option<Homes>,
    life: u64,
    /// Thousandths of real time that the clock counts.
    rate: u64,
    born: u64,
    pub(crate) paused: bool,
    pub(crate) cut: bool,
    inbox: Vec<HomeEvent>,
    settings: HomeSettings,
}

/// What happened to a request, by its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Attached(RequestId),
    Told(Outcome),
    Redirected,
}

pub(crate) struct World {
    micros: u64,
    pub(crate) up: bool,
    versions: u64,
    slots: BTreeMap<Shard, Slot>,
    pub(crate) processes: Vec<Process>,
    calls: Vec<Call>,
    /// Answers of the store that were given up and still come.
    late: Vec<(usize, u64, HomeEvent)>,
    asks: Vec<(u64, usize, Ask)>,
    /// Requests given to the service that haven't reached it yet.
    starts: Vec<(usize, u64, RequestId)>,
    /// Requests that the service has run and whose answer is on its way.
    ends: Vec<(usize, u64, RequestId)>,
    asked: BTreeMap<RequestId, u32>,
    first: BTreeMap<u32, u64>,
    pub(crate) runs: BTreeMap<u32, u32>,
    ran: BTreeSet<RequestId>,
    pub(crate) fates: BTreeMap<RequestId, Fate>,
    next: u128,
    /// Writes sent, by process and by its clock.
    pub(crate) writes: BTreeMap<usize, Vec<Moment>>,
    pub(crate) reads: u64,
}

impl World {
    pub(crate) fn new(outage: Outage) -> Self {
        let mut world = Self {
            micros: 0,
            up: true,
            versions: 0,
            slots: BTreeMap::new(),
            processes: Vec::new(),
            calls: Vec::new(),
            late: Vec::new(),
            asks: Vec::new(),
            starts: Vec::new(),
            ends: Vec::new(),
            asked: BTreeMap::new(),
            first: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            fates: BTreeMap::new(),
            next: 0,
            writes: BTreeMap::new(),
            reads: 0,
        };
        for index in 0..PROCESSES {
            world.processes.push(Process {
                homes: None,
                life: 100 * index as u64,
                rate: 990 + 10 * index as u64,
                born: 0,
                paused: false,
                cut: false,
                inbox: Vec::new(),
                settings: settings(outage),
            });
            if index < HOSTS {
                world.restart(index);
            }
        }
        world
    }

    pub(crate) fn configure(&mut self, outage: Outage) {
        self.configure_with(&settings(outage));
    }

    pub(crate) fn configure_with(&mut self, settings: &HomeSettings) {
        for process in &mut self.processes {
            process.settings = settings.clone();
            if let Some(homes) = &mut process.homes {
                homes.configure(settings);
            }
        }
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let micros = self.micros;
        let process = &mut self.processes[index];
        process.life += 1;
        process.born = micros;
        process.paused = false;
        process.inbox.clear();
        let me = Holder {
            host: host(index),
            life: Incarnation(process.life),
        };
        process.homes = Some(Homes::new(&service(), &me, &process.settings));
        let all = (0..HOSTS).map(host).collect();
        self.give(index, HomeEvent::Listed(all));
    }

    /// Ends the process; what it sent before stays on its way.
    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].homes = None;
        self.processes[index].inbox.clear();
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.give(index, HomeEvent::Leave);
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.processes[index].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.processes[index].inbox) {
                self.give(index, event);
            }
        }
    }

    pub(crate) fn advance(&mut self, span: Duration) {
        self.micros += u64::try_from(span.as_micros()).unwrap();
        for index in 0..PROCESSES {
            if !self.processes[index].paused {
                self.give(index, HomeEvent::Tick);
            }
        }
    }

    /// Lets everything arrive in order while `span` passes, and all runs end well.
    pub(crate) fn settle(&mut self, span: Duration) {
        self.flow(span, Flow::Whole);
    }

    /// Lets everything arrive in order while `span` passes.
    pub(crate) fn flow(&mut self, span: Duration, flow: Flow) {
        let step = Duration::from_millis(100);
        let mut left = span;
        while left > Duration::ZERO {
            self.advance(step.min(left));
            for _ in 0..3 {
                self.flush(flow);
            }
            left = left.saturating_sub(step);
        }
    }

    fn flush(&mut self, flow: Flow) {
        while !self.asks.is_empty() {
            self.deliver_ask(0);
        }
        for _ in 0..self.calls.len() {
            self.deliver_call(0, true);
        }
        match flow {
            Flow::Whole => self.serve(Ended::Answered),
            Flow::Failing => self.serve(Ended::Failed),
            Flow::Refusing => (0..self.starts.len()).for_each(|_| self.refuse_start(0)),
            Flow::Stuck => {}
        }
    }

    fn serve(&mut self, how: Ended) {
        while !self.starts.is_empty() {
            self.run(0);
        }
        while !self.ends.is_empty() {
            self.end(0, how);
        }
    }

    /// Sends a request with `key` to `index`, unless its callers gave up retrying.
    pub(crate) fn ask(&mut self, key: u32, index: usize) -> Option<RequestId> {
        self.ask_for(key, key, index)
    }

    /// The same with a body that needn't be the key's own.
    pub(crate) fn ask_for(&mut self, key: u32, body: u32, index: usize) -> Option<RequestId> {
        let first = *self.first.entry(key).or_insert(self.micros);
        let window = u64::try_from(settings(Outage::Wait).window.as_micros()).unwrap();
        if self.micros > first + window {
            return None;
        }
        self.next += 1;
        let id = RequestId(self.next);
        let ask = Ask {
            id,
            account: AccountName::try_from("depot").unwrap(),
            key: RequestKey::try_from(format!("k{key}").as_str()).unwrap(),
            print: Digest::of(&body.to_le_bytes()),
            deadline: self.clock(index) + Duration::from_secs(3),
        };
        self.asked.insert(id, key);
        self.asks.push((self.micros, index, ask));
        Some(id)
    }

    pub(crate) fn holder(&self, key: u32) -> Option<usize> {
        let slot = self.slots.get(&shard(key))?;
        let (record, _) = slot.record.as_ref()?;
        let holder = Record::decode(record).unwrap().holder?;
        let lives = |index: &usize| {
            host(*index) == holder.host && self.processes[*index].life == holder.life.0
        };
        (0..PROCESSES).find(lives)
    }

    pub(crate) fn deliver_ask(&mut self, n: usize) {
        if self.asks.is_empty() {
            return;
        }
        let (sent, index, ask) = self.asks.remove(n % self.asks.len());
        // Agents refuse a send that was longer on its way, by its stamp.
        if self.micros <= sent + 2_000_000 {
            self.give(index, HomeEvent::Asked(ask));
        }
    }

    /// Whether `id` was given out to run and hasn't reached the service yet.
    pub(crate) fn is_started(&self, id: RequestId) -> bool {
        self.starts.iter().any(|(_, _, start)| *start == id)
    }

    /// Whether a write with claims is on its way for the shard of `key`.
    pub(crate) fn is_committing(&self, key: u32) -> bool {
        self.calls.iter().any(|call| {
            let claims = call.write.as_ref().map(|batch| batch.claims.len());
            call.shard == shard(key) && claims > Some(0)
        })
    }

    /// Delivers what is on its way to the store for the shard of `key`.
    pub(crate) fn deliver_calls_of(&mut self, key: u32, answered: bool) {
        let wanted = shard(key);
        let now = self
            .calls
            .iter()
            .filter(|call| call.shard == wanted)
            .count();
        for _ in 0..now {
            // What these bring about comes behind them.
            let first = self.calls.iter().position(|call| call.shard == wanted);
            self.deliver_call(first.unwrap(), answered);
        }
    }

    pub(crate) fn list(&mut self, homes: &[usize]) {
        let homes: Vec<_> = homes.iter().copied().map(host).collect();
        for index in 0..PROCESSES {
            self.give(index, HomeEvent::Listed(homes.clone()));
        }
    }

    pub(crate) fn revoke_id(&mut self, id: RequestId, index: usize) {
        self.give(index, HomeEvent::Revoke(id));
    }

    pub(crate) fn drop_ask(&mut self, n: usize) {
        if !self.asks.is_empty() {
            self.asks.remove(n % self.asks.len());
        }
    }

    pub(crate) fn revoke(&mut self, n: usize) {
        let ids: Vec<_> = self.asked.keys().copied().collect();
        if let Some(id) = ids.get(n % ids.len().max(1)).copied() {
            for index in 0..PROCESSES {
                self.give(index, HomeEvent::Revoke(id));
            }
        }
    }

    /// Sends a copy of a call to the store that is on its way already.
    pub(crate) fn double_call(&mut self, n: usize) {
        if !self.calls.is_empty() {
            let call = self.calls[n % self.calls.len()].clone();
            self.calls.push(call);
        }
    }

    pub(crate) fn deliver_call(&mut self, n: usize, answered: bool) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(n % self.calls.len());
        let reaches = self.up && !self.processes[call.host].cut;
        let event = match call.write {
            Some(batch) if reaches => {
                let result = self.write(call.shard, &batch);
                let beat = batch.record.beat;
                let event = HomeEvent::Committed(call.shard, beat, result);
                if answered {
                    event
                } else {
                    self.late.push((call.host, call.life, event));
                    HomeEvent::Committed(call.shard, beat, Committed::Unknown)
                }
            }
            Some(batch) => HomeEvent::Committed(call.shard, batch.record.beat, Committed::Unknown),
            None if reaches && answered => {
                HomeEvent::Loaded(call.shard, self.read(call.shard, call.claims))
            }
            None => HomeEvent::ReadFailed(call.shard),
        };
        self.reply(call.host, call.life, event);
    }

    /// Delivers an answer of the store long after it was given up.
    pub(crate) fn deliver_late(&mut self, n: usize) {
        if !self.late.is_empty() {
            let (host, life, event) = self.late.remove(n % self.late.len());
            self.reply(host, life, event);
        }
    }

    /// Tells the caller of a call that it timed out; the call itself goes on.
    pub(crate) fn time_out(&mut self, n: usize) {
        if self.calls.is_empty() {
            return;
        }
        let place = n % self.calls.len();
        let call = self.calls[place].clone();
        let event = match &call.write {
            // Its own answer may still come, late.
            Some(batch) => HomeEvent::Committed(call.shard, batch.record.beat, Committed::Unknown),
            None => HomeEvent::ReadFailed(call.shard),
        };
        self.reply(call.host, call.life, event);
    }

    pub(crate) fn run(&mut self, n: usize) {
        if self.starts.is_empty() {
            return;
        }
        let (index, life, id) = self.starts.remove(n % self.starts.len());
        let key = self.asked[&id];
        let runs = self.runs.entry(key).or_insert(0);
        *runs += 1;
        assert_eq!(*runs, 1, "key {key} ran twice");
        assert!(self.ran.insert(id), "request {id} ran twice");
        let told = self.fates.get(&id);
        assert!(
            !matches!(told, Some(Fate::Told(Outcome::NotRun(_)))),
            "request {id} ran after its caller was told that it didn't: {told:?}"
        );
        self.ends.push((index, life, id));
    }

    /// The agent's admission refuses a start that the service never sees.
    pub(crate) fn refuse_start(&mut self, n: usize) {
        if self.starts.is_empty() {
            return;
        }
        let (index, life, id) = self.starts.remove(n % self.starts.len());
        let outcome = Outcome::NotRun(Refusal::Busy);
        self.tell(id, outcome);
        self.reply(
            index,
            life,
            HomeEvent::Finished {
                id,
                outcome,
                answer: None,
            },
        );
    }

    pub(crate) fn end(&mut self, n: usize, how: Ended) {
        if self.ends.is_empty() {
            return;
        }
        let (index, life, id) = self.ends.remove(n % self.ends.len());
        let (outcome, answer) = match how {
            Ended::Answered => {
                let body = Bytes::from(format!("booked {}", self.asked[&id]));
                (Outcome::Answered, Some(body))
            }
            Ended::Failed => (Outcome::Unknown(Uncertainty::TargetFailed), None),
        };
        self.tell(id, outcome);
        self.reply(
            index,
            life,
            HomeEvent::Finished {
                id,
                outcome,
                answer,
            },
        );
    }

    fn clock(&self, index: usize) -> Moment {
        let process = &self.processes[index];
        Moment::from_micros((self.micros - process.born) / 1_000 * process.rate)
    }

    fn reply(&mut self, index: usize, life: u64, event: HomeEvent) {
        let process = &self.processes[index];
        if process.homes.is_some() && process.life == life {
            self.give(index, event);
        }
    }

    fn give(&mut self, index: usize, event: HomeEvent) {
        let now = self.clock(index);
        let process = &mut self.processes[index];
        let Some(homes) = &mut process.homes else {
            return;
        };
        if process.paused {
            if event != HomeEvent::Tick {
                process.inbox.push(event);
            }
            return;
        }
        let life = process.life;
        for action in homes.handle(now, event) {
            self.act(index, life, action);
        }
    }

    fn act(&mut self, host: usize, life: u64, action: HomeAction) {
        let call = |shard, write, claims| Call {
            host,
            life,
            shard,
            write,
            claims,
        };
        match action {
            HomeAction::Run(id) => self.starts.push((host, life, id)),
            HomeAction::Attach { id, first } => {
                assert_eq!(self.asked[&id], self.asked[&first], "a crossed answer");
                self.fates.insert(id, Fate::Attached(first));
            }
            HomeAction::Answer { id, outcome, body } => {
                if let Some(body) = body {
                    let own = format!("booked {}", self.asked[&id]);
                    assert_eq!(body, own, "a foreign answer");
                }
                let ran = self.runs.contains_key(&self.asked[&id]);
                assert!(ran || outcome != Outcome::Answered, "answered unrun");
                self.tell(id, outcome);
            }
            HomeAction::Refuse(id, refusal) => self.tell(id, Outcome::NotRun(refusal)),
            HomeAction::Revoked(id) => self.tell(id, Outcome::NotRun(Refusal::Revoked)),
            HomeAction::Redirect(id, _) => {
                self.fates.insert(id, Fate::Redirected);
            }
            HomeAction::Running(_) => {}
            HomeAction::Commit(shard, batch) => {
                let now = self.clock(host);
                self.writes.entry(host).or_default().push(now);
                self.calls.push(call(shard, Some(batch), false));
            }
            HomeAction::Read { shard, claims } => {
                self.reads += 1;
                self.calls.push(call(shard, None, claims));
            }
        }
    }

    fn tell(&mut self, id: RequestId, outcome: Outcome) {
        if let Outcome::NotRun(_) = outcome {
            assert!(
                !self.ran.contains(&id),
                "request {id} ran and was called not run"
            );
        }
        self.fates.insert(id, Fate::Told(outcome));
    }

    fn write(&mut self, shard: Shard, batch: &Batch) -> Committed {
        let slot = self.slots.entry(shard).or_default();
        let version = slot.record.as_ref().map(|(_, version)| *version);
        if version != batch.expect {
            return Committed::NotApplied;
        }
        self.versions += 1;
        let version = Version(self.versions);
        slot.record = Some((batch.record.encode(), version));
        if !batch.claims.is_empty() {
            let old = slot
                .batches
                .insert(batch.record.beat, Claim::encode(&batch.claims));
            assert!(old.is_none(), "a batch was overwritten");
        }
        for beat in &batch.drop {
            slot.batches.remove(beat);
        }
        Committed::Applied(version)
    }

    fn read(&mut self, shard: Shard, claims: bool) -> Loaded {
        let slot = self.slots.entry(shard).or_default();
        let record = slot.record.as_ref();
        let record = record.map(|(value, version)| (Record::decode(value).unwrap(), *version));
        let batches = slot.batches.iter().filter(|_| claims);
        let decode = |value: &Vec<u8>| Claim::decode(Bytes::from(value.clone())).unwrap();
        Loaded {
            record,
            batches: batches
                .map(|(beat, value)| (*beat, decode(value)))
                .collect(),
        }
    }
}

/// How the service takes what flows to it.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Flow {
    Whole,
    Failing,
    Refusing,
    Stuck,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Ended {
    Answered,
    Failed,
}

fn shard(key: u32) -> Shard {
    let account = AccountName::try_from("depot").unwrap();
    let key = RequestKey::try_from(format!("k{key}").as_str()).unwrap();
    ClaimKey::of(&account, &key).shard()
}
