//! Prints what one more request, token, link or daemon costs; `--short` takes less time.

use azurestand_bench::slopes;

fn main() {
    // `cargo test` builds and starts benches too; it wants no figures.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    let short = std::env::args().any(|arg| arg == "--short");
    match slopes::parts(short) {
        Ok(report) => print!("{report}"),
        Err(error) => eprintln!("the parts could not be measured: {error}"),
    }
    let runtime = tokio::runtime::Runtime::new();
    let measured = runtime.map(|runtime| runtime.block_on(slopes::daemons(short)));
    match measured {
        Ok(Ok(report)) => print!("{report}"),
        Ok(Err(error)) => eprintln!("the daemons could not be measured: {error}"),
        Err(error) => eprintln!("no runtime could be started: {error}"),
    }
}
