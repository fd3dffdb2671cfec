//! `version`: the version of this binary.

use serde::Serialize;

use crate::report::Report;

const VERSION: &str = env!("CARGO_PKG_VERSION");

#[derive(Serialize)]
struct Version {
    version: &'static str,
}

pub(crate) fn run() -> Report {
    Report::new(
        format!("azurestand {VERSION}"),
        &Version { version: VERSION },
    )
}
