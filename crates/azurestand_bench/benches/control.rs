//! Prints what membership and dissemination cost at size; `--short` leaves out large fleets.

use azurestand_bench::control;

fn main() {
    let short = std::env::args().any(|arg| arg == "--short");
    // `cargo test` builds and starts benches too; it wants no figures.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    print!("{}", control::run(short));
}
