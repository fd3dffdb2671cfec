//! Stand-ins for the cases of the second review: a store, model runners, plain runners, the
//! origin of weights and clients, each as the users' pages describe it. One process holds them;
//! the project's programs are started from here as separate processes with the commands of the
//! deploy file. Only the standard library is used.
//!
//! usage: standin CASE PROGRAM RECORD    (TROUBLE=0 in the environment leaves the disruption out)

mod base;
mod cases;
mod http;
mod origin;
mod programs;
mod runner;
mod store;

use std::process::exit;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.len() != 4 {
        eprintln!("usage: standin CASE PROGRAM RECORD");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = base::Record::new(&words[3]);
    let outcome = std::panic::catch_unwind(|| cases::run(&words[1], &words[2], &record, trouble));
    let outcome = outcome.unwrap_or_else(|_| Err("the stand-ins failed".to_owned()));
    let (code, text) = match outcome {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
