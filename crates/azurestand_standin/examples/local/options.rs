//! The command line of the example.

use std::path::PathBuf;

use azurestand_standin::Plan;
use lexopt::prelude::*;

const USAGE: &str = "usage: local [--nuanshi] [--hold | --faults SEED] FILE   (FILE: any file, used as the weights)";

/// What to run.
pub(crate) struct Options {
    pub(crate) plan: Plan,
    pub(crate) weights: Vec<u8>,
    pub(crate) hold: bool,
    /// The seed of the faults; none for the usual programme.
    pub(crate) faults: Option<u64>,
}

impl Options {
    pub(crate) fn parse() -> Result<Self, String> {
        let mut parser = lexopt::Parser::from_env();
        let mut plan = Plan::winter_roads();
        let mut hold = false;
        let mut faults = None;
        let mut file = None;
        while let Some(arg) = parser.next().map_err(|error| format!("{error}\n{USAGE}"))? {
            match arg {
                Long("nuanshi") => plan = Plan::nuanshi(),
                Long("hold") => hold = true,
                Long("faults") => faults = Some(seed(&mut parser)?),
                Value(value) if file.is_none() => file = Some(PathBuf::from(value)),
                _ => return Err(format!("{}\n{USAGE}", arg.unexpected())),
            }
        }
        let file = file.ok_or_else(|| USAGE.to_owned())?;
        let weights = std::fs::read(&file).map_err(|error| {
            format!("{}: {error}; name a file that can be read", file.display())
        })?;
        if weights.is_empty() {
            return Err(format!(
                "{} is empty; name a file with some content",
                file.display()
            ));
        }
        Ok(Self {
            plan,
            weights,
            hold,
            faults,
        })
    }
}

fn seed(parser: &mut lexopt::Parser) -> Result<u64, String> {
    let value = parser.value().and_then(|value| value.parse());
    value.map_err(|error| format!("--faults: {error}; give a number\n{USAGE}"))
}
