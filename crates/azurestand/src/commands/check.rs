//! `config check`: checks a file and changes nothing.

use std::path::Path;

use azurestand_config::{Author, Document, Edit, EditError, Section};
use serde::Serialize;

use crate::args::Options;
use crate::author;
use crate::failure::Failure;
use crate::report::Report;
use crate::section_file::SectionFile;
use crate::session::Session;

const CHECKER: &str = "check";

#[derive(Serialize)]
struct Checked {
    valid: bool,
    section: Option<Section>,
}

pub(crate) async fn run(path: &Path, options: &Options) -> Result<Report, Failure> {
    let file = SectionFile::read(path)?;
    let invalid = |errors| Failure::Invalid(path.display().to_string(), errors);
    let Some((section, base)) = file.base else {
        Document::parse(&file.text).map_err(invalid)?;
        return Ok(report(None));
    };
    let document = Session::open(options)?.document().await?;
    let edit = Edit {
        section,
        base,
        author: Author::try_from(CHECKER.to_owned())
            .map_err(|error| Failure::Usage(error.to_string()))?,
        change: author::fresh_change()?,
        text: file.text,
        force: false,
    };
    match document.apply(&edit) {
        Ok(_) | Err(EditError::Unchanged(_)) => Ok(report(Some(section))),
        Err(EditError::Invalid(errors)) => Err(invalid(errors)),
        Err(error) => Err(Failure::Refused(error.to_string())),
    }
}

fn report(section: Option<Section>) -> Report {
    let text = match section {
        Some(section) => format!("valid; apply it with `azurestand config apply {section} FILE`"),
        None => "valid as a whole document".to_owned(),
    };
    Report::new(
        text,
        &Checked {
            valid: true,
            section,
        },
    )
}
