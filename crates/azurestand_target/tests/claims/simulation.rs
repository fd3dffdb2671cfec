//! A simulated store, a simulated service that counts its runs, and the network
//! between the processes.
//!
//! The simulation doesn't depend on how homes decide: it delivers their calls,
//! late, twice or never, and counts the runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurestand_target::{
    Batch, Claim, ClaimKey, CommitResult, Holder, HomeAction, HomeEvent, HomeSettings, Homes,
    KeyedRequest, Outage, Record, Shard, ShardContents, Version,
};
use azurestand_types::{
    AccountName, Digest, HostName, Incarnation, Moment, Outcome, Refusal, RequestId, RequestKey,
    ServiceName, Uncertainty,
};
use bytes::Bytes;

/// The number of hosts that the document lists.
pub(crate) const HOSTS: usize = 3;
/// The number of processes. The last is a second incarnation on the first host,
/// which may run at the same time as the first one.
pub(crate) const PROCESSES: usize = 4;

pub(crate) fn settings(outage: Outage) -> HomeSettings {
    HomeSettings {
        outage,
        window: Duration::from_secs(20),
        max_transit: Duration::from_secs(2),
        lease: Duration::from_secs(4),
        clock_margin: Duration::from_millis(500),
        renew_interval: Duration::from_secs(1),
        store_timeout: Duration::from_millis(200),
        takeover_step: Duration::from_millis(500),
        ..HomeSettings::default()
    }
}

pub(crate) fn service() -> ServiceName {
    ServiceName::try_from("booking").unwrap()
}

pub(crate) fn host(index: usize) -> HostName {
    HostName::try_from(format!("runner-{}", index % HOSTS)).unwrap()
}

/// The encoded contents of the store for one shard.
#[derive(Default)]
struct Slot {
    record: Option<(Vec<u8>, Version)>,
    batches: BTreeMap<u64, Vec<u8>>,
}

/// A call on its way to the store.
#[derive(Clone)]
struct Call {
    host: usize,
    incarnation: u64,
    shard: Shard,
    write: Option<Batch>,
    claims: bool,
}

/// A process with its clock and its faults.
pub(crate) struct Process {
    pub(crate) homes: Option<Homes>,
    incarnation: u64,
    /// The speed of its clock, in thousandths of real time.
    clock_rate: u64,
    started_at: u64,
    pub(crate) paused: bool,
    pub(crate) partitioned: bool,
    inbox: Vec<HomeEvent>,
    settings: HomeSettings,
}

/// The last reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reply {
    Attached(RequestId),
    Ended(Outcome),
    Redirected,
}

pub(crate) struct Simulation {
    micros: u64,
    pub(crate) store_up: bool,
    versions: u64,
    slots: BTreeMap<Shard, Slot>,
    pub(crate) processes: Vec<Process>,
    calls: Vec<Call>,
    /// Answers of the store whose calls have timed out, but which may still
    /// arrive.
    late_answers: Vec<(usize, u64, HomeEvent)>,
    requests: Vec<(u64, usize, KeyedRequest)>,
    /// Requests that were started but haven't reached the service yet.
    starts: Vec<(usize, u64, RequestId)>,
    /// Requests that the service has run and whose answer is on its way.
    ends: Vec<(usize, u64, RequestId)>,
    keys: BTreeMap<RequestId, u32>,
    first: BTreeMap<u32, u64>,
    pub(crate) runs: BTreeMap<u32, u32>,
    ran: BTreeSet<RequestId>,
    pub(crate) replies: BTreeMap<RequestId, Reply>,
    next: u128,
    /// The times of the writes that each process sent, on its own clock.
    pub(crate) writes: BTreeMap<usize, Vec<Moment>>,
    pub(crate) reads: u64,
}

impl Simulation {
    pub(crate) fn new(outage: Outage) -> Self {
        let mut sim = Self {
            micros: 0,
            store_up: true,
            versions: 0,
            slots: BTreeMap::new(),
            processes: Vec::new(),
            calls: Vec::new(),
            late_answers: Vec::new(),
            requests: Vec::new(),
            starts: Vec::new(),
            ends: Vec::new(),
            keys: BTreeMap::new(),
            first: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            replies: BTreeMap::new(),
            next: 0,
            writes: BTreeMap::new(),
            reads: 0,
        };
        for index in 0..PROCESSES {
            sim.processes.push(Process {
                homes: None,
                incarnation: 100 * index as u64,
                clock_rate: 990 + 10 * index as u64,
                started_at: 0,
                paused: false,
                partitioned: false,
                inbox: Vec::new(),
                settings: settings(outage),
            });
            if index < HOSTS {
                sim.restart(index);
            }
        }
        sim
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
        process.incarnation += 1;
        process.started_at = micros;
        process.paused = false;
        process.inbox.clear();
        let me = Holder {
            host: host(index),
            incarnation: Incarnation(process.incarnation),
        };
        process.homes = Some(Homes::new(&service(), &me, &process.settings));
        let all = (0..HOSTS).map(host).collect();
        self.handle(index, HomeEvent::Listed(all));
    }

