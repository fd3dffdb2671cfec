//! `azurestand_bench report`: all benches in short form, beside the run before.
//! `azurestand_bench load`: overload before emulated engines, by pattern and policy.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use azurestand_bench::load::{self, PATTERNS, POLICIES, Plan, RANKED_PATTERNS, Size};
use azurestand_bench::report::{self, Options};
use lexopt::Parser;
use lexopt::prelude::*;

const USAGE: &str = "usage: azurestand_bench report [--out DIR] [--short]
       azurestand_bench load [--large | --ranked] [--plain] [--pattern NAME] [--factor X] [--seconds S] [--seed N]

  --out DIR  where the page, its plots and its figures go (docs/measurements)
  --short    leave out the daemons and the side series of spreading
  --large      148 entries and 90 engines in place of 9 and 15
  --ranked     33 entries and 58 engines, whose kinds of requests differ in priority
  --plain      without admission by priority
  --pattern NAME  one pattern only, such as Steady
  --factor X   the load, as a multiple of the users' rates (1.5)
  --seconds S  how long callers come, in virtual seconds (30)
  --seed N     the seed of arrivals and sizes (1)";

/// What is asked for.
enum Verb {
    Report(Options),
    Load(LoadOptions),
}

/// The options of `load`.
struct LoadOptions {
    size: Size,
    /// Whether entries admit requests by priority.
    admits: bool,
    /// The only pattern to run; all if none.
    pattern: Option<String>,
    factor: f64,
    time: Duration,
    seed: u64,
}

fn main() -> ExitCode {
    let verb = match parse(std::env::args_os()) {
        Ok(Some(verb)) => verb,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match verb {
        Verb::Report(options) => write_report(&options),
        Verb::Load(options) => {
            print_load(&options);
            ExitCode::SUCCESS
        }
    }
}

fn write_report(options: &Options) -> ExitCode {
    match report::write(options) {
        Ok(page) => {
            println!("wrote {}", page.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// A row for each pattern and policy.
fn print_load(options: &LoadOptions) {
    println!(
        "| pattern | policy | worth | in aim | late | refused | failed | worth by class | served by class | first event p50, p99 ms | \
         most to a cold target | against a target's word |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
    );
    let is_asked = |pattern: &load::Pattern| {
        let asked = options.pattern.as_deref();
        asked.is_none_or(|name| format!("{pattern:?}").eq_ignore_ascii_case(name))
    };
    for pattern in PATTERNS.into_iter().chain(RANKED_PATTERNS).filter(is_asked) {
        for policy in POLICIES {
            let figures = load::run(&Plan {
                size: options.size,
                policy,
                admits: options.admits,
                pattern,
                load: options.factor,
                time: options.time,
                seed: options.seed,
            });
            println!(
                "| {pattern:?} | {policy:?} | {:.3} | {} | {} | {} | {} | {} | {} | {:.0}, {:.0} | {} | {} |",
                figures.worth,
                figures.in_aim,
                figures.late,
                figures.refused,
                figures.failed,
                parts(&figures.earned),
                parts(&figures.served),
                figures.first_p50,
                figures.first_p99,
                figures.cold_peak,
                figures.barred_sends,
            );
        }
    }
}

/// A list of parts of one.
fn parts(parts: &[f64]) -> String {
    let parts = parts.iter().map(|part| format!("{part:.2}"));
    parts.collect::<Vec<_>>().join(" ")
}

/// None asks for the usage.
fn parse<I>(arguments: I) -> Result<Option<Verb>, lexopt::Error>
where
    I: IntoIterator<Item = OsString>,
    I::IntoIter: 'static,
{
    let mut parser = Parser::from_iter(arguments);
    let verb = match parser.next()? {
        Some(Value(verb)) => verb,
        Some(Long("help") | Short('h')) | None => return Ok(None),
        Some(other) => return Err(other.unexpected()),
    };
    if verb == "report" {
        return Ok(parse_report(&mut parser)?.map(Verb::Report));
    }
    if verb == "load" {
        return Ok(parse_load(&mut parser)?.map(Verb::Load));
    }
    Err(lexopt::Error::UnexpectedArgument(verb))
}

fn parse_report(parser: &mut Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        out: PathBuf::from("docs/measurements"),
        short: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("out") => options.out = parser.value()?.into(),
            Long("short") => options.short = true,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

fn parse_load(parser: &mut Parser) -> Result<Option<LoadOptions>, lexopt::Error> {
    let mut options = LoadOptions {
        size: Size::Base,
        admits: true,
        pattern: None,
        factor: 1.5,
        time: Duration::from_secs(30),
        seed: 1,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("large") => options.size = Size::Large,
            Long("ranked") => options.size = Size::Ranked,
            Long("plain") => options.admits = false,
            Long("pattern") => options.pattern = Some(parser.value()?.string()?),
            Long("factor") => options.factor = parser.value()?.parse()?,
            Long("seconds") => options.time = Duration::from_secs(parser.value()?.parse()?),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}
