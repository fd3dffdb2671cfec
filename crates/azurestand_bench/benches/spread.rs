//! Prints the measures of spreading; `--short` runs fewer hosts.

use std::env;

use azurestand_bench::spread::{
    Case, Outcome, chunk_sizes, designated_hosts, ends, faults, measure, scale,
};

fn main() {
    let short = env::args().any(|argument| argument == "--short");
    print("hosts and policies, 1 GiB", &scale(short));
    print("both ends of size", &ends(short));
    print("faults", &faults(short));
    print("chunk length", &chunk_sizes(short));
    print("drawing agents", &designated_hosts(short));
}

fn print(title: &str, cases: &[Case]) {
    println!("\n{title}");
    println!(
        "{:<18}{:>6}{:>9}{:>9}{:>8}{:>8}{:>20}{:>8}{:>9}{:>9}{:>9}{:>7}{:>9}",
        "run",
        "hosts",
        "time s",
        "bound s",
        "ratio",
        "origin",
        "by region",
        "cross",
        "cpu ms",
        "ctl KB",
        "max KB",
        "up %",
        "live"
    );
    for (case, outcome) in cases.iter().zip(measure(cases)) {
        print_row(case, &outcome);
    }
}

fn print_row(case: &Case, outcome: &Outcome) {
    let regions: Vec<_> = outcome.regions.iter().map(|r| format!("{r:.2}")).collect();
    println!(
        "{:<18}{:>6}{:>9.1}{:>9.1}{:>8}{:>8.2}{:>20}{:>8.2}{:>9.1}{:>9.1}{:>9.1}{:>7.1}{:>9}",
        case.name,
        case.setup.hosts,
        outcome.time.as_secs_f64(),
        outcome.bound.as_secs_f64(),
        ratio(outcome),
        outcome.origin,
        regions.join(" "),
        outcome.cross,
        outcome.cpu.as_secs_f64() * 1e3,
        kilobytes(outcome.control),
        kilobytes(outcome.busiest),
        outcome.used * 100.0,
        format!("{}/{}", outcome.live, outcome.alive),
    );
}

fn kilobytes(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1e3
}

/// A run that was given up shows how far it came.
fn ratio(outcome: &Outcome) -> String {
    let given_up = outcome.live < outcome.alive;
    let mark = if given_up { ">" } else { "" };
    format!("{mark}{:.3}", outcome.ratio())
}
