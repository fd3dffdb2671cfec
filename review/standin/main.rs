//! The stand-ins of the review's scripts: a store, runners and clients on loopback, and the
//! driver of each case. Only the standard library is used.

mod case1;
mod case2;
mod case3;
mod case4;
mod case5;
mod http;
mod local;
mod runner;
mod sha256;
mod store;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match args.first().map(String::as_str) {
        Some("runner") => runner::run(&args[1..]),
        Some("case") => {
            let folder = std::path::PathBuf::from(&args[2]);
            let record = local::Record::create(&folder.join("record.txt"));
            let case = || match args[1].as_str() {
                "1" => case1::run(record.clone(), trouble),
                "2" => case2::run(record.clone(), trouble),
                "3" => case3::run(record.clone(), trouble),
                "4" => case4::run(record.clone(), trouble),
                "5" => case5::run(record.clone(), trouble),
                _ => Err("no such case".to_owned()),
            };
            let result = catch_unwind(AssertUnwindSafe(case)).unwrap_or(Err("a step of the script failed".to_owned()));
            let code = match result {
                Ok(true) => 0,
                Ok(false) => 1,
                Err(why) => {
                    record.line(&format!("the case could not run: {why}"));
                    2
                }
            };
            record.line(&format!("exit {code}"));
            exit(code);
        }
        _ => exit(2),
    }
}
