//! `azurestand_bench report`: all benches in short form, beside the run before.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use azurestand_bench::report::{self, Options};
use lexopt::Parser;
use lexopt::prelude::*;

const USAGE: &str = "usage: azurestand_bench report [--out DIR] [--short]

  --out DIR  where the page, its plots and its figures go (docs/measurements)
  --short    leave out the daemons and the side series of spreading";

fn main() -> ExitCode {
    let options = match parse(std::env::args_os()) {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match report::write(&options) {
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

/// None asks for the usage.
fn parse<I>(arguments: I) -> Result<Option<Options>, lexopt::Error>
where
    I: IntoIterator<Item = OsString>,
    I::IntoIter: 'static,
{
    let mut parser = Parser::from_iter(arguments);
    let mut options = Options {
        out: PathBuf::from("docs/measurements"),
        short: false,
    };
    let mut named = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("out") => options.out = parser.value()?.into(),
            Long("short") => options.short = true,
            Long("help") | Short('h') => return Ok(None),
            Value(verb) if verb == "report" && !named => named = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(named.then_some(options))
}
