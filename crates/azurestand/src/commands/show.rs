//! `config show`: the document, or one section of it.

use azurestand_config::Section;
use azurestand_types::ChangeId;
use serde::Serialize;

use crate::args::Options;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;

#[derive(Serialize)]
struct Shown<'a> {
    revision: u64,
    section: Option<Section>,
    change: Option<&'a str>,
    text: &'a str,
}

pub(crate) async fn run(section: Option<Section>, options: &Options) -> Result<Report, Failure> {
    let document = Session::open(options)?.document().await?;
    let Some(section) = section else {
        let shown = Shown {
            revision: document.revision().0,
            section: None,
            change: None,
            text: document.text(),
        };
        return Ok(Report::new(document.text(), &shown));
    };
    let stamp = document.stamp(section);
    let text = document.section_text(section);
    let shown = Shown {
        revision: stamp.revision.0,
        section: Some(section),
        change: stamp.change.as_ref().map(ChangeId::as_str),
        text,
    };
    Ok(Report::new(text, &shown))
}
