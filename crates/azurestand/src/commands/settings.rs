//! `check`: checks a daemon's settings and starts nothing.

use std::path::Path;

use azurestand_server::settings::Settings;
use azurestand_types::{DataCentre, HostName};
use serde::Serialize;

use crate::failure::Failure;
use crate::report::Report;

#[derive(Serialize)]
struct Checked<'a> {
    valid: bool,
    host: &'a HostName,
    centre: &'a DataCentre,
    targets: usize,
}

pub(crate) fn run(file: &Path) -> Result<Report, Failure> {
    let settings = Settings::read(file)?;
    let count = settings.targets.len();
    let text = format!(
        "{} is valid: host {} in {}, {count} targets",
        file.display(),
        settings.host,
        settings.centre
    );
    let checked = Checked {
        valid: true,
        host: &settings.host,
        centre: &settings.centre,
        targets: count,
    };
    Ok(Report::new(text, &checked))
}
