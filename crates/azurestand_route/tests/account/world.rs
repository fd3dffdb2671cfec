//! Entries that hear each other late, and callers that come where they like.

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
struct Letter {
    due: Moment,
    from: usize,
    to: usize,
    demand: Demand,
}

#[derive(Debug, Default)]
struct Entry {
    limits: AccountLimits,
    live: bool,
    /// How many live entries it knows of, and from when it knows another number.
    known: usize,
    learns: Option<(Moment, usize)>,
    flights: Vec<Moment>,
}

/// All entries, the messages between them and what was let through.
#[derive(Debug)]
pub(super) struct World {
    pub(super) now: Moment,
    pub(super) admitted: Vec<Moment>,
    pub(super) most_flying: usize,
    pub(super) most_parts: f64,
    allowance: Allowance,
    entries: Vec<Entry>,
    letters: Vec<Letter>,
    last: BTreeMap<(usize, usize), Moment>,
    delay: Duration,
    rng: fastrand::Rng,
    carried: bool,
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
            most_flying: 0,
            most_parts: 0.0,
            allowance,
            entries: (0..entries).map(|_| entry()).collect(),
            letters: Vec::new(),
            last: BTreeMap::new(),
            delay,
            rng: fastrand::Rng::with_seed(seed),
            carried: true,
            ticks: 0,
        }
    }

    /// Demands are lost from now on.
    pub(super) fn stop_carrying(&mut self) {
        self.carried = false;
    }

    pub(super) fn live(&self) -> usize {
        self.entries.iter().filter(|entry| entry.live).count()
    }

    /// An entry joins with a whole view, or leaves; the others learn of it late.
    pub(super) fn turn(&mut self, n: usize, live: bool) {
        if live == self.entries[n].live || (!live && self.live() < 2) {
            return;
        }
        self.entries[n].live = live;
        let count = self.live();
        for m in 0..self.entries.len() {
            let due = self.now + self.draw(self.delay);
            self.entries[m].learns = Some((due, count));
        }
        self.entries[n].limits = AccountLimits::default();
        self.entries[n].flights.clear();
        if live {
            self.entries[n].known = count;
        }
    }

    fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.f64())
    }

    /// One step of time in which `tries[n]` requests come to entry `n`.
    pub(super) fn step(&mut self, tries: &[usize], lasting: Duration) {
        self.now = self.now + STEP;
        self.ticks += 1;
        self.learn();
        self.tell();
        self.hear();
        for (n, tries) in tries.iter().enumerate() {
            self.land(n);
            (0..*tries).for_each(|_| self.arrive(n, lasting));
        }
        let flying = self.entries.iter().map(|entry| entry.flights.len()).sum();
        self.most_flying = self.most_flying.max(flying);
        self.most_parts = self.most_parts.max(self.parts().iter().sum());
    }

    pub(super) fn parts(&self) -> Vec<f64> {
        let live = self.entries.iter().filter(|entry| entry.live);
        live.map(|entry| entry.limits.part(&account(0), entry.known))
            .collect()
    }

    fn learn(&mut self) {
        let live: Vec<_> = (0..self.entries.len())
            .filter(|n| self.entries[*n].live)
            .map(host)
            .collect();
        for entry in &mut self.entries {
            if let Some((due, count)) = entry.learns
                && due <= self.now
            {
                entry.known = count;
                entry.learns = None;
                entry.limits.keep(|host| live.contains(host));
            }
        }
    }

    fn tell(&mut self) {
        let every = u64::try_from(DEMAND_INTERVAL.as_millis() / STEP.as_millis()).unwrap();
        for n in 0..self.entries.len() {
            let turn = (self.ticks + n as u64).is_multiple_of(every);
            if !self.entries[n].live || !turn || !self.carried {
                continue;
            }
            let demand = self.entries[n].limits.demand(self.now);
            for to in (0..self.entries.len()).filter(|to| *to != n) {
                let due = self.now + self.draw(self.delay);
                let last = self.last.entry((n, to)).or_default();
                *last = due.max(*last);
                let due = *last;
                let demand = demand.clone();
                self.letters.push(Letter {
                    due,
                    from: n,
                    to,
                    demand,
                });
            }
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter| letter.due <= now);
        self.letters = later;
        let due: Vec<Letter> = due;
        for letter in due {
            let known = self.entries[letter.from].live;
            let entry = &mut self.entries[letter.to];
            if known && entry.live {
                let from = host(letter.from);
                entry.limits.hear(now, &from, letter.demand, entry.known);
            }
        }
    }

    fn land(&mut self, n: usize) {
        let now = self.now;
        let entry = &mut self.entries[n];
        let before = entry.flights.len();
        entry.flights.retain(|end| *end > now);
        for _ in entry.flights.len()..before {
            entry.limits.release(&account(0));
        }
    }

    fn arrive(&mut self, n: usize, lasting: Duration) {
        let entry = &mut self.entries[n];
        if !entry.live {
            return;
        }
        let admitted = entry
            .limits
            .admit(self.now, &account(0), self.allowance, entry.known);
        if admitted.is_ok() {
            entry.flights.push(self.now + lasting);
            self.admitted.push(self.now);
        }
    }
}