    /// Ends the process; the messages that it sent before are still delivered.
    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index].homes = None;
        self.processes[index].inbox.clear();
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.handle(index, HomeEvent::Stop);
    }

    pub(crate) fn pause(&mut self, index: usize, paused: bool) {
        self.processes[index].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.processes[index].inbox) {
                self.handle(index, event);
            }
        }
    }

    pub(crate) fn advance(&mut self, span: Duration) {
        self.micros += u64::try_from(span.as_micros()).unwrap();
        for index in 0..PROCESSES {
            if !self.processes[index].paused {
                self.handle(index, HomeEvent::Tick);
            }
        }
    }

    /// Delivers everything in order while `span` passes; all runs are answered.
    pub(crate) fn settle(&mut self, span: Duration) {
        self.flow(span, Flow::Whole);
    }

    /// Delivers everything in order while `span` passes.
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
        while !self.requests.is_empty() {
            self.deliver_request(0);
        }
        for _ in 0..self.calls.len() {
            self.deliver_call(0, true);
        }
        match flow {
            Flow::Whole => self.serve(RunEnd::Answered),
            Flow::Failing => self.serve(RunEnd::Failed),
            Flow::Refusing => (0..self.starts.len()).for_each(|_| self.refuse_start(0)),
            Flow::Stuck => {}
        }
    }

    fn serve(&mut self, how: RunEnd) {
        while !self.starts.is_empty() {
            self.run(0);
        }
        while !self.ends.is_empty() {
            self.end(0, how);
        }
    }

    /// Sends a request with `key` to the process `index`, unless the retry
    /// window of its first send is over.
    pub(crate) fn submit(&mut self, key: u32, index: usize) -> Option<RequestId> {
        self.ask_for(key, key, index)
    }

    /// The same with another body than the one that belongs to the key.
    pub(crate) fn ask_for(&mut self, key: u32, body: u32, index: usize) -> Option<RequestId> {
        let first = *self.first.entry(key).or_insert(self.micros);
        let window = u64::try_from(settings(Outage::Wait).window.as_micros()).unwrap();
        if self.micros > first + window {
            return None;
        }
        self.next += 1;
        let id = RequestId(self.next);
        let request = KeyedRequest {
            id,
            account: AccountName::try_from("depot").unwrap(),
            key: RequestKey::try_from(format!("k{key}").as_str()).unwrap(),
            fingerprint: Digest::of(&body.to_le_bytes()),
            deadline: self.clock(index) + Duration::from_secs(3),
        };
        self.keys.insert(id, key);
        self.requests.push((self.micros, index, request));
        Some(id)
    }

    pub(crate) fn holder(&self, key: u32) -> Option<usize> {
        let slot = self.slots.get(&shard(key))?;
        let (record, _) = slot.record.as_ref()?;
        let holder = Record::decode(record).unwrap().holder?;
        let is_holder = |index: &usize| {
            host(*index) == holder.host
                && self.processes[*index].incarnation == holder.incarnation.0
        };
        (0..PROCESSES).find(is_holder)
    }

    pub(crate) fn deliver_request(&mut self, n: usize) {
        if self.requests.is_empty() {
            return;
        }
        let (sent, index, request) = self.requests.remove(n % self.requests.len());
        // Agents refuse a send that was on its way for longer, by its stamp.
        if self.micros <= sent + 2_000_000 {
            self.handle(index, HomeEvent::Arrived(request));
        }
    }

    /// Whether `id` was started and hasn't reached the service yet.
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

    /// Delivers the calls on their way to the store for the shard of `key`.
    pub(crate) fn deliver_calls_of(&mut self, key: u32, answered: bool) {
        let wanted = shard(key);
        let now = self
            .calls
            .iter()
            .filter(|call| call.shard == wanted)
            .count();
        for _ in 0..now {
            // Calls that result from these are queued behind them.
            let first = self.calls.iter().position(|call| call.shard == wanted);
            self.deliver_call(first.unwrap(), answered);
        }
    }

    pub(crate) fn list(&mut self, homes: &[usize]) {
        let homes: Vec<_> = homes.iter().copied().map(host).collect();
        for index in 0..PROCESSES {
            self.handle(index, HomeEvent::Listed(homes.clone()));
        }
    }

    pub(crate) fn revoke(&mut self, id: RequestId, index: usize) {
        self.handle(index, HomeEvent::Revoke(id));
    }

    pub(crate) fn drop_request(&mut self, n: usize) {
        if !self.requests.is_empty() {
            self.requests.remove(n % self.requests.len());
        }
    }

    pub(crate) fn revoke_nth(&mut self, n: usize) {
        let ids: Vec<_> = self.keys.keys().copied().collect();
        if let Some(id) = ids.get(n % ids.len().max(1)).copied() {
            for index in 0..PROCESSES {
                self.handle(index, HomeEvent::Revoke(id));
            }
        }
    }

    /// Duplicates a call that is on its way to the store.
    pub(crate) fn duplicate_call(&mut self, n: usize) {
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
        let reaches = self.store_up && !self.processes[call.host].partitioned;
        let event = match call.write {
            Some(batch) if reaches => {
                let result = self.write(call.shard, &batch);
                let write_number = batch.record.write_number;
                let event = HomeEvent::Committed(call.shard, write_number, result);
                if answered {
                    event
                } else {
                    self.late_answers.push((call.host, call.incarnation, event));
                    HomeEvent::Committed(call.shard, write_number, CommitResult::Unknown)
                }
            }
            Some(batch) => {
                HomeEvent::Committed(call.shard, batch.record.write_number, CommitResult::Unknown)
            }
            None if reaches && answered => {
                HomeEvent::Loaded(call.shard, self.read(call.shard, call.claims))
            }
            None => HomeEvent::ReadFailed(call.shard),
        };
        self.reply(call.host, call.incarnation, event);
    }

    /// Delivers an answer of the store after its call has timed out.
    pub(crate) fn deliver_late(&mut self, n: usize) {
        if !self.late_answers.is_empty() {
            let (host, incarnation, event) = self.late_answers.remove(n % self.late_answers.len());
            self.reply(host, incarnation, event);
        }
    }

    /// Reports a time-out to the sender of a call; the call itself is still
    /// delivered.
    pub(crate) fn time_out(&mut self, n: usize) {
        if self.calls.is_empty() {
            return;
        }
        let place = n % self.calls.len();
        let call = self.calls[place].clone();
        let event = match &call.write {
            // The answer to the call itself may still arrive, late.
            Some(batch) => {
                HomeEvent::Committed(call.shard, batch.record.write_number, CommitResult::Unknown)
            }
            None => HomeEvent::ReadFailed(call.shard),
        };
        self.reply(call.host, call.incarnation, event);
    }

    pub(crate) fn run(&mut self, n: usize) {
        if self.starts.is_empty() {
            return;
        }
        let (index, incarnation, id) = self.starts.remove(n % self.starts.len());
        let key = self.keys[&id];
        let runs = self.runs.entry(key).or_insert(0);
        *runs += 1;
        assert_eq!(*runs, 1, "key {key} ran twice");
        assert!(self.ran.insert(id), "request {id} ran twice");
        let reply = self.replies.get(&id);
        assert!(
            !matches!(reply, Some(Reply::Ended(Outcome::NotRun(_)))),
            "request {id} ran after it was reported as not run: {reply:?}"
        );
        self.ends.push((index, incarnation, id));
    }

    /// The agent's admission refuses a start, which never reaches the service.
    pub(crate) fn refuse_start(&mut self, n: usize) {
        if self.starts.is_empty() {
            return;
        }
        let (index, incarnation, id) = self.starts.remove(n % self.starts.len());
        let outcome = Outcome::NotRun(Refusal::Busy);
        self.record_outcome(id, outcome);
        self.reply(
            index,
            incarnation,
            HomeEvent::Finished {
                id,
                outcome,
                answer: None,
            },
        );
    }

    pub(crate) fn end(&mut self, n: usize, how: RunEnd) {
        if self.ends.is_empty() {
            return;
        }
        let (index, incarnation, id) = self.ends.remove(n % self.ends.len());
        let (outcome, answer) = match how {
            RunEnd::Answered => {
                let body = Bytes::from(format!("booked {}", self.keys[&id]));
                (Outcome::Answered, Some(body))
            }
            RunEnd::Failed => (Outcome::Unknown(Uncertainty::TargetFailed), None),
        };
        self.record_outcome(id, outcome);
        self.reply(
            index,
            incarnation,
            HomeEvent::Finished {
                id,
                outcome,
                answer,
            },
        );
    }

    fn clock(&self, index: usize) -> Moment {
        let process = &self.processes[index];
        Moment::from_micros((self.micros - process.started_at) / 1_000 * process.clock_rate)
    }

    fn reply(&mut self, index: usize, incarnation: u64, event: HomeEvent) {
        let process = &self.processes[index];
        if process.homes.is_some() && process.incarnation == incarnation {
            self.handle(index, event);
        }
    }

    fn handle(&mut self, index: usize, event: HomeEvent) {
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
        let incarnation = process.incarnation;
        for action in homes.handle(now, event) {
            self.perform(index, incarnation, action);
        }
    }

    fn perform(&mut self, host: usize, incarnation: u64, action: HomeAction) {
        let call = |shard, write, claims| Call {
            host,
            incarnation,
            shard,
            write,
            claims,
        };
        match action {
            HomeAction::Run(id) => self.starts.push((host, incarnation, id)),
            HomeAction::Attach { id, first } => {
                assert_eq!(
                    self.keys[&id], self.keys[&first],
                    "attached to the answer of another key"
                );
                self.replies.insert(id, Reply::Attached(first));
            }
            HomeAction::Answer { id, outcome, body } => {
                if let Some(body) = body {
                    let own = format!("booked {}", self.keys[&id]);
                    assert_eq!(body, own, "the answer belongs to another key");
                }
                let ran = self.runs.contains_key(&self.keys[&id]);
                assert!(
                    ran || outcome != Outcome::Answered,
                    "answered without a run"
                );
                self.record_outcome(id, outcome);
            }
            HomeAction::Refuse(id, refusal) => self.record_outcome(id, Outcome::NotRun(refusal)),
            HomeAction::Revoked(id) => self.record_outcome(id, Outcome::NotRun(Refusal::Revoked)),
            HomeAction::Redirect(id, _) => {
                self.replies.insert(id, Reply::Redirected);
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

    fn record_outcome(&mut self, id: RequestId, outcome: Outcome) {
        if let Outcome::NotRun(_) = outcome {
            assert!(
                !self.ran.contains(&id),
                "request {id} ran and was reported as not run"
            );
        }
        self.replies.insert(id, Reply::Ended(outcome));
    }

    fn write(&mut self, shard: Shard, batch: &Batch) -> CommitResult {
        let slot = self.slots.entry(shard).or_default();
        let version = slot.record.as_ref().map(|(_, version)| *version);
        if version != batch.expected_version {
            return CommitResult::NotApplied;
        }
        self.versions += 1;
        let version = Version(self.versions);
        slot.record = Some((batch.record.encode(), version));
        if !batch.claims.is_empty() {
            let old = slot
                .batches
                .insert(batch.record.write_number, Claim::encode(&batch.claims));
            assert!(old.is_none(), "a batch was overwritten");
        }
        for write_number in &batch.dropped_batches {
            slot.batches.remove(write_number);
        }
        CommitResult::Applied(version)
    }

    fn read(&mut self, shard: Shard, claims: bool) -> ShardContents {
        let slot = self.slots.entry(shard).or_default();
        let record = slot.record.as_ref();
        let record = record.map(|(value, version)| (Record::decode(value).unwrap(), *version));
        let batches = slot.batches.iter().filter(|_| claims);
        let decode = |value: &Vec<u8>| Claim::decode(Bytes::from(value.clone())).unwrap();
        ShardContents {
            record,
            batches: batches
                .map(|(write_number, value)| (*write_number, decode(value)))
                .collect(),
        }
    }
}

/// How the service handles the requests that it receives.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Flow {
    Whole,
    Failing,
    Refusing,
    Stuck,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum RunEnd {
    Answered,
    Failed,
}

fn shard(key: u32) -> Shard {
    let account = AccountName::try_from("depot").unwrap();
    let key = RequestKey::try_from(format!("k{key}").as_str()).unwrap();
    ClaimKey::of(&account, &key).shard()
}
