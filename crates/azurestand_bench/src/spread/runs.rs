//! The series of runs that the bench prints.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use azurestand_spread::Policy;

use super::outcome::Outcome;
use super::setup::{Faults, Setup};
use super::world::run;

const MEBIBYTE: u32 = 1024 * 1024;

/// Runs at once; each keeps one core busy.
const THREADS: usize = 3;

/// One run with its name, not yet run.
#[derive(Debug, Clone)]
pub struct Case {
    /// What is run.
    pub name: String,
    /// How.
    pub setup: Setup,
}

impl Case {
    fn new(name: &str, setup: Setup) -> Self {
        Self {
            name: name.to_owned(),
            setup,
        }
    }
}

/// Runs all cases, a few at once, and returns their outcomes in the same order.
pub fn measure(cases: &[Case]) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some((index, case)) = take(cases, &next) {
            done.push((index, run(&case.setup)));
        }
        done
    };
    let mut outcomes = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let done = workers.into_iter().filter_map(|worker| worker.join().ok());
        done.flatten().collect::<Vec<_>>()
    });
    outcomes.sort_by_key(|(index, _)| *index);
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Takes the last case first, since those are the longest.
fn take<'a>(cases: &'a [Case], next: &AtomicUsize) -> Option<(usize, &'a Case)> {
    let taken = next.fetch_add(1, Ordering::Relaxed);
    let index = cases.len().checked_sub(taken + 1)?;
    Some((index, &cases[index]))
}

/// Time and copies over the number of hosts, beside the two baselines.
pub fn scale(short: bool) -> Vec<Case> {
    let counts: &[usize] = if short { &[10, 90] } else { &[10, 30, 90, 270] };
    let policies = [
        ("ordered", Policy::Ordered),
        ("all from origin", Policy::Origin),
        ("random peers", Policy::Unordered),
    ];
    let mut cases = Vec::new();
    for (name, policy) in policies {
        for &hosts in counts {
            let setup = Setup {
                hosts,
                policy,
                patience: patience(policy, hosts),
                ..Setup::default()
            };
            cases.push(Case::new(name, setup));
        }
    }
    cases
}

/// Baselines take long; random peers of many hosts are cut short, since each
/// bound of theirs costs half a minute to compute.
fn patience(policy: Policy, hosts: usize) -> u64 {
    match policy {
        Policy::Origin => 150,
        Policy::Unordered if hosts > 90 => 2,
        Policy::Unordered | Policy::Ordered => 8,
    }
}

/// Small and large versions: the links between regions carry them, or hardly.
pub fn ends(short: bool) -> Vec<Case> {
    let sizes = [
        ("256 MiB", 256, 1),
        ("1 GiB", 256, 4),
        ("4 GiB", 256, 16),
        ("16 GiB", 1024, 16),
    ];
    let case = |(name, chunks, mebibytes): (&str, usize, u32)| {
        let setup = Setup {
            hosts: smaller(short),
            chunks,
            length: mebibytes * MEBIBYTE,
            ..Setup::default()
        };
        Case::new(name, setup)
    };
    sizes.into_iter().map(case).collect()
}

/// Corrupted chunks, dying hosts and a change of version, alone and together.
pub fn faults(short: bool) -> Vec<Case> {
    let none = Faults::default();
    let corrupt = Faults {
        corrupt: 0.05,
        ..none
    };
    let dying = Faults { dying: 5, ..none };
    let change = Faults {
        change: true,
        ..none
    };
    let all = Faults {
        corrupt: 0.05,
        dying: 5,
        change: true,
    };
    let few = smaller(short);
    let most = if short { few } else { 270 };
    let cases = [
        ("5% corrupted", corrupt, few),
        ("5% of hosts die", dying, few),
        ("version changes", change, few),
        ("all three", all, few),
        ("all three", all, most),
    ];
    let case = |(name, faults, hosts): (&str, Faults, usize)| {
        let setup = Setup {
            hosts,
            faults,
            ..Setup::default()
        };
        Case::new(name, setup)
    };
    cases.into_iter().map(case).collect()
}

/// The same gibibyte in chunks of different length.
pub fn chunk_sizes(short: bool) -> Vec<Case> {
    let counts: &[u32] = if short {
        &[64, 256, 512]
    } else {
        &[32, 64, 128, 256, 512, 1024]
    };
    let case = |chunks: &u32| {
        let length = 1024 * MEBIBYTE / chunks;
        let setup = Setup {
            hosts: smaller(short),
            length,
            chunks: *chunks as usize,
            ..Setup::default()
        };
        Case::new(&format!("{} KiB", length / 1024), setup)
    };
    counts.iter().map(case).collect()
}

/// More or fewer drawing agents a region and data centre.
pub fn designated_hosts(short: bool) -> Vec<Case> {
    let case = |designated_hosts: usize| {
        let setup = Setup {
            hosts: smaller(short),
            designated_hosts,
            ..Setup::default()
        };
        Case::new(&format!("{designated_hosts} drawing"), setup)
    };
    [2, 4, 8, 12].map(case).into()
}

fn smaller(short: bool) -> usize {
    if short { 30 } else { 90 }
}
