//! Prints how requests fare beside a baseline; `--short` takes less time, `--policy` leaves
//! out the daemons.

use azurestand_bench::requests;

fn main() {
    // `cargo test` builds and starts benches too; it wants no figures.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    let short = std::env::args().any(|arg| arg == "--short");
    print!("{}", requests::policy(short));
    if std::env::args().any(|arg| arg == "--policy") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new();
    let measured = runtime.map(|runtime| runtime.block_on(requests::live(short)));
    match measured {
        Ok(Ok(report)) => print!("{report}"),
        Ok(Err(error)) => eprintln!("the daemons could not be measured: {error}"),
        Err(error) => eprintln!("no runtime could be started: {error}"),
    }
}
