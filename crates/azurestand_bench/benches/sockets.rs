//! Prints a spread over real sockets beside the same in virtual time.

use azurestand_bench::sockets::measure;

fn main() {
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    if std::env::args().any(|argument| argument == "--log") {
        azurestand_server::start_logs(azurestand_server::settings::LogFormat::Text);
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
    match runtime.block_on(measure()) {
        Ok(row) => println!(
            "{} hosts, bound {:.2} s\n\
             over sockets: {:.2} s, ratio {:.2}, origin copies {:.2}\n\
             virtual time: {:.2} s, ratio {:.2}, origin copies {:.2}\n\
             sockets over virtual: {:.2}",
            row.hosts,
            row.bound,
            row.time,
            row.ratio(),
            row.origin,
            row.virtual_time,
            row.virtual_ratio(),
            row.virtual_origin,
            row.ratio() / row.virtual_ratio(),
        ),
        Err(error) => eprintln!("{error}"),
    }
}
