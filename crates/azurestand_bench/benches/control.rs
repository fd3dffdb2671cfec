//! Prints what membership and dissemination cost at size; `--short` leaves out large fleets,
//! `--planned` measures the planned size alone.

use azurestand_bench::control;

const SEED: u64 = 5;

fn main() {
    let given = |wanted: &str| std::env::args().any(|arg| arg == wanted);
    // `cargo test --all-targets` starts benches too, without this argument.
    if !given("--bench") {
        return;
    }
    if given("--planned") {
        let (entries, agents) = control::PLANNED;
        println!("{}", control::measure(entries + agents, SEED));
        return;
    }
    print!("{}", control::run(given("--short")));
}
