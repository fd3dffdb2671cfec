//! A model of several entries that receive each other's demands late.

use std::collections::BTreeMap;
use std::time::Duration;

use azurestand_route::{AccountLimits, Allowance, DEMAND_INTERVAL, Demand};
use azurestand_types::{AccountName, HostName, Moment};

const STEP: Duration = Duration::from_millis(100);

pub(super) fn account(n: usize) -> AccountName {
    AccountName::try_from(format!("account-{n}")).unwrap()
}

fn host(n: usize) -> HostName {
    HostName::try_from(format!("entry-{n}")).unwrap()
}

#[derive(Debug)]
struct Message {
    due: Moment,
    from: usize,
    to: usize,
    demand: Demand,
}

#[derive(Debug, Default)]
struct Entry {
    limits: AccountLimits,
    live: bool,
    /// How many live entries it knows of, and when it learns of a new number.
    known: usize,
    pending: Option<(Moment, usize)>,
    in_flight: Vec<Moment>,
}

/// All entries, the messages between them and the admitted requests.
#[derive(Debug)]
pub(super) struct World {
    pub(super) now: Moment,
    pub(super) admitted: Vec<Moment>,
    pub(super) max_in_flight: usize,
    pub(super) max_total: f64,
    allowance: Allowance,
    entries: Vec<Entry>,
    messages: Vec<Message>,
    last: BTreeMap<(usize, usize), Moment>,
    delay: Duration,
    rng: fastrand::Rng,
    demands_sent: bool,
    ticks: u64,
}

impl World {
    pub(super) fn new(entries: usize, allowance: Allowance, delay: Duration, seed: u64) -> Self {
        let entry = || Entry {
            live: true,
            known: entries,
            ..Entry::default()
        };
        Self {
            now: Moment::from_millis(1_000),
            admitted: Vec::new(),
            max_in_flight: 0,
            max_total: 0.0,
            allowance,
            entries: (0..entries).map(|_| entry()).collect(),
            messages: Vec::new(),
            last: BTreeMap::new(),
            delay,
            rng: fastrand::Rng::with_seed(seed),
            demands_sent: true,
            ticks: 0,
        }
    }

    /// Drops all demands from now on.
    pub(super) fn drop_demands(&mut self) {
        self.demands_sent = false;
    }

    pub(super) fn live(&self) -> usize {
        self.entries.iter().filter(|entry| entry.live).count()
    }

    /// Lets an entry join, which knows all others, or leave; the others learn of it
    /// late.
    pub(super) fn set_live(&mut self, n: usize, live: bool) {
        if live == self.entries[n].live || (!live && self.live() < 2) {
            return;
        }
        self.entries[n].live = live;
        let count = self.live();
        for m in 0..self.entries.len() {
            let due = self.now + self.draw(self.delay);
            self.entries[m].pending = Some((due, count));
        }
        self.entries[n].limits = AccountLimits::default();
        self.entries[n].in_flight.clear();
        if live {
            self.entries[n].known = count;
        }
    }

    fn draw(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.f64())
    }

    /// Advances time by one step, in which `tries[n]` requests arrive at entry `n`.
    pub(super) fn step(&mut self, tries: &[usize], duration: Duration) {
        self.now = self.now + STEP;
        self.ticks += 1;
        self.update_views();
        self.send_demands();
        self.deliver();
        for (n, tries) in tries.iter().enumerate() {
            self.end_requests(n);
            (0..*tries).for_each(|_| self.arrive(n, duration));
        }
        let in_flight = self.entries.iter().map(|entry| entry.in_flight.len()).sum();
        self.max_in_flight = self.max_in_flight.max(in_flight);
        self.max_total = self.max_total.max(self.shares().iter().sum());
    }

    pub(super) fn shares(&self) -> Vec<f64> {
        let live = self.entries.iter().filter(|entry| entry.live);
        live.map(|entry| entry.limits.share(&account(0), entry.known))
            .collect()
    }

    fn update_views(&mut self) {
        let live: Vec<_> = (0..self.entries.len())
            .filter(|n| self.entries[*n].live)
            .map(host)
            .collect();
        for entry in &mut self.entries {
            if let Some((due, count)) = entry.pending
                && due <= self.now
            {
                entry.known = count;
                entry.pending = None;
                entry.limits.retain_peers(|host| live.contains(host));
            }
        }
    }

    fn send_demands(&mut self) {
        let every = u64::try_from(DEMAND_INTERVAL.as_millis() / STEP.as_millis()).unwrap();
        for n in 0..self.entries.len() {
            let is_due = (self.ticks + n as u64).is_multiple_of(every);
            if !self.entries[n].live || !is_due || !self.demands_sent {
                continue;
            }
            let demand = self.entries[n].limits.update_demand(self.now);
            for to in (0..self.entries.len()).filter(|to| *to != n) {
                let due = self.now + self.draw(self.delay);
                let last = self.last.entry((n, to)).or_default();
                *last = due.max(*last);
                let due = *last;
                let demand = demand.clone();
                self.messages.push(Message {
                    due,
                    from: n,
                    to,
                    demand,
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= now);
        self.messages = later;
        let due: Vec<Message> = due;
        for message in due {
            let known = self.entries[message.from].live;
            let entry = &mut self.entries[message.to];
            if known && entry.live {
                let from = host(message.from);
                entry
                    .limits
                    .apply_demand(now, &from, message.demand, entry.known);
            }
        }
    }

    fn end_requests(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        let before = entry.in_flight.len();
        entry.in_flight.retain(|end| *end > now);
        for _ in entry.in_flight.len()..before {
            entry.limits.release(&account(0));
        }
    }

    fn arrive(&mut self, n: usize, duration: Duration) {
        let entry = &mut self.entries[n];
        if !entry.live {
            return;
        }
        let admitted = entry
            .limits
            .admit(self.now, &account(0), self.allowance, entry.known);
        if admitted.is_ok() {
            entry.in_flight.push(self.now + duration);
            self.admitted.push(self.now);
        }
    }
}
