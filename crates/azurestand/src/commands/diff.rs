//! `config diff`: what applying a file would change.

use std::path::Path;

use azurestand_config::{Section, unified_diff};
use serde::Serialize;

use crate::args::Options;
use crate::failure::Failure;
use crate::report::Report;
use crate::section_file::SectionFile;
use crate::session::Session;

#[derive(Serialize)]
struct Compared<'a> {
    section: Section,
    equal: bool,
    difference: &'a str,
}

pub(crate) async fn run(
    section: Section,
    path: &Path,
    options: &Options,
) -> Result<Report, Failure> {
    let file = SectionFile::read(path)?;
    let document = Session::open(options)?.document().await?;
    file.base_of(section, &document)?;
    let present = document.section_text(section).trim();
    let new = file.text.trim();
    let difference = unified_diff(&format!("{present}\n"), &format!("{new}\n"));
    let equal = present == new;
    let text = if equal {
        format!("section {section} already reads like this")
    } else {
        difference.clone()
    };
    let data = Compared {
        section,
        equal,
        difference: &difference,
    };
    Ok(Report::new(text, &data))
}
