//! `config edit`: writes a section to a file.

use std::path::PathBuf;

use azurestand_config::Section;
use serde::Serialize;

use crate::args::Options;
use crate::failure::Failure;
use crate::report::Report;
use crate::section_file::SectionFile;
use crate::session::Session;

#[derive(Serialize)]
struct Written {
    section: Section,
    base: u64,
    file: PathBuf,
}

pub(crate) async fn run(section: Section, options: &Options) -> Result<Report, Failure> {
    let document = Session::open(options)?.document().await?;
    let file = options.out.clone();
    let file = file.unwrap_or_else(|| PathBuf::from(format!("{section}.toml")));
    if file.exists() && !options.force {
        return Err(Failure::Exists(file));
    }
    let text = SectionFile::text_of(&document, section);
    std::fs::write(&file, text).map_err(|error| Failure::File(file.clone(), error))?;
    let path = file.display();
    let text = format!(
        "wrote {path}; edit it, then:\n  azurestand config diff {section} {path}\n  azurestand config apply {section} {path}"
    );
    let base = document.stamp(section).revision.0;
    Ok(Report::new(
        text,
        &Written {
            section,
            base,
            file,
        },
    ))
}
