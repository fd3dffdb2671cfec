//! What came of a run's callers.

use std::collections::BTreeMap;

use super::Figures;
use super::caller::{Caller, Class, State};
use super::limited::Limited;

/// Of the tenth of each class's callers with the longest prompts, how many asked and were
/// served.
fn longest(callers: &[Caller], classes: usize) -> Vec<(u32, u32)> {
    let of_class = |class| {
        let all = callers.iter().filter(|caller| caller.class == class);
        let mut all: Vec<&Caller> = all.collect();
        all.sort_by_key(|caller| std::cmp::Reverse(caller.prompt));
        all.truncate(all.len().div_ceil(10));
        let is_served = |caller: &&&Caller| matches!(caller.state, State::Served(_));
        let served = all.iter().filter(is_served).count();
        let count = |number| u32::try_from(number).unwrap_or(u32::MAX);
        (count(all.len()), count(served))
    };
    (0..classes).map(of_class).collect()
}

/// The part of those who asked that was served, of each of several kinds.
fn shares(counts: &[(u32, u32)]) -> Vec<f64> {
    let share = |(asked, served): &(u32, u32)| f64::from(*served) / f64::from((*asked).max(1));
    counts.iter().map(share).collect()
}

/// The figures of a run; `cold` counts sends to each cold target, by second of its life.
pub(super) fn tally(
    callers: &[Caller],
    classes: &[Class],
    cold: &BTreeMap<(usize, u32), u32>,
    limited: &[Limited],
) -> Figures {
    let mut figures = Figures::default();
    let mut owed = 0.0;
    let mut earned = 0.0;
    let mut by_class = vec![(0_u32, 0_u32); classes.len()];
    let mut worth_by_class = vec![0.0; classes.len()];
    let mut by_centre = vec![(0_u32, 0_u32); 3];
    let mut firsts = Vec::new();
    for caller in callers {
        let class = &classes[caller.class];
        figures.asked += 1;
        owed += class.worth;
        by_class[caller.class].0 += 1;
        by_centre[caller.centre].0 += 1;
        match caller.state {
            State::Served(after) => {
                by_class[caller.class].1 += 1;
                by_centre[caller.centre].1 += 1;
                firsts.push(after);
                let worth = if after <= class.aim {
                    figures.in_aim += 1;
                    class.worth
                } else {
                    figures.late += 1;
                    class.late
                };
                earned += worth;
                worth_by_class[caller.class] += worth;
            }
            State::Refused => figures.refused += 1,
            _ => figures.failed += 1,
        }
    }
    firsts.sort_by(f64::total_cmp);
    let at = |part: usize| firsts.get(firsts.len() * part / 100).copied();
    figures.worth = earned / f64::max(owed, 1.0);
    figures.served = shares(&by_class);
    let earned_of = |(class, worth): (&Class, &f64)| worth / class.worth;
    let in_aims = classes.iter().zip(&worth_by_class).map(earned_of);
    let of_asked = |(earned, (asked, _)): (f64, &(u32, u32))| earned / f64::from((*asked).max(1));
    figures.earned = in_aims.zip(&by_class).map(of_asked).collect();
    figures.served_longest = shares(&longest(callers, classes.len()));
    figures.served_centres = shares(&by_centre);
    figures.first_p50 = at(50).unwrap_or_default();
    figures.first_p99 = at(99).unwrap_or_default();
    figures.cold_peak = cold.values().copied().max().unwrap_or_default();
    let peak = limited.iter().map(Limited::peak).max().unwrap_or_default();
    figures.limited_peak = u32::try_from(peak).unwrap_or(u32::MAX);
    let uses: Vec<(f64, f64)> = limited.iter().filter_map(Limited::uses).collect();
    let sent: f64 = uses.iter().map(|(sent, _)| sent).sum();
    let allowed: f64 = uses.iter().map(|(_, allowed)| allowed).sum();
    figures.limited_use = sent / f64::max(allowed, 1.0);
    figures
}
