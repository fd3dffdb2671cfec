//! `help`: the verbs and their options.

use std::fmt::Write;

use serde::Serialize;

use crate::report::Report;
use crate::verbs::{VERBS, Verb};

const FORMAT_HELP: &str = "--format FORMAT  text or json";

#[derive(Serialize)]
struct VerbData {
    verb: &'static str,
    operands: &'static str,
    about: &'static str,
}

pub(crate) fn run(verb: Option<&'static Verb>) -> Report {
    if let Some(verb) = verb {
        return Report::new(describe(verb), &data(verb));
    }
    let data: Vec<VerbData> = VERBS.iter().map(data).collect();
    Report::new(overview(), &data)
}

fn overview() -> String {
    let mut text = String::from("azurestand spreads model weights and routes requests.\n\n");
    for verb in VERBS {
        let line = format!("{} {}", verb.name, verb.operands);
        let _ = writeln!(
            text,
            "  azurestand {line:<28}{}",
            first_sentence(verb.about)
        );
    }
    text + "\n`azurestand help VERB` prints a verb's options."
}

fn describe(verb: &Verb) -> String {
    let mut text = format!(
        "azurestand {} {}\n\n{}\n\n",
        verb.name, verb.operands, verb.about
    );
    for flag in verb.flags {
        let _ = writeln!(text, "  {}", flag.help());
    }
    let _ = writeln!(text, "  {FORMAT_HELP}");
    text
}

fn first_sentence(text: &str) -> &str {
    text.split_once(". ").map_or(text, |(first, _)| first)
}

fn data(verb: &Verb) -> VerbData {
    VerbData {
        verb: verb.name,
        operands: verb.operands,
        about: verb.about,
    }
}
